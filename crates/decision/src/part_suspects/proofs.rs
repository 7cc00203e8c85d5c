//! Parts of prompts that were answered a short time ago.

use crate::{part::Part, prelude::*};

/// Time for which a part of an answered prompt takes more crashes to be refused.
const PROOF_TTL: Duration = Duration::from_mins(1);

/// Maximum number of parts of answered prompts that are remembered.
const MAX_PROOFS: usize = 1024;

/// When prompts with a part were last answered; sorted by part.
#[derive(Clone, Debug, Default)]
pub(super) struct Proofs(Vec<(Part, Time)>);

impl Proofs {
    /// Whether a prompt with this part was answered within a minute.
    pub(super) fn contains(&self, now: Time, part: Part) -> bool {
        let index = self.0.binary_search_by_key(&part, |(part, _)| *part);
        index.is_ok_and(|index| now.since(self.0[index].1) < PROOF_TTL)
    }

    /// Records that a prompt with this part is answered; the oldest part beyond the limit is forgotten.
    pub(super) fn record(&mut self, now: Time, part: Part) {
        match self.0.binary_search_by_key(&part, |(part, _)| *part) {
            Ok(index) => self.0[index].1 = now,
            Err(index) => self.0.insert(index, (part, now)),
        }
        if self.0.len() > MAX_PROOFS {
            let oldest = self.0.iter().enumerate().min_by_key(|(_, (_, at))| *at);
            let oldest = oldest.map(|(index, _)| index);
            oldest.map(|index| self.0.remove(index));
        }
    }
}
