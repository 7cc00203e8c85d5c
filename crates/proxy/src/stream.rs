//! Event streams, from the request to the first event.

use {
    crate::{
        buffered::{acquire_endpoint, read_body},
        clock,
        exchange::{self, Destination, Original, SendOutcome},
        memory::Held,
        placement::Placement,
        prelude::*,
        progress::Progress,
        relay::{Relay, RelayStart},
        reply,
        shared::RunGuard,
        takeover,
    },
    endpoint::sse::EventSplitter,
    forward::{choice::Need, memory::Use, prelude::Run, request::Ticket, rollout::tally::Outcome},
    platform::head,
    tokio::sync::mpsc,
};

/// Fraction of the target for the first event for which a request may queue; the rest is
/// needed for prefill.
const QUEUE_TIMEOUT_SHARE: f64 = 0.7;

/// Expected output tokens where the caller gives no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Serves a request for a stream. The response starts with the first event, so that a failure
/// before it can still be reported by status.
///
/// # Errors
///
/// Why the request got no response; see [`Progress::give_up`].
pub async fn serve(
    shared: &Rc<Shared>,
    original: &Rc<Original>,
    ticket: Ticket,
    guard: crate::listen::RequestGuard,
) -> Result<Reply, Refusal> {
    let mut ticket = ticket;
    let mut progress = Progress::for_request(shared, original, &ticket);
    let mut guard = Some(guard);
    let id = &original.inbound.id;
    loop {
        let deadline = original
            .inbound
            .arrived
            .after(ticket.route.target.mul_f64(QUEUE_TIMEOUT_SHARE))
            .min(ticket.expires);
        let expected = expected_output_tokens(&original.inbound);
        let need = Need {
            output: expected,
            prompt: original.inbound.prompt,
        };
        let acquired = tokio::select! {
            biased;
            acquired = acquire_endpoint(shared, &ticket, need, &progress.tried, deadline) => acquired,
            refusal = shared.refused(original, ticket.expires) => {
                return Err(progress.give_up(original, refusal));
            }
        };
        let Some((key, backup)) = acquired else {
            progress.note_no_endpoint(shared.why_not_acquired(&ticket.service, &progress.tried));
            let refusal = shared.refusal_without_endpoint(&ticket.service, &progress.tried);
            return Err(progress.give_up(original, refusal));
        };
        // No event has reached the caller yet, so the newest configuration applies.
        match shared.readmit(original, &mut ticket) {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => return Err(progress.give_up(original, refusal)),
        }
        shared.record_attempt(&ticket.service, progress.sends > 0);
        progress.sends += 1;
        let (running, placement) = begin(shared, original, &ticket, key, backup, expected);
        let opened = tokio::select! {
            biased;
            opened = open(shared, original, &ticket, &progress, placement, backup) => opened,
            refusal = shared.given_up(original) => OpenOutcome::GivenUp(refusal),
        };
        match opened {
            OpenOutcome::Answer(reply) => {
                if reply.status().is_server_error() {
                    shared.observe(key, &ticket.route.name, Outcome::Failed);
                }
                return Ok(reply);
            }
            OpenOutcome::Unknown(refusal, why) => {
                shared.observe(key, &ticket.route.name, Outcome::Failed);
                progress.note_run(key, why);
                if clock::now() >= ticket.expires || !progress.may_send(shared, &ticket) {
                    return Err(progress.give_up(original, refusal));
                }
            }
            OpenOutcome::GivenUp(why) => {
                progress.note_run(key, why.label().to_string());
                return Err(progress.give_up(original, why));
            }
            OpenOutcome::Stream(opened_stream) => {
                let (out, parts) = mpsc::unbounded_channel();
                let held = shared.buffers.hold(Use::Stream, id);
                let held = Rc::new(held);
                if let Some(guard) = guard.take() {
                    held.keep(guard);
                }
                let mut reply = Response::new(Body::stream(parts, Rc::clone(&held)));
                *reply.headers_mut() = opened_stream.headers;
                shared
                    .metrics
                    .record_first_event(clock::now().since(original.inbound.arrived));
                let start = RelayStart {
                    held,
                    partial: opened_stream.partial,
                    original: Rc::clone(original),
                    out,
                    progress,
                    running,
                    source: opened_stream.source,
                    ticket,
                };
                let relay = Relay::new(shared, start);
                tokio::task::spawn_local(relay.run(opened_stream.blocks, opened_stream.ended));
                return Ok(reply);
            }
            OpenOutcome::NotReached => {
                // The request never arrived, so it counts neither as an attempt nor against
                // the retry budget.
                progress.sends -= 1;
                shared.refund_send(&ticket.service, progress.sends > 0);
            }
            OpenOutcome::NotRun(why) => {
                shared.observe(key, &ticket.route.name, Outcome::Rejected);
                progress.note_rejected(key, why);
                if !progress.may_send(shared, &ticket) {
                    progress.note_no_retry();
                    return Err(progress.give_up(original, Refusal::Full));
                }
            }
        }
    }
}

