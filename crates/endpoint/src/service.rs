//! Client of plain HTTP services.

use {
    crate::{
        engine::{TIMEOUT_HEADER, break_of, format_seconds, send_event},
        prelude::*,
        retry_after,
    },
    tokio::time::timeout,
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt that this call belongs to.
    pub attempt: Attempt,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be repeated safely.
    pub idempotent: bool,
    /// Idempotency key, forwarded in case the service deduplicates by it.
    pub idempotency_key: Option<String>,
    /// The `Content-Type`.
    pub content_type: String,
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Time left until the caller's deadline, sent to the service.
    pub wait: Duration,
}

/// Makes a call and sends its result as an event.
pub async fn call(client: Client, address: String, call: Call, events: Sender<Event>) {
    let (attempt, idempotent) = (call.attempt, call.idempotent);
    let answered = exchange(&client, &address, call).await;
    if let Ok((_, Some(cooldown))) = &answered {
        send_event(&events, Event::CoolingDown(attempt, *cooldown)).await;
    }
    let event = match answered.map(|(answer, _)| answer) {
        Ok(answer) if idempotent && is_overloaded(&answer) => {
            Event::Failed(attempt, Failure::NotRun(Evidence::EndpointRefused))
        }
        Ok(answer) => Event::Answered(attempt, answer),
        Err(error) if error.unwritten() => {
            Event::Failed(attempt, Failure::NotRun(Evidence::NothingWritten))
        }
        Err(error) => {
            log::info!(attempt:% = attempt.generation, error:%; "service call failed");
            Event::Failed(attempt, break_of(&error))
        }
    };
    send_event(&events, event).await;
}

/// Whether the status allows a retry at another endpoint.
///
/// Only used for idempotent calls: the status does not prove that the service rejected the
/// call before running it.
fn is_overloaded(answer: &Answer) -> bool {
    matches!(answer.status, 429 | 503)
}

/// Checks whether an endpoint answers on a new connection, with a request that it does not work on.
///
/// # Errors
///
/// It cannot be reached, or does not answer in time.
pub async fn check(client: &Client, address: &str, wait: Duration) -> Result<(), Error> {
    let request = Request::options("*")
        .header(http::header::HOST, address)
        .body(Full::default())?;
    let answered = timeout(wait, client.send_new(address, request)).await;
    answered.unwrap_or(Err(Error::Timeout)).map(drop)
}

/// Makes a call. Returns its answer, and the time for which the service wants no more requests if it rejects the call.
async fn exchange(
    client: &Client,
    address: &str,
    call: Call,
) -> Result<(Answer, Option<Duration>), Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address)
        .header(TIMEOUT_HEADER, format_seconds(call.wait));
    if !call.content_type.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, call.content_type);
    }
    if let Some(key) = call.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(call.body))?;
    let reply = client.send_alone(address, request).await?;
    let cooldown = retry_after::read(reply.status(), reply.headers());
    let (status, media) = (reply.status().as_u16(), reply.content_type());
    let body = reply.read_body(MAX_RESPONSE_BYTES).await?;
    let answer = Answer {
        body,
        media,
        status,
    };
    Ok((answer, cooldown))
}
