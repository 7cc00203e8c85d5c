//! Requests whose responses are buffered in full before they are sent to the caller.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, SendOutcome},
        gossip,
        memory::Held,
        prelude::*,
        progress::Progress,
        reply, rollouts,
        shared::{InFlight, QueueSlot},
    },
    forward::{
        choice::{Need, Pick},
        memory::Use,
        request::Ticket,
        rollout::tally::{Outcome, Timing},
        state::Outlook,
    },
    platform::head::{self, ResponseFlags},
};

/// Size limit of a buffered response.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Fraction of a route's timeout for which a request may queue for an endpoint with room.
const QUEUE_TIMEOUT_SHARE: f64 = 0.5;

/// Result of an attempt.
enum Attempt {
    /// There is a response for the caller.
    Answered(Reply),
    /// Another endpoint may be tried.
    Retry,
    /// No further attempt is allowed.
    Failed(Refusal),
}

/// A response that has been read in full.
struct BufferedAnswer {
    body: Vec<Bytes>,
    held: Held,
    headers: http::HeaderMap,
    status: StatusCode,
    flags: ResponseFlags,
}

impl BufferedAnswer {
    fn is_success(&self) -> bool {
        self.status.is_success() && self.flags.sealed && !self.flags.not_run
    }
}

/// Why there is no response.
enum SendFailure {
    /// Nothing was written to the endpoint.
    NotWritten(String),
    /// This instance is short of memory for the response, which says nothing about the endpoint.
    OutOfMemory,
    /// The endpoint may have run the request.
    Unknown(String),
    /// The endpoint takes no more now.
    Withheld,
}

/// Serves a request.
///
/// # Errors
///
/// Why the request got no response; see [`Progress::give_up`].
pub async fn serve(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: Ticket,
) -> Result<Reply, Refusal> {
    let mut progress = Progress::for_request(shared, original, &ticket);
    let mut ticket = ticket;
    loop {
        match attempt(shared, original, &mut ticket, &mut progress).await {
            Attempt::Answered(reply) => {
                let is_success = reply.status().is_success();
                // A request that fails at two endpoints is at fault itself.
                if let Some(key) = progress.failed_at.take().filter(|_| is_success) {
                    shared.observe(key, &ticket.route.name, Outcome::Failed);
                }
                return Ok(reply);
            }
            Attempt::Failed(refusal) => return progress.finish(original, refusal),
            Attempt::Retry => {}
        }
        if !progress.may_send(shared, &ticket) {
            progress.note_no_retry();
            return progress.finish(original, Refusal::Full);
        }
    }
}

