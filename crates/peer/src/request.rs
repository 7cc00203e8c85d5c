//! Requests between instances over QUIC streams.

use crate::{message::MAX_MESSAGE_BYTES, prelude::*};

/// Timeout for a request and its answer, the opening of a connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

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

/// A QUIC socket with its open connections; clones share it.
#[derive(Clone, Debug)]
pub struct RequestSocket {
    endpoint: Endpoint,
    open: Arc<Mutex<Connections>>,
}

impl RequestSocket {
    /// Listens on an address; requests from peers go to `requests`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn listen(
        listen: SocketAddr,
        configs: tls::Configs,
        requests: Sender<IncomingRequest>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::server(configs.server, listen)?;
        endpoint.set_default_client_config(configs.client);
        tokio::spawn(accept(endpoint.clone(), requests));
        Ok(Self {
            endpoint,
            open: Arc::new(Mutex::new(Vec::new())),
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

async fn accept(endpoint: Endpoint, requests: Sender<IncomingRequest>) {
    while let Some(incoming) = endpoint.accept().await {
        let requests = requests.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(incoming, requests).await {
                log::debug!(error:%; "connection from peer instance closed");
            }
        });
    }
}

async fn serve(incoming: quinn::Incoming, requests: Sender<IncomingRequest>) -> Result<(), Error> {
    let connection = incoming.await.map_err(connection_error)?;
    loop {
        let (mut send, mut receive) = connection.accept_bi().await.map_err(connection_error)?;
        let request = receive
            .read_to_end(MAX_MESSAGE_BYTES)
            .await
            .map_err(connection_error)?;
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
