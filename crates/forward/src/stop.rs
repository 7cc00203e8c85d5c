//! When an instance that is told to stop has to have ended its requests.

use crate::prelude::*;

/// Time before the end of the grace period at which the requests in progress are ended.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Share of the grace period for which requests in progress go on, however late the signal was found.
const MIN_SHARE: f64 = 0.85;

/// Times of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// By when a request has to end to be admitted.
    pub admits_until: Time,
    /// When the requests are ended that are still in progress.
    pub ends_at: Time,
}

impl Schedule {
    /// A stop that begins now. Its signal came at `signalled_at` at the earliest, from when the grace period counts.
    #[must_use]
    pub fn new(now: Time, signalled_at: Time, grace: Duration) -> Self {
        let usable = grace.saturating_sub(KILL_MARGIN);
        let admits_until = signalled_at.after(usable);
        let least = now.after(grace.mul_f64(MIN_SHARE).min(usable));
        Self {
            admits_until,
            ends_at: admits_until.max(least),
        }
    }
}
