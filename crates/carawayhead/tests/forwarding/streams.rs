//! Generations that outlive their engine.

use {
    crate::instance::{Instance, until},
    http::StatusCode,
    platform::standin::{
        Engine, Store,
        caller::{CallerRequest, config, send_request},
        engine::SharedRuns,
    },
    std::{sync::Arc, time::Duration},
};

const EVENTS: u32 = 120;

struct Deployment {
    engines: Vec<Engine>,
    instance: Instance,
    store: Store,
    world: Arc<SharedRuns>,
}

async fn deployment(engines: usize) -> Deployment {
    deployment_of(engines, EVENTS, Duration::from_millis(15)).await
}

/// One whose streams have three events, `gap` apart.
async fn slow_deployment(engines: usize, gap: Duration) -> Deployment {
    deployment_of(engines, 3, gap).await
}

async fn deployment_of(engines: usize, events: u32, gap: Duration) -> Deployment {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 30_000));
    let world = Arc::default();
    let mut started = Vec::new();
    for number in 1..=engines {
        let id = format!("m{number}");
        let engine = Engine::start(&world, &id, events, gap).await;
        store.write_endpoint_entry(&id, &engine.entry("model", "a", "ready"));
        started.push(engine);
    }
    let instance = Instance::start("e1", "a", &store).await;
    Deployment {
        engines: started,
        instance,
        store,
        world,
    }
}

impl Deployment {
    /// Waits until an engine serves the request with an id, and returns its place.
    async fn serving(&self, id: &str) -> usize {
        let place = || {
            self.engines.iter().position(|engine| {
                let ran = engine.executed_calls();
                ran.iter()
                    .any(|call| call.header("carawayhead-request-id") == Some(id))
            })
        };
        until("an engine has the run", || async { place().is_some() }).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        place().expect("an engine with the run")
    }

    /// Waits until an engine has the run, and returns its place.
    async fn running_at(&self) -> usize {
        until("an engine has the run", || async {
            self.engines
                .iter()
                .any(|engine| !engine.executed_calls().is_empty())
        })
        .await;
        // Some events are to be out before something happens to the engine.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let place = self
            .engines
            .iter()
            .position(|engine| !engine.executed_calls().is_empty());
        place.expect("an engine with the run")
    }
}

/// Every event once and in order, and nothing else.
fn assert_whole(body: &str) {
    let events = (1..=EVENTS).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    assert_eq!(body, events.collect::<String>());
}

/// An engine says that it leaves, or its entry just vanishes; it works on for a moment and
/// is gone. The caller's report must go on at the engine that holds a copy, with no event
/// missing, doubled or late, and no two engines at work on it for long.
#[tokio::test]
async fn a_stream_goes_on_when_its_engine_leaves() {
    for vanishes in [false, true] {
        let deployment = deployment(3).await;
        let callers = deployment.instance.callers;
        let stream = tokio::spawn(async move {
            send_request(callers, &CallerRequest::new("r1", "/draft/7")).await
        });
        let place = deployment.running_at().await;
        let id = format!("m{}", place + 1);
        let entry = deployment.engines[place].leaving_entry("model", "a");
        deployment
            .store
            .write_endpoint_entry(&id, if vanishes { "" } else { &entry });
        until("another engine has the run", || async {
            let others = deployment.engines.iter().enumerate();
            let mut others = others.filter(|(other, _)| *other != place);
            others.any(|(_, engine)| !engine.executed_calls().is_empty())
        })
        .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.engines[place].crash();
        let got = stream.await.expect("a task").expect("an answer");
        assert_eq!(
            (got.status, got.complete),
            (StatusCode::OK, true),
            "{vanishes}"
        );
        assert_whole(&got.body);
        assert!(deployment.world.max_engines_per_run() <= 2);
    }
}

/// An engine dies without a word in the middle of a report. The copy that was made while
/// the run went on is all that is left of it.
#[tokio::test]
async fn a_stream_goes_on_when_its_engine_dies() {
    let deployment = deployment(3).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/draft/7")).await },
        );
    let place = deployment.running_at().await;
    deployment.engines[place].crash();
    let got = stream.await.expect("a task").expect("an answer");
    assert_eq!((got.status, got.complete), (StatusCode::OK, true));
    assert_whole(&got.body);
    let takeovers = deployment.instance.lines_with("\"takeover\"");
    assert!(!takeovers.is_empty());
}

/// The way to an engine is cut without a reset: its events just stop. The engine with the
/// copy is asked long before the silence itself would be taken for a loss, so that the
/// caller sees no late event.
#[tokio::test]
async fn a_stream_whose_engine_falls_quiet_goes_on_at_its_copy() {
    let deployment = deployment(3).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/draft/7")).await },
        );
    let place = deployment.running_at().await;
    deployment.engines[place].freeze();
    let got = stream.await.expect("a task").expect("an answer");
    assert_eq!((got.status, got.complete), (StatusCode::OK, true));
    assert_whole(&got.body);
    let takeovers = deployment.instance.lines_with("\"takeover\"");
    assert!(
        takeovers.iter().any(|line| line.contains("\"quiet\"")),
        "{takeovers:?}"
    );
}

