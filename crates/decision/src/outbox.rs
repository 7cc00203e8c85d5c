//! Changes that an instance publishes until they have come back from the log.

/// Changes that have not come back yet, oldest first.
#[derive(Clone, Debug)]
pub struct Outbox<C> {
    changes: Vec<C>,
    limit: usize,
}

impl<C> Outbox<C> {
    /// An empty outbox for at most `limit` changes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            changes: Vec::new(),
            limit,
        }
    }

    /// The changes, oldest first.
    #[must_use]
    pub fn changes(&self) -> &[C] {
        &self.changes
    }

    /// Adds a change; the oldest one beyond the limit is dropped.
    pub fn push(&mut self, change: C) {
        if self.changes.len() == self.limit {
            self.changes.remove(0);
        }
        self.changes.push(change);
    }

    /// Keeps only the changes for which `is_kept` holds.
    pub fn retain(&mut self, is_kept: impl Fn(&C) -> bool) {
        self.changes.retain(is_kept);
    }
}
