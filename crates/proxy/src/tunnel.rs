//! Tunnels that peers open to endpoints through this instance.

use {
    crate::{clock, path, prelude::*},
    peer::tunnel::{Accepted, Incoming},
    tokio::{net::TcpStream, sync::mpsc, task::spawn_local},
};

/// Maximum number of tunnels at a time; each takes a connection and some 20 kB.
const MAX_TUNNELS: usize = 160;

/// Counts a tunnel until dropped. An instance that stops waits for its tunnels as for its requests.
#[derive(Debug)]
struct Guard(Rc<Shared>);

impl Guard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.tunnels.set(shared.tunnels.get() + 1);
        shared.in_progress.set(shared.in_progress.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Serves requests for tunnels until the channel closes.
pub async fn serve(shared: &Rc<Shared>, mut requests: mpsc::Receiver<Incoming>) {
    while let Some(incoming) = requests.recv().await {
        spawn_local(connect(Rc::clone(shared), incoming));
    }
}

/// Connects a tunnel to its endpoint. It never goes on to another peer, so that there are no loops.
async fn connect(shared: Rc<Shared>, incoming: Incoming) {
    let Some(key) = acceptable(&shared, incoming.endpoint) else {
        incoming.refuse().await;
        return;
    };
    let _guard = Guard::new(&shared);
    let address = incoming.endpoint.to_string();
    let stream = match shared.client.connect(&address).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(endpoint = address, error:%; "tunnel of a peer cannot reach its endpoint");
            path::record_unreached(&shared, key, true);
            incoming.report_unreached().await;
            return;
        }
    };
    match incoming.accept().await {
        Ok(accepted) => forward(stream, accepted).await,
        Err(error) => log::debug!(error:%; "peer instance has given up a tunnel"),
    }
}

/// The endpoint at this address, if a tunnel to it is accepted.
fn acceptable(shared: &Shared, address: SocketAddr) -> Option<EndpointKey> {
    if shared.draining.get() || shared.tunnels.get() >= MAX_TUNNELS {
        return None;
    }
    let state = shared.state.borrow();
    let mut endpoints = state.endpoints();
    let (key, endpoint) = endpoints.find(|(_, endpoint)| endpoint.listing.address == address)?;
    (!state.paths.is_partitioned(&endpoint.listing.service)).then_some(key)
}

/// Forwards bytes until one side ends. What the endpoint closes in order, the peer sees closed in order,
/// and else reset.
async fn forward(stream: TcpStream, mut accepted: Accepted) {
    let started_at = clock::now();
    let (mut from_endpoint, mut to_endpoint) = stream.into_split();
    let lost = accepted.peer_lost();
    let result = tokio::select! {
        // The peer's request needs no answer any more.
        _ = tokio::io::copy(&mut accepted.receive, &mut to_endpoint) => return,
        () = lost => {
            log::info!("peer instance of a tunnel does not answer; connection to its endpoint closed");
            accepted.reset();
            return;
        }
        copied = tokio::io::copy(&mut from_endpoint, &mut accepted.send) => copied,
    };
    if let Err(error) = result {
        let ms = clock::now().since(started_at).as_millis();
        log::debug!(error:%, ms; "tunnel broke");
        accepted.reset();
    }
}
