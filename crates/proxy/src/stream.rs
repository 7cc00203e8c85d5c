//! Streams of events: from the request to the first event.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, Sent},
        plain::place,
        prelude::*,
        progress::Progress,
        relay::{Relay, Start},
        reply,
        shared::Running,
        transfer,
    },
    endpoint::sse::EventSplitter,
    forward::{choice::Need, prelude::Run, request::Ticket},
    platform::head,
    tokio::sync::mpsc,
};

/// Share of the target for the first event in which a place is waited for; what is left
/// is needed for reading the prompt.
const WAIT_SHARE: f64 = 0.7;

/// Parts that wait for a caller who reads slowly.
const MOST_BUFFERED: usize = 256;

/// Output tokens expected where the caller gives no bound: a few hundred are typical.
const TYPICAL_OUTPUT: u32 = 256;

/// Serves a request for a stream: its answer begins with the first event, so that a
/// failure before it has a status.
///
/// # Errors
///
/// The truthful refusal or failure.
pub async fn serve(
    shared: &Rc<Shared>,
    original: &Rc<Original>,
    ticket: Ticket,
    busy: crate::listen::Busy,
) -> Result<Reply, Refusal> {
    let mut ticket = ticket;
    let mut progress = Progress::default();
    let mut busy = Some(busy);
    let id = &original.inbound.id;
    loop {
        let until = original
            .inbound
            .arrived
            .after(ticket.route.target.mul_f64(WAIT_SHARE))
            .min(ticket.expires);
        let expected = expected(&original.inbound);
        let need = Need {
            output: expected,
            prompt: original.inbound.prompt,
        };
        let placed = place(shared, &ticket, need, &progress.tried, until).await;
        let Some((key, backup)) = placed else {
            progress.why = "no engine with room".to_string();
            return Err(progress.give_up(id, Refusal::Full));
        };
        // No event has reached the caller, so the newest configuration decides.
        match shared.readmit(original, &mut ticket) {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => return Err(progress.give_up(id, refusal)),
        }
        shared.count_send(&ticket.service, progress.sends > 0);
        progress.sends += 1;
        let running = begin(shared, original, &ticket, key, backup, expected);
        let opened = open(shared, original, &ticket, &progress, key, backup).await;
        match opened {
            Opened::Answer(reply) => return Ok(reply),
            Opened::Unknown(refusal, why) => {
                progress.ran(key, why);
                if clock::now() >= ticket.expires || !progress.may_send(shared, &ticket) {
                    return Err(progress.give_up(id, refusal));
                }
            }
            Opened::Stream(opening) => {
                let (out, parts) = mpsc::channel(MOST_BUFFERED);
                let mut reply = Response::new(Body::Parts(parts));
                *reply.headers_mut() = opening.headers;
                shared
                    .meters
                    .first_event(clock::now().since(original.inbound.arrived));
                let start = Start {
                    busy: busy.take(),
                    original: Rc::clone(original),
                    out,
                    progress,
                    running,
                    source: opening.source,
                    ticket,
                };
                let relay = Relay::new(shared, start);
                tokio::task::spawn_local(relay.run(opening.blocks, opening.ended));
                return Ok(reply);
            }
            Opened::NotReached => {
                // It never arrived, so it counts neither as a try nor for the budget.
                progress.sends -= 1;
                shared.take_back_send(&ticket.service, progress.sends > 0);
            }
            Opened::NotRun(why) => {
                progress.turned_down(key, why);
                if !progress.may_send(shared, &ticket) {
                    return Err(progress.give_up(id, Refusal::Full));
                }
            }
        }
    }
}

/// Output tokens to expect: the caller's own estimate, right at the median.
fn expected(inbound: &Inbound) -> u32 {
    let most = if inbound.most_output == 0 {
        TYPICAL_OUTPUT
    } else {
        inbound.most_output
    };
    inbound.length_hint.map_or(most, |hint| hint.min(most))
}

