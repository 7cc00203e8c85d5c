//! Listeners for callers, readiness checks and metrics.

use {
    crate::{
        buffered, clock,
        exchange::Original,
        exposure::Exposure,
        follow,
        idle::{Activity, Tracked},
        memory::Held,
        prelude::*,
        reply, stream,
        upload::Upload,
    },
    endpoint::bounded::Bounded,
    forward::{memory::Use, request::Ticket},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    platform::head,
    std::convert::Infallible,
    std::io,
    tokio::net::{TcpListener, TcpSocket, TcpStream},
};

/// Send buffer of a connection. What the system buffers beyond it counts for no caller, and is not seen to be unread.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of times the buffer of a connection may be filled without a part of a request being complete.
const BUFFERS_BETWEEN_PARTS: usize = 4;

/// How long an idle connection may take to close, on which part of a request may have been read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Requests of callers.
    Callers,
    /// Metrics, on any path.
    Metrics,
    /// Readiness checks, on any path.
    Ready,
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Shared>);

impl RequestGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.in_progress.set(shared.in_progress.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Counts a connection of a caller as open until dropped.
struct OpenConnection(Rc<Shared>);

impl OpenConnection {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.connections.set(shared.connections.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Listens on an address.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, those of callers until the instance is about to exit: a connection that is refused shows that
/// nothing was read.
pub async fn accept(shared: Rc<Shared>, listener: TcpListener, role: Role) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = shared.exits(), if role == Role::Callers => return,
        };
        match accepted {
            Ok((stream, _)) if role == Role::Callers && !shared.accepts_connection() => {
                // Closed before anything is read, so that the caller may send the request elsewhere.
                drop(stream);
            }
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(Rc::clone(&shared), stream, role));
            }
            Err(error) => {
                log::warn!(error:%; "cannot accept connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(shared: Rc<Shared>, stream: TcpStream, role: Role) {
    let _open = (role == Role::Callers).then(|| OpenConnection::new(&shared));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "cannot set TCP_NODELAY");
    }
    let max_buffer = shared.limits().header.max(16 << 10);
    let stream = Bounded::with_limit(stream, max_buffer.saturating_mul(BUFFERS_BETWEEN_PARTS));
    let activity = Activity::new();
    let service = {
        let (shared, activity) = (Rc::clone(&shared), Rc::clone(&activity));
        let progress = stream.progress();
        service_fn(move |request: Request<Incoming>| {
            progress.record();
            let (busy, connection) = (activity.begin(), Rc::clone(&activity));
            let request = request.map(|body| Upload::new(body, progress.clone()));
            let handling = handle(Rc::clone(&shared), request, role);
            async move {
                let reply = handling.await?;
                if let Some(held) = reply.body().held() {
                    held.attach(&connection);
                }
                Ok::<_, Infallible>(reply.map(|body| Tracked { body, busy }))
            }
        })
    };
    let mut builder = http1::Builder::new();
    // The idle timeout may change while the connection is open, so hyper must not apply it.
    builder.header_read_timeout(None).max_buf_size(max_buffer);
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        () = activity.closes() => None,
        () = shared.stop.notified() => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                ended = serving.as_mut() => Some(ended),
                () = activity.closes() => None,
            }
        }
        () = activity.expired(&shared) => {
            serving.as_mut().graceful_shutdown();
            match timeout(CLOSE_TIMEOUT, serving.as_mut()).await {
                Ok(ended) => Some(ended),
                Err(_) if activity.is_busy() => tokio::select! {
                    ended = serving.as_mut() => Some(ended),
                    () = activity.closes() => None,
                },
                Err(_) => None,
            }
        }
    };
    if let Some(Err(error)) = ended {
        log::debug!(error:%; "connection ended with an error");
    }
}

async fn handle(
    shared: Rc<Shared>,
    request: Request<Upload>,
    role: Role,
) -> Result<Reply, Infallible> {
    Ok(match role {
        Role::Callers => handle_caller(&shared, request).await,
        Role::Metrics => reply::full(
            StatusCode::OK,
            http::HeaderMap::new(),
            shared.metrics.render().into(),
        ),
        Role::Ready if ready(&shared) => reply::empty(StatusCode::OK),
        Role::Ready => reply::empty(StatusCode::SERVICE_UNAVAILABLE),
    })
}

/// Whether the instance is ready for callers.
fn ready(shared: &Shared) -> bool {
    let now = clock::now();
    let state = shared.state.borrow();
    !shared.draining.get() && state.ready(now)
}

async fn handle_caller(shared: &Rc<Shared>, request: Request<Upload>) -> Reply {
    let arrived = clock::now();
    let guard = RequestGuard::new(shared);
    let (parts, body) = request.into_parts();
    // Against request smuggling: a chunked request may also have carried a content length,
    // of which hyper drops one, so nothing after it on the connection can be trusted.
    let chunked = parts.headers.contains_key(http::header::TRANSFER_ENCODING);
    let (mut reply, id) = match head::inbound(&parts, arrived) {
        Ok(inbound) => {
            let id = inbound.id.clone();
            (serve(shared, parts, inbound, body, guard).await, id)
        }
        Err(header) => {
            log::info!(header; "invalid or missing request header");
            (reply::refusal(Refusal::Bad, ""), String::new())
        }
    };
    if chunked || shared.draining.get() {
        let close = http::HeaderValue::from_static("close");
        reply.headers_mut().insert(http::header::CONNECTION, close);
    }
    log::debug!(id, status = reply.status().as_u16(); "answered");
    reply
}

