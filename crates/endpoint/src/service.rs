//! Calls of plain services.

use crate::{
    engine::{TIMEOUT, seconds, send_event},
    prelude::*,
};

/// Largest answer of a service, in bytes.
const MOST_ANSWER: usize = 4 << 20;

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt.
    pub attempt: Attempt,
    /// The body.
    pub body: Bytes,
    /// Whether repeating it does no harm.
    pub idempotent: bool,
    /// The order key, passed on in case the service knows repeats.
    pub key: Option<String>,
    /// The `Content-Type`.
    pub media: String,
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Time left until the caller's deadline, told to the service.
    pub wait: Duration,
}

/// Makes a call and reports its answer.
pub async fn call(client: Client, address: String, call: Call, events: Sender<Event>) {
    let (attempt, idempotent) = (call.attempt, call.idempotent);
    let event = match exchange(&client, &address, call).await {
        Ok(answer) if idempotent && busy(&answer) => {
            Event::Failed(attempt, Failure::NotRun(Evidence::EndpointRefused))
        }
        Ok(answer) => Event::Answered(attempt, answer),
        Err(error) if error.unwritten() => {
            Event::Failed(attempt, Failure::NotRun(Evidence::NothingWritten))
        }
        Err(error) => {
            log::info!(attempt:% = attempt.generation, error:%; "call failed");
            Event::Failed(attempt, Failure::Broken)
        }
    };
    send_event(&events, event).await;
}

/// Whether an answer asks to try elsewhere.
///
/// Such an answer to an order is passed on as it is: services are not known to
/// refuse before they act, so it proves nothing.
fn busy(answer: &Answer) -> bool {
    matches!(answer.status, 429 | 503)
}

async fn exchange(client: &Client, address: &str, call: Call) -> Result<Answer, Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address)
        .header(TIMEOUT, seconds(call.wait));
    if !call.media.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, call.media);
    }
    if let Some(key) = call.key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(call.body))?;
    let reply = if call.idempotent {
        client.send(address, request).await?
    } else {
        client.send_new(address, request).await?
    };
    let (status, media) = (reply.status().as_u16(), reply.media());
    let body = reply.read_body(MOST_ANSWER).await?;
    Ok(Answer {
        body,
        media,
        status,
    })
}
