//! Responses to callers.

use {
    crate::prelude::*,
    http_body_util::Full,
    hyper::body::{Frame, SizeHint},
    platform::head,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// A response to a caller.
pub type Reply = Response<Body>;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Full<Bytes>),
    /// A streamed body. It is complete only after [`BodyPart::End`]; if the sender is dropped
    /// before, the connection is aborted, so that a truncated body does not look complete.
    Stream(mpsc::Receiver<BodyPart>),
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
            Self::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(BodyPart::Data(data)) => Some(Ok(Frame::data(data))),
                Some(BodyPart::End) => None,
                None => Some(Err(Incomplete)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A response with a complete body.
#[must_use]
pub fn full(status: StatusCode, headers: http::HeaderMap, body: Bytes) -> Reply {
    let mut reply = Response::new(Body::Full(Full::new(body)));
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
        | Refusal::Stale
        | Refusal::Stopping
        | Refusal::Unconfigured
        | Refusal::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        Refusal::UnknownRoute => StatusCode::NOT_FOUND,
    }
}
