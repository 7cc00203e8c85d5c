//! The listener for callers.

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

/// Longest gap between two parts of a request body.
const BODY_GAP: Duration = Duration::from_secs(30);

/// What every handler needs.
#[derive(Clone, Debug)]
pub struct HandlerState {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Pieces kept for a caller who reads slowly.
    pub event_buffer_len: usize,
    /// Requests for the loop.
    pub inbound: Sender<InboundRequest>,
    /// Whether the balancer may send requests here.
    pub ready: Arc<AtomicBool>,
    /// Signs resume handles.
    pub handle_secret: [u8; 32],
}

/// PEM texts of the certificate and its key.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Stops it.
    pub handle: ServerHandle,
    /// Ends when all connections have.
    pub task: JoinHandle<()>,
}

/// Starts to listen for callers.
///
/// # Errors
///
/// The address cannot be bound, or the certificate cannot be used.
pub async fn listen(
    gate: HandlerState,
    listen: &str,
    pem: Option<Pem>,
) -> Result<Running, salvo::Error> {
    let router = router(gate);
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

fn router(gate: HandlerState) -> Router {
    Router::new()
        .hoop(salvo::affix_state::inject(gate))
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
    fuse.request_body_timeout = Some(BODY_GAP);
    let server = Server::new(acceptor).fuse_config(fuse);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(Service::new(router)));
    Running {
        address,
        handle,
        task,
    }
}

/// Answers as long as the process lives.
#[salvo::handler]
async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers 200 while the balancer may send requests here.
#[salvo::handler]
async fn readyz(depot: &mut Depot, response: &mut Response) {
    let ready = depot
        .get_typed::<HandlerState>()
        .is_ok_and(|gate| gate.ready.load(Ordering::Relaxed));
    if ready {
        response.body("ready\n");
        return;
    }
    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    response.body("not ready\n");
}
