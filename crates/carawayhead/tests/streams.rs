//! Streams through failures: each token once, in order, from one generation.

mod common;

use {
    common::{Builder, CallerRequest, Events, expected_words},
    rustix::process::Signal,
    serde_json::json,
};

/// Slow enough that a failure falls into the middle of a stream.
const SLOW_ENGINE_FLAGS: [&str; 1] = ["--step-base=20000"];

/// An entry instance is killed while it streams a report. The reader is cut off
/// in mid-sentence; coming back through another instance with the last event id,
/// it hears the rest, neither a word twice nor one left out.
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
    assert!(!events.words().1, "the stream is cut");
    let ask = CallerRequest::generation(100, true).header("last-event-id", &events.last_id);
    let mut reply = cluster.send(1, ask).await.expect("an answer");
    assert_eq!(reply.status(), 200);
    events.read_to_end(&mut reply).await;
    assert_eq!(events.words(), (expected_words(100), true));
}

/// Something between the instance and the engine forgets the open connection:
/// no token comes any more, and no error either, while new connections work.
/// The reader would wait for ever; instead the stream goes on after a second.
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

/// The engine dies after some tokens. Another engine would write another text,
/// so the rest cannot be had: the reader is told that the stream was cut, not
/// given words of a second text.
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

/// An engine freezes before the first token of a check. The organiser at the
/// counter would wait with it; the check goes to another engine instead, and the
/// frozen one's late words are dropped when it wakes.
#[tokio::test]
async fn generation_is_retried_when_engine_freezes_before_first_token() {
    let builder = Builder {
        engine_domains: vec!["north"],
        limits: "silence = \"100ms\"",
        ..Builder::default()
    };
    let mut cluster = builder.start().await;
    cluster.engines[0].signal(Signal::STOP);
    let late = cluster.send(0, CallerRequest::generation(5, true));
    let second = async {
        cluster
            .wait_until("the check was sent", async || {
                let status = cluster.get(&cluster.instances[0].operator, "/status").await;
                status["sent"].as_u64() >= Some(1)
            })
            .await;
        cluster.add_engine("engine-1", "north", &[]).await
    };
    let (reply, engine) = tokio::join!(late, second);
    let mut events = Events::default();
    let mut reply = reply.expect("an answer");
    assert_eq!(reply.status(), 200);
    events.read_to_end(&mut reply).await;
    cluster.engines[0].signal(Signal::CONT);
    assert_eq!(events.words(), (expected_words(5), true));
    let stats = cluster.get(&engine.address, "/control").await;
    assert_eq!(stats["starts"], json!(1));
    cluster.engines.push(engine);
}

/// A reader loses its connection and does not come back. The engine would go on
/// writing for nobody and hold memory that others wait for; the generation is
/// cancelled after the grace time.
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
        .wait_until("no engine decodes", async || {
            let mut running = 0;
            for engine in &cluster.engines {
                let stats = cluster.get(&engine.address, "/control").await;
                running += stats["running"].as_u64().unwrap_or(1);
            }
            running == 0
        })
        .await;
}
