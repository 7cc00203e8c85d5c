//! The three outcomes of a request.
//!
//! A request may be reported as not run only if that is certain. [`NotRun`] can only be built
//! from an [`Unsent`], which starting an attempt consumes. It is restored only by
//! [`Evidence`] that the attempt did not run.

use crate::prelude::*;

/// Proof that no endpoint has received the request.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Created once per request, on its arrival.
    pub(crate) const fn new() -> Self {
        Self(())
    }

    /// Consumes the proof, as an attempt is written or the request is refused.
    pub(crate) fn consume(self) {
        let Self(()) = self;
    }
}

/// Evidence that an attempt did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The endpoint answered that it rejected the request.
    EndpointRefused,
    /// No byte of the request was written to a connection.
    NothingWritten,
}

impl Evidence {
    /// Restores the proof that the attempt consumed.
    pub(crate) const fn unsent(self) -> Unsent {
        match self {
            Self::EndpointRefused | Self::NothingWritten => Unsent(()),
        }
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The complete answer of the endpoint; `None` if it was delivered as a stream.
    Answered(Option<Answer>),
    /// It may have run, in whole or in part.
    MayHaveRun(MayHaveRun),
    /// It provably did not run.
    NotRun(NotRun),
}

/// Refusal of a request that did not run.
#[derive(Debug)]
pub struct NotRun {
    /// Why the request was refused.
    pub refusal: Refusal,
    /// Time after which a retry may succeed, if it can.
    pub retry_after: Option<Duration>,
}

impl NotRun {
    /// Consumes the proof that nothing was sent.
    #[must_use]
    pub fn new(proof: Unsent, refusal: Refusal, retry_after: Option<Duration>) -> Self {
        proof.consume();
        Self {
            refusal,
            retry_after,
        }
    }
}

/// Why the result of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayHaveRun {
    /// The claim was not settled before the deadline.
    ClaimUnsettled,
    /// The connection to the endpoint broke after the request was written.
    ConnectionLost,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// An earlier request with the same key ran or may have run, and its answer is not stored.
    EarlierAttempt,
    /// It was stopped, since endpoints were lost while they ran equal requests.
    Stopped,
    /// The stream ended prematurely after this many tokens.
    StreamCut(u32),
}

impl Display for MayHaveRun {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::ClaimUnsettled => write!(f, "the log did not settle the claim in time"),
            Self::ConnectionLost => {
                write!(f, "the connection to the endpoint was lost after sending")
            }
            Self::DeadlinePassed => write!(f, "the deadline passed while the endpoint was at work"),
            Self::EarlierAttempt => write!(f, "an earlier request under this key may have run"),
            Self::Stopped => write!(
                f,
                "endpoints were lost while they ran equal requests, so it was stopped"
            ),
            Self::StreamCut(tokens) => write!(f, "the stream was cut after {tokens} tokens"),
        }
    }
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The last attempt failed, and the retry budget is used up.
    AllRefused,
    /// The caller disconnected before the request was sent.
    CallerGone,
    /// Endpoints were lost while they ran equal requests.
    CrashesEndpoints,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No configuration has been read yet.
    NoConfig,
    /// No endpoint can serve the route or service now.
    NoEndpoint,
    /// The generation to resume is no longer kept.
    NotResumable,
    /// The order key is older than [`Limits::order_window`].
    KeyExpired,
    /// The creation time of the order key is in the future.
    KeyFromFuture,
    /// The order key was used with another body.
    KeyReused,
    /// The log is unreachable, so the order key cannot be claimed.
    LogUnavailable,
    /// The queue is full.
    QueueFull,
    /// The credential belongs to no customer.
    UnknownCustomer,
    /// No route or service has this name.
    UnknownRoute,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let text = match self {
            Self::AllRefused => "every endpoint tried refused the request",
            Self::CallerGone => "the caller left before the request was sent",
            Self::CrashesEndpoints => "endpoints were lost while they ran equal requests",
            Self::DeadlinePassed => "the deadline passed before an endpoint was free",
            Self::KeyExpired => {
                "the idempotency key is older than the window in which repeats are known"
            }
            Self::KeyFromFuture => "the idempotency key carries a time of birth in the future",
            Self::KeyReused => "the idempotency key was used with another body",
            Self::LogUnavailable => "the log that settles idempotency keys cannot be reached",
            Self::NoConfig => "no configuration has been read yet",
            Self::NoEndpoint => "no endpoint can serve this now",
            Self::NotResumable => "the generation to resume is not kept any more",
            Self::QueueFull => "the queue is full",
            Self::UnknownCustomer => "the credential belongs to no customer",
            Self::UnknownRoute => "no route or service has this name",
        };
        f.write_str(text)
    }
}
