//! Token bucket from which the coordinator of an endpoint grants requests.

use crate::prelude::*;

/// Requests that may be granted at once after a pause. Asks come at random times, and a bucket of one would overflow
/// between them.
const BURST: f64 = 3.0;

/// Time whose requests may be granted at once where the limit is high.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Urgent requests that may be granted ahead of the limit. Later requests wait until the endpoint has made up for them.
const MAX_DEBT: f64 = 2.0;

/// Asks that are invited for each request that can be granted. Some of those that are told when to ask again have
/// nothing to send by then.
const INVITED_ASKS: f64 = 3.0;

/// Longest time for which an instance is told not to ask. One that is told more would send nothing for a while after
/// the others have stopped asking.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Grants requests at the rate of a limit.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    /// Requests that may be granted now; negative while urgent ones are made up for.
    level: f64,
    /// When the next instance that is refused is to ask again.
    next_ask_at: Time,
    updated_at: Time,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            next_ask_at: now,
            updated_at: now,
        }
    }

    /// Forgets which instances were told when to ask again.
    pub const fn end_pauses(&mut self, now: Time) {
        self.next_ask_at = now;
    }

    /// Takes one request; `rate` is the number granted per second.
    ///
    /// # Errors
    ///
    /// There is none; the time after which to ask again.
    pub fn take(&mut self, now: Time, rate: f64, urgent: bool) -> Result<(), Duration> {
        let burst = BURST + rate * BURST_TIME.as_secs_f64();
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(burst);
        self.updated_at = now;
        let needed = if urgent { 1.0 - MAX_DEBT } else { 1.0 };
        if self.level >= needed {
            self.level -= 1.0;
            return Ok(());
        }
        let interval = 1.0 / (rate * INVITED_ASKS);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_PAUSE);
        self.next_ask_at = self.next_ask_at.max(now).after(interval);
        if self.next_ask_at > now.after(MAX_PAUSE) {
            // Instances that are told the longest pause must not all ask at its end.
            self.next_ask_at = now.after(MAX_PAUSE / 2);
        }
        Err(self.next_ask_at.since(now))
    }
}