/// Expected output tokens: the caller's estimate, at most its limit.
#[must_use]
pub fn expected_output_tokens(inbound: &Inbound) -> u32 {
    let limit = if inbound.max_output_tokens == 0 {
        DEFAULT_OUTPUT_TOKENS
    } else {
        inbound.max_output_tokens
    };
    inbound.length_hint.map_or(limit, |hint| hint.min(limit))
}

fn begin(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &Ticket,
    key: EndpointKey,
    backup: Option<EndpointKey>,
    expected: u32,
) -> (RunGuard, Placement) {
    let tokens_per_event = shared
        .state
        .borrow()
        .service(&ticket.service)
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.tokens_per_event);
    let run = Run {
        backup,
        endpoint: key,
        events: 0,
        expected,
        max_output_tokens: original.inbound.max_output_tokens.max(expected),
        prompt: original.inbound.prompt,
        service: ticket.service.clone(),
        target: None,
        tokens_per_event,
    };
    let running = RunGuard::new(shared, run);
    let placement = Placement::new(shared, running.key, &original.inbound.id, key);
    (running, placement)
}

/// A stream whose first events have been read.
struct OpenedStream {
    blocks: Vec<Bytes>,
    ended: bool,
    /// Counts an event that is incomplete.
    partial: Held,
    headers: http::HeaderMap,
    source: takeover::EventSource,
}

enum OpenOutcome {
    Answer(Reply),
    /// The request ends for a reason that says nothing about the engine, which may have begun it: equal requests have
    /// crashed too many engines, or this instance is short of memory or exits.
    GivenUp(Refusal),
    NotReached,
    NotRun(String),
    Stream(Box<OpenedStream>),
    /// The engine may have run the request: what to return to the caller, and why.
    Unknown(Refusal, String),
}

