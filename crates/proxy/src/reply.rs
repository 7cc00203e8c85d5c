//! Responses to callers.

use {
    crate::{memory::Held, prelude::*},
    hyper::body::{Frame, SizeHint},
    platform::head,
    std::{
        collections::VecDeque,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// Largest frame of a body. A frame is held by its connection once it has been taken.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// A response to a caller.
pub type Reply = Response<Body>;

/// The body of a response.
#[derive(Debug)]
pub struct Body {
    /// Bytes of the frame that was handed out last. They count as held until the next frame is asked for: a connection
    /// asks for none while its buffer is full, and a body of which nothing is held would not be seen to be unread.
    handed_out: usize,
    source: Source,
}

/// Where the frames of a body come from.
#[derive(Debug)]
enum Source {
    /// A complete body in frames, with what counts it if that is not small.
    Full(VecDeque<Bytes>, Option<Held>),
    /// A streamed body. It is complete only after [`BodyPart::End`]; if the sender is dropped
    /// before, the connection is aborted, so that a truncated body does not look complete.
    Stream(mpsc::UnboundedReceiver<BodyPart>, Rc<Held>),
}

impl Body {
    /// A complete body, with what counts it if that is not small.
    #[must_use]
    pub fn full(bytes: Bytes, held: Option<Held>) -> Self {
        Self {
            handed_out: 0,
            source: Source::Full(frames(bytes), held),
        }
    }

    /// A complete body that is counted, in blocks.
    #[must_use]
    pub fn blocks(blocks: Vec<Bytes>, held: Held) -> Self {
        let frames = blocks.into_iter().flat_map(frames).collect();
        Self {
            handed_out: 0,
            source: Source::Full(frames, Some(held)),
        }
    }

    /// A streamed body, with what counts its parts.
    #[must_use]
    pub const fn stream(parts: mpsc::UnboundedReceiver<BodyPart>, held: Rc<Held>) -> Self {
        Self {
            handed_out: 0,
            source: Source::Stream(parts, held),
        }
    }

    /// Whether it is streamed.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        matches!(self.source, Source::Stream(..))
    }

    /// What counts the bytes that the caller has not read.
    #[must_use]
    pub fn held(&self) -> Option<&Held> {
        match &self.source {
            Source::Full(_, held) => held.as_ref(),
            Source::Stream(_, held) => Some(held),
        }
    }

    /// Counts the frame that was handed out last as no longer held.
    fn release(&mut self) {
        let handed_out = std::mem::take(&mut self.handed_out);
        if let Some(held) = self.held().filter(|_| handed_out > 0) {
            held.release(handed_out);
        }
    }
}

/// A part of a streamed body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The sender of a streamed body was dropped before the end.
#[derive(Debug)]
pub struct Incomplete;

impl Display for Incomplete {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for Incomplete {}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let body = self.get_mut();
        body.release();
        match &mut body.source {
            Source::Full(frames, _) => Poll::Ready(frames.pop_front().map(|data| {
                body.handed_out = data.len();
                Ok(Frame::data(data))
            })),
            Source::Stream(parts, _) => parts.poll_recv(cx).map(|part| match part {
                Some(BodyPart::Data(data)) => {
                    body.handed_out = part_size(&data);
                    Some(Ok(Frame::data(data)))
                }
                Some(BodyPart::End) => None,
                None => Some(Err(Incomplete)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(frames, _) => {
                let left = frames.iter().map(Bytes::len).sum::<usize>();
                SizeHint::with_exact(u64::try_from(left).unwrap_or(u64::MAX))
            }
            Source::Stream(..) => SizeHint::default(),
        }
    }
}

/// Splits a body into frames. Slices of one buffer would keep all of it until the last one is written.
fn frames(bytes: Bytes) -> VecDeque<Bytes> {
    if bytes.is_empty() {
        return VecDeque::new();
    }
    if bytes.len() <= MAX_FRAME_BYTES {
        return VecDeque::from([bytes]);
    }
    let frames = bytes.chunks(MAX_FRAME_BYTES);
    frames.map(Bytes::copy_from_slice).collect()
}

/// Number of bytes that a part of a streamed body holds.
#[must_use]
pub const fn part_size(data: &Bytes) -> usize {
    data.len() + size_of::<BodyPart>()
}

/// A response with a complete body that is small.
#[must_use]
pub fn full(status: StatusCode, headers: http::HeaderMap, body: Bytes) -> Reply {
    complete(status, headers, Body::full(body, None))
}

/// A response with a complete body that is counted, in blocks.
#[must_use]
pub fn counted(
    status: StatusCode,
    headers: http::HeaderMap,
    blocks: Vec<Bytes>,
    held: Held,
) -> Reply {
    complete(status, headers, Body::blocks(blocks, held))
}

fn complete(status: StatusCode, headers: http::HeaderMap, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// A response without body or headers.
#[must_use]
pub fn empty(status: StatusCode) -> Reply {
    full(status, http::HeaderMap::new(), Bytes::new())
}

/// The local reply for a refusal.
#[must_use]
pub fn refusal(refusal: Refusal, id: &str) -> Reply {
    let mut reply = empty(status(refusal));
    head::set_local_reply_headers(reply.headers_mut(), id, refusal.retry_after());
    reply
}

const fn status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::Bad => StatusCode::BAD_REQUEST,
        Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::Broken => StatusCode::BAD_GATEWAY,
        Refusal::CoolingDown(_)
        | Refusal::CrashesEndpoints
        | Refusal::Expired
        | Refusal::Full
        | Refusal::Limited(_)
        | Refusal::OverShare(_)
        | Refusal::OutOfMemory
        | Refusal::Stale
        | Refusal::Stopping
        | Refusal::Unconfigured
        | Refusal::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        Refusal::UnknownRoute => StatusCode::NOT_FOUND,
    }
}