async fn attempt(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &mut Ticket,
    progress: &mut Progress,
) -> Attempt {
    let id = &original.inbound.id;
    let queue_timeout = ticket.route.timeout.mul_f64(QUEUE_TIMEOUT_SHARE);
    let deadline = original
        .inbound
        .arrived
        .after(queue_timeout)
        .min(ticket.expires);
    let acquired = tokio::select! {
        biased;
        acquired = acquire_endpoint(shared, ticket, Need::default(), &progress.tried, deadline) => {
            acquired
        }
        refusal = shared.refused(original, ticket.expires) => return Attempt::Failed(refusal),
    };
    let Some((key, _)) = acquired else {
        progress.note_no_endpoint(shared.why_not_acquired(&ticket.service, &progress.tried));
        return Attempt::Failed(shared.refusal_without_endpoint(&ticket.service, &progress.tried));
    };
    match shared.readmit(original, ticket) {
        Ok(true) => {}
        Ok(false) => return Attempt::Retry,
        Err(refusal) => return Attempt::Failed(refusal),
    }
    let _in_flight = InFlight::new(shared, key);
    shared.record_attempt(&ticket.service, progress.sends > 0);
    progress.sends += 1;
    let sent_at = clock::now();
    let sent = tokio::select! {
        biased;
        sent = send(shared, original, ticket, progress, key) => sent,
        refusal = shared.given_up(original) => {
            progress.note_run(key, refusal.label().to_string());
            return Attempt::Failed(refusal);
        }
    };
    match sent {
        Ok(answer) => {
            if answer.is_success() {
                shared.record_completion(original);
                let timing = Timing {
                    intervals: 0,
                    prompt: 0,
                    took: clock::now().since(sent_at),
                };
                let outcome = Outcome::Answered(timing.class());
                shared.observe(key, &ticket.route.name, outcome);
            }
            classify(shared, ticket, progress, key, answer)
        }
        Err(SendFailure::Withheld) => {
            progress.sends -= 1;
            shared.refund_send(&ticket.service, progress.sends > 0);
            after_failure(ticket, progress, false)
        }
        Err(SendFailure::NotWritten(why)) => {
            shared.mark_unreachable(key);
            log::info!(id, why; "cannot reach endpoint");
            progress.why = why;
            // The request never arrived, so it counts neither as an attempt nor against
            // the retry budget. The endpoint is marked unreachable, so that the next
            // attempt picks another one.
            progress.sends -= 1;
            shared.refund_send(&ticket.service, progress.sends > 0);
            after_failure(ticket, progress, false)
        }
        Err(SendFailure::OutOfMemory) => {
            progress.note_run(key, Refusal::OutOfMemory.label().to_string());
            Attempt::Failed(Refusal::Broken)
        }
        Err(SendFailure::Unknown(why)) => {
            shared.mark_unreachable(key);
            shared.observe(key, &ticket.route.name, Outcome::Failed);
            progress.note_run(key, why);
            after_failure(ticket, progress, true)
        }
    }
}

/// Sends the request and reads the whole response.
async fn send(
    shared: &Shared,
    original: &Original,
    ticket: &Ticket,
    progress: &Progress,
    key: EndpointKey,
) -> Result<BufferedAnswer, SendFailure> {
    let sent_at = clock::now();
    let limit = ticket.attempt_timeout(sent_at, progress.runs);
    let destination = Destination {
        backup: None,
        customer: ticket.customer.as_deref(),
        expires: ticket.expires,
        key,
        last_event: None,
        source: None,
    };
    let read = async {
        match exchange::send(shared, original, &destination, limit).await {
            SendOutcome::Answer(reply, flags) => {
                let status = reply.status();
                let headers = head::response_headers(reply.headers());
                let held = shared.buffers.hold(Use::Response, &original.inbound.id);
                let body = read_body(*reply, &held).await;
                let body = body.map_err(|error| {
                    if held.reason().is_some() {
                        return SendFailure::OutOfMemory;
                    }
                    if error.is_break_of_endpoint() {
                        shared.record_break(original, key, sent_at, 0);
                    }
                    SendFailure::Unknown(error.to_string())
                })?;
                Ok(BufferedAnswer {
                    body,
                    held,
                    headers,
                    status,
                    flags,
                })
            }
            SendOutcome::Withheld => Err(SendFailure::Withheld),
            SendOutcome::NotWritten(why) => Err(SendFailure::NotWritten(why)),
            SendOutcome::Broken(why) => {
                shared.record_break(original, key, sent_at, 0);
                Err(SendFailure::Unknown(why))
            }
            SendOutcome::Unknown(why) => Err(SendFailure::Unknown(why)),
        }
    };
    let result = timeout(limit, read).await;
    result.unwrap_or_else(|_| {
        let why = "response incomplete at the time limit";
        Err(SendFailure::Unknown(why.to_string()))
    })
}

/// Reads a whole body in blocks, as far as there is memory for it.
///
/// # Errors
///
/// The connection broke, what was received is no response, the body is too large, or `held` was let go.
pub async fn read_body(
    reply: endpoint::client::Reply,
    held: &Held,
) -> Result<Vec<Bytes>, endpoint::Error> {
    let blocks = tokio::select! {
        biased;
        _ = held.let_go() => Err(endpoint::Error::TooLarge),
        blocks = reply.read_blocks(MAX_ANSWER_BYTES, |bytes| held.take(bytes)) => blocks,
    }?;
    let bytes = blocks.iter().map(Bytes::len).sum();
    // The caller takes the bytes, not what was allocated for them.
    if !held.resize(bytes) {
        return Err(endpoint::Error::TooLarge);
    }
    Ok(blocks)
}

