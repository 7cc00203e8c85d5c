//! HTTP listener for callers.

use {
    crate::{call, generation as generations, prelude::*},
    salvo::{
        Listener, Router, Server, Service,
        conn::{
            Acceptor, TcpListener,
            rustls::{Keycert, RustlsConfig},
        },
        fuse::FuseConfig,
        server::ServerHandle,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::task::JoinHandle,
};

/// Maximum time between two chunks of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by all request handlers.
#[derive(Clone, Debug)]
pub struct HandlerState {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of response events buffered per request for a slow caller.
    pub event_buffer_len: usize,
    /// Channel of requests to the event loop.
    pub inbound: Sender<InboundRequest>,
    /// Whether the load balancer may send requests to this instance.
    pub ready: Arc<AtomicBool>,
    /// Secret that signs resume handles.
    pub handle_secret: [u8; 32],
}

/// PEM-encoded TLS certificate and private key.
#[derive(Clone, Debug)]
pub struct Pem {
    /// Certificate chain.
    pub certificate: Vec<u8>,
    /// Private key.
    pub key: Vec<u8>,
}

/// A running listener.
#[derive(Debug)]
pub struct Running {
    /// Address that it is bound to.
    pub address: SocketAddr,
    /// Stops the listener.
    pub handle: ServerHandle,
    /// Finishes once all connections are closed.
    pub task: JoinHandle<()>,
}

/// Starts the listener, with TLS if `pem` is given.
///
/// # Errors
///
/// The address cannot be bound, or the certificate cannot be used.
pub async fn listen(
    state: HandlerState,
    listen: &str,
    pem: Option<Pem>,
) -> Result<Running, salvo::Error> {
    let router = router(state);
    let listener = TcpListener::new(listen.to_string());
    match pem {
        None => Ok(run(listener.try_bind().await?, router)),
        Some(pem) => {
            let keycert = Keycert::new().cert(pem.certificate).key(pem.key);
            let config = RustlsConfig::new(keycert);
            Ok(run(listener.rustls(config).try_bind().await?, router))
        }
    }
}

fn router(state: HandlerState) -> Router {
    Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("readyz").get(readyz))
        .push(Router::with_path("services/{service}/{**rest}").goal(call::call))
        .push(
            Router::with_path("v1/completions")
                .get(generations::resume)
                .post(generations::completions),
        )
        .push(
            Router::with_path("v1/chat/completions")
                .get(generations::resume)
                .post(generations::chat_completions),
        )
}

fn run<A: Acceptor + Send + 'static>(acceptor: A, router: Router) -> Running {
    let address = acceptor
        .holdings()
        .first()
        .and_then(|holding| holding.local_addr.clone().into_std())
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
    let mut fuse = FuseConfig::default();
    fuse.request_body_timeout = Some(BODY_READ_TIMEOUT);
    let server = Server::new(acceptor).fuse_config(fuse);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(Service::new(router)));
    Running {
        address,
        handle,
        task,
    }
}

/// Liveness check: always 200.
#[salvo::handler]
async fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness check: 200 while the load balancer may send requests, else 503.
#[salvo::handler]
async fn readyz(depot: &mut Depot, response: &mut Response) {
    let ready = depot
        .get_typed::<HandlerState>()
        .is_ok_and(|state| state.ready.load(Ordering::Relaxed));
    if ready {
        response.body("ready\n");
        return;
    }
    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    response.body("not ready\n");
}
