//! Requests between instances over QUIC streams.

use {
    crate::{message::MAX_MESSAGE_BYTES, prelude::*, tunnel},
    std::time::Instant,
    tokio::io::AsyncReadExt as _,
};

/// Timeout for a request and its answer, the opening of a connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a connection is kept after its last tunnel, since the next request is likely to need one
/// as well.
const TUNNEL_LINGER: Duration = Duration::from_secs(5);

/// How often it is checked whether connections for tunnels are still needed.
const LINGER_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Application error code for closing a connection that is no longer used.
const CLOSE_CODE: quinn::VarInt = quinn::VarInt::from_u32(0);

/// First bytes that a message begins with, which says whether the age of the configuration is known. A
/// request for a tunnel begins with the length of an address, which is larger.
const MAX_HELLO_FIRST_BYTE: u8 = 1;

/// A request from a peer that waits for an answer.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Progress of the peer.
    pub hello: Hello,
    /// Channel for the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Open connections, sorted by address.
type Connections = Vec<(SocketAddr, Connection)>;

/// A connection that carries tunnels. Instances of earlier versions read one message after the other, and
/// would not get to those behind a tunnel on a shared connection.
#[derive(Debug)]
struct TunnelConnection {
    address: SocketAddr,
    connection: Connection,
    requested_at: Instant,
    /// Held by each tunnel over the connection.
    usage: tunnel::Usage,
}

/// A QUIC socket with its open connections; clones share it.
#[derive(Clone, Debug)]
pub struct RequestSocket {
    endpoint: Endpoint,
    open: Arc<Mutex<Connections>>,
    tunnel_config: quinn::ClientConfig,
    tunnels: Arc<Mutex<Vec<TunnelConnection>>>,
}

impl RequestSocket {
    /// Listens on an address; requests from peers go to `requests`, those for tunnels to `tunnels`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn listen(
        listen: SocketAddr,
        configs: tls::Configs,
        requests: Sender<IncomingRequest>,
        tunnels: Sender<tunnel::Incoming>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::server(configs.server, listen)?;
        let mut tunnel_config = configs.client.clone();
        tunnel_config.transport_config(tls::tunnel_transport());
        endpoint.set_default_client_config(configs.client);
        tokio::spawn(accept(endpoint.clone(), requests, tunnels));
        Ok(Self {
            endpoint,
            open: Arc::default(),
            tunnel_config,
            tunnels: Arc::default(),
        })
    }

    /// The local address.
    ///
    /// # Errors
    ///
    /// The operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Sends a peer this instance's progress, and returns its answer.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached, or does not answer within one second.
    pub async fn exchange(&self, address: SocketAddr, hello: &Hello) -> Result<Answer, Error> {
        let exchanged = async {
            let connection = self.connection(address).await?;
            exchange(&connection, hello).await
        };
        let result = timeout(EXCHANGE_TIMEOUT, exchanged)
            .await
            .unwrap_or(Err(Error::NoResponse));
        if result.is_err() {
            // A connection can stall permanently while new ones work, so the next request
            // opens another one.
            self.forget(address);
        }
        result
    }

    /// Opens a tunnel to an endpoint through a peer.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached, refused, or cannot connect to the endpoint.
    pub async fn open_tunnel(
        &self,
        address: SocketAddr,
        endpoint: SocketAddr,
    ) -> Result<tunnel::Stream, tunnel::Failure> {
        let connected = match self.tunnel_connection(address) {
            Some(connected) => connected,
            None => self
                .connect_for_tunnels(address)
                .await
                .map_err(tunnel::Failure::Unanswered)?,
        };
        let (connection, usage) = connected;
        tunnel::open(&connection, usage, endpoint).await
    }

    /// The open connection for tunnels to a peer.
    fn tunnel_connection(&self, address: SocketAddr) -> Option<(Connection, tunnel::Usage)> {
        let mut tunnels = self.lock_tunnels();
        let is_open = |entry: &TunnelConnection| entry.connection.close_reason().is_none();
        tunnels.retain(is_open);
        let entry = tunnels.iter_mut().find(|entry| entry.address == address)?;
        entry.requested_at = Instant::now();
        Some((entry.connection.clone(), Arc::clone(&entry.usage)))
    }

    async fn connect_for_tunnels(
        &self,
        address: SocketAddr,
    ) -> Result<(Connection, tunnel::Usage), Error> {
        let config = self.tunnel_config.clone();
        let connecting = self
            .endpoint
            .connect_with(config, address, tls::PEER_NAME)
            .map_err(connection_error)?;
        let connection = connecting.await.map_err(connection_error)?;
        let usage = tunnel::Usage::default();
        let entry = TunnelConnection {
            address,
            connection: connection.clone(),
            requested_at: Instant::now(),
            usage: Arc::clone(&usage),
        };
        self.lock_tunnels().push(entry);
        let socket = self.clone();
        tokio::spawn(async move {
            while socket.has_tunnels() {
                tokio::time::sleep(LINGER_POLL_INTERVAL).await;
            }
        });
        Ok((connection, usage))
    }

    /// Closes connections for tunnels that are no longer used; returns whether any are left.
    fn has_tunnels(&self) -> bool {
        let mut tunnels = self.lock_tunnels();
        tunnels.retain(|entry| {
            let is_used =
                Arc::strong_count(&entry.usage) > 1 || entry.requested_at.elapsed() < TUNNEL_LINGER;
            if !is_used {
                entry.connection.close(CLOSE_CODE, b"not wanted");
            }
            is_used && entry.connection.close_reason().is_none()
        });
        !tunnels.is_empty()
    }

    fn lock_tunnels(&self) -> std::sync::MutexGuard<'_, Vec<TunnelConnection>> {
        self.tunnels
            .lock()
            .expect("the connections are never poisoned")
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.existing(address) {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect(address, tls::PEER_NAME)
            .map_err(connection_error)?;
        let connection = connecting.await.map_err(connection_error)?;
        let mut open = self
            .open
            .lock()
            .expect("the connections are never poisoned");
        let index = open.partition_point(|(other, _)| *other < address);
        open.insert(index, (address, connection.clone()));
        Ok(connection)
    }

    fn forget(&self, address: SocketAddr) {
        let mut open = self
            .open
            .lock()
            .expect("the connections are never poisoned");
        open.retain(|(other, _)| *other != address);
    }

    fn existing(&self, address: SocketAddr) -> Option<Connection> {
        let mut open = self
            .open
            .lock()
            .expect("the connections are never poisoned");
        open.retain(|(_, connection)| connection.close_reason().is_none());
        let index = open
            .binary_search_by_key(&address, |(other, _)| *other)
            .ok()?;
        Some(open[index].1.clone())
    }
}