/// Decides whether a response goes to the caller, is retried or fails the request.
fn classify(
    shared: &Shared,
    ticket: &Ticket,
    progress: &mut Progress,
    key: EndpointKey,
    answer: BufferedAnswer,
) -> Attempt {
    let status = answer.status;
    if answer.flags.not_run {
        shared.mark_rejected(key, status);
        shared.observe(key, &ticket.route.name, Outcome::Rejected);
        progress.note_rejected(key, format!("rejected with {status}"));
        return Attempt::Retry;
    }
    shared.record_answer(key, status.is_server_error());
    let is_valid = answer.flags.sealed && !answer.flags.encoded;
    let claims_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if (status.is_success() && !is_valid) || claims_not_run {
        shared.observe(key, &ticket.route.name, Outcome::Failed);
        progress.note_run(key, format!("invalid response with {status}"));
        return after_failure(ticket, progress, true);
    }
    let retry = status.is_server_error()
        && ticket.may_run_again(progress.runs + 1)
        && progress.may_send(shared, ticket);
    if retry {
        progress.note_run(key, format!("failed with {status}"));
        progress.failure = Some(reply::counted(
            status,
            answer.headers,
            answer.body,
            answer.held,
        ));
        progress.failed_at = Some(key);
        return Attempt::Retry;
    }
    if status.is_server_error() && progress.failed_at.is_none() {
        shared.observe(key, &ticket.route.name, Outcome::Failed);
    }
    Attempt::Answered(reply::counted(
        status,
        answer.headers,
        answer.body,
        answer.held,
    ))
}

/// Decides whether a failed send may be retried.
fn after_failure(ticket: &Ticket, progress: &Progress, written: bool) -> Attempt {
    let is_expired = clock::now() >= ticket.expires;
    match (written, is_expired) {
        (_, true) => Attempt::Failed(Refusal::TimedOut),
        (false, false) => Attempt::Retry,
        (true, false) if ticket.may_run_again(progress.runs) => Attempt::Retry,
        (true, false) => Attempt::Failed(Refusal::Broken),
    }
}

/// Waits for an endpoint with room and returns it with the endpoint for its backup copy;
/// `None` if there was none by `deadline`.
pub async fn acquire_endpoint(
    shared: &Rc<Shared>,
    ticket: &Ticket,
    need: Need,
    tried: &[EndpointKey],
    deadline: Time,
) -> Option<(EndpointKey, Option<EndpointKey>)> {
    let mut waiting = None::<QueueSlot>;
    loop {
        if shared.is_cut_off(&ticket.service) {
            return None;
        }
        let room = shared.room.notified();
        let preceded = waiting.as_ref().is_some_and(QueueSlot::is_preceded);
        if !preceded && need.prompt > 0 {
            gossip::report::refresh(shared).await;
        }
        let now = clock::now();
        if !preceded {
            let (pick, exposed) = shared
                .state
                .borrow_mut()
                .pick_attempt(now, ticket, need, tried);
            if exposed {
                rollouts::log_exposure(shared, ticket);
            }
            if let Pick::Send(key, backup) = pick {
                return Some((key, backup));
            }
        }
        let outlook = shared.state.borrow().outlook(now, &ticket.service, tried);
        if now >= deadline || outlook != Outlook::Room {
            return None;
        }
        waiting.get_or_insert_with(|| QueueSlot::new(shared, ticket));
        // Room can also appear without a notification, when the backoff after a failure ends.
        let pause = deadline.since(now).min(ROOM_POLL_INTERVAL);
        let _announced = timeout(pause, room).await;
    }
}

/// How often a queued request checks for room without a notification.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(25);
