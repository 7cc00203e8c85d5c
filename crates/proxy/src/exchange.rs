//! Sends one request to one endpoint and waits for the head of its response.

use {
    crate::{
        clock,
        exposure::Exposure,
        gossip::limits,
        memory::Held,
        path::{self, Reuse},
        prelude::*,
    },
    forward::{cooldown::Permit, part},
    http_body_util::Full,
    platform::head::{self, ForwardingHeaders, KvSource, ResponseFlags},
};

/// Result of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The endpoint responded; the body has not been read.
    Answer(Box<endpoint::client::Reply>, ResponseFlags),
    /// The connection broke, for this reason; the endpoint may have run the request.
    Broken(String),
    /// Nothing was written to the connection, for this reason.
    NotWritten(String),
    /// The endpoint may have run the request; why the result is unknown.
    Unknown(String),
    /// Nothing was sent, since the endpoint takes no more now: it names a limit, is in its cooldown or states that it
    /// leaves.
    Withheld,
}

impl SendOutcome {
    /// Whether the endpoint has not run the request and never will.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        match self {
            Self::Answer(_, flags) => flags.not_run,
            Self::NotWritten(_) | Self::Withheld => true,
            Self::Broken(_) | Self::Unknown(_) => false,
        }
    }
}

/// A caller's buffered request, so that it can be retried.
#[derive(Debug)]
pub struct Original {
    /// Body.
    pub body: Bytes,
    /// Sends of the request that endpoints may have run.
    pub exposure: Exposure,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// Whether an endpoint has answered it and lived on, so that no part of its prompt crashes endpoints.
    pub is_proven: Cell<bool>,
    /// Whether it is let through although a part of its prompt is refused.
    pub is_trial: Cell<bool>,
    /// Counts the body.
    pub held: Held,
    /// Fields of the request that routing and admission use.
    pub inbound: Inbound,
    /// Head.
    pub parts: Parts,
}

impl Original {
    /// The refusal to report for the request: once an endpoint may have run it, none that claims that it has not run.
    #[must_use]
    pub fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal {
            refusal if self.exposure.count() == 0 => refusal,
            Refusal::Expired | Refusal::TimedOut => Refusal::TimedOut,
            _ => Refusal::Broken,
        }
    }
}

/// Target endpoint of a send and the headers that go with it.
#[derive(Clone, Debug)]
pub struct Destination<'a> {
    /// Engine that receives the backup copy of the KV cache.
    pub backup: Option<EndpointKey>,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Deadline of the caller.
    pub expires: Time,
    /// The endpoint.
    pub key: EndpointKey,
    /// Id of the last event that the caller has received, if the stream resumes after it.
    pub last_event: Option<&'a str>,
    /// Copy from which the engine continues a run.
    pub source: Option<&'a KvSource>,
}

impl Destination<'_> {
    /// Requests that continue a run have connections of their own: engines have seen their ids.
    const fn reuse<'a>(&self, id: &'a str) -> Reuse<'a> {
        if self.source.is_some() || self.last_event.is_some() {
            Reuse::Never
        } else {
            Reuse::Allowed(id)
        }
    }
}

/// Sends a request and waits for the head of the response, until the caller's deadline or
/// until `limit` has passed.
pub async fn send(
    shared: &Shared,
    original: &Original,
    destination: &Destination<'_>,
    limit: Duration,
) -> SendOutcome {
    let urgent = destination.source.is_some();
    if !limits::admit(shared, destination.key, urgent).await {
        return SendOutcome::Withheld;
    }
    let Some((_, endpoint)) = shared.endpoint_address(destination.key) else {
        return SendOutcome::NotWritten("endpoint is no longer listed".to_string());
    };
    let Some(permit) = SendPermit::new(shared, destination.key, urgent) else {
        return SendOutcome::Withheld;
    };
    let left = destination.expires.since(clock::now());
    let backup = destination
        .backup
        .and_then(|key| shared.endpoint_address(key));
    let directions = ForwardingHeaders {
        backup: backup.map(|(address, _)| address),
        customer: destination.customer,
        endpoint: &endpoint,
        last_event: destination.last_event,
        left,
        source: destination.source,
    };
    let request = head::outbound(&original.parts, original.body.clone(), &directions);
    let request = match request {
        Ok(request) => request,
        Err(error) => return SendOutcome::NotWritten(error.to_string()),
    };
    shared.record_send(destination.key);
    log_send(shared, original, destination, &endpoint);
    let _unanswered = Unanswered::new(shared, destination.key);
    let exposed = original.exposure.begin();
    let outcome = exchange(
        shared,
        &permit,
        request,
        &original.inbound.id,
        destination.reuse(&original.inbound.id),
        limit.min(left),
    )
    .await;
    if outcome.is_not_run() {
        exposed.retract();
    }
    match &outcome {
        SendOutcome::NotWritten(_) => shared.record_unreachable(destination.key),
        SendOutcome::Answer(reply, flags) => {
            shared.record_flags(destination.key, reply.status(), *flags, permit.sent());
        }
        SendOutcome::Broken(_) | SendOutcome::Unknown(_) | SendOutcome::Withheld => {}
    }
    outcome
}

