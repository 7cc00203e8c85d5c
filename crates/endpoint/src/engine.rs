//! Generations at model engines, in the OpenAI shape with resume and cancel.

use {
    crate::{prelude::*, sse::Parser},
    decision::{endpoint::Report, generation},
    serde::Deserialize,
    tokio::time::timeout,
};

/// Header that carries the generation id to the engine.
const GENERATION: &str = "x-request-id";

/// Header that carries the time left, in seconds.
pub(crate) const TIMEOUT: &str = "x-request-timeout";

/// Largest refusal or load report read, in bytes.
const MOST_ANSWER: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// A generation to be started.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// The attempt, whose id becomes the generation's.
    pub attempt: Attempt,
    /// JSON body.
    pub body: Bytes,
    /// Path of the API.
    pub path: &'static str,
    /// Time left until the caller's deadline, told to the engine.
    pub wait: Duration,
}

/// Starts a generation and reports its tokens until it ends.
pub async fn start(client: Client, address: String, start: StartRequest, events: Sender<Event>) {
    let attempt = start.attempt;
    let request = Request::post(start.path)
        .header(http::header::HOST, &address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(GENERATION, attempt.generation.to_string())
        .header(TIMEOUT, seconds(start.wait))
        .body(Full::new(start.body));
    let last = match begin(&client, &address, request).await {
        Ok(reply) if reply.status() == StatusCode::OK => read(reply, attempt, 0, &events).await,
        Ok(reply) => refused(reply, attempt).await,
        Err(error) => failed(attempt, &error),
    };
    send_event(&events, last).await;
}

/// Reads a running generation again from token `next` on.
pub async fn resume(
    client: Client,
    address: String,
    attempt: Attempt,
    next: u32,
    events: Sender<Event>,
) {
    let path = format!("/v1/generations/{}?from={next}", attempt.generation);
    let request = Request::get(path)
        .header(http::header::HOST, &address)
        .body(Full::default());
    // A new connection each time: the old one may be silent although it looks open.
    let sent = match request {
        Ok(request) => client.send_new(&address, request).await,
        Err(error) => Err(error.into()),
    };
    let last = match sent {
        Ok(reply) if reply.status() == StatusCode::OK => read(reply, attempt, next, &events).await,
        Ok(_) => Event::Failed(attempt, Failure::Forgotten),
        Err(_) => Event::Failed(attempt, Failure::Unreachable),
    };
    send_event(&events, last).await;
}

/// Cancels a generation, or only if no connection reads it.
pub async fn cancel(client: Client, address: String, generation: generation::Id, unattached: bool) {
    let path = format!("/v1/generations/{generation}?unattached={unattached}");
    let request = Request::delete(path)
        .header(http::header::HOST, &address)
        .body(Full::default());
    match begin(&client, &address, request).await {
        Ok(reply) => reply.release(),
        Err(error) => log::info!(generation:%, error:%; "cancel did not arrive"),
    }
}

/// A load report as engines write it.
#[derive(Debug, Deserialize)]
struct Load {
    capacity_tokens: u64,
    #[serde(default)]
    leaving: bool,
    models: Vec<String>,
    running: u32,
    started: u64,
    used_tokens: u64,
    waiting: u32,
}

/// Asks an engine for its load.
///
/// # Errors
///
/// It cannot be reached, or its answer cannot be read.
pub async fn load(client: &Client, address: &str, wait: Duration) -> Result<Report, Error> {
    let request = Request::get("/load")
        .header(http::header::HOST, address)
        .body(Full::default());
    let asked = async {
        let reply = begin(client, address, request).await?;
        reply.read_body(MOST_ANSWER).await
    };
    let body = timeout(wait, asked).await.unwrap_or(Err(Error::Silent))?;
    let load = serde_json::from_slice::<Load>(&body).map_err(|error| {
        log::warn!(address, error:%; "load report cannot be read");
        Error::Silent
    })?;
    Ok(Report {
        capacity: load.capacity_tokens,
        leaving: load.leaving,
        models: load.models,
        running: load.running,
        started: load.started,
        used: load.used_tokens,
        waiting: load.waiting,
    })
}

async fn begin(
    client: &Client,
    address: &str,
    request: Result<Request<Full<Bytes>>, http::Error>,
) -> Result<crate::client::Reply, Error> {
    client.send(address, request?).await
}

fn failed(attempt: Attempt, error: &Error) -> Event {
    log::info!(generation:% = attempt.generation, error:%; "attempt failed");
    let failure = if error.unwritten() {
        Failure::NotRun(Evidence::NothingWritten)
    } else {
        Failure::Broken
    };
    Event::Failed(attempt, failure)
}

/// Passes tokens on until the stream ends, and returns the event that ends it.
async fn read(
    mut reply: crate::client::Reply,
    attempt: Attempt,
    next: u32,
    events: &Sender<Event>,
) -> Event {
    let mut parser = Parser::default();
    let mut next = next;
    loop {
        let parsed = match reply.chunk().await {
            Ok(Some(part)) => parser.feed(part),
            Ok(None) => return Event::Failed(attempt, Failure::Broken),
            Err(error) => Err(error),
        };
        let Ok(parsed) = parsed else {
            return Event::Failed(attempt, Failure::Broken);
        };
        for event in parsed {
            if event.data == DONE {
                while let Ok(Some(_)) = reply.chunk().await {}
                reply.release();
                return Event::Ended(attempt, next);
            }
            let index = event.index.unwrap_or(next);
            next = index + 1;
            send_event(events, Event::Token(attempt, index, event.data)).await;
        }
    }
}

/// Reads a refusal: "busy" may be tried elsewhere, the rest is the answer.
async fn refused(reply: crate::client::Reply, attempt: Attempt) -> Event {
    let (status, media) = (reply.status(), reply.media());
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        return Event::Failed(attempt, Failure::NotRun(Evidence::EndpointRefused));
    }
    match reply.read_body(MOST_ANSWER).await {
        Ok(body) => Event::Answered(
            attempt,
            Answer {
                body,
                media,
                status: status.as_u16(),
            },
        ),
        Err(_) => Event::Failed(attempt, Failure::Broken),
    }
}

/// A time as the header carries it.
pub(crate) fn seconds(wait: Duration) -> String {
    format!("{:.3}", wait.as_secs_f64())
}

/// Tells the loop; if it has ended there is nobody left to tell.
pub async fn send_event(events: &Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::debug!("the loop has ended");
    }
}
