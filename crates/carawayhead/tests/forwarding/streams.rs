//! Streams that continue after the loss of their engine.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Engine, Store,
        caller::{CallerRequest, config, send_request},
        engine::SharedRuns,
    },
    std::{sync::Arc, time::Duration},
};

const EVENTS_PER_STREAM: u32 = 120;

/// Pause after which callers abandon a stream, in milliseconds.
const CALLER_PATIENCE_MS: u64 = 2000;

pub struct Deployment {
    pub engines: Vec<Engine>,
    pub instance: Instance,
    store: Store,
    pub shared_runs: Arc<SharedRuns>,
}

pub async fn deployment(engines: usize) -> Deployment {
    deployment_with(engines, EVENTS_PER_STREAM, Duration::from_millis(15)).await
}

/// A deployment whose streams have three events, `gap` apart.
async fn slow_deployment(engines: usize, gap: Duration) -> Deployment {
    deployment_with(engines, 3, gap).await
}

pub async fn deployment_with(engines: usize, events: u32, gap: Duration) -> Deployment {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 30_000));
    let shared_runs = Arc::default();
    let mut started = Vec::new();
    for number in 1..=engines {
        let id = format!("m{number}");
        let engine = Engine::start(&shared_runs, &id, events, gap).await;
        store.write_endpoint_entry(&id, &engine.entry("model", "a", "ready"));
        started.push(engine);
    }
    let instance = Instance::start("e1", "a", &store).await;
    Deployment {
        engines: started,
        instance,
        store,
        shared_runs,
    }
}

impl Deployment {
    /// Announces in the store that an engine is leaving.
    pub fn announce_leaving(&self, index: usize) {
        let entry = self.engines[index].leaving_entry("model", "a");
        let id = format!("m{}", index + 1);
        self.store.write_endpoint_entry(&id, &entry);
    }

    /// Publishes the second version of the configuration, with another timeout.
    pub fn configure(&self) {
        let config = config(2, &["key-1"], 20_000);
        self.store.write_operator_record("config", &config);
    }

    /// Waits until an engine has the run of this request ID, and returns its index.
    async fn wait_for_run_of(&self, id: &str) -> usize {
        let index = || {
            self.engines.iter().position(|engine| {
                let calls = engine.executed_calls();
                calls
                    .iter()
                    .any(|call| call.header("carawayhead-request-id") == Some(id))
            })
        };
        wait_until("an engine has the run", || async { index().is_some() }).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        index().expect("an engine has the run")
    }

    /// Waits until an engine has a run, and returns its index.
    pub async fn wait_for_run(&self) -> usize {
        wait_until("an engine has the run", || async {
            self.engines
                .iter()
                .any(|engine| !engine.executed_calls().is_empty())
        })
        .await;
        // Lets some events reach the caller before the test affects the engine.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let index = self
            .engines
            .iter()
            .position(|engine| !engine.executed_calls().is_empty());
        index.expect("an engine has the run")
    }
}

/// Asserts that `body` has every event exactly once and in order.
pub fn assert_all_events(body: &str) {
    let events =
        (1..=EVENTS_PER_STREAM).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    assert_eq!(body, events.collect::<String>());
}

/// An engine announces that it leaves, or its entry is removed, and it stops shortly after.
/// The stream must continue at the backup engine without a missing or duplicate event.
#[tokio::test]
async fn stream_continues_when_its_engine_leaves() {
    for vanishes in [false, true] {
        let deployment = deployment(3).await;
        let caller_address = deployment.instance.caller_address;
        let stream = tokio::spawn(async move {
            send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
        });
        let index = deployment.wait_for_run().await;
        let id = format!("m{}", index + 1);
        let entry = deployment.engines[index].leaving_entry("model", "a");
        deployment
            .store
            .write_endpoint_entry(&id, if vanishes { "" } else { &entry });
        wait_until("another engine has the run", || async {
            let others = deployment.engines.iter().enumerate();
            let mut others = others.filter(|(other, _)| *other != index);
            others.any(|(_, engine)| !engine.executed_calls().is_empty())
        })
        .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.engines[index].crash();
        let response = stream
            .await
            .expect("the task does not panic")
            .expect("the instance responds");
        assert_eq!(
            (response.status, response.complete),
            (StatusCode::OK, true),
            "{vanishes}"
        );
        assert_all_events(&response.body);
        assert!(deployment.shared_runs.max_engines_per_run() <= 2);
    }
}

