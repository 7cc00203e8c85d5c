//! Bytes without end, from endpoints and from callers.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Store,
        caller::{CallerRequest, config, is_ready, send_request},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Bytes after which an endpoint or caller stops that is still read, so that the test fails.
const MAX_WRITTEN_BYTES: usize = 256 << 20;

/// Time within which everything has to end, on a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Placeholder for the id of the request in the start of a response.
const ID: &str = "{id}";

/// An endpoint that answers each request with the same bytes over and over.
struct Endless {
    address: SocketAddr,
    /// Connections that are still written to.
    open: Arc<AtomicUsize>,
    /// Requests that were read.
    requests: Arc<AtomicUsize>,
}

impl Endless {
    /// Answers with `start`, and with `part` until the connection is closed.
    async fn start(start: &'static str, part: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        let open = Arc::<AtomicUsize>::default();
        let requests = Arc::<AtomicUsize>::default();
        let (writers, readers) = (Arc::clone(&open), Arc::clone(&requests));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (writers, readers) = (Arc::clone(&writers), Arc::clone(&readers));
                tokio::spawn(async move {
                    let Some((stream, id)) = read_request(stream).await else {
                        return;
                    };
                    readers.fetch_add(1, Ordering::Relaxed);
                    writers.fetch_add(1, Ordering::Relaxed);
                    write_until_closed(stream, &start.replace(ID, &id), part).await;
                    writers.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self {
            address,
            open,
            requests,
        }
    }
}

/// Reads a request with the body "body"; returns its id.
async fn read_request(mut stream: TcpStream) -> Option<(TcpStream, String)> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\nbody") {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => request.extend_from_slice(&buffer[..count]),
        }
    }
    let request = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("carawayhead-request-id: "));
    Some((stream, id.unwrap_or_default().to_string()))
}

async fn write_until_closed(mut stream: TcpStream, start: &str, part: &str) {
    let repeated = part.repeat(8192_usize.div_ceil(part.len()));
    let mut written = 0;
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() && written < MAX_WRITTEN_BYTES {
        sent = stream.write_all(repeated.as_bytes()).await;
        written += repeated.len();
    }
    assert!(written < MAX_WRITTEN_BYTES, "{start:?}, {part:?}");
}

async fn start_instance(endpoint: SocketAddr) -> (Store, Instance) {
    let store = Store::start().await;
    let config = config(1, &["key-1"], 4000);
    store.write_operator_record(
        "config",
        &config.replace(r#""service":"desk""#, r#""service":"model""#),
    );
    let entry = serde_json::json!({
        "address": endpoint.to_string(), "coldRemainingMs": 0, "sequence": 1,
        "service": "model", "slots": 8, "state": "ready", "version": "v1", "zone": "a",
    });
    store.write_endpoint_entry("m1", &entry.to_string());
    let limits = "memory_mb = 88";
    let instance = Instance::start_with_limits("e1", "a", store.address, limits).await;
    wait_until("the instance is ready", || async {
        is_ready(instance.readiness_address).await
    })
    .await;
    (store, instance)
}

/// Largest memory that the instance has used, in kibibytes.
fn peak_memory_kb(instance: &Instance) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", instance.pid()));
    let status = status.expect("the process runs");
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.split_whitespace().next());
    let peak = peak.and_then(|peak| peak.parse().ok());
    peak.expect("the kernel tells the peak")
}

/// Sends a request to an endpoint that answers so; returns the status and whether the response is complete.
async fn response_to(
    path: &str,
    start: &'static str,
    part: &'static str,
) -> Option<(StatusCode, bool)> {
    let endpoint = Endless::start(start, part).await;
    let (_store, mut instance) = start_instance(endpoint.address).await;
    let request = CallerRequest::new("r1", path);
    let response = timeout(
        WAIT_TIMEOUT,
        send_request(instance.caller_address, &request),
    )
    .await;
    let response = response.expect("the request ends");
    let what = format!("{path}, {start:?}, {part:?}");
    wait_until("the connections to the endpoint are closed", || async {
        endpoint.open.load(Ordering::Relaxed) == 0
    })
    .await;
    assert!(endpoint.requests.load(Ordering::Relaxed) > 0, "{what}");
    for line in [
        "connection to endpoint broke",
        "counts against",
        "is refused",
    ] {
        let lines = instance.log_lines_containing(line);
        assert!(lines.is_empty(), "{what}: {lines:?}");
    }
    assert_eq!(instance.exit_status(), None, "{what}");
    let peak = peak_memory_kb(&instance);
    assert!(peak < 88 << 10, "{what}: {peak}");
    response.map(|response| (response.status, response.complete))
}

