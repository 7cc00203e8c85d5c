//! Instances that stop while callers go on sending.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Engine, PlainService, Store,
        caller::{CallerRequest, CallerResponse, config, send_request},
        engine::SharedRuns,
        service::ServiceBehavior,
        store::StoreBehavior,
    },
    rustix::process::Signal,
    std::{
        ops::Range,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpSocket, TcpStream},
        task::JoinSet,
        time::sleep,
    },
};

/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Requests that are sent before the instance has to have exited.
const MAX_REQUESTS: usize = 1000;

/// Timeout of the routes, well below the grace period of an instance.
const ROUTE_TIMEOUT_MS: u32 = 3000;

/// A request, and what came of it.
struct Outcome {
    id: String,
    response: Option<CallerResponse>,
}

impl Outcome {
    fn is_answered(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| response.status == StatusCode::OK && response.complete)
    }

    /// Whether a whole response has come, whatever its status.
    fn is_complete(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| response.complete)
    }

    fn is_refused(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| {
            response.status == StatusCode::SERVICE_UNAVAILABLE && response.retry_after.is_some()
        })
    }
}

/// Stops the instance, and sends requests on new connections until its process has exited.
async fn send_until_exit(instance: &mut Instance, path: &'static str) -> Vec<Outcome> {
    instance.signal(Signal::TERM);
    let address = instance.caller_address;
    let mut sending = JoinSet::new();
    for number in 0..MAX_REQUESTS {
        sending.spawn(async move {
            let id = format!("r{number}");
            let mut request = CallerRequest::new(&id, path);
            // An engine makes so few tokens in far less time than these take.
            request.extra = vec![
                ("carawayhead-token-count", "100,60"),
                ("carawayhead-length-hint", "60"),
            ];
            let response = send_request(address, &request).await;
            Outcome { id, response }
        });
        sleep(REQUEST_INTERVAL).await;
        if let Some(status) = instance.exit_status() {
            assert!(status.success(), "{status}");
            return sending.join_all().await;
        }
    }
    panic!("the instance has not exited");
}

async fn store_with_config(route_timeout_ms: u32) -> Store {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], route_timeout_ms));
    store
}

/// A service that works for this time on each request.
async fn add_service(store: &Store, id: &str, work: Duration) -> PlainService {
    let service = PlainService::start(id).await;
    service.set_behavior(ServiceBehavior::Working(work));
    store.write_endpoint_entry(id, &service.entry("desk", "a", "ready"));
    service
}

/// Ids of the orders that a service has executed.
fn orders(service: &PlainService) -> Vec<String> {
    let calls = service.executed_calls();
    let orders = calls.iter().filter(|call| call.path.starts_with("/order/"));
    orders.map(|call| call.id().to_string()).collect()
}

/// Guards against a stopping instance that sends orders to services which work on them until after its exit.
#[tokio::test]
async fn orders_that_a_stopping_instance_sends_are_answered() {
    stop_beside_orders(StoreBehavior::Healthy).await;
}

/// Guards against the same while the store is away, which the instance tells that it stops.
#[tokio::test]
async fn orders_are_answered_by_an_instance_that_stops_while_the_store_is_away() {
    stop_beside_orders(StoreBehavior::Unresponsive).await;
    stop_beside_orders(StoreBehavior::Rejecting).await;
}

async fn stop_beside_orders(behavior: StoreBehavior) {
    let store = store_with_config(ROUTE_TIMEOUT_MS).await;
    let mut services = Vec::new();
    for id in ["d1", "d2", "d3", "d4", "d5", "d6"] {
        services.push(add_service(&store, id, Duration::from_millis(900)).await);
    }
    let mut instance = Instance::start("e1", "a", &store).await;
    store.set_behavior(behavior);
    let outcomes = send_until_exit(&mut instance, "/order/7").await;
    let mut executed = Vec::new();
    for service in &services {
        executed.extend(orders(service));
    }
    let find = |id: &String| outcomes.iter().find(|outcome| outcome.id == *id);
    let is_answered = |id: &String| find(id).is_some_and(Outcome::is_answered);
    let cut_off = executed.iter().filter(|id| !is_answered(id));
    assert_eq!(cut_off.collect::<Vec<_>>(), [""; 0]);
    assert!(executed.len() > 20, "{} orders ran", executed.len());
    let refused = outcomes.iter().filter(|outcome| outcome.is_refused());
    assert!(refused.count() > 0);
}

