//! HTTP/1.1 client with a connection pool.

use {
    crate::{
        body::Gathered,
        bounded::{Bounded, MAX_BUFFER_BYTES, Progress},
        carried::Carried,
        prelude::*,
    },
    hyper::{
        body::Body as _,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        hash::{BuildHasher as _, RandomState},
        io,
        net::SocketAddr,
        pin::Pin,
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time::timeout,
    },
};

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// How long a connection may stay idle if the server sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Fraction of the server's `Keep-Alive` timeout during which an idle connection is reused.
/// The margin keeps requests from being sent while the server closes the connection, after
/// which it is unknown whether they ran.
const REUSE_FRACTION: f64 = 0.6;

type RequestSender = SendRequest<Full<Bytes>>;

/// Idle connections, sorted by address.
type IdleConnections = Vec<(String, Vec<IdleConnection>)>;

/// An open connection.
#[derive(Debug)]
struct Connection {
    carried: Carried,
    progress: Progress,
    sender: RequestSender,
}

/// An idle connection with the time until which it may be reused.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    reusable_until: Instant,
}

impl IdleConnection {
    fn is_reusable(&self, now: Instant) -> bool {
        self.reusable_until > now && self.connection.sender.is_ready()
    }
}

/// A byte stream to an endpoint.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> Stream for S {}

/// A stream that is being opened.
pub type Opening = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>> + Send>>;

/// Opens streams to endpoints over another way than a direct connection.
#[derive(Clone)]
pub struct Dialer(Arc<dyn Fn(SocketAddr) -> Opening + Send + Sync>);

impl Dialer {
    /// A dialer that calls `open` with the address of the endpoint.
    pub fn new(open: impl Fn(SocketAddr) -> Opening + Send + Sync + 'static) -> Self {
        Self(Arc::new(open))
    }
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").finish_non_exhaustive()
    }
}

/// HTTP/1.1 client; clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    connect_timeout: Duration,
    dialer: Option<Dialer>,
    /// Digests the ids of requests.
    hasher: RandomState,
    idle: Arc<Mutex<IdleConnections>>,
}

