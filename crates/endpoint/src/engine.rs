//! Client of model engines: OpenAI-style generations that can be resumed and cancelled.

use {
    crate::{prelude::*, retry_after, sse::Parser},
    decision::{endpoint::Report, generation},
    serde::Deserialize,
    tokio::time::timeout,
};

/// Header with the generation id.
const GENERATION_ID_HEADER: &str = "x-request-id";

/// Header with the time left until the caller's deadline, in seconds.
pub(crate) const TIMEOUT_HEADER: &str = "x-request-timeout";

/// Maximum size of an error response or a load report.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// How long the end of a body is awaited after the end of its stream.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Data of the last event of a stream.
const END_OF_STREAM: &[u8] = b"[DONE]";

/// Parameters of a new generation.
#[derive(Clone, Debug)]
pub struct StartRequest {
    /// The attempt; its generation id is sent to the engine.
    pub attempt: Attempt,
    /// JSON body.
    pub body: Bytes,
    /// Path of the API.
    pub path: &'static str,
    /// Time left until the caller's deadline, sent to the engine.
    pub wait: Duration,
}

/// Starts a generation and sends its tokens as events until it ends.
pub async fn start(client: Client, address: String, start: StartRequest, events: Sender<Event>) {
    let attempt = start.attempt;
    let request = Request::post(start.path)
        .header(http::header::HOST, &address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(GENERATION_ID_HEADER, attempt.generation.to_string())
        .header(TIMEOUT_HEADER, format_seconds(start.wait))
        .body(Full::new(start.body));
    let sent = match request {
        Ok(request) => client.send_alone(&address, request).await,
        Err(error) => Err(error.into()),
    };
    let last = match sent {
        Ok(reply) if reply.status() == StatusCode::OK => read(reply, attempt, 0, &events).await,
        Ok(reply) => {
            if let Some(cooldown) = retry_after::read(reply.status(), reply.headers()) {
                send_event(&events, Event::CoolingDown(attempt, cooldown)).await;
            }
            rejection(reply, attempt).await
        }
        Err(error) => failure_event(attempt, &error),
    };
    send_event(&events, last).await;
}

/// Resumes reading a running generation at token `next`.
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
    // A pooled connection may be dead without having been closed.
    let sent = match request {
        Ok(request) => client.send_alone(&address, request).await,
        Err(error) => Err(error.into()),
    };
    let last = match sent {
        Ok(reply) if reply.status() == StatusCode::OK => read(reply, attempt, next, &events).await,
        Ok(_) => Event::Failed(attempt, Failure::Forgotten),
        Err(_) => Event::Failed(attempt, Failure::Unreachable),
    };
    send_event(&events, last).await;
}

/// Cancels a generation; with `unattached`, only if no connection is reading it.
pub async fn cancel(client: Client, address: String, generation: generation::Id, unattached: bool) {
    let path = format!("/v1/generations/{generation}?unattached={unattached}");
    let request = Request::delete(path)
        .header(http::header::HOST, &address)
        .body(Full::default());
    match send(&client, &address, request).await {
        Ok(reply) => reply.release(),
        Err(error) => log::info!(generation:%, error:%; "cancel request failed"),
    }
}

/// Load report in the format of the engine.
#[derive(Debug, Deserialize)]
struct LoadReport {
    capacity_tokens: u64,
    #[serde(default)]
    leaving: bool,
    models: Vec<String>,
    running: u32,
    started: u64,
    used_tokens: u64,
    waiting: u32,
}

/// Fetches the load report of an engine.
///
/// # Errors
///
/// The engine cannot be reached, or its response is not a load report.
pub async fn load(client: &Client, address: &str, wait: Duration) -> Result<Report, Error> {
    let request = Request::get("/load")
        .header(http::header::HOST, address)
        .body(Full::default());
    let exchange = async {
        let reply = send(client, address, request).await?;
        reply.read_body(MAX_RESPONSE_BYTES).await
    };
    let body = timeout(wait, exchange)
        .await
        .unwrap_or(Err(Error::Timeout))?;
    let load = serde_json::from_slice::<LoadReport>(&body).map_err(|error| {
        log::warn!(address, error:%; "cannot decode load report");
        Error::Timeout
    })?;
    Ok(Report {
        capacity: load.capacity_tokens,
        leaving: load.leaving,
        models: load.models,
        running: load.running,
        incarnation: load.started,
        used: load.used_tokens,
        waiting: load.waiting,
    })
}

async fn send(
    client: &Client,
    address: &str,
    request: Result<Request<Full<Bytes>>, http::Error>,
) -> Result<crate::client::Reply, Error> {
    client.send(address, request?).await
}

fn failure_event(attempt: Attempt, error: &Error) -> Event {
    log::info!(generation:% = attempt.generation, error:%; "attempt failed");
    let failure = if error.unwritten() {
        Failure::NotRun(Evidence::NothingWritten)
    } else {
        break_of(error)
    };
    Event::Failed(attempt, failure)
}

/// The failure of a connection after the request was sent.
pub(crate) fn break_of(error: &Error) -> Failure {
    match error {
        Error::Broken(_) if !error.is_break_of_endpoint() => Failure::PeerLost,
        Error::Invalid(_) | Error::TooLarge => Failure::Invalid,
        _ => Failure::Broken,
    }
}

/// Sends tokens as events until the stream ends; returns the event for its end.
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
            Ok(Some(chunk)) => parser.feed(chunk),
            Ok(None) => return Event::Failed(attempt, Failure::Broken),
            Err(error) => Err(error),
        };
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => return Event::Failed(attempt, break_of(&error)),
        };
        for event in parsed {
            if event.data == END_OF_STREAM {
                tokio::spawn(timeout(DRAIN_TIMEOUT, drain(reply)));
                return Event::StreamEnded(attempt, next);
            }
            let index = event.index.unwrap_or(next);
            next = index + 1;
            send_event(events, Event::Token(attempt, index, event.data)).await;
        }
    }
}

/// Reads the rest of a body whose stream has ended, so that its engine does not find the connection closed before it has written
/// all.
async fn drain(mut reply: crate::client::Reply) {
    while let Ok(Some(_)) = reply.chunk().await {}
}

/// Maps an error response to an event: 429 and 503 may be retried at another engine, any
/// other status is passed on to the caller.
async fn rejection(reply: crate::client::Reply, attempt: Attempt) -> Event {
    let (status, media) = (reply.status(), reply.content_type());
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        return Event::Failed(attempt, Failure::NotRun(Evidence::EndpointRefused));
    }
    match reply.read_body(MAX_RESPONSE_BYTES).await {
        Ok(body) => Event::Answered(
            attempt,
            Answer {
                body,
                media,
                status: status.as_u16(),
            },
        ),
        Err(error) => Event::Failed(attempt, break_of(&error)),
    }
}

/// Formats a duration for [`TIMEOUT_HEADER`].
pub(crate) fn format_seconds(wait: Duration) -> String {
    format!("{:.3}", wait.as_secs_f64())
}

/// Sends an event to the event loop; the event is dropped if the loop has ended.
pub async fn send_event(events: &Sender<Event>, event: Event) {
    if events.send(event).await.is_err() {
        log::debug!("event dropped: the event loop has ended");
    }
}