/// Guards against a stopping instance that begins streams which engines produce until after its exit.
#[tokio::test]
async fn streams_that_a_stopping_instance_begins_are_completed() {
    let store = store_with_config(ROUTE_TIMEOUT_MS).await;
    let runs = Arc::<SharedRuns>::default();
    let mut engines = Vec::new();
    for id in ["m1", "m2", "m3", "m4"] {
        let engine = Engine::start(&runs, id, 60, Duration::from_millis(25)).await;
        store.write_endpoint_entry(id, &engine.entry("model", "a", "ready"));
        engines.push(engine);
    }
    let mut instance = Instance::start("e1", "a", &store).await;
    let outcomes = send_until_exit(&mut instance, "/draft/7").await;
    let begun = outcomes.iter().filter(|outcome| {
        let response = outcome.response.as_ref();
        response.is_some_and(|response| response.status == StatusCode::OK)
    });
    let (complete, cut_off): (Vec<_>, Vec<_>) = begun.partition(|outcome| outcome.is_answered());
    let cut_off = cut_off.iter().map(|outcome| &outcome.id);
    assert_eq!(cut_off.collect::<Vec<_>>(), [""; 0]);
    assert!(complete.len() > 20, "{} streams", complete.len());
    let refused = outcomes.iter().filter(|outcome| outcome.is_refused());
    assert!(refused.count() > 0);
}

/// Timeout of routes whose requests may outlast the grace period of an instance.
const LONG_TIMEOUT_MS: u32 = 30_000;

/// Requests that wait for room at a service with as many slots as `RUNNING` beside them.
const QUEUED: usize = 4;
const RUNNING: usize = 6;

/// Guards against queued requests that a stopping instance holds although it could not complete them: they are free to
/// go elsewhere before those that run are answered.
#[tokio::test]
async fn queued_requests_that_may_outlast_a_stopping_instance_are_refused_at_once() {
    let store = store_with_config(LONG_TIMEOUT_MS).await;
    let service = add_service(&store, "d1", Duration::from_secs(4)).await;
    let instance = Instance::start("e1", "a", &store).await;
    let address = instance.caller_address;
    let mut sending = JoinSet::new();
    for number in 0..RUNNING + QUEUED {
        sending.spawn(async move {
            let id = format!("r{number}");
            let mut request = CallerRequest::new(&id, "/order/7");
            request.deadline_ms = LONG_TIMEOUT_MS;
            let response = send_request(address, &request).await;
            Outcome { id, response }
        });
    }
    wait_until("the service works on all that it has room for", || async {
        orders(&service).len() == RUNNING
    })
    .await;
    instance.signal(Signal::TERM);
    let mut outcomes = Vec::new();
    while let Some(outcome) = sending.join_next().await {
        outcomes.push(outcome.expect("no panic"));
    }
    let refused = outcomes.iter().take_while(|outcome| outcome.is_refused());
    assert_eq!(refused.count(), QUEUED);
    let answered = outcomes.iter().filter(|outcome| outcome.is_answered());
    assert_eq!(answered.count(), RUNNING);
    assert_eq!(orders(&service).len(), RUNNING);
}

/// Guards against requests whose connection is closed without a response when the instance exits: those that were sent
/// get one that does not claim that they have not run, and the others one that does.
#[tokio::test]
async fn requests_in_progress_at_the_exit_get_a_response() {
    let store = store_with_config(LONG_TIMEOUT_MS).await;
    let service = add_service(&store, "d1", Duration::from_mins(1)).await;
    let engine = Engine::start(&Arc::default(), "m1", 60, Duration::from_mins(1)).await;
    store.write_endpoint_entry("m1", &engine.entry("model", "a", "ready"));
    let mut instance = Instance::start("e1", "a", &store).await;
    let address = instance.caller_address;
    let mut sending = JoinSet::new();
    for path in ["/order/7", "/look/7", "/draft/7"] {
        sending.spawn(async move {
            let mut request = CallerRequest::new(path, path);
            request.deadline_ms = LONG_TIMEOUT_MS;
            let response = send_request(address, &request).await;
            (path, response.map(|response| response.status))
        });
    }
    let mut upload = TcpStream::connect(address).await.expect("accepted");
    let head = "POST /order/7 HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
                carawayhead-request-id: upload\r\ncontent-length: 4\r\n\r\nbo";
    let written = upload.write_all(head.as_bytes()).await;
    written.expect("written");
    wait_until("the requests are at their endpoints", || async {
        let calls = [service.executed_calls(), engine.executed_calls()].concat();
        let sent = calls.iter().filter(|call| call.id().starts_with('/'));
        sent.count() == 3
    })
    .await;
    instance.signal(Signal::TERM);
    let mut statuses = sending.join_all().await;
    statuses.sort();
    let broken = Some(StatusCode::BAD_GATEWAY);
    let expected = ["/draft/7", "/look/7", "/order/7"].map(|path| (path, broken));
    assert_eq!(statuses, expected);
    let mut response = String::new();
    let read = upload.read_to_string(&mut response).await;
    read.expect("the connection ends in order");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    wait_until_exit(&mut instance).await;
    let lines = instance.log_lines_containing("\"stopped\"");
    assert!(lines[0].contains("\"unanswered\":0"), "{lines:?}");
}

