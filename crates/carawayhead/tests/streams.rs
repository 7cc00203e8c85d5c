//! Streams during failures: each token arrives once, in order and from one generation.

mod common;

use {
    common::{Builder, CallerRequest, Events, expected_words},
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
};

/// Slows engines down so that a failure occurs in the middle of a stream.
const SLOW_ENGINE_FLAGS: [&str; 1] = ["--step-base=20000"];

/// An instance is killed while it streams. The caller resumes through another instance
/// with the last event ID and receives the remaining tokens without gap or duplicate.
#[tokio::test]
async fn stream_resumes_through_another_instance() {
    let builder = Builder {
        engine_flags: SLOW_ENGINE_FLAGS.to_vec(),
        ..Builder::default()
    };
    let mut cluster = builder.start().await;
    let (mut reply, mut events) = cluster.begin_stream(100, 10).await;
    cluster.instances[0].kill();
    events.read_to_end(&mut reply).await;
    assert!(!events.words().1, "the stream is incomplete");
    let request = CallerRequest::generation(100, true).header("last-event-id", &events.last_id);
    let mut reply = cluster
        .send(1, request)
        .await
        .expect("the instance responds");
    assert_eq!(reply.status(), 200);
    events.read_to_end(&mut reply).await;
    assert_eq!(events.words(), (expected_words(100), true));
}

/// An open connection to an engine stops delivering data without an error, while new
/// connections work. The stream must resume over a new connection instead of hanging.
#[tokio::test]
async fn silent_stream_resumes_over_a_new_connection() {
    let builder = Builder {
        engine_flags: SLOW_ENGINE_FLAGS.to_vec(),
        limits: "silence = \"300ms\"",
        ..Builder::default()
    };
    let cluster = builder.start().await;
    let (mut reply, mut events) = cluster.begin_stream(100, 10).await;
    for engine in &cluster.engines {
        cluster
            .post(&engine.address, "/control", &json!({"mute": true}))
            .await;
    }
    events.read_to_end(&mut reply).await;
    assert_eq!(events.words(), (expected_words(100), true));
    let status = cluster.get(&cluster.instances[0].operator, "/status").await;
    assert!(status["resumed"].as_u64() >= Some(1));
}

/// The engine dies in the middle of a generation. Another engine would generate different
/// text, so the stream must end with an error and not with tokens of a second generation.
#[tokio::test]
async fn stream_ends_with_error_event_when_its_engine_dies() {
    let builder = Builder {
        engine_flags: SLOW_ENGINE_FLAGS.to_vec(),
        limits: "silence = \"100ms\"",
        ..Builder::default()
    };
    let mut cluster = builder.start().await;
    let (mut reply, mut events) = cluster.begin_stream(100, 10).await;
    for engine in &mut cluster.engines {
        engine.kill();
    }
    events.read_to_end(&mut reply).await;
    let (words, done) = events.words();
    assert!(!done);
    assert_eq!(
        words,
        expected_words(u32::try_from(words.len()).expect("a short stream"))
    );
    let last = events.data.last().expect("an error event");
    assert!(
        last.contains("stream_cut") && last.contains("may-have-run"),
        "{last}"
    );
}

/// Engines are paused in the middle of a generation, for longer than it takes to open several connections, and go on.
/// The stream must not end meanwhile.
#[tokio::test]
async fn stream_of_a_paused_engine_goes_on() {
    let builder = Builder {
        engine_flags: SLOW_ENGINE_FLAGS.to_vec(),
        limits: "silence = \"100ms\"",
        ..Builder::default()
    };
    let cluster = builder.start().await;
    let (mut reply, mut events) = cluster.begin_stream(100, 10).await;
    for engine in &cluster.engines {
        engine.signal(Signal::STOP);
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for engine in &cluster.engines {
        engine.signal(Signal::CONT);
    }
    events.read_to_end(&mut reply).await;
    assert_eq!(events.words(), (expected_words(100), true));
}

/// An engine freezes before the first token. The request is retried at another engine,
/// and tokens that the first engine sends after it resumes are dropped.
#[tokio::test]
async fn generation_is_retried_when_engine_freezes_before_first_token() {
    let builder = Builder {
        engine_domains: vec!["north"],
        limits: "silence = \"100ms\"",
        ..Builder::default()
    };
    let mut cluster = builder.start().await;
    cluster.engines[0].signal(Signal::STOP);
    let first = cluster.send(0, CallerRequest::generation(5, true));
    let second = async {
        cluster
            .wait_until("the request was sent", async || {
                let status = cluster.get(&cluster.instances[0].operator, "/status").await;
                status["sent"].as_u64() >= Some(1)
            })
            .await;
        cluster.add_engine("engine-1", "north", &[]).await
    };
    let (reply, engine) = tokio::join!(first, second);
    let mut events = Events::default();
    let mut reply = reply.expect("the instance responds");
    assert_eq!(reply.status(), 200);
    events.read_to_end(&mut reply).await;
    cluster.engines[0].signal(Signal::CONT);
    assert_eq!(events.words(), (expected_words(5), true));
    let stats = cluster.get(&engine.address, "/control").await;
    assert_eq!(stats["starts"], json!(1));
    cluster.engines.push(engine);
}

/// A caller disconnects and does not return. The generation is cancelled after the grace
/// time, or it would hold engine memory that other requests need.
#[tokio::test]
async fn abandoned_generation_is_cancelled_after_grace_time() {
    let builder = Builder {
        engine_flags: SLOW_ENGINE_FLAGS.to_vec(),
        limits: "grace = \"200ms\"",
        ..Builder::default()
    };
    let cluster = builder.start().await;
    let (reply, _) = cluster.begin_stream(10_000, 5).await;
    drop(reply);
    cluster
        .wait_until("no engine runs a generation", async || {
            let mut running = 0;
            for engine in &cluster.engines {
                let stats = cluster.get(&engine.address, "/control").await;
                running += stats["running"].as_u64().unwrap_or(1);
            }
            running == 0
        })
        .await;
}