impl Client {
    /// Creates a client whose connection attempts time out after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            dialer: None,
            hasher: RandomState::new(),
            idle: Arc::new(Mutex::new(Vec::new())),
        }
    }

    /// A client that opens all streams with `dialer`, one for each request.
    #[must_use]
    pub fn with_dialer(&self, dialer: Dialer) -> Self {
        Self {
            dialer: Some(dialer),
            ..self.clone()
        }
    }

    /// Sends a call that has no id on an idle connection, or on a new one.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] says whether the endpoint may have received anything.
    pub async fn send(&self, address: &str, request: Request<Full<Bytes>>) -> Result<Reply, Error> {
        match self.try_idle(address, None, request).await?.sent {
            Sent::Answered(reply) => Ok(reply),
            Sent::Unsent(request) => self.send_new(address, request).await,
        }
    }

    /// Sends the request with an id on an idle connection, if there is one that is still open and has not carried the id: a late
    /// copy of its first answer would be taken for the second one.
    ///
    /// # Errors
    ///
    /// The connection broke after part of the request may have been written.
    pub async fn send_idle(
        &self,
        address: &str,
        id: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Tried, Error> {
        let digest = self.hasher.hash_one(id);
        self.try_idle(address, Some(digest), request).await
    }

    async fn try_idle(
        &self,
        address: &str,
        digest: Option<u64>,
        request: Request<Full<Bytes>>,
    ) -> Result<Tried, Error> {
        let mut is_repeat = false;
        let mut request = request;
        while self.dialer.is_none() {
            let taken = self.take_idle(address, digest);
            is_repeat |= taken.is_repeat;
            let Some(mut connection) = taken.connection else {
                break;
            };
            connection.progress.record();
            if let Some(digest) = digest {
                connection.carried.insert(digest);
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let address = Some(address.to_string());
                    let sent = Sent::Answered(self.reply(address, connection, response));
                    return Ok(Tried { is_repeat, sent });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::after_write(error.into_error())),
                },
            }
        }
        let sent = Sent::Unsent(request);
        Ok(Tried { is_repeat, sent })
    }

    /// Sends a request on a new connection.
    ///
    /// Used for requests that must not run twice: a refused connection proves that nothing
    /// was written, while a pooled one may have been closed by the server in the meantime.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] says whether the endpoint may have received anything.
    pub async fn send_new(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let Some(Dialer(open)) = &self.dialer else {
            let stream = self.connect(address).await?;
            let mut reply = self.send_over(stream, request).await?;
            reply.address = Some(address.to_string());
            return Ok(reply);
        };
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidInput, error);
        let address = address.parse().map_err(invalid).map_err(Error::Connect)?;
        let stream = open(address).await.map_err(Error::Connect)?;
        self.send_over(stream, request).await
    }

    /// Sends a request on a new connection that is used for nothing else: its answer names no request, so that only the connection
    /// tells it from a late copy of another answer.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] says whether the endpoint may have received anything.
    pub async fn send_alone(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let mut reply = self.send_new(address, request).await?;
        reply.address = None;
        Ok(reply)
    }

    /// Sends the request with an id on a connection that [`Self::connect`] has opened, and that other requests may use after it.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] says whether the endpoint may have received anything.
    pub async fn send_on(
        &self,
        address: &str,
        id: &str,
        stream: TcpStream,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let mut reply = self.send_over(stream, request).await?;
        reply.connection.carried.insert(self.hasher.hash_one(id));
        reply.address = Some(address.to_string());
        Ok(reply)
    }

    /// Sends a request over a byte stream to the endpoint, which is used for this request only.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] says whether the endpoint may have received anything.
    pub async fn send_over<S>(
        &self,
        stream: S,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut connection = handshake(stream).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.reply(None, connection, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    Error::NotWritten(error)
                } else {
                    Error::after_write(error)
                })
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The endpoint refused, or did not accept in time.
    pub async fn connect(&self, address: &str) -> Result<TcpStream, Error> {
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok(stream)
    }

    /// Drops the idle connections to an address.
    ///
    /// # Panics
    ///
    /// The lock is poisoned.
    pub fn drop_idle(&self, address: &str) {
        let mut idle = self.idle.lock().expect("the pool is never poisoned");
        if let Ok(index) = idle.binary_search_by(|(other, _)| other.as_str().cmp(address)) {
            idle[index].1.clear();
        }
    }

    fn reply(
        &self,
        address: Option<String>,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Reply {
        connection.progress.record();
        Reply {
            address,
            connection,
            idle: Arc::clone(&self.idle),
            response,
        }
    }

    /// The connection that was used last, of those that may carry the request with this digest.
    fn take_idle(&self, address: &str, digest: Option<u64>) -> Taken {
        let mut idle = self.idle.lock().expect("the pool is never poisoned");
        let Ok(index) = idle.binary_search_by(|(other, _)| other.as_str().cmp(address)) else {
            return Taken::default();
        };
        let connections = &mut idle[index].1;
        let now = Instant::now();
        connections.retain(|idle| idle.is_reusable(now));
        let index = connections.iter().rposition(|idle| {
            let carried = &idle.connection.carried;
            digest.is_none_or(|digest| !carried.contains(digest))
        });
        Taken {
            is_repeat: index.map_or(0, |index| index + 1) < connections.len(),
            connection: index.map(|index| connections.remove(index).connection),
        }
    }
}

/// An idle connection for a request.
#[derive(Debug, Default)]
struct Taken {
    connection: Option<Connection>,
    /// Whether others were passed over, as they had carried the request before.
    is_repeat: bool,
}

/// A request that was to be sent on an idle connection.
#[derive(Debug)]
pub struct Tried {
    /// Whether idle connections were passed over, as they had carried the request before.
    pub is_repeat: bool,
    /// The result.
    pub sent: Sent,
}

/// Result of a request on an idle connection.
#[derive(Debug)]
pub enum Sent {
    /// The endpoint responded.
    Answered(Reply),
    /// There was no idle connection for it that was still open; nothing was written.
    Unsent(Request<Full<Bytes>>),
}

