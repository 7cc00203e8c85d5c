//! QUIC connections between instances: datagrams for reports, where a lost one is superseded
//! by the next, and streams for data that must arrive.
//!
//! Two instances share one connection, whichever of them opened it, to save handshakes and
//! memory.

use {
    crate::{message::MAX_MESSAGE_BYTES, prelude::*, tunnel},
    bytes::Bytes,
    std::{sync::Weak, time::Instant},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a connection is kept after a tunnel was requested, since the next request is likely to
/// need one as well.
const TUNNEL_LINGER: Duration = Duration::from_secs(5);

/// Application error code for closing a connection that is no longer used.
const CLOSE_CODE: quinn::VarInt = quinn::VarInt::from_u32(0);

/// A connection to a peer.
#[derive(Debug)]
struct PeerConnection {
    address: SocketAddr,
    connection: Connection,
    initiator: Initiator,
    /// Whether heartbeats are sent while it carries tunnels of this instance.
    is_kept_alive: bool,
    /// When a tunnel over the connection was last requested.
    tunnelled_at: Option<Instant>,
    /// Held by each tunnel over the connection.
    usage: tunnel::Usage,
}

impl PeerConnection {
    fn carries_tunnels(&self) -> bool {
        let lingers = |at: Instant| at.elapsed() < TUNNEL_LINGER;
        Arc::strong_count(&self.usage) > 1 || self.tunnelled_at.is_some_and(lingers)
    }
}

/// Which of the two instances opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Initiator {
    /// The peer.
    Remote,
    /// This instance.
    Local,
}

/// Held by the task that connects to an address.
type Turn = Arc<tokio::sync::Mutex<()>>;

/// Connections to peers, sorted by address.
type Connections = Vec<PeerConnection>;

/// A QUIC socket with its open connections; clones share it.
#[derive(Clone, Debug)]
pub struct DatagramSocket {
    endpoint: Endpoint,
    received: Sender<Bytes>,
    /// Addresses that are being connected to.
    connecting: Arc<Mutex<Vec<(SocketAddr, Turn)>>>,
    open: Arc<Mutex<Connections>>,
    tunnels: Sender<tunnel::Incoming>,
}

