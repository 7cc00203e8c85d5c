//! Tunnels that peers open to endpoints through this instance.

use {
    crate::{clock, path, prelude::*},
    peer::tunnel::Incoming,
    tokio::{sync::mpsc, task::spawn_local},
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
    let cooldown = shared.state.borrow().cooldown_left(clock::now(), key);
    if let Some(left) = cooldown {
        // The endpoint would take the request for one of this instance.
        incoming.report_cooldown(left).await;
        return;
    }
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
        Ok(accepted) => accepted.relay(stream).await,
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
