//! Responses of servers that stop within the head, read by the client.

use {
    bytes::Bytes,
    endpoint::{Client, Error, client::Reply},
    http::Request,
    http_body_util::Full,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Size limit of a body in these tests, in bytes.
const MAX_BODY_BYTES: usize = 1 << 10;

/// Time within which each response has to end, on a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a client has to read what a reset would take away.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// A response on a connection that is kept.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Heads that differ in what delimits the body, and in what stands before them.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nseal: whole\r\n\r\n",
    "HTTP/1.1 200 OK\r\nseal: whole\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nseal: whole\r\n\r\n",
    "HTTP/1.1 200 OK\r\nseal: whole\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\nseal: whole\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nseal: whole\r\n\r\nHTTP/1.1 204 No Content\r\nseal: whole\r\n\r\n",
];

/// How a server ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// In order, with a FIN.
    Close,
    /// With a reset, as a crashed process does.
    Reset,
}

/// How a request gets to the server.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// On a connection that has carried another request.
    Kept,
    /// On a new connection.
    New,
    /// Over a byte stream of another kind, such as a tunnel.
    Stream,
}

/// Reads a request without a body; false if the connection has ended.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    true
}

/// A server that answers the last request on its connection with `text`, those before it in whole.
async fn start_server(way: Way, text: &'static str, end: End) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        if matches!(way, Way::Kept) && read_request(&mut stream).await {
            let written = stream.write_all(WHOLE.as_bytes()).await;
            written.expect("the client reads");
        }
        if read_request(&mut stream).await {
            let written = stream.write_all(text.as_bytes()).await;
            written.expect("the client reads");
        }
        if matches!(end, End::Reset) {
            sleep(RESET_DELAY).await;
            stream.set_zero_linger().expect("the connection is open");
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", "server");
    request.body(Full::default()).expect("a valid request")
}

async fn send(way: Way, address: &str) -> Result<Reply, Error> {
    let client = Client::new(WAIT_TIMEOUT);
    match way {
        Way::Kept => {
            let first = client.send(address, request()).await?;
            first.read_body(MAX_BODY_BYTES).await?;
            client.send(address, request()).await
        }
        Way::New => client.send_new(address, request()).await,
        Way::Stream => {
            let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
            let (near, mut far) = tokio::io::duplex(64);
            tokio::spawn(async move {
                let mut stream = stream;
                // Fails where the server resets the connection.
                let _copied = tokio::io::copy_bidirectional(&mut far, &mut stream).await;
            });
            client.send_over(near, request()).await
        }
    }
}

async fn assert_error(way: Way, start: &'static str, end: End) {
    let address = start_server(way, start, end).await;
    let sent = timeout(WAIT_TIMEOUT, send(way, &address)).await;
    let what = format!("{way:?}, {end:?}, {start:?}");
    match sent.expect("the response ends") {
        Ok(reply) => panic!("{what}: {}", reply.status()),
        Err(error) => assert!(!error.unwritten(), "{what}: {error:?}"),
    }
}

/// Guards against a server that stops within the head of its response, which its caller would get as a success with an
/// empty body, or as a request that has not run.
#[tokio::test]
async fn responses_that_stop_within_their_heads_are_errors() {
    for way in [Way::New, Way::Kept, Way::Stream] {
        for head in HEADS {
            for end in [End::Close, End::Reset] {
                let mut cuts = JoinSet::new();
                for length in 0..head.len() {
                    cuts.spawn(assert_error(way, &head[..length], end));
                }
                cuts.join_all().await;
            }
        }
    }
}

/// Guards against a server that stops after the head of its response, where the head or the end of the connection says
/// that there is more.
#[tokio::test]
async fn responses_that_stop_after_their_heads_are_errors() {
    for way in [Way::New, Way::Kept, Way::Stream] {
        for (head, end) in [
            (HEADS[0], End::Close),
            (HEADS[1], End::Close),
            (HEADS[2], End::Close),
            (HEADS[0], End::Reset),
            (HEADS[1], End::Reset),
            (HEADS[2], End::Reset),
        ] {
            let address = start_server(way, head, end).await;
            let read = async { send(way, &address).await?.read_body(MAX_BODY_BYTES).await };
            let read = timeout(WAIT_TIMEOUT, read).await.expect("it ends");
            assert!(read.is_err(), "{way:?}, {end:?}, {head:?}: {read:?}");
        }
    }
    for way in [Way::New, Way::Kept] {
        let address = start_server(way, HEADS[3], End::Reset).await;
        let read = async { send(way, &address).await?.read_body(MAX_BODY_BYTES).await };
        let read = timeout(WAIT_TIMEOUT, read).await.expect("it ends");
        assert!(read.is_err(), "{way:?}: {read:?}");
    }
}

/// Number of times that a race of a request and its response is repeated.
const RACES: usize = 40;

/// Guards against a response without a length that its server breaks off while the request is still being written: the
/// socket reports the reset to the write, and then reads like one that was closed in order.
#[tokio::test]
async fn responses_broken_off_during_their_requests_are_errors() {
    let client = Client::new(WAIT_TIMEOUT);
    for _ in 0..RACES {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address").to_string();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut begun = [0; 4];
            let read = stream.read_exact(&mut begun).await;
            read.expect("a request");
            let answer = "HTTP/1.1 200 OK\r\nseal: whole\r\n\r\nhalf";
            let written = stream.write_all(answer.as_bytes()).await;
            written.expect("the client reads");
            sleep(RESET_DELAY).await;
            // With unread bytes, as a crashed process leaves them.
        });
        let request = Request::post("/").header("host", "server");
        let request = request.body(Full::new(Bytes::from(vec![b'x'; 8 << 20])));
        let request = request.expect("a valid request");
        let read = async {
            let reply = client.send_new(&address, request).await?;
            reply.read_body(MAX_BODY_BYTES).await
        };
        let read = timeout(WAIT_TIMEOUT, read).await.expect("it ends");
        assert!(read.is_err(), "{read:?}");
    }
}
