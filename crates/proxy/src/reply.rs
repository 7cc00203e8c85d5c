//! Responses to callers.

use {
    crate::{memory::Held, prelude::*},
    hyper::body::{Frame, SizeHint},
    platform::head,
    std::{
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
pub enum Body {
    /// A complete body, with what counts it if that is not small.
    Full(Bytes, Option<Held>),
    /// A streamed body. It is complete only after [`BodyPart::End`]; if the sender is dropped
    /// before, the connection is aborted, so that a truncated body does not look complete.
    Stream(mpsc::UnboundedReceiver<BodyPart>, Rc<Held>),
}

impl Body {
    /// What counts the bytes that the caller has not read.
    #[must_use]
    pub fn held(&self) -> Option<&Held> {
        match self {
            Self::Full(_, held) => held.as_ref(),
            Self::Stream(_, held) => Some(held),
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
        match self.get_mut() {
            Self::Full(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes, held) => {
                let data = bytes.split_to(bytes.len().min(MAX_FRAME_BYTES));
                if let Some(held) = held {
                    held.release(data.len());
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Self::Stream(parts, held) => parts.poll_recv(cx).map(|part| match part {
                Some(BodyPart::Data(data)) => {
                    held.release(part_size(&data));
                    Some(Ok(Frame::data(data)))
                }
                Some(BodyPart::End) => None,
                None => Some(Err(Incomplete)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes, _) => {
                SizeHint::with_exact(u64::try_from(bytes.len()).unwrap_or(u64::MAX))
            }
            Self::Stream(..) => SizeHint::default(),
        }
    }
}

/// Number of bytes that a part of a streamed body holds.
#[must_use]
pub const fn part_size(data: &Bytes) -> usize {
    data.len() + size_of::<BodyPart>()
}

/// A response with a complete body that is small.
#[must_use]
pub fn full(status: StatusCode, headers: http::HeaderMap, body: Bytes) -> Reply {
    complete(status, headers, body, None)
}

/// A response with a complete body that is counted.
#[must_use]
pub fn counted(status: StatusCode, headers: http::HeaderMap, body: Bytes, held: Held) -> Reply {
    complete(status, headers, body, Some(held))
}

fn complete(
    status: StatusCode,
    headers: http::HeaderMap,
    body: Bytes,
    held: Option<Held>,
) -> Reply {
    let mut reply = Response::new(Body::Full(body, held));
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
        Refusal::CrashesEndpoints
        | Refusal::Expired
        | Refusal::Full
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
