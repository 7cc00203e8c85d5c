//! A request before it is sent to an endpoint.

use crate::prelude::*;

/// A request as received from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Inbound {
    /// When its head was received.
    pub arrived: Time,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Host, in lower case, without a port.
    pub host: String,
    /// The caller's id for this request.
    pub id: String,
    /// API key.
    pub key: Option<String>,
    /// Id of the last event that the caller says it has received of this stream.
    pub last_event: Option<String>,
    /// Expected output tokens by the caller's estimate, which half of all runs exceed.
    pub length_hint: Option<u32>,
    /// Maximum output tokens; 0 if the caller sets no limit.
    pub max_output_tokens: u32,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<Part>,
    /// Path, without the query.
    pub path: String,
    /// Prompt tokens.
    pub prompt: u32,
}

/// An admitted request, with all that sending it depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Name of the customer, if the route requires a key.
    pub customer: Option<String>,
    /// When the target of the route is missed.
    pub due: Time,
    /// Earlier of the caller's deadline and the route's timeout.
    pub expires: Time,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// The route at the time of admission.
    pub route: Route,
    /// Service that it is sent to.
    pub service: String,
    /// Version of the configuration that it was admitted under.
    pub version: u64,
}

/// Share of the remaining time after which a repeatable request is tried at another endpoint. An
/// endpoint that has not answered by then has probably failed.
const ATTEMPT_TIME_SHARE: f64 = 0.45;

impl Ticket {
    /// Whether a request that may have run `runs` times may be sent once more.
    #[must_use]
    pub const fn may_run_again(&self, runs: u32) -> bool {
        self.route.idempotent() && runs < self.route.max_attempts
    }

    /// Timeout of the next attempt after `runs` earlier ones: a share of the remaining time if
    /// another attempt may follow, else all of it.
    #[must_use]
    pub fn attempt_timeout(&self, now: Time, runs: u32) -> Duration {
        let remaining = self.expires.since(now);
        if self.may_run_again(runs + 1) {
            return remaining.mul_f64(ATTEMPT_TIME_SHARE);
        }
        remaining
    }

    /// Id of the event after which the stream is to resume. Ignored for streams that cannot be
    /// resumed, since the engine would omit events that the caller does not have.
    #[must_use]
    pub fn resume_after<'a>(&self, inbound: &'a Inbound) -> Option<&'a str> {
        inbound
            .last_event
            .as_deref()
            .filter(|_| self.route.resumable)
    }
}
