//! Byte streams to endpoints through a peer.
//!
//! An instance whose own links to endpoints are cut asks a peer to connect to one, and speaks to the
//! endpoint over that stream. The peer forwards bytes and decides nothing.

use {
    crate::prelude::*,
    quinn::{RecvStream, SendStream, VarInt},
    std::{
        io,
        pin::Pin,
        sync::atomic::{AtomicBool, Ordering},
        task::{Context, Poll},
        time::Instant,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, Join, ReadBuf},
        net::{TcpStream, tcp::OwnedWriteHalf},
    },
};

/// Application error code with which a stream is reset whose endpoint has broken the connection.
const ENDPOINT_BROKE: VarInt = VarInt::from_u32(1);

/// Interval of heartbeats of an instance that uses tunnels.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);

/// Time after which a peer that is not heard counts as lost. It may take a stream over elsewhere some 100
/// ms after it has lost this instance, and two engines may run a stream for 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls without a sign of a peer after which it counts as lost. After a pause of this process there is
/// one before what has arrived meanwhile is read.
const MIN_SILENT_POLLS: u32 = 3;

/// How often it is checked whether a peer has been heard.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of the buffer for what a peer sends.
const FORWARD_BUFFER_BYTES: usize = 8 << 10;

/// Size limit of an encoded address.
const MAX_ADDRESS_BYTES: usize = 32;

/// Held by each tunnel, so that its users can be counted.
pub type Usage = Arc<()>;

/// A connected stream, as seen by the instance that asked for it.
#[derive(Debug)]
pub struct Stream {
    held: Vec<Usage>,
    joined: Join<RecvStream, SendStream>,
}

impl Stream {
    /// Keeps a value until the stream is dropped.
    pub fn hold(&mut self, usage: Usage) {
        self.held.push(usage);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.joined).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.joined).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.joined).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.joined).poll_shutdown(cx)
    }
}

/// How the peer answers; the values are sent as one byte. Other values count as a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
enum Status {
    Connected = 0,
    Refused = 1,
    Unreached = 2,
    /// Followed by the milliseconds that are left, in four bytes.
    CoolingDown = 3,
}

/// Why there is no tunnel; nothing has been sent to the endpoint.
#[derive(Debug)]
pub enum Failure {
    /// The endpoint wants no requests from the peer for this time.
    CoolingDown(Duration),
    /// The peer refused.
    Refused,
    /// The peer cannot be reached or did not answer.
    Unanswered(Error),
    /// The peer could not connect to the endpoint.
    Unreached,
}

/// A request of a peer for a tunnel.
#[derive(Debug)]
pub struct Incoming {
    connection: Connection,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    receive: RecvStream,
    send: SendStream,
    usage: Usage,
}

/// A tunnel of a peer, to be connected to the endpoint.
#[derive(Debug)]
pub struct Accepted {
    /// Bytes for the endpoint.
    pub receive: RecvStream,
    /// Bytes of the endpoint.
    pub send: SendStream,
    connection: Connection,
    _usage: Usage,
}

impl Accepted {
    /// Waits until the peer has not been heard for 300 ms. It can then not say any more that it does not
    /// need the endpoint's work, and may have it done elsewhere.
    pub fn peer_lost(&self) -> impl Future<Output = ()> + use<> {
        let connection = self.connection.clone();
        async move {
            let mut heard = connection.stats().udp_rx.datagrams;
            let (mut heard_at, mut polls) = (Instant::now(), 0);
            while polls < MIN_SILENT_POLLS || heard_at.elapsed() < SILENCE_TIMEOUT {
                tokio::time::sleep(SILENCE_POLL_INTERVAL).await;
                polls += 1;
                let now_heard = connection.stats().udp_rx.datagrams;
                if std::mem::replace(&mut heard, now_heard) != now_heard {
                    (heard_at, polls) = (Instant::now(), 0);
                }
            }
        }
    }

    /// Forwards bytes until one side ends. What the endpoint closes in order, the peer sees closed in order,
    /// and else reset.
    pub async fn relay(mut self, stream: TcpStream) {
        let (mut from_endpoint, mut to_endpoint) = stream.into_split();
        let lost = self.peer_lost();
        let broke = AtomicBool::new(false);
        let result = tokio::select! {
            // The peer's request needs no answer any more.
            () = forward_request(&mut self.receive, &mut to_endpoint, &broke) => return,
            () = lost => {
                log::info!("peer instance of a tunnel does not answer; connection to its endpoint closed");
                self.reset();
                return;
            }
            copied = tokio::io::copy(&mut from_endpoint, &mut self.send) => copied,
        };
        match result {
            Ok(_) if !broke.load(Ordering::Relaxed) => {}
            ended => {
                log::debug!(ended:?; "tunnel broke");
                self.reset();
            }
        }
    }