/// An engine dies in the middle of a stream. The stream must continue from the KV cache copy
/// at the backup engine.
#[tokio::test]
async fn stream_continues_when_its_engine_dies() {
    let deployment = deployment(3).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    deployment.engines[index].crash();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
    let takeovers = deployment.instance.log_lines_containing("\"takeover\"");
    assert!(!takeovers.is_empty());
    let broken = deployment
        .instance
        .log_lines_containing("\"connection to endpoint broke\"");
    assert_eq!(broken.len(), 1, "{broken:?}");
    let broken = serde_json::from_str::<serde_json::Value>(&broken[0]).expect("a log line is JSON");
    assert_eq!(broken["endpoint"], format!("m{}", index + 1));
    let sent = deployment.instance.log_lines_containing("\"sent\"");
    let fingerprint = broken["fingerprint"].as_str().expect("it is a string");
    assert!(sent.iter().all(|line| line.contains(fingerprint)));
}

/// An engine stops sending events without closing its connection, for good. The stream must go on at the
/// backup engine before its caller gives up, which it does after two seconds.
#[tokio::test]
async fn stream_of_silent_engine_continues_at_the_backup() {
    let deployment = deployment(3).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    deployment.engines[index].freeze();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
    let takeovers = deployment.instance.log_lines_containing("\"takeover\"");
    assert!(
        takeovers.iter().any(|line| line.contains("\"silent\"")),
        "{takeovers:?}"
    );
    let ended = || deployment.instance.log_lines_containing("\"stream ended\"");
    wait_until("the end is logged", || async { !ended().is_empty() }).await;
    let ended = ended();
    let ended = serde_json::from_str::<serde_json::Value>(&ended[0]).expect("a log line is JSON");
    let pause = ended["pause_ms"].as_u64().expect("a number");
    assert!(pause < CALLER_PATIENCE_MS, "{pause}");
}

/// A sound engine is silent for a second and goes on. Its run must not be taken over meanwhile, or two
/// engines work on one stream at the same time.
#[tokio::test]
async fn stream_of_engine_that_is_silent_for_a_second_stays_there() {
    let deployment = deployment(3).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    deployment.engines[index].freeze();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.engines[index].thaw();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
    assert_eq!(deployment.shared_runs.max_engines_per_run(), 1);
}

/// An engine leaves, its backup takes the run over, and a partition drops the backup's
/// response. The run must not execute at both engines, so the reachable one stops it and, as
/// it has the run's KV cache, then continues it itself.
#[tokio::test]
async fn run_stops_when_another_engine_may_execute_it() {
    let deployment = deployment(2).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    let other = &deployment.engines[1 - index];
    other.drop_responses();
    let engine = &deployment.engines[index];
    let id = format!("m{}", index + 1);
    let entry = engine.leaving_entry("model", "a");
    deployment.store.write_endpoint_entry(&id, &entry);
    wait_until(
        "the engine has continued the run that it stopped",
        || async {
            let calls = engine.executed_calls();
            calls.iter().any(|call| call.header("kv-from").is_some())
        },
    )
    .await;
    assert_eq!(other.executed_calls().len(), 1);
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
}

/// A partition separates an instance from an engine for some seconds while the backup engine
/// is dead. The connection is still open, so the stream must wait and complete.
#[tokio::test]
async fn stream_waits_for_its_engine_when_the_backup_is_dead() {
    let deployment = deployment(3).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    let sent = deployment.instance.log_lines_containing("\"sent\"");
    let backup = (0..3).find(|engine| sent[0].contains(&format!("\"copy\":\"m{}\"", engine + 1)));
    deployment.engines[backup.expect("the run has a backup")].crash();
    deployment.engines[index].freeze();
    wait_until("the stream waits", || async {
        !deployment
            .instance
            .log_lines_containing("waits for its engine")
            .is_empty()
    })
    .await;
    deployment.engines[index].thaw();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
}

