//! Connections to endpoints, kept for reuse.

use {
    crate::prelude::*,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::time::Instant,
    tokio::{net::TcpStream, time::timeout},
};

/// Idle connections kept per address.
const MOST_IDLE: usize = 64;

/// How long an idle connection is reused if its other side does not say.
const REUSE: Duration = Duration::from_secs(8);

/// Part of the time that the other side states for idle connections in which they are
/// reused. A request that crosses the other side's close may or may not have run.
const REUSE_SHARE: f64 = 0.6;

type Sending = SendRequest<Full<Bytes>>;

/// Idle connections, sorted by address.
type Idle = Vec<(String, Vec<Kept>)>;

/// An idle connection, and until when it is reused.
#[derive(Debug)]
struct Kept {
    sending: Sending,
    until: Instant,
}

/// HTTP/1.1 client with a small pool; clones share it.
#[derive(Clone, Debug)]
pub struct Client {
    connect: Duration,
    idle: Arc<Mutex<Idle>>,
}

impl Client {
    /// A client that gives a connection up after `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        Self {
            connect,
            idle: Arc::new(Mutex::new(Vec::new())),
        }
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] tells whether anything may have reached the endpoint.
    pub async fn send(&self, address: &str, request: Request<Full<Bytes>>) -> Result<Reply, Error> {
        let mut request = request;
        while let Some(mut sending) = self.take(address) {
            match sending.try_send_request(request).await {
                Ok(response) => return Ok(self.reply(address, sending, response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Broken(error.into_error())),
                },
            }
        }
        self.send_new(address, request).await
    }

    /// Sends a request on a new connection.
    ///
    /// Orders go this way: a connection that is refused proves that nothing was
    /// written, while a reused one may have been closed by the other side.
    ///
    /// # Errors
    ///
    /// [`Error::unwritten`] tells whether anything may have reached the endpoint.
    pub async fn send_new(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let mut sending = self.open(address).await?;
        match sending.try_send_request(request).await {
            Ok(response) => Ok(self.reply(address, sending, response)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    Error::NotWritten(error)
                } else {
                    Error::Broken(error)
                })
            }
        }
    }

    async fn open(&self, address: &str) -> Result<Sending, Error> {
        let stream = timeout(self.connect, TcpStream::connect(address))
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sending, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(Error::NotWritten)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "connection to an endpoint ended");
            }
        });
        Ok(sending)
    }

    fn put(&self, address: &str, sending: Sending, reuse: Duration) {
        let mut idle = self.idle.lock().expect("the pool is never poisoned");
        let place = match idle.binary_search_by(|(other, _)| other.as_str().cmp(address)) {
            Ok(place) => place,
            Err(place) => {
                idle.insert(place, (address.to_string(), Vec::new()));
                place
            }
        };
        let kept = &mut idle[place].1;
        if kept.len() < MOST_IDLE {
            let until = Instant::now() + reuse;
            kept.push(Kept { sending, until });
        }
    }

    fn reply(&self, address: &str, sending: Sending, response: Response<Incoming>) -> Reply {
        Reply {
            address: address.to_string(),
            client: self.clone(),
            response,
            sending,
        }
    }

    fn take(&self, address: &str) -> Option<Sending> {
        let mut idle = self.idle.lock().expect("the pool is never poisoned");
        let place = idle
            .binary_search_by(|(other, _)| other.as_str().cmp(address))
            .ok()?;
        let kept = &mut idle[place].1;
        let now = Instant::now();
        kept.retain(|kept| kept.until > now && kept.sending.is_ready());
        kept.pop().map(|kept| kept.sending)
    }
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct Reply {
    address: String,
    client: Client,
    response: Response<Incoming>,
    sending: Sending,
}

impl Reply {
    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The `Content-Type`, empty if there is none.
    #[must_use]
    pub fn media(&self) -> String {
        let value = self.response.headers().get(http::header::CONTENT_TYPE);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_string()
    }

    /// A header's value, if it is there and is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }

    /// The next part of the body; `None` at its end, with the connection kept.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(frame) = self.response.body_mut().frame().await {
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Hands the connection back once the body is read.
    pub fn release(self) {
        let stated = self.header("keep-alive").and_then(idle_timeout);
        let reuse = stated.map_or(REUSE, |stated| stated.mul_f64(REUSE_SHARE));
        self.client.put(&self.address, self.sending, reuse);
    }

    /// All headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Reads the whole body, at most `most` bytes.
    ///
    /// # Errors
    ///
    /// The connection broke, or the body is larger.
    pub async fn read_body(mut self, most: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(part) = self.chunk().await? {
            if body.len() + part.len() > most {
                return Err(Error::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        self.release();
        Ok(body.freeze())
    }
}

/// The `timeout` parameter of a `Keep-Alive` header.
fn idle_timeout(value: &str) -> Option<Duration> {
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
