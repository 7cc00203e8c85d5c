//! Sends per second to one endpoint.
//!
//! An endpoint that is cold bears a stated number of requests a second from all
//! instances together and falls over above that. It can turn cold without a word, so
//! the part of each instance is kept to at every endpoint of a service that can be
//! cold, all the time.

use {crate::prelude::*, std::collections::VecDeque};

/// Any span of this length counts.
const WINDOW: Duration = Duration::from_secs(1);

/// Margin for sends that leave one after the other and arrive together.
const ARRIVAL_JITTER: Duration = Duration::from_millis(100);

/// Sends of the last second to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    sent: VecDeque<Time>,
}

impl RateLimiter {
    /// Whether one more send stays within `max_sends` a second.
    #[must_use]
    pub fn allows(&self, now: Time, max_sends: usize) -> bool {
        let since = now.before(WINDOW + ARRIVAL_JITTER);
        let recent = self.sent.iter().rev().take_while(|sent| **sent > since);
        recent.count() < max_sends
    }

    /// A request was sent.
    pub fn record_send(&mut self, now: Time) {
        let since = now.before(WINDOW + ARRIVAL_JITTER);
        while self.sent.front().is_some_and(|sent| *sent <= since) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
