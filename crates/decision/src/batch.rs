//! Group commit of entries of the claim stream, with one append in flight at a time.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Largest number of entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 512;

/// One entry of the claim stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Entry {
    /// A change of an order key.
    Claim(claim::Entry),
    /// A change of the slow start of an endpoint.
    SlowStart(slow_start::Entry),
}

/// The content of one append to the claim stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// Digest of the name of the appending instance.
    pub instance: u64,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// The log acknowledged it.
    Done,
    /// There was no answer: it may or may not be in the log.
    Lost,
    /// The log rejected it: it is not in the log.
    Refused,
}

/// Entries that wait to be appended or are in flight.
///
/// Entries of a lost append are appended again. A duplicate has no effect if it is about a
/// claim, an initialization or a served request. A duplicate that acquires or transfers quota
/// may move more of it, but the sum of the quotas stays within the limit.
#[derive(Debug, Default)]
pub struct AppendQueue {
    in_flight: Vec<Waiting>,
    next_append: Time,
    waiting: VecDeque<Waiting>,
}

/// An entry that waits to be appended or is in flight.
#[derive(Clone, Debug)]
struct Waiting {
    /// Whether a copy of it may already be in the log.
    maybe_appended: bool,
    entry: Entry,
}

impl AppendQueue {
    /// Handles the result of the append in flight.
    ///
    /// Unless it was acknowledged, its entries are queued again, and the next append starts
    /// after `retry_delay`.
    pub fn finish(&mut self, result: AppendResult, now: Time, retry_delay: Duration) {
        let in_flight = std::mem::take(&mut self.in_flight);
        if result == AppendResult::Done {
            return;
        }
        for mut waiting in in_flight.into_iter().rev() {
            waiting.maybe_appended |= result == AppendResult::Lost;
            self.waiting.push_front(waiting);
        }
        self.next_append = now.after(retry_delay);
    }

    /// Number of entries that wait or are in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.in_flight.len() + self.waiting.len()
    }

    /// Whether no entry waits or is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// When the next append may start, if entries wait and none are in flight.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        (self.in_flight.is_empty() && !self.waiting.is_empty()).then_some(self.next_append)
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: Entry) {
        self.waiting.push_back(Waiting {
            maybe_appended: false,
            entry,
        });
    }

    /// Starts the next append if it is due, and returns its entries.
    pub fn start_append(&mut self, now: Time, interval: Duration) -> Option<Vec<Entry>> {
        if self.due()? > now {
            return None;
        }
        let count = MAX_BATCH_ENTRIES.min(self.waiting.len());
        self.in_flight = self.waiting.drain(..count).collect();
        self.next_append = now.after(interval);
        let entries = self.in_flight.iter().map(|waiting| waiting.entry.clone());
        Some(entries.collect())
    }

    /// Removes the waiting entries of a claim; true if no copy can be in the log.
    pub fn withdraw(&mut self, claim: claim::Id) -> bool {
        let mut certain = false;
        self.waiting.retain(|waiting| {
            let same = matches!(&waiting.entry, Entry::Claim(entry) if entry.claim == claim);
            certain |= same && !waiting.maybe_appended;
            !same
        });
        certain
    }
}