/// Guards against an instance that still waits for idle connections when its grace period is over.
#[tokio::test]
async fn short_grace_period_is_kept() {
    let store = store_with_config(LONG_TIMEOUT_MS).await;
    // Ended after the grace period, and before the time for idle connections is over.
    let service = add_service(&store, "d1", Duration::from_millis(2500)).await;
    let mut instance = Instance::start_with_grace("e1", "a", &store, 1.0).await;
    let address = instance.caller_address;
    let sending = tokio::spawn(async move {
        let mut request = CallerRequest::new("r1", "/order/7");
        request.deadline_ms = LONG_TIMEOUT_MS;
        send_request(address, &request).await
    });
    wait_until("the service has the order", || async {
        !orders(&service).is_empty()
    })
    .await;
    instance.signal(Signal::TERM);
    let response = sending.await.expect("no panic");
    let status = response.map(|response| response.status);
    assert_eq!(status, Some(StatusCode::BAD_GATEWAY));
    wait_until_exit(&mut instance).await;
}

/// Guards against requests that are cut off when a configuration takes their routes and services away.
#[tokio::test]
async fn requests_in_progress_outlast_their_routes() {
    let store = store_with_config(LONG_TIMEOUT_MS).await;
    let service = add_service(&store, "d1", Duration::from_secs(2)).await;
    let runs = Arc::<SharedRuns>::default();
    let engine = Engine::start(&runs, "m1", 40, Duration::from_millis(50)).await;
    store.write_endpoint_entry("m1", &engine.entry("model", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    let address = instance.caller_address;
    let mut sending = JoinSet::new();
    for path in ["/order/7", "/draft/7"] {
        sending.spawn(async move {
            let response = send_request(address, &CallerRequest::new(path, path)).await;
            let id = path.to_string();
            Outcome { id, response }
        });
    }
    wait_until("the requests are at their endpoints", || async {
        let calls = [service.executed_calls(), engine.executed_calls()].concat();
        let sent = calls.iter().filter(|call| call.id().starts_with('/'));
        sent.count() == 2
    })
    .await;
    let mut emptied = serde_json::from_str::<serde_json::Value>(&config(2, &["key-1"], 1000));
    let emptied = emptied.as_mut().expect("a configuration");
    emptied["routes"] = serde_json::json!([]);
    emptied["services"] = serde_json::json!([]);
    store.write_operator_record("config", &emptied.to_string());
    wait_until("the configuration is in force", || async {
        let request = CallerRequest::new("new", "/order/7");
        let response = send_request(address, &request).await;
        response.is_some_and(|response| response.status == StatusCode::NOT_FOUND)
    })
    .await;
    for outcome in sending.join_all().await {
        assert!(outcome.is_answered(), "{}", outcome.id);
    }
}

/// Size of a response that fits into no buffer between an instance and its caller.
const LARGE_RESPONSE_BYTES: usize = 6 << 20;

/// How long its caller pauses: longer than an instance without requests takes to exit, and shorter than its grace period.
const READ_PAUSE: Duration = Duration::from_millis(4500);

/// Guards against an instance that exits while a caller is still reading its response.
#[tokio::test]
async fn response_that_is_read_slowly_is_written_before_the_exit() {
    let store = store_with_config(ROUTE_TIMEOUT_MS).await;
    let service = PlainService::start("d1").await;
    service.set_behavior(ServiceBehavior::Large(LARGE_RESPONSE_BYTES));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let mut instance = Instance::start("e1", "a", &store).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    let set = socket.set_recv_buffer_size(64 << 10);
    set.expect("the buffer can be set");
    let mut stream = socket.connect(instance.caller_address).await;
    let stream = stream.as_mut().expect("accepted");
    let head = "POST /order/7 HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
                carawayhead-request-id: slow\r\ncontent-length: 4\r\n\r\nbody";
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("written");
    let mut buffer = vec![0; 64 << 10];
    let mut received = stream.read(&mut buffer).await.expect("read");
    assert!(buffer.starts_with(b"HTTP/1.1 200"));
    instance.signal(Signal::TERM);
    sleep(READ_PAUSE).await;
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(error) => panic!("{error} after {received} bytes"),
        }
    }
    assert!(received > LARGE_RESPONSE_BYTES, "{received}");
    wait_until_exit(&mut instance).await;
    let lines = instance.log_lines_containing("\"stopped\"");
    assert!(lines[0].contains("\"unanswered\":0"), "{lines:?}");
}

/// Grace period of an instance, after which the platform kills it.
const GRACE: Duration = Duration::from_secs(8);