/// Route data for the log line of a request, once it is known.
#[derive(Debug, Default)]
struct RouteInfo {
    /// Name of the customer; empty if the route requires no key.
    customer: String,
    name: String,
    target: Duration,
}

async fn serve(
    shared: &Rc<Shared>,
    parts: Parts,
    inbound: Inbound,
    body: Upload,
    guard: RequestGuard,
) -> Reply {
    let id = inbound.id.clone();
    let arrived = inbound.arrived;
    let path = inbound.path.clone();
    let mut route = RouteInfo::default();
    let result = forward(shared, parts, inbound, body, guard, &mut route).await;
    let (outcome, reply, streaming) = match result {
        Ok(reply) => {
            let streaming = reply.body().is_stream();
            ("answered", reply, streaming)
        }
        Err(refusal) => (refusal.label(), reply::refusal(refusal, &id), false),
    };
    if streaming {
        return reply;
    }
    let took = clock::now().since(arrived);
    let age = shared.state.borrow().config_freshness.age(clock::now());
    log::info!(
        id, route = route.name, customer = route.customer, path, outcome, status = reply.status().as_u16(),
        ms = took.as_millis(), target_ms = route.target.as_millis(),
        config_age_ms = age.unwrap_or(Duration::MAX).as_millis(); "request ended"
    );
    shared.metrics.record_end(&route.name, outcome, took);
    reply
}

async fn forward(
    shared: &Rc<Shared>,
    parts: Parts,
    inbound: Inbound,
    body: Upload,
    guard: RequestGuard,
    route: &mut RouteInfo,
) -> Result<Reply, Refusal> {
    let prepared = tokio::select! {
        biased;
        prepared = prepare(shared, parts, inbound, body, route) => prepared,
        () = shared.exits() => Err(Refusal::Stopping),
    };
    let (original, ticket) = prepared?;
    let original = Rc::new(original);
    let served = if ticket.route.kind == Kind::Stream {
        stream::serve(shared, &original, ticket, guard).await
    } else {
        buffered::serve(shared, &original, ticket).await
    };
    served.map_err(|refusal| original.truthful(refusal))
}

/// Reads and admits a request. Nothing has been sent to an endpoint yet.
async fn prepare(
    shared: &Rc<Shared>,
    parts: Parts,
    inbound: Inbound,
    body: Upload,
    route: &mut RouteInfo,
) -> Result<(Original, Ticket), Refusal> {
    let held = shared.buffers.hold(Use::Request, &inbound.id);
    let body = read_body(shared, &inbound, body, &held).await?;
    let now = clock::now();
    let ticket = admit(shared, &inbound).await?;
    route.customer = ticket.customer.clone().unwrap_or_default();
    route.name.clone_from(&ticket.route.name);
    route.target = ticket.route.target;
    shared.check_share(&ticket, &inbound)?;
    shared
        .state
        .borrow_mut()
        .budget
        .record_request(&ticket.service, now);
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let customer = ticket.customer.as_deref();
    let original = Original {
        fingerprint: Fingerprint::new(customer, &inbound.host, target, &body),
        body,
        exposure: Exposure::default(),
        held,
        inbound,
        is_proven: Cell::new(false),
        is_trial: Cell::new(false),
        parts,
    };
    if shared.refuses(&original)
        && !shared.wins_trial(&original).await
        && !shared.is_cleared_by_trial(&original).await
    {
        shared.log_refusal(&original);
        return Err(Refusal::CrashesEndpoints);
    }
    Ok((original, ticket))
}

/// Admits a request. If it is refused only because the configuration is stale or missing,
/// reads the configuration and tries once more.
async fn admit(shared: &Shared, inbound: &Inbound) -> Result<Ticket, Refusal> {
    let first = shared.state.borrow_mut().admit(clock::now(), inbound);
    match first {
        Err(Refusal::Stale | Refusal::Unconfigured) => {}
        settled => return settled,
    }
    follow::verify(shared).await;
    shared.state.borrow_mut().admit(clock::now(), inbound)
}

/// Reads the whole body, within the time that the request may take.
async fn read_body(
    shared: &Shared,
    inbound: &Inbound,
    body: Upload,
    held: &Held,
) -> Result<Bytes, Refusal> {
    let limits = shared.limits();
    let deadline = shared.state.borrow().body_timeout(inbound);
    let left = deadline.saturating_sub(clock::now().since(inbound.arrived));
    let read = timeout(left, body.read(limits.body, held)).await;
    read.unwrap_or(Err(Refusal::Expired))
}
