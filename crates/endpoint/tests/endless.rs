//! Responses without end, read by the client from servers that write until their connection closes.

use {
    bytes::Bytes,
    endpoint::{Client, Error, client::Reply, sse::EventSplitter},
    http::Request,
    http_body_util::Full,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::oneshot,
        time::timeout,
    },
};

/// Size limit of a body in these tests, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Bytes after which a server that is still read fails the test. The client's buffers and those of the loopback
/// connection take a few mebibytes.
const MAX_WRITTEN_BYTES: usize = 64 << 20;

/// Time within which each response has to end, on a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const OK: &str = "HTTP/1.1 200 OK\r\n";
const OK_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server that answers one request with `start`, and then with `part` over and over until its connection closes.
struct Endless {
    address: String,
    written: oneshot::Receiver<usize>,
}

impl Endless {
    async fn start(start: &'static str, part: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let (sender, written) = oneshot::channel();
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("the client connects");
            let written = write_until_closed(stream, start, part).await;
            // Fails if the test has ended.
            let _told = sender.send(written);
        });
        Self { address, written }
    }
}

/// Returns the number of bytes written until the connection closed.
async fn write_until_closed(mut stream: TcpStream, start: &str, part: &str) -> usize {
    let mut request = [0; 4096];
    let read = stream.read(&mut request).await;
    assert!(read.expect("the request can be read") > 0);
    let repeated = part.repeat(8192_usize.div_ceil(part.len()));
    let mut written = start.len();
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() && written < MAX_WRITTEN_BYTES {
        sent = stream.write_all(repeated.as_bytes()).await;
        written += repeated.len();
    }
    written
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", "server");
    request.body(Full::default()).expect("a valid request")
}

async fn body_of(client: &Client, address: &str) -> Result<Bytes, Error> {
    let reply = client.send(address, request()).await?;
    reply.read_body(MAX_BODY_BYTES).await
}

/// Reads a response that ends in an error, and waits until its connection is closed.
async fn error_of(start: &'static str, part: &'static str) -> Error {
    let server = Endless::start(start, part).await;
    let client = Client::new(WAIT_TIMEOUT);
    let read = timeout(WAIT_TIMEOUT, body_of(&client, &server.address)).await;
    let error = read.expect("the response ends").expect_err("it has no end");
    let written = timeout(WAIT_TIMEOUT, server.written).await;
    let written = written
        .expect("the connection closes")
        .expect("the server ends");
    assert!(written < MAX_WRITTEN_BYTES, "{error}: {written} bytes read");
    error
}

/// Guards against a response without end that holds its request, and that counts as a crash of the server, for which the
/// request would be blamed.
#[tokio::test]
async fn responses_without_end_are_invalid() {
    for (start, part) in [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551614\r\n\r\n",
            "x",
        ),
        (CHUNKED, "6;x=y\r\nfiller\r\n"),
        (OK, "x-filler: filler\r\n"),
        (OK, "x"),
        ("", "x"),
        ("", "\r\n"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ("", "HTTP/1.1 100 Continue\r\nx-filler: filler\r\n\r\n"),
        (CHUNKED, "0"),
        (CHUNKED, "1"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5",
            " ",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
            "x",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "x-filler: filler\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-filler: ",
            "x",
        ),
    ] {
        let error = error_of(start, part).await;
        let what = format!("{start:?}, {part:?}: {error:?}");
        assert!(matches!(error, Error::Invalid(_)), "{what}");
        assert!(!error.is_break_of_endpoint(), "{what}");
        assert!(!error.unwritten(), "{what}");
    }
}

/// Guards against a body without end that fills the memory.
#[tokio::test]
async fn bodies_without_end_are_too_large() {
    for (start, part) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "filler"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 4611686018427387904\r\n\r\n",
            "filler",
        ),
        (CHUNKED, "6\r\nfiller\r\n"),
    ] {
        let error = error_of(start, part).await;
        assert!(matches!(error, Error::TooLarge), "{start:?}: {error:?}");
        assert!(!error.is_break_of_endpoint(), "{start:?}");
    }
}

/// Reads events until the first error.
async fn read_events(mut reply: Reply) -> Error {
    let mut splitter = EventSplitter::default();
    loop {
        let chunk = match reply.chunk().await {
            Ok(chunk) => chunk.expect("the stream has no end"),
            Err(error) => return error,
        };
        if let Err(error) = splitter.feed(chunk) {
            return error;
        }
    }
}