/// Leave to send a request to an endpoint, given back when dropped.
struct SendPermit<'a> {
    incarnation: u32,
    key: EndpointKey,
    permit: Permit,
    sent_at: Time,
    shared: &'a Shared,
    urgent: bool,
}

impl<'a> SendPermit<'a> {
    /// `None` if the endpoint takes no requests now.
    fn new(shared: &'a Shared, key: EndpointKey, urgent: bool) -> Option<Self> {
        let sent_at = clock::now();
        let mut state = shared.state.borrow_mut();
        let permit = state.permit_send(sent_at, key, urgent)?;
        drop(state);
        Some(Self {
            incarnation: shared.incarnation_of(key),
            key,
            permit,
            sent_at,
            shared,
            urgent,
        })
    }

    /// Whether the request may still be written.
    fn holds(&self) -> bool {
        let state = self.shared.state.borrow();
        state.may_write(clock::now(), self.key, self.incarnation, self.urgent)
    }

    /// When the request was sent, and to which incarnation.
    const fn sent(&self) -> (Time, u32) {
        (self.sent_at, self.incarnation)
    }
}

impl Drop for SendPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        state.end_send(self.key, self.permit);
    }
}

/// Counts a send that an endpoint has not answered yet, until dropped.
struct Unanswered<'a> {
    key: EndpointKey,
    shared: &'a Shared,
}

impl<'a> Unanswered<'a> {
    fn new(shared: &'a Shared, key: EndpointKey) -> Self {
        if let Some(endpoint) = shared.state.borrow_mut().endpoint_mut(key) {
            endpoint.exposure.record_send();
        }
        Self { key, shared }
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if let Some(endpoint) = self.shared.state.borrow_mut().endpoint_mut(self.key) {
            endpoint.exposure.record_end();
        }
    }
}

/// Logs the choice of an endpoint with the data that it was based on.
fn log_send(shared: &Shared, original: &Original, destination: &Destination, endpoint: &str) {
    let now = clock::now();
    let state = shared.state.borrow();
    let copy = destination.backup.and_then(|key| state.endpoint(key));
    let load = state.load_at(destination.key);
    let age = state.list_freshness.age(now).unwrap_or(Duration::MAX);
    log::info!(
        id = original.inbound.id, customer = destination.customer.unwrap_or_default(),
        fingerprint:% = original.fingerprint, endpoint, copy = copy.map_or("", |copy| copy.listing.id.as_str()),
        goes_on = destination.source.is_some(),
        parts = part::join(&original.inbound.parts),
        last_event = destination.last_event.unwrap_or_default(), requests = load.requests,
        tokens = load.tokens, list_age_ms = age.as_millis(),
        load_age_ms = state.sums.age(now).unwrap_or_default().as_millis(),
        config = state.config().map_or(0, |config| config.version); "sent"
    );
}

async fn exchange(
    shared: &Shared,
    permit: &SendPermit<'_>,
    request: Request<Full<Bytes>>,
    id: &str,
    reuse: Reuse<'_>,
    limit: Duration,
) -> SendOutcome {
    let key = permit.key;
    let sending = path::send(shared, key, request, reuse, || permit.holds());
    match timeout(limit, sending).await {
        Err(_) => SendOutcome::Unknown("no response within the time limit".to_string()),
        Ok(Err(endpoint::Error::Withheld)) => SendOutcome::Withheld,
        Ok(Err(error)) if error.unwritten() => SendOutcome::NotWritten(error.to_string()),
        Ok(Err(error)) if error.is_break_of_endpoint() => SendOutcome::Broken(error.to_string()),
        Ok(Err(error)) => SendOutcome::Unknown(error.to_string()),
        Ok(Ok(reply)) => {
            shared.record_heard(key);
            shared.note_conditions(key, reply.headers());
            let flags = head::response_flags(reply.status(), reply.headers(), id);
            if !flags.matches {
                // A late response to an earlier request. The right one may follow, but the
                // connection is out of sync.
                log_foreign(shared, key, id, &reply);
                return SendOutcome::Unknown("response belongs to another request".to_string());
            }
            SendOutcome::Answer(Box::new(reply), flags)
        }
    }
}

/// Logs a response that stood where that of another request was due.
fn log_foreign(shared: &Shared, key: EndpointKey, id: &str, reply: &endpoint::client::Reply) {
    let endpoint = shared.endpoint_name(key);
    let answered = head::answered_id(reply.headers()).unwrap_or_default();
    log::warn!(
        id, endpoint, answered, status = reply.status().as_u16();
        "response belongs to another request"
    );
}
