//! Sends requests to endpoints, directly or through a peer.
//!
//! Nothing is written to an endpoint before a connection or a tunnel to it is open, so that another
//! way may be tried until then. Each try takes less than 300 ms, after which the request is admitted
//! again: its key may have been revoked, and its endpoint may be leaving.

use {
    crate::{clock, gossip::statements, prelude::*},
    endpoint::client::{Reply, Sent},
    forward::{paths::Change, tunnel::Failure},
    http_body_util::Full,
    peer::tunnel,
    platform::condition,
    std::io,
};

/// Time without an answer after which it is checked whether the endpoint can still be reached. Bytes
/// on an open connection vanish without a trace when its links are cut.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait for peers to open a tunnel: an attempt to connect of one of them, and the way there.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(280);

/// Maximum number of peers that are asked for one tunnel.
const MAX_TUNNEL_TRIES: usize = 4;

/// Whether a request shares its connection with other requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse<'a> {
    /// It may use one that was open before and has not carried this id, and leaves it to others. The response names the id.
    Allowed(&'a str),
    /// It has one of its own, so that its response is no late copy of another one.
    Never,
}

/// Sends a call that has no id to an endpoint, on a connection of its own.
///
/// # Errors
///
/// [`endpoint::Error::unwritten`] says whether the endpoint may have received anything.
pub async fn call(
    shared: &Shared,
    key: EndpointKey,
    request: Request<Full<Bytes>>,
) -> Result<Reply, endpoint::Error> {
    send(shared, key, request, Reuse::Never, || true).await
}

/// Sends a request to an endpoint if `may_write` still allows it once there is a connection.
///
/// # Errors
///
/// [`endpoint::Error::unwritten`] says whether the endpoint may have received anything;
/// [`endpoint::Error::Withheld`] if `may_write` did not allow it.
pub async fn send(
    shared: &Shared,
    key: EndpointKey,
    request: Request<Full<Bytes>>,
    reuse: Reuse<'_>,
    may_write: impl Fn() -> bool,
) -> Result<Reply, endpoint::Error> {
    let (mut request, mut reuse) = (request, reuse);
    let Some((address, service)) = shared.endpoint_service(key) else {
        return Err(unreachable_error("endpoint is no longer listed"));
    };
    let text = address.to_string();
    if let Reuse::Allowed(id) = reuse {
        let sending = shared.client.send_idle(&text, id, request);
        let tried = watch(shared, key, &text, sending).await?;
        if tried.is_repeat {
            let endpoint = shared.endpoint_name(key);
            log::info!(id, endpoint; "idle connections have carried the request before");
            shared.metrics.record_repeated_id();
            // The pool would gain a connection with each request of a caller that repeats an id.
            reuse = Reuse::Never;
        }
        match tried.sent {
            Sent::Answered(reply) => {
                let mut state = shared.state.borrow_mut();
                state.record_answer_on_open_connection(clock::now(), key);
                return Ok(reply);
            }
            Sent::Unsent(unsent) => request = unsent,
        }
    }
    if !shared.is_partitioned(&service) {
        return send_directly(shared, key, &text, request, reuse, may_write).await;
    }
    match open_tunnel(shared, key, address).await {
        Some(Ok(_)) if !may_write() => Err(endpoint::Error::Withheld),
        Some(Ok((peer, stream))) => {
            shared.metrics.record_tunnel("opened");
            let incarnation = shared.incarnation_of(key);
            let reply = shared.client.send_over(stream, request).await?;
            let stated = condition::read(reply.status(), reply.headers());
            if let Some(cooldown) = stated.cooldown {
                statements::pass_on_cooldown(shared, &peer, incarnation, cooldown);
            }
            Ok(reply)
        }
        Some(Err(error)) => Err(error),
        None => send_directly(shared, key, &text, request, reuse, may_write).await,
    }
}

/// One of the ways to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// A new connection of this instance.
    Direct,
    /// A tunnel through a peer.
    Peer,
}

/// Sends a call that has no id over the given way only, on a connection of its own.
///
/// # Errors
///
/// The endpoint cannot be reached over this way.
pub async fn call_by(
    shared: &Shared,
    key: EndpointKey,
    request: Request<Full<Bytes>>,
    route: Route,
) -> Result<Reply, endpoint::Error> {
    let Some((address, _)) = shared.endpoint_service(key) else {
        return Err(unreachable_error("endpoint is no longer listed"));
    };
    if route == Route::Direct {
        return shared
            .client
            .send_alone(&address.to_string(), request)
            .await;
    }
    match open_tunnel(shared, key, address).await {
        Some(opened) => shared.client.send_over(opened?.1, request).await,
        None => Err(unreachable_error("there is no peer to go through")),
    }
}

/// Sends a request on a new direct connection, and records whether it was answered.
async fn send_directly(
    shared: &Shared,
    key: EndpointKey,
    address: &str,
    request: Request<Full<Bytes>>,
    reuse: Reuse<'_>,
    may_write: impl Fn() -> bool,
) -> Result<Reply, endpoint::Error> {
    let stream = shared.client.connect(address).await;
    let stream = stream.inspect_err(|error| record_unreached(shared, key, is_timeout(error)))?;
    if !may_write() {
        return Err(endpoint::Error::Withheld);
    }
    let sending = async {
        match reuse {
            Reuse::Allowed(id) => shared.client.send_on(address, id, stream, request).await,
            Reuse::Never => shared.client.send_over(stream, request).await,
        }
    };
    let sent = watch(shared, key, address, sending).await;
    match &sent {
        Ok(_) => record_reached(shared, key),
        Err(_) => record_unreached(shared, key, false),
    }
    sent
}