/// The backup engine restarts and loses its copy, and then the run's own engine falls silent. Asking
/// for the lost copy at each silence ends in the run being started a second time.
#[tokio::test]
async fn engine_without_the_copy_is_asked_to_take_over_once() {
    let deployment = deployment(2).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let index = deployment.wait_for_run().await;
    deployment.shared_runs.drop_copies();
    deployment.engines[index].freeze();
    wait_until("the stream has been silent several times", || async {
        deployment
            .instance
            .log_lines_containing("stream is silent")
            .len()
            >= 4
    })
    .await;
    let rejected = deployment.engines[1 - index].rejected_takeovers();
    deployment.engines[index].thaw();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    assert_all_events(&response.body);
    assert_eq!(rejected, 1);
}

/// The only engine dies and there is no backup. The response must not look complete.
#[tokio::test]
async fn stream_without_backup_ends_incomplete() {
    let deployment = deployment(1).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    deployment.wait_for_run().await;
    deployment.engines[0].crash();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert!(!response.complete);
    assert!(response.body.len() < 20 * EVENTS_PER_STREAM as usize);
    wait_until("the log names the request and the cause", || async {
        let lines = deployment.instance.log_lines_containing("stream ended");
        lines
            .iter()
            .any(|line| line.contains("\"r1\"") && line.contains("no copy"))
    })
    .await;
}

/// The events of a stream after the event with ID `last`.
fn events_after(last: u32) -> String {
    let events = (last + 1..=EVENTS_PER_STREAM)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    events.collect()
}

/// A caller reconnects with `last-event-id`. On a resumable route it receives the remaining
/// events; on other routes the header is ignored and it receives the complete stream.
#[tokio::test]
async fn last_event_id_is_honoured_only_on_resumable_routes() {
    let deployment = deployment(2).await;
    for (path, expected) in [("/tag/7", events_after(40)), ("/draft/7", events_after(0))] {
        let mut request = CallerRequest::new(path, path);
        request.extra.push(("last-event-id", "40"));
        let response = send_request(deployment.instance.caller_address, &request).await;
        let response = response.expect("the instance responds");
        assert_eq!(
            (response.status, response.complete),
            (StatusCode::OK, true),
            "{path}"
        );
        assert_eq!(response.body, expected, "{path}");
    }
}

/// The engine of a resumable stream dies and there is no copy of its KV cache. Another engine
/// must resume after the last delivered event, also if the caller itself resumed before.
#[tokio::test]
async fn resumable_stream_continues_without_backup() {
    let deployment = deployment(3).await;
    for (number, first) in [(1, 0), (2, 20)] {
        let caller_address = deployment.instance.caller_address;
        let stream = tokio::spawn(async move {
            let id = format!("r{number}");
            let mut request = CallerRequest::new(&id, "/tag/7");
            request.extra.push(("carawayhead-length-hint", "40"));
            if first > 0 {
                request.extra.push(("last-event-id", "20"));
            }
            send_request(caller_address, &request).await
        });
        let id = format!("r{number}");
        let index = deployment.wait_for_run_of(&id).await;
        deployment.engines[index].crash();
        let response = stream
            .await
            .expect("the task does not panic")
            .expect("the instance responds");
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
        assert_eq!(response.body, events_after(first));
    }
}

/// An engine dies after it accepted a resumable stream and before its first event. Another
/// engine must serve the stream from the start.
#[tokio::test]
async fn resumable_stream_restarts_before_its_first_event() {
    let deployment = slow_deployment(2, Duration::from_millis(400)).await;
    let caller_address = deployment.instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/tag/7")).await
    });
    wait_until("an engine has the run", || async {
        deployment
            .engines
            .iter()
            .any(|engine| !engine.executed_calls().is_empty())
    })
    .await;
    let index = deployment
        .engines
        .iter()
        .position(|engine| !engine.executed_calls().is_empty());
    deployment.engines[index.expect("an engine has the run")].crash();
    let response = stream
        .await
        .expect("the task does not panic")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    let events = (1..=3).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    assert_eq!(response.body, events.collect::<String>());
}
