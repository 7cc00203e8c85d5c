//! Snapshots of the configuration.
//!
//! The log keeps records for a limited time, and an instance that starts later needs the
//! changes of expired records. Instances therefore append the whole configuration to a
//! separate stream from time to time. Their ranks stagger them, so that usually one does;
//! duplicate snapshots are harmless, so no leader election is needed.

use {
    crate::{
        prelude::*,
        record::{Body, Item},
    },
    serde::{Deserialize, Serialize},
};

/// Upper bound of the delay per rank.
const MAX_RANK_DELAY: Duration = Duration::from_secs(10);

/// The delay per rank is the snapshot interval divided by this, up to [`MAX_RANK_DELAY`].
const RANK_DELAY_DIVISOR: u32 = 8;

/// Time after which a snapshot that did not appear in the log is appended again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_mins(1);

/// Upper bound of the rank.
const MAX_RANK: u32 = 30;

/// The configuration as of one offset.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The items.
    pub entries: Vec<Entry>,
    /// Offset of the first record that it does not include.
    pub next: u64,
}

/// An item of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Content of the item.
    pub body: Body,
    /// The item.
    pub item: Item,
    /// Offset of the record that last changed the item.
    pub offset: u64,
}

impl State {
    /// Applies a snapshot if it is newer than the configuration in force.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Action>) {
        if self.config.restore(snapshot) {
            self.history.clear();
            self.dispatch(now, out);
        }
    }

    /// Records that the log stored a snapshot at `at`.
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
