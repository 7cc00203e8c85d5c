//! Draining instances, disabled failure domains, and endpoints that leave or start cold.

mod common;

use {
    common::{
        API_KEY, Builder, CallerRequest, Cluster, Events, expected_words, new_idempotency_key,
    },
    futures_util::stream::{FuturesUnordered, StreamExt as _},
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
    },
};

/// After SIGTERM an instance drains: it completes its running streams before it exits.
#[tokio::test]
async fn draining_instance_completes_running_streams() {
    let mut cluster = Builder {
        engine_flags: vec!["--step-base=20000"],
        ..Builder::default()
    }
    .start()
    .await;
    let (mut reply, mut events) = cluster.begin_stream(60, 5).await;
    cluster.instances[0].signal(Signal::TERM);
    events.read_to_end(&mut reply).await;
    assert_eq!(events.words(), (expected_words(60), true));
    assert_exits(&mut cluster).await;
}

/// Guards against a draining instance that sends orders to services which work on them for longer than it waits: each
/// order that ran is answered, and the others are refused or find no listener.
#[tokio::test]
async fn orders_that_a_draining_instance_sends_are_answered() {
    let mut cluster = Builder::default().start().await;
    let control = json!({"delay_ms": 2500});
    cluster
        .post(&cluster.services[0].address, "/control", &control)
        .await;
    cluster.instances[0].signal(Signal::TERM);
    // Until after the notice of 200 ms.
    let sent = (0..16).map(async |number| {
        tokio::time::sleep(Duration::from_millis(20 * number)).await;
        let key = new_idempotency_key();
        let reply = cluster.send(0, CallerRequest::order(&key, "plate")).await;
        let status = match reply {
            Ok(reply) => {
                let status = reply.status().as_u16();
                reply.read_body(1 << 20).await.map(|_body| status).ok()
            }
            Err(_) => None,
        };
        (status, cluster.run_count(&key).await)
    });
    let outcomes = join_all(sent).await;
    let answered = outcomes.iter().filter(|(status, _)| *status == Some(200));
    assert!(answered.count() > 0, "{outcomes:?}");
    for (status, runs) in &outcomes {
        assert_eq!(*runs, usize::from(*status == Some(200)), "{outcomes:?}");
    }
    assert_exits(&mut cluster).await;
}

/// Asserts that the first instance exits by itself, without an error.
async fn assert_exits(cluster: &mut Cluster) {
    let mut ended = None;
    for _ in 0..500 {
        ended = cluster.instances[0].exit_success();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(ended, Some(true));
}

/// Runs requests at the same time, on one task.
async fn join_all<T>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let unordered = futures.collect::<FuturesUnordered<_>>();
    unordered.collect().await
}

/// After operators disable a failure domain, no instance, including those in the domain,
/// sends it new requests, and its running streams complete.
#[tokio::test]
async fn disabled_domain_gets_no_new_requests_and_keeps_streams() {
    let cluster = Builder {
        engine_flags: vec!["--step-base=20000"],
        ..Builder::default()
    }
    .start()
    .await;
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(
            cluster
                .send(number % 2, CallerRequest::generation(60, true))
                .await
                .expect("the instance responds"),
        );
    }
    cluster
        .append("schema = 1\n[domain.south]\nstate = \"out\"\n")
        .await;
    cluster.wait_for_config(2).await;
    let before = cluster.get(&cluster.engines[1].address, "/control").await["starts"].clone();
    for number in 0..10 {
        let (status, _) = cluster
            .call(number % 2, CallerRequest::generation(2, false))
            .await;
        assert_eq!(status, 200);
    }
    let after = cluster.get(&cluster.engines[1].address, "/control").await["starts"].clone();
    assert_eq!(before, after);
    for mut reply in streams {
        let mut events = Events::default();
        events.read_to_end(&mut reply).await;
        assert_eq!(events.words(), (expected_words(60), true));
    }
}

/// An instance that cannot reach the log gets new configuration records from a peer.
/// Otherwise it would keep sending requests to a disabled domain.
#[tokio::test]
async fn instance_without_log_gets_config_from_a_peer() {
    let mut cluster = Builder::default().start().await;
    cluster.add_instance_without_log("entry-9", "north").await;
    cluster
        .append("schema = 1\n[domain.south]\nstate = \"out\"\n")
        .await;
    let address = &cluster.instances[2].operator;
    cluster
        .wait_until("the record is received from a peer", async || {
            let status = cluster.get(address, "/status").await;
            status["config_next_offset"] == json!(2)
                && status["config_stale_ms"].as_u64() < Some(3000)
        })
        .await;
}

