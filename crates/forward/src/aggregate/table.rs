//! Rows that an aggregator sends to its members.
//!
//! A member sends the version that it has and gets the rows that have changed since. A lost answer
//! therefore needs no handling, and small changes are not sent.

use crate::{endpoint::Load, load::Report, prelude::*};

/// Minimum change of the tokens of a row for which it is sent again; a smaller one changes a cost by
/// less than the random addition.
const MIN_CHANGE_TOKENS: u32 = 512;

/// The same for prefill tokens.
const MIN_CHANGE_PREFILL_TOKENS: u32 = 256;

/// Minimum interval between two updates of the table.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a row without load is removed; endpoints are replaced under new ids.
const EMPTY_ROW_RETENTION: Duration = Duration::from_secs(10);

/// A row as sent to members.
#[derive(Debug)]
struct Row {
    at: Time,
    changed: u64,
    digest: u32,
    load: Load,
}

/// Rows that have changed since a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Whether the rows replace all that the member has.
    pub snapshot: bool,
    /// The rows, in the order of their last change.
    pub rows: Report,
    /// Version that the member has with these rows.
    pub version: u64,
}

/// Sums as sent to members.
#[derive(Debug, Default)]
pub struct Table {
    /// Highest version of a removed row.
    pruned_version: u64,
    published: Option<Time>,
    /// Sorted by digest.
    rows: Vec<Row>,
    version: u64,
}

impl Table {
    /// Updates all rows from the current sums.
    pub fn publish(&mut self, now: Time, sums: &Report) {
        if self
            .published
            .is_some_and(|last| now.since(last) < PUBLISH_INTERVAL)
        {
            return;
        }
        self.published = Some(now);
        self.prune(now);
        let known = self.rows.iter().map(|row| row.digest);
        for digest in known.collect::<Vec<_>>() {
            let index = sums.binary_search_by_key(&digest, |(other, _)| *other);
            let load = index.map_or_else(|_| Load::default(), |index| sums[index].1);
            self.set(now, digest, load);
        }
        for (digest, load) in sums {
            self.set(now, *digest, *load);
        }
    }

    /// Updates the row of one endpoint.
    pub fn set(&mut self, now: Time, digest: u32, load: Load) {
        match self.rows.binary_search_by_key(&digest, |row| row.digest) {
            Ok(index) if differs(load, self.rows[index].load) => {
                self.version += 1;
                let row = &mut self.rows[index];
                row.at = now;
                row.changed = self.version;
                row.load = load;
            }
            Err(index) if load != Load::default() => {
                self.version += 1;
                let row = Row {
                    at: now,
                    changed: self.version,
                    digest,
                    load,
                };
                self.rows.insert(index, row);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Up to `max_rows` rows that have changed since a version.
    #[must_use]
    pub fn changes(&self, since: u64, max_rows: usize) -> Changes {
        let snapshot = since < self.pruned_version || since > self.version;
        let since = if snapshot { 0 } else { since };
        let changed = self.rows.iter().filter(|row| row.changed > since);
        let mut changed = changed.collect::<Vec<_>>();
        changed.sort_unstable_by_key(|row| row.changed);
        let complete = changed.len() <= max_rows;
        changed.truncate(max_rows);
        let version = match changed.last() {
            Some(last) if !complete => last.changed,
            _ => self.version,
        };
        let rows = changed.iter().map(|row| (row.digest, row.load));
        Changes {
            snapshot: snapshot || since == 0,
            rows: rows.collect(),
            version,
        }
    }

    fn prune(&mut self, now: Time) {
        let pruned_version = &mut self.pruned_version;
        self.rows.retain(|row| {
            let keep = row.load != Load::default() || now.since(row.at) <= EMPTY_ROW_RETENTION;
            if !keep {
                *pruned_version = (*pruned_version).max(row.changed);
            }
            keep
        });
    }
}

fn differs(one: Load, other: Load) -> bool {
    one.requests != other.requests
        || one.tokens.abs_diff(other.tokens) >= MIN_CHANGE_TOKENS
        || one.prefill_tokens.abs_diff(other.prefill_tokens) >= MIN_CHANGE_PREFILL_TOKENS
        || one.copies.abs_diff(other.copies) >= MIN_CHANGE_TOKENS
        || (one == Load::default()) != (other == Load::default())
}