/// Waits for a direct send, and has the endpoint checked if it is silent for long.
async fn watch<T>(
    shared: &Shared,
    key: EndpointKey,
    address: &str,
    sending: impl Future<Output = T>,
) -> T {
    tokio::pin!(sending);
    if let Ok(sent) = timeout(SILENCE_TIMEOUT, &mut sending).await {
        return sent;
    }
    shared.client.drop_idle(address);
    let now = clock::now();
    shared.state.borrow_mut().record_silence(now, key);
    sending.await
}

/// Opens a tunnel to an endpoint through one of the peers, and returns the peer's name with it; `None` if there is none
/// to ask.
async fn open_tunnel(
    shared: &Shared,
    key: EndpointKey,
    endpoint: SocketAddr,
) -> Option<Result<(String, tunnel::Stream), endpoint::Error>> {
    let own = &shared.settings.instance.name;
    let datagrams = shared.peers.datagrams.borrow().clone()?;
    let deadline = clock::now().after(TUNNEL_TIMEOUT);
    for _ in 0..MAX_TUNNEL_TRIES {
        let picked = {
            let state = shared.state.borrow();
            state.tunnels.pick(clock::now(), &state.members, own)
        };
        let name = picked?;
        let Some(address) = shared.peers.address(&name) else {
            record_failure(shared, &name, Failure::Unanswered);
            continue;
        };
        let left = deadline.since(clock::now());
        if left.is_zero() {
            return Some(Err(unreachable_error("no peer has answered in time")));
        }
        let opened = timeout(left, datagrams.open_tunnel(address, endpoint)).await;
        let failure = match opened {
            Ok(Ok(mut stream)) => {
                stream.hold(shared.state.borrow_mut().tunnels.record_opened(&name));
                return Some(Ok((name, stream)));
            }
            Ok(Err(tunnel::Failure::CoolingDown(left))) => {
                let incarnation = shared.incarnation_of(key);
                statements::apply_cooldown(shared, incarnation, left);
                return Some(Err(endpoint::Error::Withheld));
            }
            Ok(Err(tunnel::Failure::Unreached)) => {
                record_failure(shared, &name, Failure::Unreached);
                return Some(Err(unreachable_error("a peer cannot reach it either")));
            }
            Ok(Err(tunnel::Failure::Refused)) => Failure::Refused,
            Ok(Err(tunnel::Failure::Unanswered(_))) | Err(_) => Failure::Unanswered,
        };
        record_failure(shared, &name, failure);
    }
    None
}

fn record_failure(shared: &Shared, peer: &str, failure: Failure) {
    log::info!(fellow = peer, failure:?; "peer instance opened no tunnel");
    shared.metrics.record_tunnel(match failure {
        Failure::Refused => "refused",
        Failure::Unanswered => "unanswered",
        Failure::Unreached => "unreached",
    });
    let mut state = shared.state.borrow_mut();
    state.tunnels.record_failure(clock::now(), peer, failure);
}

/// Records that an endpoint was reached directly.
pub fn record_reached(shared: &Shared, key: EndpointKey) {
    let change = shared.state.borrow_mut().record_reached(clock::now(), key);
    if change.is_some() {
        announce(
            shared,
            key,
            "endpoints can be reached directly again",
            "healed",
        );
    }
}

/// Records that an endpoint could not be reached directly. If connections hang, those that are open
/// to other endpoints of a partitioned service do so too, and are not used again.
pub fn record_unreached(shared: &Shared, key: EndpointKey, hangs: bool) {
    if hangs {
        shared.state.borrow_mut().record_hang(clock::now(), key);
    }
    let change = shared
        .state
        .borrow_mut()
        .record_unreached(clock::now(), key);
    if change != Some(Change::Partitioned) {
        return;
    }
    announce(
        shared,
        key,
        "endpoints cannot be reached directly",
        "partitioned",
    );
    let Some((_, service)) = shared.endpoint_service(key).filter(|_| hangs) else {
        return;
    };
    let state = shared.state.borrow();
    for (_, endpoint) in state.endpoints() {
        if endpoint.listing.service == service {
            let address = endpoint.listing.address.to_string();
            shared.client.drop_idle(&address);
        }
    }
}

fn announce(shared: &Shared, key: EndpointKey, event: &str, change: &'static str) {
    let Some((_, service)) = shared.endpoint_service(key) else {
        return;
    };
    let (listed, unreachable) = {
        let state = shared.state.borrow();
        state.count_unreachable(clock::now(), &service)
    };
    log::info!(service, listed, unreachable; "{event}");
    shared.metrics.record_tunnel(change);
    shared.room.notify_waiters();
}

/// Whether a connection was not answered at all, rather than refused.
#[must_use]
pub fn is_timeout(error: &endpoint::Error) -> bool {
    matches!(error, endpoint::Error::Connect(error) if error.kind() == io::ErrorKind::TimedOut)
}

fn unreachable_error(why: &'static str) -> endpoint::Error {
    endpoint::Error::Connect(io::Error::new(io::ErrorKind::HostUnreachable, why))
}
