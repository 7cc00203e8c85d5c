//! Rate limit for requests to one endpoint.
//!
//! A cold endpoint fails above a configured rate over all instances, and may turn cold without
//! notice. Each instance therefore always keeps to its share of that rate for services that can be
//! cold.

use {crate::prelude::*, std::collections::VecDeque};

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Margin for requests that arrive closer together than they were sent.
const ARRIVAL_JITTER: Duration = Duration::from_millis(100);

/// Requests that were sent to one endpoint within the window.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    sent: VecDeque<Time>,
}

impl RateLimiter {
    /// Whether one more request stays within `max_sends` per second.
    #[must_use]
    pub fn allows(&self, now: Time, max_sends: usize) -> bool {
        let since = now.before(WINDOW + ARRIVAL_JITTER);
        let recent = self.sent.iter().rev().take_while(|sent| **sent > since);
        recent.count() < max_sends
    }

    /// Records a request.
    pub fn record_send(&mut self, now: Time) {
        let since = now.before(WINDOW + ARRIVAL_JITTER);
        while self.sent.front().is_some_and(|sent| *sent <= since) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