/// A cold engine crashes under more than two concurrent requests. Three instances that
/// send it six requests at once must stay below this limit in sum.
#[tokio::test]
async fn cold_limit_holds_across_all_instances() {
    let mut cluster = Builder {
        engine_domains: vec!["north"],
        instance_domains: vec!["north", "south", "north"],
        ..Builder::default()
    }
    .start()
    .await;
    cluster
        .append("schema = 1\n[domain.north]\nstate = \"out\"\n")
        .await;
    cluster
        .append("schema = 1\n[endpoint.cold]\ncold_limit = 2\ncold_time = \"2s\"\n")
        .await;
    cluster.wait_for_config(3).await;
    let flags = ["--cold-ms=1500", "--cold-limit=2", "--step-base=5000"];
    let engine = cluster.add_engine("cold", "south", &flags).await;
    for instance in &cluster.instances {
        cluster
            .wait_until(
                "the engine is listed and has reported its load",
                async || {
                    let status = cluster.get(&instance.operator, "/status").await;
                    status["endpoints"] == json!(3) && status["load_reports"] == json!(2)
                },
            )
            .await;
    }
    let send = |number: usize| cluster.call(number % 3, CallerRequest::generation(8, false));
    for _ in 0..4 {
        let first = async { tokio::join!(send(0), send(1), send(2)) };
        let second = async { tokio::join!(send(3), send(4), send(5)) };
        let (first, second) = tokio::join!(first, second);
        assert_eq!([first.0.0, first.1.0, first.2.0], [200; 3]);
        assert_eq!([second.0.0, second.1.0, second.2.0], [200; 3]);
    }
    let stats = cluster.get(&engine.address, "/control").await;
    assert_eq!(stats["fell_over"], json!(0));
    cluster.engines.push(engine);
}

/// An engine reports that it is leaving before the instance list does. Requests sent to
/// it in between would be rejected or lost.
#[tokio::test]
async fn leaving_engine_gets_no_new_requests() {
    let cluster = Builder::default().start().await;
    cluster
        .post(
            &cluster.engines[0].address,
            "/control",
            &json!({"leaving": true}),
        )
        .await;
    for instance in &cluster.instances {
        cluster
            .wait_until("the engine is skipped", async || {
                cluster.get(&instance.operator, "/status").await["usable"] == json!(2)
            })
            .await;
    }
    for number in 0..6 {
        let (status, _) = cluster
            .call(number % 2, CallerRequest::generation(2, false))
            .await;
        assert_eq!(status, 200);
    }
    let stats = cluster.get(&cluster.engines[0].address, "/control").await;
    assert_eq!(stats["starts"], json!(0));
}

/// The log has expired its first records when an instance starts. Without the snapshot
/// that other instances appended, it would know no customer and reject every request.
#[tokio::test]
async fn instance_starts_from_snapshot_after_records_expired() {
    let mut cluster = Builder {
        limits: "snapshot_interval = \"1s\"",
        ..Builder::default()
    }
    .start()
    .await;
    cluster
        .post(
            &cluster.log.address,
            "/control",
            &json!({"retention_ms": 3000}),
        )
        .await;
    for stream in ["config", "snapshots"] {
        let path = format!("/streams/{stream}/records?from=0");
        cluster
            .wait_until("records have expired", async || {
                cluster.get(&cluster.log.address, &path).await["first"].as_u64() > Some(0)
            })
            .await;
    }
    cluster.add_instance("entry-7", "north").await;
    cluster.wait_until_ready(2).await;
    let (status, _) = cluster.call(2, CallerRequest::generation(3, false)).await;
    assert_eq!(status, 200);
}

/// An instance receives SIGTERM while a caller is still sending a request body. The
/// connection must stay open until the request is answered.
#[tokio::test]
async fn draining_instance_answers_partially_received_request() {
    let cluster = Builder::default().start().await;
    let body = json!({"model": "survey", "prompt": "tokens=2"}).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let (sent, remaining) = body.split_at(10);
    let mut stream = TcpStream::connect(&cluster.instances[0].address)
        .await
        .expect("the instance accepts connections");
    stream
        .write_all(format!("{head}{sent}").as_bytes())
        .await
        .expect("the request can be written");
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.instances[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(600)).await;
    stream
        .write_all(remaining.as_bytes())
        .await
        .expect("the connection is still open");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the instance responds");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
