//! The socket between instances.

use crate::{message::MOST, prelude::*};

/// How long an exchange may take, the opening of a connection included.
const WAIT: Duration = Duration::from_secs(1);

/// A question of a fellow instance, waiting for the loop's answer.
#[derive(Debug)]
pub struct IncomingRequest {
    /// What the other instance knows.
    pub hello: Hello,
    /// Takes the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Open connections, sorted by address.
type Open = Vec<(SocketAddr, Connection)>;

/// The socket, with its open connections; clones share it.
#[derive(Clone, Debug)]
pub struct RequestSocket {
    endpoint: Endpoint,
    open: Arc<Mutex<Open>>,
}

impl RequestSocket {
    /// Listens at an address; questions of other instances go to `asked`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn listen(
        listen: SocketAddr,
        configs: tls::Configs,
        asked: Sender<IncomingRequest>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::server(configs.server, listen)?;
        endpoint.set_default_client_config(configs.client);
        tokio::spawn(accept(endpoint.clone(), asked));
        Ok(Self {
            endpoint,
            open: Arc::new(Mutex::new(Vec::new())),
        })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Tells another instance what this one knows, and hears what it knows.
    ///
    /// # Errors
    ///
    /// It cannot be reached, or does not answer in time.
    pub async fn exchange(&self, address: SocketAddr, hello: &Hello) -> Result<Answer, Error> {
        let exchanged = async {
            let connection = self.connection(address).await?;
            exchange(&connection, hello).await
        };
        let result = timeout(WAIT, exchanged).await.unwrap_or(Err(Error::Silent));
        if result.is_err() {
            // A connection can go silent for good while new ones work, so the next
            // exchange opens another one.
            self.forget(address);
        }
        result
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        if let Some(connection) = self.known(address) {
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
        let place = open.partition_point(|(other, _)| *other < address);
        open.insert(place, (address, connection.clone()));
        Ok(connection)
    }

    fn forget(&self, address: SocketAddr) {
        let mut open = self
            .open
            .lock()
            .expect("the connections are never poisoned");
        open.retain(|(other, _)| *other != address);
    }

    fn known(&self, address: SocketAddr) -> Option<Connection> {
        let mut open = self
            .open
            .lock()
            .expect("the connections are never poisoned");
        open.retain(|(_, connection)| connection.close_reason().is_none());
        let place = open
            .binary_search_by_key(&address, |(other, _)| *other)
            .ok()?;
        Some(open[place].1.clone())
    }
}

async fn exchange(connection: &Connection, hello: &Hello) -> Result<Answer, Error> {
    let (mut send, mut receive) = connection.open_bi().await.map_err(connection_error)?;
    let message = postcard::to_stdvec(hello)?;
    send.write_all(&message).await.map_err(connection_error)?;
    send.finish().map_err(connection_error)?;
    let answer = receive.read_to_end(MOST).await.map_err(connection_error)?;
    Ok(postcard::from_bytes(&answer)?)
}

async fn accept(endpoint: Endpoint, asked: Sender<IncomingRequest>) {
    while let Some(incoming) = endpoint.accept().await {
        let asked = asked.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(incoming, asked).await {
                log::debug!(error:%; "connection of a fellow instance ended");
            }
        });
    }
}

async fn serve(incoming: quinn::Incoming, asked: Sender<IncomingRequest>) -> Result<(), Error> {
    let connection = incoming.await.map_err(connection_error)?;
    loop {
        let (mut send, mut receive) = connection.accept_bi().await.map_err(connection_error)?;
        let question = receive.read_to_end(MOST).await.map_err(connection_error)?;
        let hello = postcard::from_bytes::<Hello>(&question)?;
        let (reply, answer) = oneshot::channel();
        if asked.send(IncomingRequest { hello, reply }).await.is_err() {
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
