//! The three ends of a request, kept apart by their types.
//!
//! A refusal that says "not run" must be true. [`NotRun`] can only be built from
//! an [`Unsent`], and starting an attempt consumes the [`Unsent`]; it comes back
//! only against [`Evidence`] that the attempt reached nobody.

use crate::prelude::*;

/// Proof that the request has been sent to no endpoint.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Issued once, when a request arrives.
    pub(crate) const fn new() -> Self {
        Self(())
    }

    /// Gives the proof up because an attempt is about to be written.
    pub(crate) fn send(self) {
        let Self(()) = self;
    }
}

/// Why it is provable that an attempt was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The endpoint answered that it did not take the request.
    EndpointRefused,
    /// No byte of the request was written to a connection.
    NothingWritten,
}

impl Evidence {
    /// Turns the evidence back into the proof that the attempt had used up.
    pub(crate) const fn unsent(self) -> Unsent {
        match self {
            Self::EndpointRefused | Self::NothingWritten => Unsent(()),
        }
    }
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer of the endpoint; `None` where it was delivered as a stream.
    Answered(Option<Answer>),
    /// It may have run, in whole or in part, and nobody here can tell.
    MayHaveRun(MayHaveRun),
    /// It provably did not run.
    NotRun(NotRun),
}

/// A refusal with the proof that nothing ran.
#[derive(Debug)]
pub struct NotRun {
    /// Why the request was refused.
    pub refusal: Refusal,
    /// When trying again makes sense, if it does.
    pub retry_after: Option<Duration>,
}

impl NotRun {
    /// Uses up the proof that nothing was sent.
    #[must_use]
    pub fn new(proof: Unsent, refusal: Refusal, retry_after: Option<Duration>) -> Self {
        proof.send();
        Self {
            refusal,
            retry_after,
        }
    }
}

/// Why the result of a request is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MayHaveRun {
    /// The claim's append could not be settled before the deadline.
    ClaimUnsettled,
    /// The connection to the endpoint broke after the request was written.
    ConnectionLost,
    /// The deadline passed while the endpoint was at work.
    DeadlinePassed,
    /// An earlier request under the same key ran, or may have; its answer is gone.
    EarlierAttempt,
    /// The stream stopped for good after this many tokens.
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
            Self::StreamCut(tokens) => write!(f, "the stream was cut after {tokens} tokens"),
        }
    }
}

/// Why a request was refused without being run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Endpoints exist but none accepted the request.
    AllRefused,
    /// The caller left before the request was sent.
    CallerGone,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No configuration has been read yet.
    NoConfig,
    /// No endpoint can serve the route or service now.
    NoEndpoint,
    /// The generation to resume is not kept any more.
    NotResumable,
    /// The order key is older than the window in which repeats are known.
    KeyExpired,
    /// The order key claims to be born in the future.
    KeyFromFuture,
    /// The order key was used with another body.
    KeyReused,
    /// The log cannot be reached, so the order key cannot be claimed.
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
