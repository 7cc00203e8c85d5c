//! What endpoints stated that are not listed any more.

use crate::{cooldown::Cooldown, prelude::*};

/// How long the statements of an endpoint are kept without an entry of it. An entry that is read later, or once the store is
/// back, calls the endpoint ready although it has stated otherwise.
const RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of endpoints; the one that was listed the longest ago is dropped first.
const MAX_ENDPOINTS: usize = 4096;

/// What one start of an endpoint stated of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statement {
    /// The time for which it wants no requests.
    pub cooldown: Cooldown,
    /// When it stated that it leaves.
    pub leaving_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u32,
    seen_at: Time,
    statement: Statement,
}

/// Statements of endpoints that are not listed, sorted by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Departed(Vec<Entry>);

impl Departed {
    /// Adds what an endpoint stated, if that still matters.
    pub fn insert(&mut self, now: Time, incarnation: u32, statement: Statement) {
        if statement.leaving_at.is_none() && statement.cooldown.is_over(now) {
            return;
        }
        let entry = Entry {
            incarnation,
            seen_at: now,
            statement,
        };
        match self.find(incarnation) {
            Ok(index) => self.0[index] = entry,
            Err(index) => self.0.insert(index, entry),
        }
        if self.0.len() > MAX_ENDPOINTS {
            let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].seen_at);
            oldest.map(|oldest| self.0.remove(oldest));
        }
    }

    /// Removes what an endpoint stated that is listed again.
    pub fn take(&mut self, incarnation: u32) -> Option<Statement> {
        let index = self.find(incarnation).ok()?;
        Some(self.0.remove(index).statement)
    }

    /// Drops what was stated long ago.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|entry| {
            now.since(entry.seen_at) <= RETENTION || !entry.statement.cooldown.is_over(now)
        });
    }

    fn find(&self, incarnation: u32) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&incarnation, |entry| entry.incarnation)
    }
}
