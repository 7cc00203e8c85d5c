//! Limits that endpoints name: what is known of them, and asks for requests.
//!
//! An ask goes to the coordinator of the endpoint, or to an instance that passes it on. The coordinator answers the one
//! that it got the ask from, which passes the answer back.

use {
    super::listeners,
    crate::{
        clock,
        message::{
            Message, Trailer,
            limits::{Answer, Ask, Limits, Origin, millis, raw_row, row},
        },
        prelude::*,
    },
    forward::{
        limit::Change,
        state::{self, Admission, Response},
    },
    tokio::sync::oneshot,
};

/// How long a request waits for the coordinator's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which peers are told of limits, since single messages may be lost.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two rounds of messages to peers; some endpoints name another limit in each answer.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of rows in a message, so that it fits into a datagram.
const MAX_ROWS: usize = 60;

/// An answer of a coordinator: the time after which to ask again if it refuses.
type Verdict = Result<(), Duration>;

/// Asks of this instance that are not answered yet.
#[derive(Debug, Default)]
pub struct Asks {
    last_number: u64,
    /// Sorted by number.
    pending: Vec<(u64, oneshot::Sender<Verdict>)>,
}

impl Asks {
    fn begin(&mut self) -> (u64, oneshot::Receiver<Verdict>) {
        self.last_number += 1;
        let (answer, answered) = oneshot::channel();
        self.pending.push((self.last_number, answer));
        (self.last_number, answered)
    }

    fn end(&mut self, number: u64) -> Option<oneshot::Sender<Verdict>> {
        let index = self
            .pending
            .binary_search_by_key(&number, |(other, _)| *other);
        index.ok().map(|index| self.pending.remove(index).1)
    }
}

/// An ask in progress. If it is dropped, it ends without an answer.
struct Pending<'a> {
    answer: Option<Verdict>,
    endpoint: u32,
    number: u64,
    shared: &'a Shared,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.shared.asks.borrow_mut().end(self.number);
        let mut state = self.shared.state.borrow_mut();
        state.end_ask(clock::now(), self.endpoint, self.answer);
    }
}

/// Whether a request may be sent to an endpoint; asks the coordinator if that names a limit. `urgent` requests are
/// for streams in progress that no other endpoint can continue.
pub async fn admit(shared: &Shared, key: EndpointKey, urgent: bool) -> bool {
    let own = &shared.settings.instance.name;
    let admission = shared
        .state
        .borrow_mut()
        .admit_limited(clock::now(), own, key, urgent);
    let coordinator = match admission {
        Admission::Free => return true,
        Admission::Granted => {
            shared.metrics.record_limited("granted");
            return true;
        }
        Admission::Refused => {
            shared.metrics.record_limited("refused");
            return false;
        }
        Admission::Ask(coordinator) => coordinator,
    };
    let answer = ask(shared, key, &coordinator, urgent).await;
    let outcome = match answer {
        Some(Ok(())) => "granted",
        Some(Err(_)) => "refused",
        None => "unanswered",
    };
    shared.metrics.record_limited(outcome);
    answer == Some(Ok(()))
}

/// Asks for a request to an endpoint; `None` if there is no answer in time.
async fn ask(
    shared: &Shared,
    key: EndpointKey,
    coordinator: &str,
    urgent: bool,
) -> Option<Verdict> {
    let (endpoint, domain) = {
        let state = shared.state.borrow();
        let endpoint = state.endpoint(key)?;
        (endpoint.incarnation, endpoint.listing.domain.clone())
    };
    let (number, answered) = shared.asks.borrow_mut().begin();
    let mut pending = Pending {
        answer: None,
        endpoint,
        number,
        shared,
    };
    let ask = Ask {
        domain,
        endpoint,
        hops: 0,
        origin: Origin {
            incarnation: shared.incarnation,
            name: shared.settings.instance.name.clone(),
            number,
        },
        urgent,
    };
    send(shared, coordinator, vec![ask], Vec::new(), &[endpoint]);
    pending.answer = timeout(ASK_TIMEOUT, answered).await.ok()?.ok();
    pending.answer
}