impl DatagramSocket {
    /// Listens on an address; data from peers goes to `received`, their requests for tunnels to
    /// `tunnels`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn listen(
        listen: SocketAddr,
        configs: tls::Configs,
        received: Sender<Bytes>,
        tunnels: Sender<tunnel::Incoming>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::server(configs.server, listen)?;
        endpoint.set_default_client_config(configs.client);
        let datagrams = Self {
            endpoint,
            received,
            connecting: Arc::default(),
            open: Arc::default(),
            tunnels,
        };
        tokio::spawn(accept(datagrams.clone()));
        Ok(datagrams)
    }

    /// The local address.
    ///
    /// # Errors
    ///
    /// The operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Opens a connection unless one is open already.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached within 800 ms, or its certificate is not accepted.
    pub async fn connect(&self, address: SocketAddr) -> Result<(), Error> {
        if self.existing(address).is_some() {
            return Ok(());
        }
        // A second connection would replace the first one, and end the tunnels that wait for it.
        let turn = self.turn(address);
        let _turn = turn.lock().await;
        if self.existing(address).is_some() {
            return Ok(());
        }
        let failed = |error: &dyn Display| Error::Connection(error.to_string());
        let connecting = self
            .endpoint
            .connect(address, tls::PEER_NAME)
            .map_err(|error| failed(&error))?;
        let connection = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_elapsed| Error::NoResponse)?
            .map_err(|error| failed(&error))?;
        self.register(address, connection, Initiator::Local);
        Ok(())
    }

    /// Held while an address is connected to.
    fn turn(&self, address: SocketAddr) -> Turn {
        let mut connecting = self
            .connecting
            .lock()
            .expect("the connections are never poisoned");
        connecting.retain(|(_, turn)| Arc::strong_count(turn) > 1);
        if let Some((_, turn)) = connecting.iter().find(|(other, _)| *other == address) {
            return Arc::clone(turn);
        }
        let turn = Arc::default();
        connecting.push((address, Arc::clone(&turn)));
        turn
    }

    /// Stores a connection and reads from it; closes the one that it replaces, if any.
    fn register(&self, address: SocketAddr, connection: Connection, initiator: Initiator) {
        let usage = tunnel::Usage::default();
        tokio::spawn(read(connection.clone(), self.received.clone()));
        tokio::spawn(read_tunnels(
            connection.clone(),
            Arc::downgrade(&usage),
            self.tunnels.clone(),
        ));
        let entry = PeerConnection {
            address,
            connection,
            initiator,
            is_kept_alive: false,
            tunnelled_at: None,
            usage,
        };
        let mut open = self.lock();
        match open.binary_search_by_key(&address, |other| other.address) {
            Ok(index) => {
                let replaced = std::mem::replace(&mut open[index], entry);
                // Tunnels keep theirs, which closes once the last of them has ended.
                if !replaced.carries_tunnels() {
                    replaced.connection.close(CLOSE_CODE, b"replaced");
                }
            }
            Err(index) => open.insert(index, entry),
        }
    }

    /// Sends a datagram over an open connection.
    ///
    /// # Errors
    ///
    /// No connection is open, or the datagram is too large for it.
    pub fn send(&self, address: SocketAddr, data: Bytes) -> Result<(), Error> {
        let connection = self.existing(address).ok_or(Error::NoResponse)?;
        let sent = connection.send_datagram(data);
        sent.map_err(|error| Error::Connection(error.to_string()))
    }

    /// Sends data of any size on a stream of its own, in the background. A failure is only
    /// logged.
    ///
    /// # Errors
    ///
    /// No connection is open.
    pub fn send_reliable(&self, address: SocketAddr, data: Bytes) -> Result<(), Error> {
        let connection = self.existing(address).ok_or(Error::NoResponse)?;
        tokio::spawn(async move {
            let sent = async {
                let mut stream = connection.open_uni().await?;
                stream.write_all(&data).await?;
                stream.finish()?;
                Ok::<_, Box<dyn std::error::Error + Send + Sync>>(())
            };
            if let Err(error) = sent.await {
                log::debug!(address:%, error:%; "cannot send data to peer instance");
            }
        });
        Ok(())
    }

    /// Opens a tunnel to an endpoint through a peer, over a new connection if none is open.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached, refused, or cannot connect to the endpoint.
    pub async fn open_tunnel(
        &self,
        address: SocketAddr,
        endpoint: SocketAddr,
    ) -> Result<tunnel::Stream, tunnel::Failure> {
        self.connect(address)
            .await
            .map_err(tunnel::Failure::Unanswered)?;
        let (connection, usage) = self
            .used(address)
            .ok_or(tunnel::Failure::Unanswered(Error::NoResponse))?;
        self.keep_alive(connection.clone(), &usage);
        tunnel::open(&connection, usage, endpoint).await
    }

    /// Shows the peer at short intervals that this instance can be heard, while it uses tunnels of the
    /// connection.
    fn keep_alive(&self, connection: Connection, usage: &tunnel::Usage) {
        let mut open = self.lock();
        let entry = open
            .iter_mut()
            .find(|entry| Arc::ptr_eq(&entry.usage, usage));
        if entry.is_none_or(|entry| std::mem::replace(&mut entry.is_kept_alive, true)) {
            return;
        }
        let (datagrams, usage) = (self.clone(), Arc::downgrade(usage));
        tokio::spawn(async move {
            while datagrams.needs_heartbeat(&usage)
                && connection.send_datagram(Bytes::new()).is_ok()
            {
                tokio::time::sleep(tunnel::HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Whether tunnels use a connection; if not, notes that its heartbeats end.
    fn needs_heartbeat(&self, usage: &Weak<()>) -> bool {
        let mut open = self.lock();
        let mut entries = open.iter_mut();
        let entry = entries.find(|entry| Weak::ptr_eq(&Arc::downgrade(&entry.usage), usage));
        let Some(entry) = entry else {
            // The connection was replaced, and only tunnels hold it.
            return usage.strong_count() > 0;
        };
        entry.is_kept_alive = Arc::strong_count(&entry.usage) > 1;
        entry.is_kept_alive
    }

    fn used(&self, address: SocketAddr) -> Option<(Connection, tunnel::Usage)> {
        let mut open = self.lock();
        let index = open.binary_search_by_key(&address, |entry| entry.address);
        let entry = &mut open[index.ok()?];
        entry.tunnelled_at = Some(Instant::now());
        Some((entry.connection.clone(), Arc::clone(&entry.usage)))
    }

    /// Closes all connections for which `keep` returns false and that carry no tunnel, and drops those
    /// that have failed.
    pub fn retain(&self, keep: impl Fn(SocketAddr, Initiator) -> bool) {
        self.lock().retain(|entry| {
            let is_open = entry.connection.close_reason().is_none();
            let keep_open =
                is_open && (entry.carries_tunnels() || keep(entry.address, entry.initiator));
            if is_open && !keep_open {
                entry.connection.close(CLOSE_CODE, b"not wanted");
            }
            keep_open
        });
    }

    /// Closes the connection to a peer.
    pub fn close(&self, address: SocketAddr) {
        self.lock().retain(|entry| {
            if entry.address == address {
                entry.connection.close(CLOSE_CODE, b"silent");
            }
            entry.address != address
        });
    }

    /// Whether a connection to a peer is open.
    #[must_use]
    pub fn is_open(&self, address: SocketAddr) -> bool {
        self.existing(address).is_some()
    }

    fn existing(&self, address: SocketAddr) -> Option<Connection> {
        let mut open = self.lock();
        let index = open
            .binary_search_by_key(&address, |entry| entry.address)
            .ok()?;
        if open[index].connection.close_reason().is_some() {
            open.remove(index);
            return None;
        }
        Some(open[index].connection.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.open
            .lock()
            .expect("the connections are never poisoned")
    }
}

async fn accept(datagrams: DatagramSocket) {
    while let Some(incoming) = datagrams.endpoint.accept().await {
        let datagrams = datagrams.clone();
        tokio::spawn(async move {
            match incoming.await {
                // Peers connect from the address on which they listen.
                Ok(connection) => {
                    datagrams.register(connection.remote_address(), connection, Initiator::Remote);
                }
                Err(error) => log::debug!(error:%; "handshake with peer instance failed"),
            }
        });
    }
}

/// Forwards datagrams and streams of a connection to `received` until it closes.
async fn read(connection: Connection, received: Sender<Bytes>) {
    let streams = tokio::spawn(read_streams(connection.clone(), received.clone()));
    while let Ok(data) = connection.read_datagram().await {
        if data.is_empty() {
            // A heartbeat.
            continue;
        }
        if received.send(data).await.is_err() {
            break;
        }
    }
    streams.abort();
}

/// Forwards requests for tunnels of a connection until it closes.
async fn read_tunnels(connection: Connection, usage: Weak<()>, tunnels: Sender<tunnel::Incoming>) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        let Some(usage) = usage.upgrade() else {
            return;
        };
        match tunnel::Incoming::read(connection.clone(), send, receive, usage).await {
            Ok(incoming) => {
                if tunnels.send(incoming).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(error:%; "cannot read request for a tunnel"),
        }
    }
}

async fn read_streams(connection: Connection, received: Sender<Bytes>) {
    while let Ok(mut stream) = connection.accept_uni().await {
        match stream.read_to_end(MAX_MESSAGE_BYTES).await {
            Ok(data) => {
                if received.send(data.into()).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(error:%; "cannot read data from peer instance"),
        }
    }
}