/// Sends the request and waits for the first event.
async fn open(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &Ticket,
    progress: &Progress,
    placement: Placement,
    backup: Option<EndpointKey>,
) -> OpenOutcome {
    let mut placement = placement;
    let key = placement.engine();
    let sent_at = clock::now();
    let limit = ticket.attempt_timeout(sent_at, progress.runs);
    let destination = Destination {
        backup,
        customer: ticket.customer.as_deref(),
        expires: ticket.expires,
        key,
        last_event: ticket.resume_after(&original.inbound),
        source: None,
    };
    let opened = async {
        let sent = exchange::send(shared, original, &destination, limit).await;
        if sent.is_not_run() {
            placement.withdraw();
        }
        match sent {
            SendOutcome::Withheld => OpenOutcome::NotReached,
            SendOutcome::NotWritten(why) => {
                shared.mark_unreachable(key);
                log::info!(id = original.inbound.id, why; "cannot reach engine");
                OpenOutcome::NotReached
            }
            SendOutcome::Broken(why) => {
                shared.record_break(original, key, sent_at, 0);
                fail(shared, key, why)
            }
            SendOutcome::Unknown(why) => fail(shared, key, why),
            SendOutcome::Answer(answer, flags) if flags.not_run => {
                shared.mark_rejected(key, answer.status());
                OpenOutcome::NotRun(format!("rejected with {}", answer.status()))
            }
            SendOutcome::Answer(answer, flags)
                if answer.status().is_success() && (!flags.sealed || flags.encoded) =>
            {
                let why = format!("invalid response with {}", answer.status());
                fail(shared, key, why)
            }
            SendOutcome::Answer(answer, _) if answer.status() == StatusCode::OK => {
                first_event(shared, original, placement, sent_at, *answer).await
            }
            SendOutcome::Answer(answer, _) => {
                non_stream_answer(shared, original, placement, *answer).await
            }
        }
    };
    timeout(limit, opened).await.unwrap_or_else(|_| {
        shared.mark_unreachable(key);
        OpenOutcome::Unknown(Refusal::TimedOut, "no first event in time".to_string())
    })
}

fn fail(shared: &Shared, key: EndpointKey, why: String) -> OpenOutcome {
    shared.mark_unreachable(key);
    OpenOutcome::Unknown(Refusal::Broken, why)
}

/// Reads until the first event is complete.
async fn first_event(
    shared: &Shared,
    original: &Original,
    placement: Placement,
    sent_at: Time,
    answer: endpoint::client::Reply,
) -> OpenOutcome {
    let mut placement = placement;
    let key = placement.engine();
    let headers = head::response_headers(answer.headers());
    let mut answer = answer;
    let mut splitter = EventSplitter::default();
    let partial = shared.buffers.hold(Use::Stream, &original.inbound.id);
    loop {
        let chunk = match answer.chunk().await {
            Ok(chunk) => chunk,
            Err(error) => {
                if error.is_break_of_endpoint() {
                    shared.record_break(original, key, sent_at, 0);
                }
                return fail(shared, key, error.to_string());
            }
        };
        let ended = chunk.is_none();
        let blocks = match splitter.feed(chunk.unwrap_or_default()) {
            Ok(blocks) => blocks,
            Err(error) => return fail(shared, key, error.to_string()),
        };
        if !partial.resize(splitter.partial_bytes()) {
            return OpenOutcome::GivenUp(Refusal::OutOfMemory);
        }
        if blocks.is_empty() && !ended {
            continue;
        }
        let is_cut_off = splitter.has_partial_event() || !answer.is_delimited();
        if blocks.is_empty() && is_cut_off {
            shared.record_break(original, key, sent_at, 0);
            let why = "connection closed before the first event";
            return fail(shared, key, why.to_string());
        }
        shared.record_answer(key, false);
        placement.confirm();
        return OpenOutcome::Stream(Box::new(OpenedStream {
            blocks,
            ended,
            partial,
            headers,
            source: takeover::EventSource {
                answer,
                early: None,
                placement,
                splitter,
                key,
                sent_at,
            },
        }));
    }
}

/// Returns a response that is not a stream.
async fn non_stream_answer(
    shared: &Shared,
    original: &Original,
    placement: Placement,
    answer: endpoint::client::Reply,
) -> OpenOutcome {
    let mut placement = placement;
    let key = placement.engine();
    let status = answer.status();
    shared.record_answer(key, status.is_server_error());
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return fail(shared, key, format!("invalid response with {status}"));
    }
    let headers = head::response_headers(answer.headers());
    let held = shared.buffers.hold(Use::Response, &original.inbound.id);
    match read_body(answer, &held).await {
        Ok(body) => {
            placement.end();
            OpenOutcome::Answer(reply::counted(status, headers, body, held))
        }
        Err(_) if held.reason().is_some() => OpenOutcome::GivenUp(Refusal::OutOfMemory),
        Err(error) => fail(shared, key, error.to_string()),
    }
}
