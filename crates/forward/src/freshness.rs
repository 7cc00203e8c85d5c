//! How old knowledge is.
//!
//! Knowledge is as old as the sending of the question whose answer brought it. An
//! answer may lie in a socket buffer while the process is frozen or cut off, so the
//! time it is read at proves nothing; counting from there would let a key that was
//! taken away run on.

use crate::prelude::*;

/// Age of one kind of knowledge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// An answer showed that nothing was missing when its question was sent at `asked`.
    pub fn confirm(&mut self, asked: Time) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Time since knowledge was last known to be complete.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the age is known and at most `bound`.
    #[must_use]
    pub fn within(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}