const OK: &str =
    "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\n";
const BODY: &str =
    "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\n\r\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against a response without end that takes the memory, counts as a crash of its endpoint and so against its
/// request, or is reported as a request that has not run.
#[tokio::test]
async fn responses_without_end_are_reported_as_broken() {
    for path in ["/order/7", "/draft/7"] {
        for (start, part) in [
            (OK, "x-filler: filler\r\n"),
            (OK, "x"),
            ("", "HTTP/1.1 102 Processing\r\n\r\n"),
            ("", "x"),
            (BODY, "x"),
            (CHUNKS, "0"),
            (CHUNKS, "6\r\nfiller\r\n"),
        ] {
            let response = response_to(path, start, part).await;
            // The time limit may come before the size limit of a body in small chunks.
            let expected = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
            let is_expected = response.is_some_and(|(status, complete)| {
                complete && expected[..=usize::from(part.starts_with('6'))].contains(&status)
            });
            assert!(is_expected, "{path}, {start:?}, {part:?}: {response:?}");
        }
    }
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\n\r\nid: 1\ndata: a\n\n";
const CHUNKED_STREAM: &str = "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\r\n";

/// Guards against a stream that is made to look complete after an event, trailers or a chunk size without end.
#[tokio::test]
async fn streams_without_end_are_cut_off() {
    for (start, part) in [(STREAM, "x"), (CHUNKED_STREAM, "0"), (CHUNKED_STREAM, "x")] {
        let response = response_to("/draft/7", start, part).await;
        let expected = Some((StatusCode::OK, false));
        assert_eq!(response, expected, "{start:?}, {part:?}");
    }
}

/// Guards against a caller that holds memory or a connection with a request without end.
#[tokio::test]
async fn requests_without_end_are_refused() {
    let endpoint = Endless::start("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncarawayhead-request-id: {id}\r\ncarawayhead-response-seal: seal\r\n\r\nok", "x").await;
    let (_store, mut instance) = start_instance(endpoint.address).await;
    let head = "POST /order/7 HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
         carawayhead-request-id: r1\r\n";
    let chunks = format!("{head}transfer-encoding: chunked\r\n\r\n");
    for (start, part, statuses) in [
        ("", "x", &["400", "414", "431"][..]),
        ("", "\r\n", &["400", "431", ""]),
        (head, "x", &["400", "431"]),
        (head, "x-filler: filler\r\n", &["431"]),
        (chunks.as_str(), "0", &["400", ""]),
        (chunks.as_str(), "6\r\nfiller\r\n", &["413"]),
        (chunks.as_str(), "6;x=y\r\nfiller\r\n", &["400", "413"]),
        (&format!("{chunks}5;"), "x", &["400"]),
        (&format!("{chunks}5"), " ", &["400", ""]),
        (&format!("{chunks}0\r\n"), "x-filler: filler\r\n", &["400"]),
    ] {
        let stream = TcpStream::connect(instance.caller_address).await;
        let (mut reader, mut writer) = stream.expect("the instance accepts").into_split();
        let reading = tokio::spawn(async move {
            let mut response = Vec::new();
            // A reset follows where bytes are unread.
            let _ended = reader.read_to_end(&mut response).await;
            String::from_utf8_lossy(&response).into_owned()
        });
        let repeated = part.repeat(8192_usize.div_ceil(part.len()));
        let mut written = 0;
        let mut sent = writer.write_all(start.as_bytes()).await;
        while sent.is_ok() && written < MAX_WRITTEN_BYTES {
            sent = writer.write_all(repeated.as_bytes()).await;
            written += repeated.len();
        }
        let what = format!("{start:?}, {part:?}");
        assert!(written < MAX_WRITTEN_BYTES, "{what}");
        let response = timeout(WAIT_TIMEOUT, reading).await;
        let response = response.expect("the connection ends").expect("read");
        let status = response.split(' ').nth(1).unwrap_or_default();
        // A reset may overtake the response.
        assert!(
            status.is_empty() || statuses.contains(&status),
            "{what}: {response}"
        );
    }
    assert_eq!(endpoint.requests.load(Ordering::Relaxed), 0);
    assert_eq!(instance.exit_status(), None);
    let peak = peak_memory_kb(&instance);
    assert!(peak < 88 << 10, "{peak}");
    let request = CallerRequest::new("r2", "/order/7");
    let response = send_request(instance.caller_address, &request).await;
    let response = response.expect("the instance responds");
    assert_eq!(
        (response.status, response.body.as_str()),
        (StatusCode::OK, "ok")
    );
}