    /// Tells the peer that the endpoint has broken the connection, so that an answer without a length
    /// does not look complete.
    pub fn reset(mut self) {
        // Fails if the peer has already closed the stream.
        let _closed = self.send.reset(ENDPOINT_BROKE);
    }
}

/// Forwards what the peer sends until it sends no more, and sets `broke` if the endpoint takes no more.
/// A socket reports its reset once only: after a failed write, it reads like one that was closed in order.
async fn forward_request(
    receive: &mut RecvStream,
    to_endpoint: &mut OwnedWriteHalf,
    broke: &AtomicBool,
) {
    let mut buffer = vec![0; FORWARD_BUFFER_BYTES];
    while let Ok(Some(count)) = receive.read(&mut buffer).await {
        let is_open = !broke.load(Ordering::Relaxed);
        if is_open && to_endpoint.write_all(&buffer[..count]).await.is_err() {
            broke.store(true, Ordering::Relaxed);
        }
    }
}

impl Incoming {
    /// Reads the request of a stream that a peer has opened.
    pub(crate) async fn read(
        connection: Connection,
        send: SendStream,
        mut receive: RecvStream,
        usage: Usage,
    ) -> Result<Self, Error> {
        let length = receive.read_u8().await?;
        Self::read_address(connection, send, receive, usage, length).await
    }

    /// Reads the address of a request, after its length in bytes.
    pub(crate) async fn read_address(
        connection: Connection,
        send: SendStream,
        mut receive: RecvStream,
        usage: Usage,
        length: u8,
    ) -> Result<Self, Error> {
        let mut data = [0; MAX_ADDRESS_BYTES];
        let length = usize::from(length).min(MAX_ADDRESS_BYTES);
        receive
            .read_exact(&mut data[..length])
            .await
            .map_err(|error| Error::Connection(error.to_string()))?;
        Ok(Self {
            connection,
            endpoint: postcard::from_bytes(&data[..length])?,
            receive,
            send,
            usage,
        })
    }

    /// Confirms that the endpoint is connected.
    ///
    /// # Errors
    ///
    /// The peer has closed the stream or cannot be reached.
    pub async fn accept(mut self) -> Result<Accepted, Error> {
        self.send.write_u8(Status::Connected as u8).await?;
        Ok(Accepted {
            receive: self.receive,
            send: self.send,
            connection: self.connection,
            _usage: self.usage,
        })
    }

    /// Refuses to connect to the endpoint.
    pub async fn refuse(self) {
        self.fail(Status::Refused).await;
    }

    /// Reports that the endpoint cannot be connected to.
    pub async fn report_unreached(self) {
        self.fail(Status::Unreached).await;
    }

    /// Reports that the endpoint wants no requests from this instance for a time.
    pub async fn report_cooldown(self, left: Duration) {
        let millis = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let status = [Status::CoolingDown as u8];
        self.answer(&[&status[..], &millis.to_be_bytes()].concat())
            .await;
    }

    async fn fail(self, status: Status) {
        self.answer(&[status as u8]).await;
    }

    async fn answer(mut self, data: &[u8]) {
        if let Err(error) = self.send.write_all(data).await {
            log::debug!(error:%; "peer instance has given up a tunnel");
        }
    }
}

/// Asks the peer at the other end of a connection to connect to an endpoint.
pub(crate) async fn open(
    connection: &Connection,
    usage: Usage,
    endpoint: SocketAddr,
) -> Result<Stream, Failure> {
    let unanswered = |error: Error| Failure::Unanswered(error);
    let (mut send, mut receive) = connection
        .open_bi()
        .await
        .map_err(|error| unanswered(Error::Connection(error.to_string())))?;
    let address = postcard::to_stdvec(&endpoint).map_err(|error| unanswered(error.into()))?;
    let length = u8::try_from(address.len()).unwrap_or(u8::MAX);
    let request = [&[length], address.as_slice()].concat();
    send.write_all(&request)
        .await
        .map_err(|error| unanswered(Error::Connection(error.to_string())))?;
    let status = receive.read_u8().await;
    let status = status.map_err(|error| unanswered(error.into()))?;
    if status == Status::Connected as u8 {
        return Ok(Stream {
            held: vec![usage],
            joined: tokio::io::join(receive, send),
        });
    }
    if status == Status::Unreached as u8 {
        return Err(Failure::Unreached);
    }
    if status == Status::CoolingDown as u8 {
        let millis = receive.read_u32().await;
        let millis = millis.map_err(|error| unanswered(error.into()))?;
        return Err(Failure::CoolingDown(Duration::from_millis(millis.into())));
    }
    Err(Failure::Refused)
}