/// A response whose body is read on demand.
#[derive(Debug)]
pub struct Reply {
    /// Address under which the connection is pooled; `None` if it is not used again.
    address: Option<String>,
    connection: Connection,
    idle: Arc<Mutex<IdleConnections>>,
    response: Response<Incoming>,
}

impl Reply {
    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The `Content-Type` header, or an empty string.
    #[must_use]
    pub fn content_type(&self) -> String {
        let value = self.response.headers().get(http::header::CONTENT_TYPE);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string()
    }

    /// The value of a header, if it is present and valid text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// Whether the body has a length or chunks. Otherwise it ends with its connection, and may have been cut off.
    #[must_use]
    pub fn is_delimited(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke, or what was received is no response.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(frame) = self.response.body_mut().frame().await {
            let frame = frame.map_err(Error::after_write)?;
            self.connection.progress.record();
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns the connection to the pool. It is reused only if it is ready for another request,
    /// so the body must have been read to its end.
    pub fn release(self) {
        let Some(address) = &self.address else {
            return;
        };
        if self.connection.carried.is_full() {
            return;
        }
        let limit = self.header("keep-alive").and_then(keep_alive_timeout);
        let max_idle = limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| limit.mul_f64(REUSE_FRACTION));
        put_back(&self.idle, address, self.connection, max_idle);
    }

    /// The response headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Reads the whole body, at most `max_bytes` long, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// The connection broke, what was received is no response, or the body is larger.
    pub async fn read_body(self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut blocks = self.read_blocks(max_bytes, |_| true).await?;
        if blocks.len() == 1 {
            return Ok(blocks.swap_remove(0));
        }
        Ok(blocks.concat().into())
    }

    /// Reads the whole body like [`Self::read_body`] in blocks, for as long as `takes` agrees to each number of bytes that is
    /// allocated for it.
    ///
    /// # Errors
    ///
    /// The connection broke, what was received is no response, or the body is larger.
    pub async fn read_blocks(
        mut self,
        max_bytes: usize,
        takes: impl Fn(usize) -> bool,
    ) -> Result<Vec<Bytes>, Error> {
        let announced = self.response.body().size_hint().lower();
        if usize::try_from(announced).is_ok_and(|announced| announced > max_bytes) {
            return Err(Error::TooLarge);
        }
        let mut body = Gathered::default();
        while let Some(chunk) = self.chunk().await? {
            let missing = body.missing(chunk.len());
            if body.len + chunk.len() > max_bytes || (missing > 0 && !takes(missing)) {
                return Err(Error::TooLarge);
            }
            body.push(&chunk, missing);
        }
        self.release();
        Ok(body.into_blocks())
    }
}

/// Adds a connection to the pool, unless there are enough of them.
fn put_back(
    idle: &Mutex<IdleConnections>,
    address: &str,
    connection: Connection,
    max_idle: Duration,
) {
    let mut idle = idle.lock().expect("the pool is never poisoned");
    let now = Instant::now();
    let index = match idle.binary_search_by(|(other, _)| other.as_str().cmp(address)) {
        Ok(index) => index,
        Err(index) => {
            // Addresses that are gone are not asked for again.
            for (_, connections) in idle.iter_mut() {
                connections.retain(|idle| idle.is_reusable(now));
            }
            idle.insert(index, (address.to_string(), Vec::new()));
            index
        }
    };
    let connections = &mut idle[index].1;
    if connections.len() < MAX_IDLE_PER_ADDRESS {
        let reusable_until = now + max_idle;
        connections.push(IdleConnection {
            connection,
            reusable_until,
        });
    }
}

async fn handshake<S>(stream: S) -> Result<Connection, Error>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let stream = Bounded::new(stream);
    let progress = stream.progress();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(Error::NotWritten)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection to an endpoint failed");
        }
    });
    Ok(Connection {
        carried: Carried::default(),
        progress,
        sender,
    })
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
