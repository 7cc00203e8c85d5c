//! What is known of a request before it is sent anywhere.

use crate::prelude::*;

/// A caller's request, as the listener hands it over.
#[derive(Clone, Debug, PartialEq)]
pub struct Inbound {
    /// When its head had been read.
    pub arrived: Time,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Host, in lower case, without a port.
    pub host: String,
    /// The caller's id for this request.
    pub id: String,
    /// The key it carries.
    pub key: Option<String>,
    /// Id of the last event of the stream that the caller already has, by its own word.
    pub last_event: Option<String>,
    /// Output tokens that the caller expects; right at the median only.
    pub length_hint: Option<u32>,
    /// Most output tokens.
    pub max_output_tokens: u32,
    /// Path, without the query.
    pub path: String,
    /// Tokens in the prompt.
    pub prompt: u32,
}

/// A request that may be served, with all that its sending depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Name of the customer, if the request carries a key.
    pub customer: Option<String>,
    /// When the caller or the route gives up.
    pub expires: Time,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// The route as it stood when the request was admitted.
    pub route: Route,
    /// Service that it goes to.
    pub service: String,
    /// Version of the configuration that decided.
    pub version: u64,
}

/// Part of the time left after which a request that may run again is tried elsewhere: an
/// endpoint that has not answered by then is more likely dark than slow.
const ATTEMPT_TIME_SHARE: f64 = 0.45;

impl Ticket {
    /// Whether a request that may have run `runs` times may be sent once more.
    #[must_use]
    pub const fn may_run_again(&self, runs: u32) -> bool {
        self.route.idempotent() && runs < self.route.max_attempts
    }

    /// How long the next try may take, after `runs` of them: a part of the time that is left
    /// while another one may follow.
    #[must_use]
    pub fn attempt_timeout(&self, now: Time, runs: u32) -> Duration {
        let remaining = self.expires.since(now);
        if self.may_run_again(runs + 1) {
            return remaining.mul_f64(ATTEMPT_TIME_SHARE);
        }
        remaining
    }

    /// The event that a caller resumes its stream behind. Only where streams can be resumed
    /// is a caller believed: an engine that began elsewhere in another stream would leave
    /// events out.
    #[must_use]
    pub fn resume_after<'a>(&self, inbound: &'a Inbound) -> Option<&'a str> {
        inbound
            .last_event
            .as_deref()
            .filter(|_| self.route.resumable)
    }
}
