//! The listener for operators: health, metrics and status.

use {
    super::{
        metrics::{Metrics, Shared, look},
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

/// What its handlers need.
#[derive(Clone, Debug)]
struct Side {
    metrics: Arc<Metrics>,
    shared: Shared,
    timeline: Arc<Mutex<Timeline>>,
}

/// Starts to listen for operators.
///
/// # Errors
///
/// The address cannot be bound, or the metrics cannot be set up.
pub async fn listen(
    shared: Shared,
    timeline: Arc<Mutex<Timeline>>,
    listen: &str,
) -> Result<SocketAddr, Error> {
    let side = Side {
        metrics: Arc::new(Metrics::new(&shared)?),
        shared,
        timeline,
    };
    let router = Router::new()
        .hoop(salvo::affix_state::inject(side))
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

/// Answers as long as the process lives.
#[handler]
async fn healthz() -> &'static str {
    "ok\n"
}

/// Prometheus text.
#[handler]
async fn metrics(depot: &mut Depot, response: &mut Response) {
    if let Ok(side) = depot.get_typed::<Side>() {
        response.body(side.metrics.text());
    }
}

/// Answers 200 while the balancer may send requests here.
#[handler]
async fn readyz(depot: &mut Depot, response: &mut Response) {
    let ready = depot
        .get_typed::<Side>()
        .is_ok_and(|side| look(&side.shared).ready);
    if !ready {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
    response.body(if ready { "ready\n" } else { "not ready\n" });
}

/// The loop's figures as JSON.
#[handler]
async fn status(depot: &mut Depot, response: &mut Response) {
    if let Ok(side) = depot.get_typed::<Side>() {
        response.body(look(&side.shared).json().to_string());
    }
}

/// The moments kept, as JSON.
#[handler]
async fn get_timeline(depot: &mut Depot, response: &mut Response) {
    if let Ok(side) = depot.get_typed::<Side>() {
        let timeline = side
            .timeline
            .lock()
            .expect("the time line is never poisoned");
        response.body(json!(timeline.moments()).to_string());
    }
}
