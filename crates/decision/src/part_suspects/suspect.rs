//! One part that may crash engines.

use {
    super::change::{Change, Claim, Crash},
    crate::{part::Part, prelude::*},
};

/// What is known of a part that may crash engines.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Last claim of a trial.
    pub(super) claim: Option<Claim>,
    /// When the last crash or claim was learnt.
    pub(super) changed_at: Time,
    pub(super) crashes: Vec<Crash>,
    /// When the first crash of the last moment was learnt.
    pub(super) moment_at: Time,
    pub(super) part: Part,
    /// When the last claim was learnt, until an engine is lost or the part is cleared.
    pub(super) tried_since: Option<Time>,
}

impl Suspect {
    pub(super) fn moments(&self) -> u32 {
        let moments = self.crashes.iter().map(|crash| crash.moment);
        moments.max().unwrap_or(0)
    }

    pub(super) fn trials(&self) -> u32 {
        self.claim.map_or(0, |claim| claim.number)
    }

    pub(super) fn position(&self, endpoint: &str) -> Option<usize> {
        let mut crashes = self.crashes.iter();
        crashes.position(|crash| crash.endpoint == endpoint)
    }

    /// The changes that remove all records of this suspect.
    pub(super) fn removal(self) -> Vec<Change> {
        let claims = self.claim.map(|_| Change::ClaimsCleared(self.part));
        let crashes = self.crashes.into_iter().map(Change::Cleared);
        crashes.chain(claims).collect()
    }
}
