//! Requests whose answers are taken in whole before they are passed on.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, Sent},
        gossip,
        prelude::*,
        progress::Progress,
        reply,
        shared::{InFlight, Waiting},
    },
    forward::{
        choice::{Need, Pick},
        request::Ticket,
    },
    platform::head::{self, ResponseFlags},
};

/// Largest answer that is taken in whole, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// Share of a route's timeout that a request waits for an endpoint with room.
const WAIT_SHARE: f64 = 0.5;

/// How an attempt ended.
enum Attempt {
    /// With an answer for the caller.
    Answered(Reply),
    /// Another endpoint may be tried.
    Again,
    /// No more tries.
    Over(Refusal),
}

/// An answer, taken in whole.
struct Whole {
    body: Bytes,
    headers: http::HeaderMap,
    status: StatusCode,
    verdict: ResponseFlags,
}

/// Why there is no answer.
struct Failure {
    why: String,
    /// Whether anything was written to the endpoint.
    written: bool,
}

/// Serves a request.
///
/// # Errors
///
/// The truthful refusal or failure.
pub async fn serve(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: Ticket,
) -> Result<Reply, Refusal> {
    let mut progress = Progress::default();
    let mut ticket = ticket;
    let id = &original.inbound.id;
    loop {
        match attempt(shared, original, &mut ticket, &mut progress).await {
            Attempt::Answered(reply) => return Ok(reply),
            Attempt::Over(refusal) => return progress.end(id, refusal),
            Attempt::Again => {}
        }
        if !progress.may_send(shared, &ticket) {
            return progress.end(id, Refusal::Full);
        }
    }
}

async fn attempt(
    shared: &Rc<Shared>,
    original: &Original,
    ticket: &mut Ticket,
    progress: &mut Progress,
) -> Attempt {
    let patience = ticket.route.timeout.mul_f64(WAIT_SHARE);
    let until = original.inbound.arrived.after(patience).min(ticket.expires);
    let placed = place(shared, ticket, Need::default(), &progress.tried, until).await;
    let Some((key, _)) = placed else {
        progress.why = "no endpoint with room".to_string();
        return Attempt::Over(Refusal::Full);
    };
    match shared.readmit(original, ticket) {
        Ok(true) => {}
        Ok(false) => return Attempt::Again,
        Err(refusal) => return Attempt::Over(refusal),
    }
    let _in_flight = InFlight::new(shared, key);
    shared.count_send(&ticket.service, progress.sends > 0);
    progress.sends += 1;
    match send(shared, original, ticket, progress, key).await {
        Ok(answer) => judge(shared, ticket, progress, key, answer),
        Err(failure) => {
            shared.unreachable(key);
            if failure.written {
                progress.ran(key, failure.why);
            } else {
                progress.why = failure.why;
                // It never arrived, so it counts neither as a try nor for the budget; the
                // endpoint is avoided for a while, so the next one is asked.
                progress.sends -= 1;
                shared.take_back_send(&ticket.service, progress.sends > 0);
            }
            after_failure(ticket, progress, failure.written)
        }
    }
}

/// Sends the request and takes the answer in whole.
async fn send(
    shared: &Shared,
    original: &Original,
    ticket: &Ticket,
    progress: &Progress,
    key: EndpointKey,
) -> Result<Whole, Failure> {
    let limit = ticket.try_limit(clock::now(), progress.runs);
    let destination = Destination {
        backup: None,
        customer: ticket.customer.as_deref(),
        expires: ticket.expires,
        key,
        last_event: None,
        source: None,
    };
    let unknown = |why: String| Failure { why, written: true };
    let read = async {
        match exchange::send(shared, original, &destination, limit).await {
            Sent::Answer(reply, verdict) => {
                let status = reply.status();
                let headers = head::response_headers(reply.headers());
                let body = reply.read_body(MOST_ANSWER).await;
                Ok(Whole {
                    body: body.map_err(|error| unknown(error.to_string()))?,
                    headers,
                    status,
                    verdict,
                })
            }
            Sent::NotWritten(why) => Err(Failure {
                why,
                written: false,
            }),
            Sent::Unknown(why) => Err(unknown(why)),
        }
    };
    let whole = timeout(limit, read).await;
    whole.unwrap_or_else(|_| Err(unknown("answer not whole in time".to_string())))
}

/// Whether an answer goes to the caller.
fn judge(
    shared: &Shared,
    ticket: &Ticket,
    progress: &mut Progress,
    key: EndpointKey,
    answer: Whole,
) -> Attempt {
    let status = answer.status;
    if answer.verdict.not_run {
        shared.full(key, status);
        progress.turned_down(key, format!("turned down with {status}"));
        return Attempt::Again;
    }
    shared.answered(key, status.is_server_error());
    let proper = answer.verdict.sealed && !answer.verdict.encoded;
    let promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if (status.is_success() && !proper) || promise {
        progress.ran(key, format!("improper answer with {status}"));
        return after_failure(ticket, progress, true);
    }
    let retry = status.is_server_error()
        && ticket.may_run_again(progress.runs + 1)
        && progress.may_send(shared, ticket);
    if retry {
        progress.ran(key, format!("failed with {status}"));
        progress.failure = Some(reply::whole(status, answer.headers, answer.body));
        return Attempt::Again;
    }
    Attempt::Answered(reply::whole(status, answer.headers, answer.body))
}

/// Whether a send that failed leaves room for another one.
fn after_failure(ticket: &Ticket, progress: &Progress, written: bool) -> Attempt {
    let over = clock::now() >= ticket.expires;
    match (written, over) {
        (_, true) => Attempt::Over(Refusal::TimedOut),
        (false, false) => Attempt::Again,
        (true, false) if ticket.may_run_again(progress.runs) => Attempt::Again,
        (true, false) => Attempt::Over(Refusal::Broken),
    }
}

/// Waits for an endpoint with room; `None` if there was none until `until`.
pub async fn place(
    shared: &Rc<Shared>,
    ticket: &Ticket,
    need: Need,
    tried: &[EndpointKey],
    until: Time,
) -> Option<(EndpointKey, Option<EndpointKey>)> {
    let mut waiting = None::<Waiting>;
    loop {
        let room = shared.room.notified();
        let passed_over = waiting.as_ref().is_some_and(Waiting::passed_over);
        if !passed_over && need.prompt > 0 {
            gossip::tell::refresh(shared).await;
        }
        let now = clock::now();
        if !passed_over {
            let pick = shared
                .state
                .borrow_mut()
                .pick(now, &ticket.service, need, tried);
            if let Pick::Send(key, backup) = pick {
                return Some((key, backup));
            }
        }
        if now >= until {
            return None;
        }
        waiting.get_or_insert_with(|| Waiting::new(shared, ticket));
        // Room also comes about by time alone, when a pause after a failure ends.
        let pause = until.since(now).min(ROOM_CHECK);
        let _announced = timeout(pause, room).await;
    }
}

/// How often a waiting request looks for room that nobody announced.
const ROOM_CHECK: Duration = Duration::from_millis(25);
