//! Callers and endpoints that read slowly, at an instance of little memory.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Store,
        caller::{CallerRequest, config, is_ready, send_request},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// Memory of the instance, in mebibytes.
const MEMORY_MB: usize = 88;

/// The same where answers without end are read.
const LARGE_MEMORY_MB: usize = 110;

/// The most of it that may be held for callers and endpoints.
const MAX_BUFFER_MB: usize = 44;

/// Number of callers that read nothing; `SLOW_READERS` sets another.
const SLOW_READERS: usize = 150;

/// Events of a stream whose caller reads nothing, and their size: more than the buffers of its connections take.
const LARGE_EVENTS: usize = 2048;
const LARGE_EVENT_BYTES: usize = 1024;

/// Events of a stream whose caller reads them, and how often they come.
const SOUND_EVENTS: usize = 200;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which everything has to end, on a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Size of a body that an endpoint cannot take in without reading it.
const LARGE_BODY_BYTES: usize = 9 << 20;

/// Answers each request by its path; returns the address.
async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    address
}

async fn answer(mut stream: TcpStream) {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => request.extend_from_slice(&buffer[..count]),
        }
    }
    let request = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let mut lines = request.lines();
    let id = lines.find_map(|line| line.strip_prefix("carawayhead-request-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {}\r\ncarawayhead-response-seal: seal\r\n",
        id.unwrap_or_default()
    );
    // Fails if the instance has closed the connection.
    let _ended = match request.split(' ').nth(1).unwrap_or_default() {
        "/draft/large" => write_events(stream, &head, LARGE_EVENTS, LARGE_EVENT_BYTES).await,
        "/draft/sound" => write_events(stream, &head, SOUND_EVENTS, 100).await,
        "/order/slow" => read_slowly(stream).await,
        "/look/large" => write_large(stream, &head).await,
        path if ENDLESS_BODIES.iter().any(|(endless, ..)| *endless == path) => {
            write_without_end(stream, &head, path).await
        }
        "/draft/invalid" => write_large(stream, &head.replace("200 OK", "400 Bad Request")).await,
        _ => {
            let answer = format!("{head}content-length: 2\r\nconnection: close\r\n\r\nok");
            stream.write_all(answer.as_bytes()).await
        }
    };
}

async fn write_events(
    mut stream: TcpStream,
    head: &str,
    count: usize,
    bytes: usize,
) -> std::io::Result<()> {
    stream.write_all(format!("{head}\r\n").as_bytes()).await?;
    let filler = "x".repeat(bytes);
    for number in 1..=count {
        let event = format!("id: {number}\ndata: {filler}\n\n");
        stream.write_all(event.as_bytes()).await?;
        if bytes < LARGE_EVENT_BYTES {
            sleep(EVENT_INTERVAL).await;
        }
    }
    Ok(())
}

