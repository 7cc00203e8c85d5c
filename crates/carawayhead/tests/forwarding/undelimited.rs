//! Answers without a length or chunks, which end with their connection.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Store,
        caller::{CallerRequest, CallerResponse, config, is_ready, send_request},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::sleep,
    },
};

/// How an endpoint ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// In order, with a FIN.
    Close,
    /// With a reset, as a crashed process does.
    Reset,
}

/// Answers each request with these bytes and the end of the connection; returns the address.
async fn start_endpoint(body: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, body, end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, body: &str, end: End) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\nbody") {
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
        "HTTP/1.1 200 OK\r\ncarawayhead-request-id: {}\r\ncarawayhead-response-seal: seal\r\n\r\n",
        id.unwrap_or_default()
    );
    // Fails if the instance has given up.
    let _sent = stream.write_all(format!("{head}{body}").as_bytes()).await;
    if end == End::Reset {
        // What was written before a reset may be lost, and is to be read first.
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        stream.set_zero_linger().expect("the connection is open");
    }
}

/// Sends a request to an instance whose only endpoint answers so.
async fn response_to(path: &str, body: &'static str, end: End) -> CallerResponse {
    response_of(path, &[("a", body, end)]).await
}

/// Sends a request to an instance whose endpoints, in these failure domains, answer so. Its own domain is "a".
async fn response_of(path: &str, endpoints: &[(&str, &'static str, End)]) -> CallerResponse {
    let store = Store::start().await;
    let config = config(1, &["key-1"], 3000);
    store.write_operator_record(
        "config",
        &config.replace(r#""service":"desk""#, r#""service":"model""#),
    );
    for (domain, body, end) in endpoints {
        let address = start_endpoint(body, *end).await;
        let entry = serde_json::json!({
            "address": address.to_string(), "coldRemainingMs": 0, "sequence": 1,
            "service": "model", "slots": 8, "state": "ready", "version": "v1", "zone": domain,
        });
        store.write_endpoint_entry(&format!("m-{domain}"), &entry.to_string());
    }
    let instance = Instance::start_without_waiting("e1", "a", &store).await;
    wait_until("the instance is ready", || async {
        is_ready(instance.readiness_address).await
    })
    .await;
    let response = send_request(instance.caller_address, &CallerRequest::new("r1", path)).await;
    response.expect("the instance responds")
}

/// An answer of unknown length that its endpoint closes in order is whole. Taken for a break, it would not reach its
/// caller.
#[tokio::test]
async fn answers_that_end_with_their_connection_are_complete() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (path, body) in [
        ("/order/7", "done"),
        ("/look/7", ""),
        ("/draft/7", events),
        ("/tag/7", events),
    ] {
        let response = response_to(path, body, End::Close).await;
        let received = (response.status, response.complete, response.body.as_str());
        assert_eq!(received, (StatusCode::OK, true, body), "{path}");
    }
}

/// A stream is closed inside an event, with a FIN, where nothing else shows that it was broken off.
#[tokio::test]
async fn streams_that_end_inside_an_event_are_not_complete() {
    for end in [End::Close, End::Reset] {
        let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
        let response = response_to("/draft/7", body, end).await;
        let received = (response.status, response.complete, response.body.as_str());
        assert_eq!(
            received,
            (StatusCode::OK, false, "id: 1\ndata: a\n\n"),
            "{end:?}"
        );
    }
}

/// An engine is lost before it has completed the first event of a stream, which may look like an empty one.
#[tokio::test]
async fn streams_that_end_before_their_first_event_are_failures() {
    for end in [End::Close, End::Reset] {
        for body in ["", "id: 1\nda", "id: 1\ndata: a\n"] {
            let response = response_to("/draft/7", body, end).await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{end:?} {body:?}");
        }
    }
}

/// A reset between two events, or within a plain answer, is a break.
#[tokio::test]
async fn answers_whose_connections_are_reset_are_not_complete() {
    let event = "id: 1\ndata: a\n\n";
    let response = response_to("/draft/7", event, End::Reset).await;
    assert_eq!(
        (response.status, response.complete),
        (StatusCode::OK, false)
    );
    for path in ["/order/7", "/look/7"] {
        let response = response_to(path, "do", End::Reset).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{path}");
    }
}

/// A stream goes on at another engine, which is lost before its next event. That must not look like the end of the
/// stream.
#[tokio::test]
async fn streams_that_are_lost_again_after_a_takeover_are_not_complete() {
    let event = "id: 1\ndata: a\n\n";
    for end in [End::Close, End::Reset] {
        let endpoints = [("a", event, End::Reset), ("b", "", end)];
        let response = response_of("/tag/7", &endpoints).await;
        let received = (response.status, response.complete, response.body.as_str());
        assert_eq!(received, (StatusCode::OK, false, event), "{end:?}");
    }
}

/// Starts an engine whose streams make no progress after their first event. When it is asked to stop one, it closes that
/// in order, answers later, and a stream that goes on from the copy gets the rest.
async fn start_stalled_engine(stop: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_stalled(stream, Arc::clone(&stop)));
        }
    });
    address
}

async fn serve_stalled(mut stream: TcpStream, stop: Arc<Notify>) {
    let mut request = vec![0; 4096];
    let Ok(count) = stream.read(&mut request).await else {
        return;
    };
    let request = String::from_utf8_lossy(&request[..count]).to_ascii_lowercase();
    let with_length = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let stream_head = "HTTP/1.1 200 OK\r\ncarawayhead-request-id: r1\r\n\
                       carawayhead-response-seal: seal\r\n\r\n";
    let is_move = request.starts_with("post /v1/kv-move");
    let is_stream = request.starts_with("post /draft");
    let answer = if is_move {
        stop.notify_waiters();
        sleep(Duration::from_millis(300)).await;
        with_length(r#"{"handle":"h","createRev":1}"#)
    } else if is_stream && request.contains("\r\nkv-from: ") {
        format!("{stream_head}id: 2\ndata: b\n\n")
    } else if is_stream {
        format!("{stream_head}id: 1\ndata: a\n\n")
    } else {
        with_length("{}")
    };
    // Fails if the instance has given up.
    let _sent = stream.write_all(answer.as_bytes()).await;
    if is_stream && !request.contains("\r\nkv-from: ") {
        stop.notified().await;
    }
}

/// An engine closes a stream that it was asked to stop as it does one that has come to its end. The rest must follow
/// from the copy; a stream that ends there must not look complete.
#[tokio::test]
async fn streams_that_end_at_a_stop_are_not_complete() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 10_000));
    let stop = Arc::new(Notify::new());
    for id in ["m1", "m2"] {
        let address = start_stalled_engine(Arc::clone(&stop)).await;
        let entry = serde_json::json!({
            "address": address.to_string(), "coldRemainingMs": 0, "sequence": 1,
            "service": "model", "slots": 8, "state": "ready", "version": "v1", "zone": "a",
        });
        store.write_endpoint_entry(id, &entry.to_string());
    }
    let instance = Instance::start("e1", "a", &store).await;
    let request = CallerRequest::new("r1", "/draft/7");
    let response = send_request(instance.caller_address, &request).await;
    let response = response.expect("the instance responds");
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!((response.complete, response.body.as_str()), (true, events));
}
