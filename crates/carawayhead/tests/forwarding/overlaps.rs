//! Streams that two engines run for a moment while they move.

use {
    crate::instance::{Instance, wait_until},
    platform::standin::{
        Store,
        caller::{CallerRequest, CallerResponse, config, send_request},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const EVENTS: u32 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// How long the next engine takes from the head of its answer to its first event or its loss.
const LOSS_DELAY: Duration = Duration::from_millis(30);
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(200);

/// How long after that head the previous engine sends its next block without an id.
const LATE_DELAY: Duration = Duration::from_millis(120);

const HEAD: &str = "HTTP/1.1 200 OK\r\ncarawayhead-request-id: r1\r\n\
                    carawayhead-response-seal: seal\r\n\r\n";
const FIRST: &str = "data: first\n\n";
const LATE: &str = "data: late\n\n";

/// What the engine does that takes the run over while the previous one goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// Closes its connection before its first event.
    Closes,
    /// Resets its connection before its first event.
    Resets,
    /// Goes on, slowly; some blocks of the stream have no id.
    GoesOn,
}

/// The run, as its engines see it.
#[derive(Debug)]
struct Run {
    next: Next,
    /// Number of the engine that began it, from one; zero before.
    began_at: AtomicUsize,
    has_next: AtomicBool,
    is_stopped: AtomicBool,
    /// Requests to continue it, by the number of the engine and the handle.
    continued: Mutex<Vec<(usize, String)>>,
}

impl Run {
    fn record_continued(&self, number: usize, handle: &str) {
        let mut continued = self.continued.lock().expect("not poisoned");
        continued.push((number, handle.to_string()));
    }
}

async fn start_engine(run: Arc<Run>, number: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&run), number));
        }
    });
    address
}

/// Reads a request, in lower case.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok()?;
        request.extend_from_slice(&buffer[..count]);
        let has_body = !request.ends_with(b"\r\n\r\n") || request.starts_with(b"GET");
        if count == 0 {
            return None;
        }
        if has_body && request.windows(4).any(|part| part == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&request).to_ascii_lowercase());
        }
    }
}

