//! Age of knowledge read from the store or received from peers.
//!
//! The age counts from the time at which the query was sent, not from the arrival of the answer:
//! the answer may have waited in a socket buffer while the process was frozen or cut off, and
//! revoked keys would stay in use for that long.

use crate::prelude::*;

/// Age of one kind of knowledge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Records that the knowledge was complete at `sent_at`, when its query was sent.
    pub fn confirm(&mut self, sent_at: Time) {
        self.confirmed = self.confirmed.max(Some(sent_at));
    }

    /// Time since the knowledge was last known to be complete.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the knowledge was complete at `when` or later.
    #[must_use]
    pub fn covers(&self, when: Time) -> bool {
        self.confirmed >= Some(when)
    }

    /// Whether the age is known and at most `bound`.
    #[must_use]
    pub fn within(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}
