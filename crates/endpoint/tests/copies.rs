//! Answers of engines and plain services that send each of them a second time, where the next answer on the connection is due.

use {
    bytes::Bytes,
    decision::{
        generation,
        prelude::{Answer, Attempt, Event, Failure},
        request,
    },
    endpoint::{
        Client,
        engine::{self, StartRequest},
        service::{self, Call},
    },
    http::Method,
    std::{
        iter,
        sync::{Arc, Mutex},
        time::Duration,
        vec,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Time within which each call has to end, on a machine under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a stream within which its connection would be back in a pool.
const DRAIN_TIME: Duration = Duration::from_millis(200);

/// A rejection.
const BUSY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 5\r\ncontent-length: 4\r\n\r\nbusy";

/// Answers with a body of their own.
const ONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none";
const TWO: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";

/// The answer to a generation that the engine does not take.
const INVALID: &str = "HTTP/1.1 400 Bad Request\r\ncontent-length: 3\r\n\r\none";

/// Streams with a token of their own.
const STREAM_ONE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\ndata: one\n\ndata: [DONE]\n\n";
const STREAM_TWO: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\ndata: two\n\ndata: [DONE]\n\n";

/// Reads a request; false if the connection has ended.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    loop {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |length| length.parse().expect("a length"));
        if body.len() >= length {
            return true;
        }
    }
}

/// Answers the requests on a connection, and sends a copy of each answer before the next one.
async fn serve(mut stream: TcpStream, answers: Arc<Mutex<vec::IntoIter<&'static str>>>) {
    let mut copy = "";
    while read_request(&mut stream).await {
        let answer = answers.lock().expect("not poisoned").next();
        let answer = answer.expect("no more requests than answers");
        let written = stream.write_all(format!("{copy}{answer}").as_bytes()).await;
        written.expect("the client reads");
        copy = answer;
    }
}

/// A server that gives these answers, and a copy of each before the next one on its connection.
async fn start_server(answers: [&'static str; 2]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let answers = Arc::new(Mutex::new(Vec::from(answers).into_iter()));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("the client connects");
            tokio::spawn(serve(stream, Arc::clone(&answers)));
        }
    });
    address
}

fn attempt(number: u128) -> Attempt {
    Attempt {
        generation: generation::Id(number),
        request: request::Key::default(),
    }
}

/// Starts a generation; returns its events.
async fn start(client: &Client, address: &str, number: u128) -> Vec<Event> {
    let (events, mut received) = mpsc::channel(16);
    let start = StartRequest {
        attempt: attempt(number),
        body: Bytes::from_static(b"{}"),
        path: "/v1/completions",
        wait: WAIT_TIMEOUT,
    };
    let started = engine::start(client.clone(), address.to_string(), start, events);
    timeout(WAIT_TIMEOUT, started).await.expect("it ends");
    iter::from_fn(|| received.try_recv().ok()).collect()
}

/// Calls a service; returns the events.
async fn call(client: &Client, address: &str, number: u128, idempotent: bool) -> Vec<Event> {
    let (events, mut received) = mpsc::channel(16);
    let call = Call {
        attempt: attempt(number),
        body: Bytes::new(),
        idempotent,
        idempotency_key: None,
        content_type: String::new(),
        method: Method::GET,
        path: "/".to_string(),
        wait: WAIT_TIMEOUT,
    };
    let called = service::call(client.clone(), address.to_string(), call, events);
    timeout(WAIT_TIMEOUT, called).await.expect("it ends");
    iter::from_fn(|| received.try_recv().ok()).collect()
}

/// Checks that a generation got a stream with this token.
fn assert_streamed(events: &[Event], token: &str) {
    match events {
        [Event::Token(_, 0, data), Event::StreamEnded(_, 1)] => assert_eq!(data, token),
        _ => panic!("{events:?}"),
    }
}

/// Checks that a call got an answer with this body.
fn assert_answered(events: &[Event], body: &str) {
    match events {
        [Event::Answered(_, Answer { body: answered, .. })] => assert_eq!(answered, body),
        _ => panic!("{events:?}"),
    }
}

/// Guards against a generation that is taken for one that has not run, since a load query on its connection was rejected.
#[tokio::test]
async fn copy_of_a_rejected_load_query_is_no_answer_to_a_generation() {
    let address = start_server([BUSY, STREAM_TWO]).await;
    let client = Client::new(WAIT_TIMEOUT);
    let load = engine::load(&client, &address, WAIT_TIMEOUT).await;
    assert!(load.is_err(), "{load:?}");
    assert_streamed(&start(&client, &address, 2).await, "two");
}

/// Guards against a generation that gets the error of another one.
#[tokio::test]
async fn copy_of_an_error_is_no_answer_to_a_generation() {
    let address = start_server([INVALID, STREAM_TWO]).await;
    let client = Client::new(WAIT_TIMEOUT);
    assert_answered(&start(&client, &address, 1).await, "one");
    assert_streamed(&start(&client, &address, 2).await, "two");
}

/// Guards against a caller that gets the tokens of another one.
#[tokio::test]
async fn copy_of_a_stream_is_no_answer_to_a_generation() {
    let address = start_server([STREAM_ONE, STREAM_TWO]).await;
    let client = Client::new(WAIT_TIMEOUT);
    assert_streamed(&start(&client, &address, 1).await, "one");
    sleep(DRAIN_TIME).await;
    assert_streamed(&start(&client, &address, 2).await, "two");
}

/// Guards against a call that is taken for one that has not run, since the call before it on its connection was rejected.
#[tokio::test]
async fn copy_of_a_rejection_is_no_answer_to_a_call() {
    let address = start_server([BUSY, TWO]).await;
    let client = Client::new(WAIT_TIMEOUT);
    let rejected = call(&client, &address, 1, true).await;
    let [Event::CoolingDown(..), Event::Failed(_, Failure::NotRun(_))] = rejected[..] else {
        panic!("{rejected:?}");
    };
    assert_answered(&call(&client, &address, 2, true).await, "two");
}

/// Guards against a caller that gets the answer to another one.
#[tokio::test]
async fn copy_of_an_answer_is_no_answer_to_a_call() {
    for idempotent in [true, false] {
        let address = start_server([ONE, TWO]).await;
        let client = Client::new(WAIT_TIMEOUT);
        assert_answered(&call(&client, &address, 1, idempotent).await, "one");
        assert_answered(&call(&client, &address, 2, true).await, "two");
    }
}
