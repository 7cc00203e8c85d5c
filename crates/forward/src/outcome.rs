//! Why a request is not answered with an endpoint's answer.

use crate::prelude::*;

/// A truthful refusal or failure.
///
/// Those for which [`Refusal::not_run`] holds can only be built before anything
/// was written to an endpoint, or after the endpoint itself said that it did not
/// run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The head or the body is not a proper request.
    Bad,
    /// The body is over the limit.
    BodyTooLarge,
    /// Sent, and broken off before the answer was whole: it may have run.
    Broken,
    /// No endpoint can take it in time.
    Full,
    /// This instance is not certain enough of the configuration.
    Stale,
    /// This instance is about to stop, and the answer would not be whole by then.
    Stopping,
    /// Sent, and not answered within the time: it may have run.
    TimedOut,
    /// No customer holds the key.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// This instance has no configuration yet.
    Unconfigured,
    /// The time was over before it was sent.
    Expired,
}

impl Refusal {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Bad => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::Broken => "broken",
            Self::Expired => "expired",
            Self::Full => "full",
            Self::Stale => "stale",
            Self::Stopping => "stopping",
            Self::TimedOut => "timed_out",
            Self::Unconfigured => "unconfigured",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
        }
    }

    /// Whether it promises that the request has not run and never will.
    #[must_use]
    pub const fn not_run(self) -> bool {
        !matches!(self, Self::Broken | Self::TimedOut)
    }

    /// When a caller should come back, if that can help.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Full => Some(FULL_RETRY_AFTER),
            Self::Stale | Self::Stopping | Self::Unconfigured => Some(OTHER_INSTANCE_RETRY_AFTER),
            Self::Bad
            | Self::BodyTooLarge
            | Self::Broken
            | Self::Expired
            | Self::TimedOut
            | Self::UnknownKey
            | Self::UnknownRoute => None,
        }
    }
}

/// Pause before coming back when no endpoint has room. A generation's prompt takes
/// about a quarter of a second to read, so a place frees up within a few of these.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Pause before coming back when this instance cannot serve but others can; the retry
/// reaches another instance, so it need not be long.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(100);
