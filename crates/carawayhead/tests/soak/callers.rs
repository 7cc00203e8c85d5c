//! Callers that send requests in sequence and record the responses.

use {
    crate::deployment::EVENTS_PER_STREAM,
    platform::standin::caller::{CallerRequest, CallerResponse, Session, send_request},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
};

const ROUTE_PATHS: [&str; 3] = ["/draft/x", "/look/x", "/order/x"];

/// Body of a request that crashes each engine that runs it.
pub const FATAL_BODY: &str = "fatal";

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Record {
    pub started: Instant,
    pub ended: Instant,
    /// `None` if the connection ended before a response.
    pub response: Option<CallerResponse>,
    pub id: String,
    pub key: &'static str,
    pub path: &'static str,
}

/// Current caller addresses of the instances.
pub type Addresses = watch::Receiver<Vec<SocketAddr>>;

/// Sends a request that crashes engines until `stop` is set, to any instance.
pub async fn repeat_fatal_request(
    seed: u64,
    addresses: Addresses,
    stop: watch::Receiver<bool>,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut count = 0_u32;
    while !*stop.borrow() {
        sleep(Duration::from_millis(random.random_range(100..400))).await;
        let listening = addresses.borrow().clone();
        if listening.is_empty() {
            continue;
        }
        count += 1;
        let id = format!("fatal-{count}");
        let mut request = CallerRequest::new(&id, ROUTE_PATHS[0]);
        request.body = FATAL_BODY;
        request.deadline_ms = 3000;
        let address = listening[random.random_range(0..listening.len())];
        let started = Instant::now();
        let response = send_request(address, &request).await;
        records.lock().expect("not poisoned").push(Record {
            started,
            ended: Instant::now(),
            response,
            id,
            key: "key-1",
            path: ROUTE_PATHS[0],
        });
    }
}

/// Sends requests until `stop` is set, and uses each connection until it ends.
pub async fn run_caller(
    number: usize,
    seed: u64,
    addresses: Addresses,
    stop: watch::Receiver<bool>,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let mut random = SmallRng::seed_from_u64(seed ^ (number as u64 + 1));
    let mut session = None::<Session>;
    let mut count = 0_u32;
    while !*stop.borrow() {
        if session.is_none() {
            let listening = addresses.borrow().clone();
            if listening.is_empty() {
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            session = Session::open(listening[random.random_range(0..listening.len())]).await;
        }
        let open = match &mut session {
            Some(session) => session.is_open().await,
            None => false,
        };
        if !open {
            session = None;
            sleep(Duration::from_millis(10)).await;
            continue;
        }
        count += 1;
        let id = format!("c{number}-{count}");
        let key = ["key-1", "key-2"][random.random_range(0..2)];
        let path = ROUTE_PATHS[random.random_range(0..ROUTE_PATHS.len())];
        let mut request = CallerRequest::new(&id, path);
        request.key = key;
        request.deadline_ms = 3000;
        let started = Instant::now();
        let response = match &mut session {
            Some(session) => session.send(&request).await,
            None => None,
        };
        if response.as_ref().is_none_or(|response| !response.complete) {
            session = None;
        }
        let ended = Instant::now();
        records.lock().expect("not poisoned").push(Record {
            started,
            ended,
            response,
            id,
            key,
            path,
        });
        sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// Checks that the events of a stream arrived once and in order, and all of them if the
/// response is complete.
pub fn check_events(record: &Record, response: &CallerResponse) -> Result<(), String> {
    let ids = response
        .body
        .split("\n\n")
        .filter(|event| event.ends_with(|end: char| end.is_ascii_digit()));
    let numbers = ids.filter_map(|event| {
        let line = event.lines().find(|line| line.starts_with("id: "))?;
        line[4..].parse::<u32>().ok()
    });
    let numbers = numbers.collect::<Vec<_>>();
    let expected_len = if response.complete {
        EVENTS_PER_STREAM as usize
    } else {
        numbers.len()
    };
    let expected = (1..=u32::try_from(expected_len).unwrap_or(u32::MAX)).collect::<Vec<_>>();
    // The last event of an incomplete stream may be truncated.
    let truncated = !response.complete
        && numbers.len() > 1
        && numbers[..numbers.len() - 1] == expected[..expected.len() - 1];
    if numbers == expected || truncated {
        return Ok(());
    }
    Err(format!(
        "{}: events {numbers:?}, complete: {}",
        record.id, response.complete
    ))
}