async fn exchange(connection: &Connection, hello: &Hello) -> Result<Answer, Error> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(connection_error)?;
    let message = postcard::to_stdvec(hello)?;
    send.write_all(&message).await.map_err(connection_error)?;
    send.finish().map_err(connection_error)?;
    let answer = receive
        .read_to_end(MAX_MESSAGE_BYTES)
        .await
        .map_err(connection_error)?;
    Ok(postcard::from_bytes(&answer)?)
}

async fn accept(
    endpoint: Endpoint,
    requests: Sender<IncomingRequest>,
    tunnels: Sender<tunnel::Incoming>,
) {
    while let Some(incoming) = endpoint.accept().await {
        let (requests, tunnels) = (requests.clone(), tunnels.clone());
        tokio::spawn(async move {
            if let Err(error) = serve(incoming, requests, tunnels).await {
                log::debug!(error:%; "connection from peer instance closed");
            }
        });
    }
}

async fn serve(
    incoming: quinn::Incoming,
    requests: Sender<IncomingRequest>,
    tunnels: Sender<tunnel::Incoming>,
) -> Result<(), Error> {
    let connection = incoming.await.map_err(connection_error)?;
    let usage = tunnel::Usage::default();
    loop {
        let (mut send, mut receive) = connection.accept_bi().await.map_err(connection_error)?;
        let first = receive.read_u8().await?;
        if first > MAX_HELLO_FIRST_BYTE {
            let usage = Arc::clone(&usage);
            let incoming =
                tunnel::Incoming::read_address(connection.clone(), send, receive, usage, first);
            if tunnels.send(incoming.await?).await.is_err() {
                return Ok(());
            }
            continue;
        }
        let rest = receive
            .read_to_end(MAX_MESSAGE_BYTES)
            .await
            .map_err(connection_error)?;
        let request = [&[first], rest.as_slice()].concat();
        let hello = postcard::from_bytes::<Hello>(&request)?;
        let (reply, answer) = oneshot::channel();
        if requests
            .send(IncomingRequest { hello, reply })
            .await
            .is_err()
        {
            return Ok(());
        }
        let Ok(answer) = answer.await else {
            return Ok(());
        };
        let answer = postcard::to_stdvec(&answer)?;
        send.write_all(&answer).await.map_err(connection_error)?;
        send.finish().map_err(connection_error)?;
    }
}

fn connection_error(error: impl Display) -> Error {
    Error::Connection(error.to_string())
}
