//! One send to one endpoint.

use {
    crate::{clock, prelude::*},
    http_body_util::Full,
    platform::head::{self, ForwardingHeaders, KvSource, ResponseFlags},
};

/// What came of a send.
#[derive(Debug)]
pub enum Sent {
    /// The endpoint answered; the body has not been read.
    Answer(endpoint::client::Reply, ResponseFlags),
    /// Nothing was written.
    NotWritten(String),
    /// It may have been run: why nobody knows.
    Unknown(String),
}

/// A caller's request, kept whole so that it can be sent again.
#[derive(Clone, Debug)]
pub struct Original {
    /// Body.
    pub body: Bytes,
    /// What decisions need to know.
    pub inbound: Inbound,
    /// Head.
    pub parts: Parts,
}

/// Where a request goes, and with what.
#[derive(Clone, Debug)]
pub struct Destination<'a> {
    /// Engine for the copy of the KV memory.
    pub backup: Option<EndpointKey>,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// When the caller gives up.
    pub expires: Time,
    /// The endpoint.
    pub key: EndpointKey,
    /// Id of the last event that the caller has, if the stream goes on behind it.
    pub last_event: Option<&'a str>,
    /// Where a run that goes on comes from.
    pub source: Option<&'a KvSource>,
}

/// Sends a request and waits for the head of the answer, until the caller gives up or
/// `limit` has passed.
pub async fn send(
    shared: &Shared,
    original: &Original,
    destination: &Destination<'_>,
    limit: Duration,
) -> Sent {
    let Some((address, endpoint)) = shared.target(destination.key) else {
        return Sent::NotWritten("endpoint is gone".to_string());
    };
    let left = destination.expires.since(clock::now());
    let backup = destination.backup.and_then(|key| shared.target(key));
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
        Err(error) => return Sent::NotWritten(error.to_string()),
    };
    shared.sent(destination.key);
    log_send(shared, &original.inbound.id, destination, &endpoint);
    exchange(
        shared,
        address,
        request,
        &original.inbound.id,
        limit.min(left),
    )
    .await
}

/// One line for the choice of an endpoint, with what decided it.
fn log_send(shared: &Shared, id: &str, destination: &Destination, endpoint: &str) {
    let now = clock::now();
    let state = shared.state.borrow();
    let copy = destination.backup.and_then(|key| state.endpoint(key));
    let load = state.load_at(destination.key);
    let age = state.list_freshness.age(now).unwrap_or(Duration::MAX);
    log::info!(
        id, endpoint, copy = copy.map_or("", |copy| copy.listing.id.as_str()),
        goes_on = destination.source.is_some(),
        last_event = destination.last_event.unwrap_or_default(), requests = load.requests,
        tokens = load.tokens, list_age_ms = age.as_millis(),
        load_age_ms = state.sums.age(now).unwrap_or_default().as_millis(),
        config = state.config().map_or(0, |config| config.version); "sent"
    );
}

async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    id: &str,
    limit: Duration,
) -> Sent {
    let address = address.to_string();
    let sending = shared.client.send(&address, request);
    match timeout(limit, sending).await {
        Err(_) => Sent::Unknown("no answer in time".to_string()),
        Ok(Err(error)) if error.unwritten() => Sent::NotWritten(error.to_string()),
        Ok(Err(error)) => Sent::Unknown(error.to_string()),
        Ok(Ok(reply)) => {
            let verdict = head::response_flags(reply.status(), reply.headers(), id);
            if !verdict.matches {
                // A late second answer to an earlier request. The one that belongs here
                // may follow it, but this connection cannot be trusted any more.
                return Sent::Unknown("answer to another request".to_string());
            }
            Sent::Answer(reply, verdict)
        }
    }
}
