//! Which connections the client uses again.

use {
    bytes::Bytes,
    endpoint::{
        Client,
        client::{Reply, Sent},
    },
    http::Request,
    http_body_util::Full,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of requests, more than a client may remember of one connection, and of connections that it may give up meanwhile.
const REQUESTS: u32 = 1 << 12;
const MAX_RETIRED: u32 = REQUESTS / 100;

/// Answers all requests of a connection with its number, and this header.
async fn answer_all(stream: TcpStream, number: u32, header: &'static str) {
    let mut stream = stream;
    let body = number.to_string();
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{header}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut request = Vec::new();
    while stream
        .read_buf(&mut request)
        .await
        .is_ok_and(|read| read > 0)
    {
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let written = stream.write_all(answer.as_bytes()).await;
            written.expect("the client reads");
        }
    }
}

/// A server that sends this header. Returns its address, and the numbers of its connections as they end.
async fn start_server(header: &'static str) -> (String, mpsc::UnboundedReceiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let (ended, endings) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.expect("the client connects");
            let ended = ended.clone();
            tokio::spawn(async move {
                answer_all(stream, number, header).await;
                // Most tests do not ask.
                let _sent = ended.send(number);
            });
        }
    });
    (address, endings)
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::get("/").header("host", "server");
    request.body(Full::default()).expect("a valid request")
}

/// Number of the connection on which a response came.
async fn number(reply: Reply) -> u32 {
    let body = reply.read_body(16).await.expect("a whole response");
    let text = str::from_utf8(&body).expect("valid text");
    text.parse().expect("a number")
}

/// Sends a request on an idle connection or a new one, and returns the number of its connection.
async fn send(client: &Client, address: &str, id: &str) -> u32 {
    let sent = client.send_idle(address, id, request()).await;
    match sent.expect("the server answers").sent {
        Sent::Answered(reply) => number(reply).await,
        Sent::Unsent(unsent) => {
            let stream = client.connect(address).await.expect("the server accepts");
            let reply = client.send_on(address, id, stream, unsent).await;
            number(reply.expect("the server answers")).await
        }
    }
}

/// Guards against a late copy of an answer that is taken for the answer to the same request, sent once more on its connection.
#[tokio::test]
async fn connection_does_not_carry_an_id_twice() {
    for (ids, expected) in [
        (&["a", "b", "a", "b", "c", "a"][..], &[0, 0, 1, 1, 1, 2][..]),
        (&["a", "b", "b"], &[0, 0, 1]),
    ] {
        let (address, _) = start_server("").await;
        let client = Client::new(CONNECT_TIMEOUT);
        let mut connections = Vec::new();
        for id in ids {
            connections.push(send(&client, &address, id).await);
        }
        assert_eq!(connections, expected, "{ids:?}");
    }
}

/// Guards against a request that comes back to its address and shows in no log, since another connection was free.
#[tokio::test]
async fn passed_over_connections_are_reported() {
    let (address, _) = start_server("").await;
    let client = Client::new(CONNECT_TIMEOUT);
    for id in ["a", "a", "b"] {
        send(&client, &address, id).await;
    }
    for (id, is_repeat) in [("c", false), ("b", true)] {
        let tried = client.send_idle(&address, id, request()).await;
        let tried = tried.expect("the server answers");
        assert_eq!(tried.is_repeat, is_repeat, "{id}");
        let Sent::Answered(reply) = tried.sent else {
            panic!("{id} was not sent");
        };
        number(reply).await;
    }
}

/// Guards against a connection whose memory of its requests grows for as long as it is open.
#[tokio::test]
async fn connection_is_replaced_after_many_requests() {
    let (address, _) = start_server("").await;
    let client = Client::new(CONNECT_TIMEOUT);
    let mut last = 0;
    for request in 0..REQUESTS {
        last = send(&client, &address, &request.to_string()).await;
    }
    assert!((1..=MAX_RETIRED).contains(&last), "{last}");
}

/// Guards against idle connections to addresses that are gone, which are never closed.
#[tokio::test]
async fn idle_connections_to_other_addresses_end() {
    let (address, mut ended) = start_server("keep-alive: timeout=0\r\n").await;
    let (other, _) = start_server("").await;
    let client = Client::new(CONNECT_TIMEOUT);
    send(&client, &address, "a").await;
    send(&client, &other, "b").await;
    let closed = timeout(CONNECT_TIMEOUT, ended.recv()).await;
    assert_eq!(closed.expect("the connection ends"), Some(0));
}