fn begin(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &Ticket,
    key: EndpointKey,
    backup: Option<EndpointKey>,
    expected: u32,
) -> Running {
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
        most: original.inbound.most_output.max(expected),
        prompt: original.inbound.prompt,
        service: ticket.service.clone(),
        target: None,
        tokens_per_event,
    };
    Running::new(shared, run)
}

/// A stream whose first events are there.
struct Opening {
    blocks: Vec<Bytes>,
    ended: bool,
    headers: http::HeaderMap,
    source: transfer::Source,
}

enum Opened {
    Answer(Reply),
    NotReached,
    NotRun(String),
    Stream(Box<Opening>),
    /// It may have run: what to tell the caller, and why.
    Unknown(Refusal, String),
}

/// Sends the request and waits for the first event.
async fn open(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &Ticket,
    progress: &Progress,
    key: EndpointKey,
    backup: Option<EndpointKey>,
) -> Opened {
    let limit = ticket.try_limit(clock::now(), progress.runs);
    let destination = Destination {
        backup,
        customer: ticket.customer.as_deref(),
        expires: ticket.expires,
        key,
        last_event: ticket.resumes_behind(&original.inbound),
        source: None,
    };
    let opened = async {
        match exchange::send(shared, original, &destination, limit).await {
            Sent::NotWritten(why) => {
                shared.unreachable(key);
                log::info!(id = original.inbound.id, why; "engine not reached");
                Opened::NotReached
            }
            Sent::Unknown(why) => fail(shared, key, why),
            Sent::Answer(answer, verdict) if verdict.not_run => {
                shared.full(key, answer.status());
                Opened::NotRun(format!("turned down with {}", answer.status()))
            }
            Sent::Answer(answer, verdict) if answer.status() == StatusCode::OK => {
                if !verdict.sealed || verdict.encoded {
                    return fail(shared, key, "improper answer".to_string());
                }
                first_event(shared, key, answer).await
            }
            Sent::Answer(answer, _) => other_answer(shared, key, answer).await,
        }
    };
    timeout(limit, opened).await.unwrap_or_else(|_| {
        shared.unreachable(key);
        Opened::Unknown(Refusal::TimedOut, "no first event in time".to_string())
    })
}

fn fail(shared: &Shared, key: EndpointKey, why: String) -> Opened {
    shared.unreachable(key);
    Opened::Unknown(Refusal::Broken, why)
}

/// Reads until an event is whole.
async fn first_event(shared: &Shared, key: EndpointKey, answer: endpoint::client::Reply) -> Opened {
    let headers = head::response_headers(answer.headers());
    let mut answer = answer;
    let mut cutter = EventSplitter::default();
    loop {
        let part = match answer.chunk().await {
            Ok(part) => part,
            Err(error) => return fail(shared, key, error.to_string()),
        };
        let ended = part.is_none();
        let blocks = match cutter.feed(part.unwrap_or_default()) {
            Ok(blocks) => blocks,
            Err(error) => return fail(shared, key, error.to_string()),
        };
        if blocks.is_empty() && !ended {
            continue;
        }
        shared.answered(key, false);
        return Opened::Stream(Box::new(Opening {
            blocks,
            ended,
            headers,
            source: transfer::Source {
                answer,
                cutter,
                key,
            },
        }));
    }
}

/// Passes on an answer that is no stream.
async fn other_answer(
    shared: &Shared,
    key: EndpointKey,
    answer: endpoint::client::Reply,
) -> Opened {
    let status = answer.status();
    shared.answered(key, status.is_server_error());
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return fail(shared, key, format!("improper answer with {status}"));
    }
    let headers = head::response_headers(answer.headers());
    match answer.read_body(endpoint::sse::MAX_EVENT_BYTES).await {
        Ok(body) => Opened::Answer(reply::whole(status, headers, body)),
        Err(error) => fail(shared, key, error.to_string()),
    }
}
