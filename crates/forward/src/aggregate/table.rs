//! What an aggregator tells its members.
//!
//! A member says up to which version it has the table, and gets the rows that have changed
//! since: a lost answer costs nothing, and a row that changes little is not sent again.

use crate::{endpoint::Load, load::Report, prelude::*};

/// Tokens by which a row has to change to be told again; a step of a choice's cost that is
/// below what the draw among endpoints adds.
const TOKENS: u32 = 512;

/// The same for tokens of prompts being read.
const READING: u32 = 256;

/// Shortest time between two updates of the table.
const PAUSE: Duration = Duration::from_millis(40);

/// Time after which a row without load is forgotten; endpoints come and go under new ids.
const KEPT: Duration = Duration::from_secs(10);

/// A row as it was told.
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
    /// Whether the member has to forget what it held.
    pub snapshot: bool,
    /// The rows, the longest unsaid first.
    pub rows: Report,
    /// Version that the member has with them.
    pub version: u64,
}

/// The sums as members were told them.
#[derive(Debug, Default)]
pub struct Table {
    /// Version from which on rows have been forgotten.
    forgotten: u64,
    published: Option<Time>,
    /// Sorted by digest.
    rows: Vec<Row>,
    version: u64,
}

impl Table {
    /// Takes the present sums in.
    pub fn publish(&mut self, now: Time, sums: &Report) {
        if self.published.is_some_and(|last| now.since(last) < PAUSE) {
            return;
        }
        self.published = Some(now);
        self.forget(now);
        let known = self.rows.iter().map(|row| row.digest);
        for digest in known.collect::<Vec<_>>() {
            let place = sums.binary_search_by_key(&digest, |(other, _)| *other);
            let load = place.map_or_else(|_| Load::default(), |place| sums[place].1);
            self.set(now, digest, load);
        }
        for (digest, load) in sums {
            self.set(now, *digest, *load);
        }
    }

    /// Takes the present load of one endpoint in.
    pub fn set(&mut self, now: Time, digest: u32, load: Load) {
        match self.rows.binary_search_by_key(&digest, |row| row.digest) {
            Ok(place) if differs(load, self.rows[place].load) => {
                self.version += 1;
                let row = &mut self.rows[place];
                row.at = now;
                row.changed = self.version;
                row.load = load;
            }
            Err(place) if load != Load::default() => {
                self.version += 1;
                let row = Row {
                    at: now,
                    changed: self.version,
                    digest,
                    load,
                };
                self.rows.insert(place, row);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Up to `most` rows that have changed since a version.
    #[must_use]
    pub fn changes(&self, since: u64, most: usize) -> Changes {
        let snapshot = since < self.forgotten || since > self.version;
        let since = if snapshot { 0 } else { since };
        let changed = self.rows.iter().filter(|row| row.changed > since);
        let mut changed = changed.collect::<Vec<_>>();
        changed.sort_unstable_by_key(|row| row.changed);
        let complete = changed.len() <= most;
        changed.truncate(most);
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

    fn forget(&mut self, now: Time) {
        let forgotten = &mut self.forgotten;
        self.rows.retain(|row| {
            let kept = row.load != Load::default() || now.since(row.at) <= KEPT;
            if !kept {
                *forgotten = (*forgotten).max(row.changed);
            }
            kept
        });
    }
}

fn differs(one: Load, other: Load) -> bool {
    one.requests != other.requests
        || one.tokens.abs_diff(other.tokens) >= TOKENS
        || one.prefill_tokens.abs_diff(other.prefill_tokens) >= READING
        || one.copies.abs_diff(other.copies) >= TOKENS
        || (one == Load::default()) != (other == Load::default())
}
