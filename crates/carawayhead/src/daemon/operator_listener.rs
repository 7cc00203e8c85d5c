//! Listener for operators: health, metrics and status.

use {
    super::{
        metrics::{Metrics, SharedStatus, read_status},
        timeline::Timeline,
    },
    crate::prelude::*,
    salvo::{
        Depot, Listener, Response, Router, Server,
        conn::{Acceptor, TcpListener},
        handler,
        http::StatusCode,
    },
    std::net::SocketAddr,
};

/// State shared by the handlers.
#[derive(Clone, Debug)]
struct HandlerState {
    metrics: Arc<Metrics>,
    shared: SharedStatus,
    timeline: Arc<Mutex<Timeline>>,
}

/// Starts the listener and returns its address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the metrics cannot be set up.
pub async fn listen(
    shared: SharedStatus,
    timeline: Arc<Mutex<Timeline>>,
    listen: &str,
) -> Result<SocketAddr, Error> {
    let state = HandlerState {
        metrics: Arc::new(Metrics::new(&shared)?),
        shared,
        timeline,
    };
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("metrics").get(metrics))
        .push(Router::with_path("readyz").get(readyz))
        .push(Router::with_path("status").get(status))
        .push(Router::with_path("timeline").get(get_timeline));
    let acceptor = TcpListener::new(listen.to_string())
        .try_bind()
        .await
        .map_err(|error| Error::Listen(listen.to_string(), error.to_string()))?;
    let address = acceptor
        .holdings()
        .first()
        .and_then(|holding| holding.local_addr.clone().into_std())
        .ok_or_else(|| Error::Listen(listen.to_string(), "no address".to_string()))?;
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(address)
}

/// Liveness check: answers 200 while the process runs.
#[handler]
async fn healthz() -> &'static str {
    "ok\n"
}

/// Returns the metrics in the Prometheus text format.
#[handler]
async fn metrics(depot: &mut Depot, response: &mut Response) {
    if let Ok(state) = depot.get_typed::<HandlerState>() {
        response.body(state.metrics.text());
    }
}

/// Readiness check: answers 200 while the load balancer may send requests to this instance,
/// otherwise 503.
#[handler]
async fn readyz(depot: &mut Depot, response: &mut Response) {
    let ready = depot
        .get_typed::<HandlerState>()
        .is_ok_and(|state| read_status(&state.shared).ready);
    if !ready {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
    response.body(if ready { "ready\n" } else { "not ready\n" });
}

/// Returns the status of the event loop as JSON.
#[handler]
async fn status(depot: &mut Depot, response: &mut Response) {
    if let Ok(state) = depot.get_typed::<HandlerState>() {
        response.body(read_status(&state.shared).json().to_string());
    }
}

/// Returns the timeline as JSON.
#[handler]
async fn get_timeline(depot: &mut Depot, response: &mut Response) {
    if let Ok(state) = depot.get_typed::<HandlerState>() {
        let timeline = state
            .timeline
            .lock()
            .expect("the timeline lock is not poisoned");
        response.body(json!(timeline.entries()).to_string());
    }
}
