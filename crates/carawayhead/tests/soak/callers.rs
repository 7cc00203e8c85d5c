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

/// Part of a prompt that crashes each engine that begins to write on it.
pub const FATAL_PART: &str = "bad";

/// Time for which most new connections go to the same instance, and their share.
const FOCUS_TIME: Duration = Duration::from_secs(2);
const FOCUS_SHARE: f64 = 0.8;

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

/// Sends prompts until `stop` is set, each on a new connection, most of them to one instance after another. A third
/// has the fatal part.
pub async fn repeat_prompts(
    seed: u64,
    addresses: Addresses,
    stop: watch::Receiver<bool>,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut count = 0_usize;
    let began = Instant::now();
    while !*stop.borrow() {
        sleep(Duration::from_millis(random.random_range(20..120))).await;
        let listening = addresses.borrow().clone();
        if listening.is_empty() {
            continue;
        }
        count += 1;
        let turn = began.elapsed().as_millis() / FOCUS_TIME.as_millis();
        let focus = usize::try_from(turn).unwrap_or(0) % listening.len();
        let any = random.random_range(0..listening.len());
        let index = if random.random_bool(FOCUS_SHARE) {
            focus
        } else {
            any
        };
        let other = if random.random_bool(0.3) {
            FATAL_PART
        } else {
            ["c1", "c2"][random.random_range(0..2)]
        };
        let id = format!("prompt-{seed}-{other}-{count}");
        let started = Instant::now();
        let response = send_prompt(listening[index], &id, other).await;
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

/// Sends a request whose prompt shares this part, and another one, with others.
pub async fn send_prompt(address: SocketAddr, id: &str, part: &str) -> Option<CallerResponse> {
    let prefix = format!("aa:800,{part}:400,1:20");
    let mut request = CallerRequest::new(id, ROUTE_PATHS[0]);
    request.body = id;
    request.deadline_ms = 3000;
    request.extra = vec![("carawayhead-prompt-prefix", &prefix)];
    send_request(address, &request).await
}

/// Sends requests until `stop` is set, and uses each connection until it ends.
pub async fn run_caller(
    number: usize,
    seed: u64,
    deadline: Duration,
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
        request.deadline_ms = u32::try_from(deadline.as_millis()).unwrap_or(u32::MAX);
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