/// Guards against an event without end that fills the memory.
#[tokio::test]
async fn events_without_end_are_too_large() {
    for part in ["x", "data: x\n"] {
        let server = Endless::start("HTTP/1.1 200 OK\r\n\r\n", part).await;
        let client = Client::new(WAIT_TIMEOUT);
        let reply = client.send(&server.address, request()).await;
        let read = read_events(reply.expect("the head is complete"));
        let error = timeout(WAIT_TIMEOUT, read)
            .await
            .expect("the event is cut off");
        assert!(matches!(error, Error::TooLarge), "{error:?}");
        let written = timeout(WAIT_TIMEOUT, server.written).await;
        let written = written
            .expect("the connection closes")
            .expect("the server ends");
        assert!(written < MAX_WRITTEN_BYTES, "{written}");
    }
}

/// Guards against bytes after a complete response that are taken for the response to the next request.
#[tokio::test]
async fn connections_with_bytes_after_a_response_are_not_used_again() {
    let start = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let server = Endless::start(start, start).await;
    let client = Client::new(WAIT_TIMEOUT);
    let body = body_of(&client, &server.address).await;
    assert_eq!(body.expect("the first response is complete"), "ok");
    let written = timeout(WAIT_TIMEOUT, server.written).await;
    let written = written
        .expect("the connection closes")
        .expect("the server ends");
    assert!(written < MAX_WRITTEN_BYTES, "{written}");
}

/// Guards against a limit on what carries no data that ends long responses in small chunks.
#[tokio::test]
async fn long_responses_in_small_chunks_are_read_to_their_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 4096];
        let read = stream.read(&mut request).await;
        assert!(read.expect("the request can be read") > 0);
        let chunks = "1\r\nx\r\n".repeat(1 << 10);
        let mut written = stream.write_all(CHUNKED.as_bytes()).await;
        for _ in 0..1 << 10 {
            written = written.and(stream.write_all(chunks.as_bytes()).await);
        }
        written = written.and(stream.write_all(b"0\r\n\r\n").await);
        written.expect("the client reads to the end");
    });
    let client = Client::new(WAIT_TIMEOUT);
    let body = timeout(WAIT_TIMEOUT, body_of(&client, &address)).await;
    let body = body.expect("the response ends").expect("it is complete");
    assert_eq!(body.len(), 1 << 20);
}

/// Guards against a server that is lost in the middle of a response and does not count as broken.
#[tokio::test]
async fn connections_that_close_inside_a_response_are_broken() {
    for start in [
        OK,
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        CHUNKED,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address").to_string();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut request = [0; 4096];
            let read = stream.read(&mut request).await;
            assert!(read.expect("the request can be read") > 0);
            let written = stream.write_all(start.as_bytes()).await;
            written.expect("the client reads");
        });
        let client = Client::new(WAIT_TIMEOUT);
        let error = body_of(&client, &address).await.expect_err("it is cut off");
        assert!(error.is_break_of_endpoint(), "{start:?}: {error:?}");
    }
}

/// Guards against a body without end of which a caller's budget counts less than is allocated.
#[tokio::test]
async fn blocks_of_a_body_take_no_more_than_was_agreed_to() {
    const BUDGET: usize = 512 << 10;
    for (start, part) in [
        (OK_UNTIL_CLOSE, "x"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n", "x"),
        (CHUNKED, "6\r\nfiller\r\n"),
    ] {
        let server = Endless::start(start, part).await;
        let client = Client::new(WAIT_TIMEOUT);
        let reply = client.send(&server.address, request()).await;
        let reply = reply.expect("the head is read");
        let allocated = std::cell::Cell::new(0);
        let asked = std::cell::Cell::new(0);
        let takes = |bytes: usize| {
            asked.set(asked.get() + 1);
            if allocated.get() + bytes > BUDGET {
                return false;
            }
            allocated.set(allocated.get() + bytes);
            true
        };
        let read = timeout(WAIT_TIMEOUT, reply.read_blocks(MAX_BODY_BYTES, takes)).await;
        read.expect("the response ends").expect_err("it has no end");
        assert!(allocated.get() > BUDGET / 2, "{part}: {}", allocated.get());
        assert!(asked.get() < BUDGET >> 10, "{part}: {}", asked.get());
    }
}