/// An engine leaves, the one with the copy of its run is asked to go on, and a partition
/// swallows the answer: it has begun. No third engine has room. Left alone, both go on to the
/// end, and a stream that cannot be repeated has run twice. The one that can be reached has to
/// stop; it holds the run's memory, and the caller's stream goes on there, whole.
#[tokio::test]
async fn a_run_stops_when_another_engine_may_be_at_work_on_it() {
    let deployment = deployment(2).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/draft/7")).await },
        );
    let place = deployment.running_at().await;
    let other = &deployment.engines[1 - place];
    other.drop_responses();
    let engine = &deployment.engines[place];
    let id = format!("m{}", place + 1);
    let entry = engine.leaving_entry("model", "a");
    deployment.store.write_endpoint_entry(&id, &entry);
    until("the engine has gone on with what it stopped", || async {
        let ran = engine.executed_calls();
        ran.iter().any(|call| call.header("kv-from").is_some())
    })
    .await;
    assert_eq!(other.executed_calls().len(), 1);
    let got = stream.await.expect("a task").expect("an answer");
    assert_eq!((got.status, got.complete), (StatusCode::OK, true));
    assert_whole(&got.body);
}

/// A partition parts a stream from its engine for some seconds, and the engine with its
/// copy is dead. The stream's connection has not broken, so what its engine made comes late
/// once it is heard of again, and the caller has its whole answer.
#[tokio::test]
async fn a_stream_waits_for_its_engine_when_the_copy_is_dead() {
    let deployment = deployment(3).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/draft/7")).await },
        );
    let place = deployment.running_at().await;
    let sent = deployment.instance.lines_with("\"sent\"");
    let holder = (0..3).find(|engine| sent[0].contains(&format!("\"copy\":\"m{}\"", engine + 1)));
    deployment.engines[holder.expect("a copy")].crash();
    deployment.engines[place].freeze();
    until("the stream waits", || async {
        !deployment
            .instance
            .lines_with("waits for its engine")
            .is_empty()
    })
    .await;
    deployment.engines[place].thaw();
    let got = stream.await.expect("a task").expect("an answer");
    assert_eq!((got.status, got.complete), (StatusCode::OK, true));
    assert_whole(&got.body);
}

/// The only engine dies, and there is no copy. What the caller has must not look whole.
#[tokio::test]
async fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let deployment = deployment(1).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/draft/7")).await },
        );
    deployment.running_at().await;
    deployment.engines[0].crash();
    let got = stream.await.expect("a task").expect("an answer");
    assert!(!got.complete);
    assert!(got.body.len() < 20 * EVENTS as usize);
    until("the log names the request and the cause", || async {
        let lines = deployment.instance.lines_with("stream ended");
        lines
            .iter()
            .any(|line| line.contains("\"r1\"") && line.contains("no copy"))
    })
    .await;
}

/// The events of a stream behind one of them.
fn events_behind(last: u32) -> String {
    let events =
        (last + 1..=EVENTS).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    events.collect()
}

/// A caller whose connection broke comes back to another instance with the last event that
/// it has. Where streams can be resumed it gets what follows; elsewhere its word counts for
/// nothing, and it gets the whole stream.
#[tokio::test]
async fn a_caller_resumes_its_stream_where_that_is_allowed() {
    let deployment = deployment(2).await;
    for (path, expected) in [
        ("/tag/7", events_behind(40)),
        ("/draft/7", events_behind(0)),
    ] {
        let mut request = CallerRequest::new(path, path);
        request.extra.push(("last-event-id", "40"));
        let got = send_request(deployment.instance.callers, &request).await;
        let got = got.expect("an answer");
        assert_eq!((got.status, got.complete), (StatusCode::OK, true), "{path}");
        assert_eq!(got.body, expected, "{path}");
    }
}

/// The engine of a resumable stream dies, and no copy of its memory was kept, since few
/// tokens are expected or memory is short. Another engine can begin behind the last event
/// that the caller has, also one that the caller itself had named before.
#[tokio::test]
async fn a_resumable_stream_goes_on_without_a_copy() {
    let deployment = deployment(3).await;
    for (number, first) in [(1, 0), (2, 20)] {
        let callers = deployment.instance.callers;
        let stream = tokio::spawn(async move {
            let id = format!("r{number}");
            let mut request = CallerRequest::new(&id, "/tag/7");
            request.extra.push(("carawayhead-length-hint", "40"));
            if first > 0 {
                request.extra.push(("last-event-id", "20"));
            }
            send_request(callers, &request).await
        });
        let id = format!("r{number}");
        let place = deployment.serving(&id).await;
        deployment.engines[place].crash();
        let got = stream.await.expect("a task").expect("an answer");
        assert_eq!((got.status, got.complete), (StatusCode::OK, true));
        assert_eq!(got.body, events_behind(first));
    }
}

/// The engine dies after it took a resumable stream's request and before the first event.
/// Nothing has reached the caller, so another engine serves it from the start; the caller
/// notices a longer wait.
#[tokio::test]
async fn a_resumable_stream_begins_again_before_its_first_event() {
    let deployment = slow_deployment(2, Duration::from_millis(400)).await;
    let callers = deployment.instance.callers;
    let stream =
        tokio::spawn(
            async move { send_request(callers, &CallerRequest::new("r1", "/tag/7")).await },
        );
    until("an engine has the run", || async {
        deployment
            .engines
            .iter()
            .any(|engine| !engine.executed_calls().is_empty())
    })
    .await;
    let place = deployment
        .engines
        .iter()
        .position(|engine| !engine.executed_calls().is_empty());
    deployment.engines[place.expect("an engine")].crash();
    let got = stream.await.expect("a task").expect("an answer");
    assert_eq!((got.status, got.complete), (StatusCode::OK, true));
    let events = (1..=3).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    assert_eq!(got.body, events.collect::<String>());
}
