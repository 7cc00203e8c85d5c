//! Datagrams between instances: reports that may be lost, since a newer one follows; and
//! streams for what must arrive whole.
//!
//! Two instances share one connection, whichever of them opened it: one for each direction
//! would take twice the handshakes at a start and twice the memory.

use {
    crate::{message::MOST, prelude::*},
    bytes::Bytes,
};

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_millis(800);

/// Code with which a connection is closed that is no longer used.
const REPLACED: quinn::VarInt = quinn::VarInt::from_u32(0);

/// A connection to a fellow.
#[derive(Debug)]
struct Opened {
    address: SocketAddr,
    connection: Connection,
    /// Which of the two instances opened it.
    side: Side,
}

/// Which of two instances opened their connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The fellow.
    Other,
    /// This instance.
    Own,
}

/// Connections to fellows, sorted by address.
type Open = Vec<Opened>;

/// The socket; clones share it.
#[derive(Clone, Debug)]
pub struct Datagrams {
    endpoint: Endpoint,
    heard: Sender<Bytes>,
    open: Arc<Mutex<Open>>,
}

impl Datagrams {
    /// Listens at an address; datagrams of fellows go to `heard`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn listen(
        listen: SocketAddr,
        configs: tls::Configs,
        heard: Sender<Bytes>,
    ) -> Result<Self, Error> {
        let mut endpoint = Endpoint::server(configs.server, listen)?;
        endpoint.set_default_client_config(configs.client);
        let datagrams = Self {
            endpoint,
            heard,
            open: Arc::default(),
        };
        tokio::spawn(accept(datagrams.clone()));
        Ok(datagrams)
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The socket is gone.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Opens a connection unless one is open; it is kept until it fails.
    ///
    /// # Errors
    ///
    /// The fellow cannot be reached, or its certificate is not known.
    pub async fn connect(&self, address: SocketAddr) -> Result<(), Error> {
        if self.known(address).is_some() {
            return Ok(());
        }
        let failed = |error: &dyn Display| Error::Connection(error.to_string());
        let connecting = self
            .endpoint
            .connect(address, tls::PEER_NAME)
            .map_err(|error| failed(&error))?;
        let connection = timeout(CONNECT, connecting)
            .await
            .map_err(|_elapsed| Error::Silent)?
            .map_err(|error| failed(&error))?;
        self.keep(address, connection, Side::Own);
        Ok(())
    }

    /// Uses a connection to a fellow from now on, in place of one from before.
    fn keep(&self, address: SocketAddr, connection: Connection, side: Side) {
        tokio::spawn(read(connection.clone(), self.heard.clone()));
        let opened = Opened {
            address,
            connection,
            side,
        };
        let mut open = self.lock();
        match open.binary_search_by_key(&address, |other| other.address) {
            Ok(place) => {
                let before = std::mem::replace(&mut open[place], opened);
                before.connection.close(REPLACED, b"replaced");
            }
            Err(place) => open.insert(place, opened),
        }
    }

    /// Sends a datagram, if a connection is open.
    ///
    /// # Errors
    ///
    /// No connection is open, or the datagram is too large for it.
    pub fn send(&self, address: SocketAddr, data: Bytes) -> Result<(), Error> {
        let connection = self.known(address).ok_or(Error::Silent)?;
        let sent = connection.send_datagram(data);
        sent.map_err(|error| Error::Connection(error.to_string()))
    }

    /// Sends data that must not be lost, of any size, in the background.
    ///
    /// # Errors
    ///
    /// No connection is open.
    pub fn send_whole(&self, address: SocketAddr, data: Bytes) -> Result<(), Error> {
        let connection = self.known(address).ok_or(Error::Silent)?;
        tokio::spawn(async move {
            let sent = async {
                let mut stream = connection.open_uni().await?;
                stream.write_all(&data).await?;
                stream.finish()?;
                Ok::<_, Box<dyn std::error::Error + Send + Sync>>(())
            };
            if let Err(error) = sent.await {
                log::debug!(address:%, error:%; "data for a fellow instance not sent");
            }
        });
        Ok(())
    }

    /// Closes connections but for those to keep, by address and side, and forgets those
    /// that have failed.
    pub fn retain(&self, keep: impl Fn(SocketAddr, Side) -> bool) {
        self.lock().retain(|opened| {
            let is_open = opened.connection.close_reason().is_none();
            let kept = is_open && keep(opened.address, opened.side);
            if is_open && !kept {
                opened.connection.close(REPLACED, b"not wanted");
            }
            kept
        });
    }

    /// Closes the connection to a fellow, so that the next one is opened anew.
    pub fn close(&self, address: SocketAddr) {
        self.retain(|other, _| other != address);
    }

    /// Whether a connection to a fellow is open.
    #[must_use]
    pub fn is_open(&self, address: SocketAddr) -> bool {
        self.known(address).is_some()
    }

    fn known(&self, address: SocketAddr) -> Option<Connection> {
        let mut open = self.lock();
        let place = open
            .binary_search_by_key(&address, |opened| opened.address)
            .ok()?;
        if open[place].connection.close_reason().is_some() {
            open.remove(place);
            return None;
        }
        Some(open[place].connection.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Open> {
        self.open
            .lock()
            .expect("the connections are never poisoned")
    }
}

async fn accept(datagrams: Datagrams) {
    while let Some(incoming) = datagrams.endpoint.accept().await {
        let datagrams = datagrams.clone();
        tokio::spawn(async move {
            match incoming.await {
                // A fellow sends from the address that it listens at.
                Ok(connection) => {
                    datagrams.keep(connection.remote_address(), connection, Side::Other);
                }
                Err(error) => log::debug!(error:%; "fellow instance not let in"),
            }
        });
    }
}

/// Hands on what comes on a connection, until it ends.
async fn read(connection: Connection, heard: Sender<Bytes>) {
    let streams = tokio::spawn(read_streams(connection.clone(), heard.clone()));
    while let Ok(data) = connection.read_datagram().await {
        if heard.send(data).await.is_err() {
            break;
        }
    }
    streams.abort();
}

async fn read_streams(connection: Connection, heard: Sender<Bytes>) {
    while let Ok(mut stream) = connection.accept_uni().await {
        match stream.read_to_end(MOST).await {
            Ok(data) => {
                if heard.send(data.into()).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(error:%; "data of a fellow instance not read"),
        }
    }
}