/// Tells peers of limits; never returns.
pub async fn run(shared: &Shared) {
    loop {
        let _changed = timeout(REFRESH_INTERVAL, shared.limits_changed.notified()).await;
        let now = clock::now();
        let rows = shared.state.borrow().limits.rows(now);
        shared.metrics.record_limited_endpoints(rows.len());
        let endpoints = rows.iter().map(|row| row.incarnation);
        let endpoints = endpoints.collect::<Vec<_>>();
        for part in endpoints.chunks(MAX_ROWS) {
            for name in listeners(shared, now) {
                send(shared, &name, Vec::new(), Vec::new(), part);
            }
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Takes a message of a peer.
pub fn receive(shared: &Shared, message: Limits) {
    let now = clock::now();
    let rows = message.rows.into_iter().map(row).collect::<Vec<_>>();
    let changes = shared.state.borrow_mut().limits.merge(now, &rows);
    for (endpoint, change) in &changes {
        log_change(shared, *endpoint, *change, &message.name);
    }
    if !changes.is_empty() {
        shared.limits_changed.notify_one();
    }
    for ask in message.asks {
        receive_ask(shared, now, &message.name, ask);
    }
    for answer in message.answers {
        receive_answer(shared, answer);
    }
}

fn receive_ask(shared: &Shared, now: Time, sender: &str, mut ask: Ask) {
    let own = &shared.settings.instance.name;
    let endpoint = ask.endpoint;
    let asked = state::Ask {
        domain: &ask.domain,
        endpoint,
        hops: ask.hops,
        urgent: ask.urgent,
    };
    let response = shared.state.borrow_mut().take_ask(now, own, asked);
    let verdict = match response {
        Response::Answer(verdict) => verdict,
        Response::PassOn(coordinator) => {
            ask.hops = ask.hops.saturating_add(1);
            send(shared, &coordinator, vec![ask], Vec::new(), &[endpoint]);
            return;
        }
    };
    let answer = Answer {
        origin: ask.origin,
        pause_ms: verdict.err().map(millis),
    };
    send(shared, sender, Vec::new(), vec![answer], &[endpoint]);
}

fn receive_answer(shared: &Shared, answer: Answer) {
    let Origin {
        incarnation,
        name,
        number,
    } = &answer.origin;
    if *name != shared.settings.instance.name {
        let name = name.clone();
        send(shared, &name, Vec::new(), vec![answer], &[]);
        return;
    }
    if *incarnation != shared.incarnation {
        return;
    }
    // A late answer finds its ask ended; what it grants is not used.
    if let Some(pending) = shared.asks.borrow_mut().end(*number) {
        let pause = answer
            .pause_ms
            .map(|millis| Duration::from_millis(u64::from(millis)));
        let _waiting = pending.send(pause.map_or(Ok(()), Err));
    }
}

/// Logs a change of an endpoint's limit; `source` is the instance that got the answer.
pub fn log_change(shared: &Shared, incarnation: u32, change: Change, source: &str) {
    let state = shared.state.borrow();
    let mut endpoints = state.endpoints().map(|(_, endpoint)| endpoint);
    let endpoint = endpoints.find(|endpoint| endpoint.incarnation == incarnation);
    let (id, service) = endpoint.map_or(("", ""), |endpoint| {
        let listing = &endpoint.listing;
        (listing.id.as_str(), listing.service.as_str())
    });
    let limit = match change {
        Change::Ended => None,
        Change::Named(rate) => Some(rate),
    };
    log::info!(endpoint = id, service, limit:?, source; "limit of endpoint changed");
}

/// Sends asks and answers to a peer, with what is known of the limits of some endpoints.
fn send(shared: &Shared, name: &str, asks: Vec<Ask>, answers: Vec<Answer>, endpoints: &[u32]) {
    let Some(address) = shared.peers.address(name) else {
        return;
    };
    let now = clock::now();
    let rows = {
        let state = shared.state.borrow();
        let rows = endpoints.iter().filter_map(|id| state.limits.row(now, *id));
        rows.map(raw_row).collect()
    };
    let message = Limits {
        answers,
        asks,
        name: shared.settings.instance.name.clone(),
        rows,
    };
    let Some(data) = Message::Limits(message).encode(&Trailer::default()) else {
        return;
    };
    let datagrams = shared.peers.datagrams.borrow();
    let Some(datagrams) = datagrams.as_ref() else {
        return;
    };
    if let Err(error) = datagrams.send(address, data) {
        log::trace!(address:%, error:%; "cannot send message");
    }
}
