//! Snapshots of the configuration, so that its records may age out.
//!
//! The log keeps records for a limited time. An instance that starts later would
//! lack what the oldest ones said and could not serve. So the whole configuration
//! is appended to a stream of its own from time to time, by whichever instance
//! comes first by rank; no election is needed, since two snapshots do no harm.

use {
    crate::{
        prelude::*,
        record::{Body, Item},
    },
    serde::{Deserialize, Serialize},
};

/// Longest time that each rank waits for the one before it.
const MAX_RANK_DELAY: Duration = Duration::from_secs(10);

/// Parts of the interval that a rank waits, unless that is longer.
const RANK_DELAY_DIVISOR: u32 = 8;

/// Time before a failed snapshot is tried again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_mins(1);

/// Most ranks that are waited for.
const MAX_RANK: u32 = 30;

/// The configuration as of an offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The items.
    pub entries: Vec<Entry>,
    /// Offset of the first record that is not in it.
    pub next: u64,
}

/// One item of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Its content.
    pub body: Body,
    /// Which item.
    pub item: Item,
    /// Offset of the record that last changed it.
    pub offset: u64,
}

impl State {
    /// Takes a snapshot in; one that is older than what is known changes nothing.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Action>) {
        if self.config.restore(snapshot) {
            self.history.clear();
            self.dispatch(now, out);
        }
    }

    /// A snapshot of some instance was seen in the log.
    pub(crate) fn record_snapshot_seen(&mut self, at: Wall) {
        self.last_snapshot_at = self.last_snapshot_at.max(Some(at));
    }

    /// Appends a snapshot if one is due.
    pub(crate) fn append_snapshot_if_due(&mut self, now: Time, wall: Wall, out: &mut Vec<Action>) {
        let started_at = *self.started_at.get_or_insert(wall);
        if self.draining || !self.config.complete() || now < self.next_snapshot_attempt {
            return;
        }
        let rank_delay = MAX_RANK_DELAY.min(self.limits.snapshot_interval / RANK_DELAY_DIVISOR);
        let wait = rank_delay * self.snapshot_rank();
        let due = match self.last_snapshot_at {
            None => started_at.plus(wait + rank_delay),
            Some(at) => at.plus(self.limits.snapshot_interval + wait),
        };
        if wall < due {
            return;
        }
        self.next_snapshot_attempt =
            now.after(SNAPSHOT_RETRY_INTERVAL.min(self.limits.snapshot_interval));
        out.push(Action::Snapshot(self.config.snapshot()));
    }

    fn snapshot_rank(&self) -> u32 {
        let ahead = self
            .live_instances
            .partition_point(|digest| *digest < self.digest);
        u32::try_from(ahead).unwrap_or(MAX_RANK).min(MAX_RANK)
    }
}