/// Answers one request. Sending fails if the instance has closed the connection.
async fn serve(mut stream: TcpStream, run: Arc<Run>, number: usize) -> Option<()> {
    let request = read_request(&mut stream).await?;
    let header = |name: &str| {
        let mut lines = request.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    };
    if request.starts_with("post /draft") {
        let Some(source) = header("kv-from") else {
            run.began_at.store(number, Ordering::Relaxed);
            return begin(&mut stream, &run).await;
        };
        let handle = source.rsplit('/').next().unwrap_or_default();
        let last = header("last-event-id").and_then(|last| last.parse().ok());
        run.record_continued(number, handle);
        return go_on(&mut stream, &run, handle, last.unwrap_or_default()).await;
    }
    let is_move = request.starts_with("post /v1/kv-move");
    let body = match is_move {
        true if request.contains("\"last\":true") => {
            run.is_stopped.store(true, Ordering::Relaxed);
            r#"{"handle":"stopped","createRev":1}"#
        }
        true => r#"{"handle":"copied","createRev":1}"#,
        false => "{}",
    };
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    write(&mut stream, &answer).await
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

/// Begins the run, and ends it once it is stopped.
async fn begin(stream: &mut TcpStream, run: &Run) -> Option<()> {
    write(stream, HEAD).await?;
    if run.next == Next::GoesOn {
        write(stream, FIRST).await?;
    }
    let mut overlap = Duration::ZERO;
    for number in 1..=EVENTS {
        sleep(EVENT_INTERVAL).await;
        if run.is_stopped.load(Ordering::Relaxed) {
            return None;
        }
        if run.has_next.load(Ordering::Relaxed) {
            let is_late = overlap >= LATE_DELAY;
            overlap += EVENT_INTERVAL;
            if run.next == Next::GoesOn && !is_late && overlap >= LATE_DELAY {
                write(stream, LATE).await?;
            }
        }
        write(stream, &event(number)).await?;
    }
    Some(())
}

/// Goes on with the run after an event, from the copy with this handle.
async fn go_on(stream: &mut TcpStream, run: &Run, handle: &str, last: u32) -> Option<()> {
    if !["copied", "stopped"].contains(&handle) {
        let answer = "HTTP/1.1 503 Service Unavailable\r\ncarawayhead-request-id: r1\r\n\
                      carawayhead-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
        return write(stream, answer).await;
    }
    write(stream, HEAD).await?;
    if handle == "copied" {
        run.has_next.store(true, Ordering::Relaxed);
        match run.next {
            Next::Closes | Next::Resets => {
                sleep(LOSS_DELAY).await;
                if run.next == Next::Resets {
                    stream.set_zero_linger().ok()?;
                }
                return None;
            }
            Next::GoesOn => {
                sleep(FIRST_EVENT_DELAY).await;
                write(stream, LATE).await?;
            }
        }
    }
    for number in last + 1..=EVENTS {
        sleep(EVENT_INTERVAL).await;
        write(stream, &event(number)).await?;
    }
    Some(())
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

fn all_events() -> String {
    (1..=EVENTS).map(event).collect()
}

/// Has a stream move from its engine, which is leaving; returns the handles from which it was continued.
async fn move_stream(next: Next) -> (CallerResponse, Vec<String>) {
    let moved = move_stream_among(3, next, Cause::Leaves).await;
    let handles = moved.continued.into_iter().map(|(_, handle)| handle);
    (moved.response, handles.collect())
}

/// Why a stream has to move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// Its engine is leaving.
    Leaves,
    /// Its engine is leaving, in a failure domain that is disabled.
    LeavesDisabledDomain,
}

/// What came of a stream that had to move.
struct Moved {
    began_at: usize,
    /// Engines that were asked to continue it, with the handles.
    continued: Vec<(usize, String)>,
    response: CallerResponse,
}

/// Has a stream move among as many engines, each in a failure domain of its own.
async fn move_stream_among(engines: usize, next: Next, cause: Cause) -> Moved {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 10_000));
    let run = Arc::new(Run {
        next,
        began_at: AtomicUsize::default(),
        has_next: AtomicBool::default(),
        is_stopped: AtomicBool::default(),
        continued: Mutex::default(),
    });
    let mut addresses = Vec::new();
    let write_entry = |number: usize, address: SocketAddr, state: &str| {
        let entry = serde_json::json!({
            "address": address.to_string(), "coldRemainingMs": 0, "sequence": 1,
            "service": "model", "slots": 8, "state": state, "version": "v1",
            "zone": format!("z{number}"),
        });
        store.write_endpoint_entry(&format!("m{number}"), &entry.to_string());
    };
    for number in 1..=engines {
        let address = start_engine(Arc::clone(&run), number).await;
        write_entry(number, address, "ready");
        addresses.push(address);
    }
    let instance = Instance::start_with_features("e1", "a", &store, &["move_room"]).await;
    let caller_address = instance.caller_address;
    let stream = tokio::spawn(async move {
        send_request(caller_address, &CallerRequest::new("r1", "/draft/7")).await
    });
    let began_at = || run.began_at.load(Ordering::Relaxed);
    wait_until("an engine has the run", || async { began_at() > 0 }).await;
    sleep(Duration::from_millis(100)).await;
    if cause == Cause::LeavesDisabledDomain {
        store.set_domain(&format!("z{}", began_at()), true);
        wait_until("the domain is disabled", || async {
            let lines = instance.log_lines_containing("failure domain set");
            !lines.is_empty()
        })
        .await;
    }
    write_entry(began_at(), addresses[began_at() - 1], "draining");
    let response = stream.await.expect("the task does not panic");
    let continued = run.continued.lock().expect("not poisoned").clone();
    Moved {
        began_at: began_at(),
        continued,
        response: response.expect("the instance responds"),
    }
}

/// Guards against a stream that goes on at its own engine after its failure domain was disabled: it was stopped there, since
/// the only other engine was lost as it took over.
#[tokio::test]
async fn stopped_stream_does_not_go_on_in_a_disabled_domain() {
    let moved = move_stream_among(2, Next::Resets, Cause::LeavesDisabledDomain).await;
    let asked = moved.continued.iter().map(|(engine, _)| *engine);
    let asked = asked.collect::<Vec<_>>();
    assert!(!asked.is_empty());
    assert!(!asked.contains(&moved.began_at), "{:?}", moved.continued);
    assert!(!moved.response.complete);
}

/// The engine that takes a run over is lost after the head of its answer, while the previous engine still sends
/// events. The stream must not be lost with it.
#[tokio::test]
async fn stream_outlives_the_loss_of_its_next_engine_before_the_first_event() {
    for next in [Next::Closes, Next::Resets] {
        let (response, continued) = move_stream(next).await;
        assert!(
            continued.iter().any(|handle| handle == "copied"),
            "{next:?}: {continued:?}"
        );
        assert!(response.complete, "{next:?}: {continued:?}");
        assert_eq!(response.body, all_events(), "{next:?}: {continued:?}");
    }
}

/// Blocks without an id cannot be told apart, so that those of two engines at once would reach the caller twice.
#[tokio::test]
async fn blocks_without_id_come_from_one_engine_while_a_stream_moves() {
    let (response, continued) = move_stream(Next::GoesOn).await;
    assert!(
        continued.iter().any(|handle| handle == "copied"),
        "{continued:?}"
    );
    assert!(response.complete, "{continued:?}");
    let late = response.body.matches(LATE).count();
    assert_eq!(late, 1, "{}", response.body);
    let numbered = response.body.replace(FIRST, "").replace(LATE, "");
    assert_eq!(numbered, all_events());
}