async fn write_large(mut stream: TcpStream, head: &str) -> std::io::Result<()> {
    let head = format!("{head}content-length: {LARGE_BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; LARGE_BODY_BYTES]).await
}

/// Writes a body of one kind until the connection is closed.
async fn write_without_end(mut stream: TcpStream, head: &str, path: &str) -> std::io::Result<()> {
    let mut bodies = ENDLESS_BODIES.iter();
    let body = bodies.find(|(endless, ..)| *endless == path);
    let (_, start, part) = body.expect("a kind of body");
    stream
        .write_all(format!("{head}{start}").as_bytes())
        .await?;
    let repeated = part.repeat(REPEATED_BYTES.div_ceil(part.len()));
    loop {
        stream.write_all(repeated.as_bytes()).await?;
    }
}

/// Reads a byte a second until the connection is closed.
async fn read_slowly(mut stream: TcpStream) -> std::io::Result<()> {
    while stream.read_u8().await.is_ok() {
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn start_instance(timeout_ms: u32) -> (Store, Instance) {
    start_instance_with(timeout_ms, &["m1"], &format!("memory_mb = {MEMORY_MB}")).await
}

/// An instance with these limits, and these endpoints.
async fn start_instance_with(
    timeout_ms: u32,
    endpoints: &[&str],
    limits: &str,
) -> (Store, Instance) {
    let store = Store::start().await;
    let config = test_config(timeout_ms);
    store.write_operator_record("config", &config);
    for id in endpoints {
        let entry = serde_json::json!({
            "address": start_endpoint().await.to_string(), "coldRemainingMs": 0, "sequence": 1,
            "service": "model", "slots": 5000, "state": "ready", "version": "v1", "zone": "a",
        });
        store.write_endpoint_entry(id, &entry.to_string());
    }
    let instance = Instance::start_with_limits("e1", "a", store.address, limits).await;
    wait_until("the instance is ready", || async {
        is_ready(instance.readiness_address).await
    })
    .await;
    (store, instance)
}

/// The configuration of an instance whose requests all go to one service.
fn test_config(timeout_ms: u32) -> String {
    config(1, &["key-1"], timeout_ms)
        .replace(r#""service":"desk""#, r#""service":"model""#)
        .replace(r#""maxConnections":100"#, r#""maxConnections":5000"#)
        .replace(r#""maxBodyBytes":4096"#, r#""maxBodyBytes":10000000"#)
        .replace(
            r#""kvCapacityTokens":34000"#,
            r#""kvCapacityTokens":99000000"#,
        )
        .replace(r#""coldPerS":100.0"#, r#""coldPerS":100000.0"#)
        .replace(r#""slots":48"#, r#""slots":5000"#)
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

/// Asks for a stream and reads nothing of it; `None` if the instance accepts no more connections.
async fn read_nothing(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(address).await.ok()?;
    let request = format!(
        "POST /draft/large HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n\
         carawayhead-request-id: slow-{number}\r\ncarawayhead-token-count: 300,90\r\n\
         content-length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    Some(stream)
}

/// Guards against callers that read nothing and together cost the instance its memory, or a sound caller its stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_nothing_lose_only_their_own_streams() {
    let slow_readers = std::env::var("SLOW_READERS").ok();
    let slow_readers = slow_readers.and_then(|count| count.parse().ok());
    let (_store, mut instance) = start_instance(100_000).await;
    let address = instance.caller_address;
    let sound = tokio::spawn(async move {
        let mut request = CallerRequest::new("sound", "/draft/sound");
        request.deadline_ms = 100_000;
        send_request(address, &request).await
    });
    wait_until("the sound stream has begun", || async {
        !instance.log_lines_containing("\"sent\"").is_empty()
    })
    .await;
    let mut slow = Vec::new();
    for number in 0..slow_readers.unwrap_or(SLOW_READERS) {
        let stream = read_nothing(address, number).await;
        slow.extend(stream.map(|stream| (number, stream)));
    }
    wait_until("a slow caller has lost its stream", || async {
        !instance
            .log_lines_containing("response is let go")
            .is_empty()
    })
    .await;
    let response = timeout(WAIT_TIMEOUT, sound).await.expect("the stream ends");
    let response = response
        .expect("it is read")
        .expect("the instance responds");
    assert_eq!((response.status, response.complete), (StatusCode::OK, true));
    let events = response.body.matches("\n\n").count();
    assert_eq!(events, SOUND_EVENTS);
    let lines = instance.log_lines_containing("response is let go");
    assert!(
        lines.iter().all(|line| line.contains("\"slow-")),
        "{lines:?}"
    );
    assert_eq!(instance.exit_status(), None);
    let peak = peak_memory_kb(&instance);
    println!(
        "{} slow readers, {} let go, peak of {peak} KiB",
        slow.len(),
        lines.len()
    );
    assert!(peak < MEMORY_MB << 10, "{peak}");
    // A stream that is let go must not look complete.
    let (_, stream) = slow
        .iter_mut()
        .find(|(number, _)| lines[0].contains(&format!("\"slow-{number}\"")))
        .expect("its caller is connected");
    let mut received = Vec::new();
    // Its connection may end with a reset.
    let _ended = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received)).await;
    assert!(!received.ends_with(b"0\r\n\r\n"));
}

/// Guards against a server that reads a byte a second and holds its request past its time, or blocks others.
#[tokio::test]
async fn requests_to_a_server_that_reads_slowly_end_in_time() {
    let (_store, mut instance) = start_instance(2000).await;
    let address = instance.caller_address;
    let slow = tokio::spawn(async move {
        let body = "x".repeat(LARGE_BODY_BYTES);
        let mut request = CallerRequest::new("slow", "/order/slow");
        request.body = &body;
        send_request(address, &request).await
    });
    wait_until("the request is sent", || async {
        !instance.log_lines_containing("\"sent\"").is_empty()
    })
    .await;
    let response = send_request(address, &CallerRequest::new("r2", "/order/7")).await;
    let response = response.expect("the instance responds");
    assert_eq!(
        (response.status, response.body.as_str()),
        (StatusCode::OK, "ok")
    );
    let response = timeout(WAIT_TIMEOUT, slow).await.expect("the request ends");
    let response = response
        .expect("it is sent")
        .expect("the instance responds");
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(
        instance
            .log_lines_containing("connection to endpoint broke")
            .is_empty()
    );
    assert_eq!(instance.exit_status(), None);
}

/// Guards against request bodies that take the memory of the instance.
#[tokio::test]
async fn request_bodies_are_refused_when_memory_is_short() {
    let (_store, mut instance) = start_instance(10_000).await;
    let address = instance.caller_address;
    let body = "x".repeat(LARGE_BODY_BYTES);
    let sends = (0..8).map(|number| {
        let body = body.clone();
        tokio::spawn(async move {
            let id = format!("slow-{number}");
            let mut request = CallerRequest::new(&id, "/order/slow");
            request.body = &body;
            send_request(address, &request).await
        })
    });
    let mut refused = 0;
    for send in sends.collect::<Vec<_>>() {
        let response = timeout(WAIT_TIMEOUT, send).await.expect("the request ends");
        // A reset may overtake the response to a body that is not read further.
        let Some(response) = response.expect("it is sent") else {
            continue;
        };
        let is_refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(is_refused || response.status == StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(response.retry_after.is_some(), is_refused);
        refused += usize::from(is_refused);
    }
    let lines = instance.log_lines_containing("out_of_memory");
    assert!(!lines.is_empty() && refused <= lines.len(), "{lines:?}");
    assert_eq!(instance.exit_status(), None);
    let peak = peak_memory_kb(&instance);
    assert!(peak < MEMORY_MB << 10, "{peak}");
}

/// Guards against a shortage of memory at the instance that is taken for a failure of the endpoint, and runs the request
/// again elsewhere.
#[tokio::test]
async fn responses_for_which_memory_is_short_end_their_requests() {
    let limits = format!("memory_mb = {MEMORY_MB}\nbuffer_mb = 4");
    let (_store, mut instance) = start_instance_with(10_000, &["m1", "m2"], &limits).await;
    for (id, path) in [("plain", "/look/large"), ("stream", "/draft/invalid")] {
        let request = CallerRequest::new(id, path);
        let response = send_request(instance.caller_address, &request).await;
        let response = response.expect("the instance responds");
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}");
        let lines = instance.log_lines_containing("\"sent\"");
        let sent = lines
            .iter()
            .filter(|line| line.contains(&format!("\"{id}\"")));
        assert_eq!(sent.count(), 1, "{path}: {lines:?}");
    }
    wait_until("both are logged", || async {
        instance.log_lines_containing("given up").len() >= 2
    })
    .await;
    let lines = instance.log_lines_containing("given up");
    let short = lines.iter().filter(|line| line.contains("out_of_memory"));
    assert_eq!((short.count(), lines.len()), (2, 2), "{lines:?}");
    assert_eq!(instance.exit_status(), None);
}

/// What comes before the part that a server repeats without end, after its status line and the headers of its answer.
const ENDLESS_BODIES: [(&str, &str, &str); 4] = [
    ("/look/close", "connection: close\r\n\r\n", "x"),
    ("/look/length", "content-length: 99999999999\r\n\r\n", "x"),
    (
        "/look/chunks",
        "transfer-encoding: chunked\r\n\r\n",
        "6\r\nfiller\r\n",
    ),
    ("/draft/line", "\r\n", "x"),
];

/// Size of what a server writes at once, over and over.
const REPEATED_BYTES: usize = 256 << 10;

/// Index of the route of orders in the configuration.
const ORDER_ROUTE: usize = 2;

/// Callers of answers without end, and sound ones beside them.
const ENDLESS_CALLERS: usize = 200;
const BESIDE_CALLERS: usize = 40;

/// Guards against answers whose bodies do not end, which together cost the instance its memory, or other callers their answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_without_end_cost_only_their_own_callers() {
    for (path, ..) in ENDLESS_BODIES {
        read_without_end(path).await;
    }
}

/// Has many callers ask for an answer without end, and others for sound ones beside them.
async fn read_without_end(path: &'static str) {
    let limits = format!("memory_mb = {LARGE_MEMORY_MB}\nbuffer_mb = {MAX_BUFFER_MB}");
    let (store, mut instance) = start_instance_with(8000, &["m1"], &limits).await;
    let mut config = serde_json::from_str::<serde_json::Value>(&test_config(8000));
    let config = config.as_mut().expect("the configuration is JSON");
    config["version"] = 2.into();
    config["routes"][ORDER_ROUTE]["service"] = "desk".into();
    store.write_operator_record("config", &config.to_string());
    let entry = serde_json::json!({
        "address": start_endpoint().await.to_string(), "coldRemainingMs": 0, "sequence": 1,
        "service": "desk", "slots": 48, "state": "ready", "version": "v1", "zone": "a",
    });
    store.write_endpoint_entry("d1", &entry.to_string());
    let address = instance.caller_address;
    wait_until("orders are answered by their own service", || async {
        let response = send_request(address, &CallerRequest::new("r0", "/order/7")).await;
        let lines = instance.log_lines_containing("\"sent\"");
        let is_there = lines.iter().any(|line| line.contains("\"d1\""));
        is_there && response.is_some_and(|response| response.status == StatusCode::OK)
    })
    .await;
    let endless = (0..ENDLESS_CALLERS).map(|number| {
        tokio::spawn(async move {
            let id = format!("endless-{number}");
            send_request(address, &CallerRequest::new(&id, path)).await
        })
    });
    let endless = endless.collect::<Vec<_>>();
    wait_until("answers are read", || async {
        instance.log_lines_containing("\"sent\"").len() >= ENDLESS_CALLERS / 2
    })
    .await;
    let mut refused = Vec::new();
    for number in 0..BESIDE_CALLERS {
        let id = format!("beside-{number}");
        let response = send_request(address, &CallerRequest::new(&id, "/order/7")).await;
        let response = response.expect("the instance responds");
        if (response.status, response.body.as_str()) != (StatusCode::OK, "ok") {
            refused.push((id, response.status));
        }
    }
    for endless in endless {
        let response = timeout(WAIT_TIMEOUT, endless).await;
        let response = response.expect("the request ends").expect("it is sent");
        let complete =
            response.is_some_and(|response| response.complete && response.status == StatusCode::OK);
        assert!(!complete);
    }
    let peak = peak_memory_kb(&instance);
    println!("{path}: peak of {peak} KiB");
    assert_eq!(instance.exit_status(), None);
    assert!(refused.is_empty(), "{path}: {refused:?}");
    assert!(peak < LARGE_MEMORY_MB << 10, "{path}: {peak}");
}
