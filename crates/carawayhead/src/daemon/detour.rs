//! Tunnels to endpoints through peers, for this instance and for its peers.

use {
    super::instance::Instance,
    crate::prelude::*,
    decision::{reachability::Detour, tunnel::Failure},
    endpoint::{
        client::{Dialer, Stream},
        send_event,
    },
    peer::{
        RequestSocket,
        tunnel::{self, Incoming, Usage},
    },
    std::{io, net::SocketAddr},
};

/// How long to wait for peers to open a tunnel. A peer tries to connect to the endpoint for 500 ms.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of tunnels of peers at a time; each takes a connection and some 20 kB.
const MAX_TUNNELS: usize = 160;

impl Instance {
    /// The client with which an endpoint is reached now: directly, or through peers if there are any.
    pub(super) fn client_of(&mut self, endpoint: target::Key) -> Client {
        let needed = self.state.needs_detour(endpoint);
        let Some(socket) = self.peer_socket.clone().filter(|_| needed) else {
            return self.client.clone();
        };
        let detours = self.state.detours(self.clock.now());
        if detours.is_empty() {
            return self.client.clone();
        }
        let events = self.events.clone();
        self.client.with_dialer(Dialer::new(move |address| {
            let (socket, events) = (socket.clone(), events.clone());
            Box::pin(open(socket, detours.clone(), address, events))
        }))
    }

    /// Connects a tunnel of a peer to its endpoint. It never goes on to another peer, so that there are no
    /// loops.
    pub(super) fn connect_tunnel(&self, incoming: Incoming) {
        let address = incoming.endpoint.to_string();
        let accepted = self.state.accepts_tunnel(&address);
        let Some(key) = accepted.filter(|_| self.open_tunnels() < MAX_TUNNELS) else {
            tokio::spawn(incoming.refuse());
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        let usage = Arc::clone(&self.tunnel_usage);
        tokio::spawn(async move {
            connect(client, address, key, incoming, events).await;
            drop(usage);
        });
    }

    /// Tunnels of peers through this instance.
    pub(super) fn open_tunnels(&self) -> usize {
        Arc::strong_count(&self.tunnel_usage) - 1
    }
}

async fn connect(
    client: Client,
    address: String,
    key: target::Key,
    incoming: Incoming,
    events: Sender<Event>,
) {
    let stream = match client.connect(&address).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(endpoint = address, error:%; "tunnel of a peer cannot reach its endpoint");
            send_event(&events, Event::Unreached(key)).await;
            incoming.report_unreached().await;
            return;
        }
    };
    match incoming.accept().await {
        Ok(accepted) => accepted.relay(stream).await,
        Err(error) => log::debug!(error:%; "peer instance has given up a tunnel"),
    }
}

/// Opens a tunnel to an endpoint through the first peer that can.
async fn open(
    socket: RequestSocket,
    detours: Vec<Detour>,
    endpoint: SocketAddr,
    events: Sender<Event>,
) -> io::Result<Box<dyn Stream>> {
    let deadline = Instant::now() + TUNNEL_TIMEOUT;
    for detour in detours {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let opened = open_through(&socket, &detour, endpoint);
        let opened = tokio::time::timeout(left, opened)
            .await
            .unwrap_or(Err(Failure::Unanswered));
        let result = opened.as_ref().map(drop).map_err(|failure| *failure);
        if let Err(failure) = result {
            log::info!(fellow = detour.name, failure:?; "peer instance opened no tunnel");
        }
        send_event(&events, Event::Tunnel(detour.name, result)).await;
        match opened {
            Ok(stream) => return Ok(Box::new(stream)),
            Err(Failure::Unreached) => break,
            Err(Failure::Refused | Failure::Unanswered) => {}
        }
    }
    let why = "no peer has opened a tunnel";
    Err(io::Error::new(io::ErrorKind::HostUnreachable, why))
}

async fn open_through(
    socket: &RequestSocket,
    detour: &Detour,
    endpoint: SocketAddr,
) -> Result<tunnel::Stream, Failure> {
    let Ok(address) = detour.address.parse() else {
        return Err(Failure::Unanswered);
    };
    let opened = socket.open_tunnel(address, endpoint).await;
    let mut stream = opened.map_err(|failure| match failure {
        tunnel::Failure::Refused => Failure::Refused,
        tunnel::Failure::Unanswered(error) => {
            log::debug!(error:%; "peer instance did not answer a request for a tunnel");
            Failure::Unanswered
        }
        tunnel::Failure::CoolingDown(_) | tunnel::Failure::Unreached => Failure::Unreached,
    })?;
    stream.hold(Usage::clone(&detour.usage));
    Ok(stream)
}