/// Deadline of orders that an instance still accepts shortly before its grace period ends.
const SHORT_DEADLINE_MS: u32 = 500;

/// How long a service works on one of them.
const SHORT_WORK: Duration = Duration::from_millis(300);

/// Stops an instance and sends it orders until it is killed at the end of its grace period. Returns the ids of those
/// that were executed and not answered. `pauses` are times after SIGTERM in which the instance is paused.
async fn orders_cut_off_beside_pauses(pauses: &[Range<Duration>]) -> Vec<String> {
    let store = store_with_config(ROUTE_TIMEOUT_MS).await;
    let mut services = Vec::new();
    for id in ["d1", "d2", "d3", "d4", "d5", "d6"] {
        services.push(add_service(&store, id, SHORT_WORK).await);
    }
    let mut instance = Instance::start("e1", "a", &store).await;
    let address = instance.caller_address;
    let mut was_paused = false;
    let mut pause_if_due = |instance: &Instance, since: Duration| {
        let is_paused = pauses.iter().any(|pause| pause.contains(&since));
        if std::mem::replace(&mut was_paused, is_paused) != is_paused {
            instance.signal(if is_paused {
                Signal::STOP
            } else {
                Signal::CONT
            });
        }
        is_paused
    };
    pause_if_due(&instance, Duration::ZERO);
    instance.signal(Signal::TERM);
    let stopped_at = Instant::now();
    let mut sending = JoinSet::new();
    for number in 0..MAX_REQUESTS {
        sleep(REQUEST_INTERVAL).await;
        if stopped_at.elapsed() >= GRACE || instance.exit_status().is_some() {
            break;
        }
        if pause_if_due(&instance, stopped_at.elapsed()) {
            continue;
        }
        sending.spawn(async move {
            let id = format!("r{number}");
            let mut request = CallerRequest::new(&id, "/order/7");
            request.deadline_ms = SHORT_DEADLINE_MS;
            let response = send_request(address, &request).await;
            Outcome { id, response }
        });
    }
    if instance.exit_status().is_none() {
        instance.signal(Signal::KILL);
    }
    let outcomes = sending.join_all().await;
    let executed = services.iter().flat_map(orders).collect::<Vec<_>>();
    assert!(executed.len() > 50, "{} orders ran", executed.len());
    let complete = |id: &String| {
        let mut outcomes = outcomes.iter();
        outcomes.any(|outcome| outcome.id == *id && outcome.is_complete())
    };
    executed.into_iter().filter(|id| !complete(id)).collect()
}

/// Guards against an instance that counts its grace period from when its event loop finds the signal: it accepts orders
/// until after the end, when it is killed.
#[tokio::test]
async fn grace_period_counts_from_a_signal_that_is_found_late() {
    let pause = Duration::ZERO..Duration::from_secs(2);
    let cut_off = orders_cut_off_beside_pauses(&[pause]).await;
    assert_eq!(cut_off, [""; 0]);
}

/// Guards against an instance whose event loop stalls now and then, and that accepts orders which a stall as long as the
/// last one leaves without a response until it is killed.
#[tokio::test]
async fn orders_are_accepted_only_if_a_stall_leaves_them_time() {
    let second = Duration::from_secs(1);
    let pauses = [3 * second..4 * second, 7 * second..9 * second];
    let cut_off = orders_cut_off_beside_pauses(&pauses).await;
    assert_eq!(cut_off, [""; 0]);
}

/// How long an instance whose last log line is written still runs, at least.
const LAST_MOMENTS: Duration = Duration::from_millis(10);

/// Guards against a caller whose connection is accepted as the instance exits, and closed without a response.
#[tokio::test]
async fn connections_are_refused_in_the_last_moments_of_an_instance() {
    let store = store_with_config(ROUTE_TIMEOUT_MS).await;
    let mut instance = Instance::start("e1", "a", &store).await;
    instance.signal(Signal::TERM);
    let poll_interval = Duration::from_millis(1);
    let is_running = |instance: &mut Instance| instance.exit_status().is_none();
    while is_running(&mut instance) && instance.log_lines_containing("\"stopped\"").is_empty() {
        sleep(poll_interval).await;
    }
    sleep(LAST_MOMENTS).await;
    let connected = TcpStream::connect(instance.caller_address).await;
    assert!(connected.is_err(), "{connected:?}");
    wait_until_exit(&mut instance).await;
}

async fn wait_until_exit(instance: &mut Instance) {
    for _ in 0..MAX_REQUESTS {
        if let Some(status) = instance.exit_status() {
            assert!(status.success(), "{status}");
            return;
        }
        sleep(REQUEST_INTERVAL).await;
    }
    panic!("the instance has not exited");
}
