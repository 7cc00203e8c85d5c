//! Connections that end if too many bytes complete neither a head nor a part of a body.
//!
//! The HTTP parser limits most of what may come without end, but not interim responses, chunk sizes with leading zeros
//! and white space after them.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Maximum size of the buffer that a connection is read into, and of the head of a response, in bytes.
pub const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Number of bytes that may be read between two parts of messages. The parser reads ahead by its buffer.
const MAX_BYTES_BETWEEN_PARTS: usize = 4 * MAX_BUFFER_BYTES;

/// Progress of the messages that are read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that a head or a part of a body has been read, or that a new message is expected.
    pub fn record(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A byte stream whose reads fail once no message makes progress.
#[derive(Debug)]
pub struct Bounded<S> {
    limit: usize,
    progress: Progress,
    stream: S,
}

impl<S> Bounded<S> {
    /// Limits a byte stream that is read into a buffer of [`MAX_BUFFER_BYTES`].
    pub fn new(stream: S) -> Self {
        Self::with_limit(stream, MAX_BYTES_BETWEEN_PARTS)
    }

    /// Limits a byte stream to this number of bytes between two parts of messages.
    pub fn with_limit(stream: S, limit: usize) -> Self {
        Self {
            limit,
            progress: Progress::default(),
            stream,
        }
    }

    /// The progress of the messages, to be recorded by their reader.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Bounded<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let read = &this.progress.0;
        if read.load(Ordering::Relaxed) > this.limit {
            let text = "too many bytes that complete no part of a message";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        read.fetch_add(buf.filled().len() - before, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Bounded<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
