//! Parts of prompts that may crash the engines that run them.
//!
//! Callers send many requests whose prompts share parts, and no two of them need be equal. When an engine is lost,
//! the parts of the requests that it had not begun to answer become suspects. A request that is answered while its
//! engine lives on clears all of its parts. Prompts with a part under which several engines were lost since are
//! refused, unless other suspects that they do not have account for these crashes: parts that come together with
//! the one at fault, and those of requests that only shared an engine with it, must not be refused.
//!
//! A refused part cannot clear itself. From time to time one request with it is let through, over all instances:
//! the first one that claims to in the log. Others with the part wait a short time for what comes of it.

mod change;
mod proofs;
mod suspect;
mod trial;

pub use {
    change::{Change, Claim, Crash},
    trial::RESULT_TIMEOUT,
};

use {
    crate::{outbox::Outbox, part::Part, prelude::*, suspects},
    proofs::Proofs,
    suspect::Suspect,
};

/// Number of engines lost under a part from which on it is refused.
pub const MAX_CRASHES: usize = 3;

/// Number of engines from which on a part is refused even if a prompt with it was recently answered, or if other
/// suspects account for them.
pub const MAX_PROVEN_CRASHES: usize = 5;

/// Crashes within this time of the first one count as one moment, unless the request was sent after it. Engines that
/// are lost together, as in a power failure, do not speak against the parts that they ran.
const MOMENT: Duration = Duration::from_millis(250);

/// Number of moments at which engines were lost under a part that is refused at once.
const MIN_MOMENTS: u32 = 2;

/// Time after engines were lost at a single moment from which on that counts against their parts after all. By
/// then, parts that are in use have been answered elsewhere.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Time after the last crash for which the crashes of a part are remembered.
pub const RETENTION: Duration = Duration::from_hours(24);

/// Maximum number of suspects; those with the fewest and oldest crashes beyond it are dropped.
pub const MAX_SUSPECTS: usize = 512;

/// Maximum number of crashes that are kept of a part; more make no difference.
const MAX_KEPT_CRASHES: usize = 16;

/// Time after the first event or token for which an engine must live on, so that the request clears the parts of its
/// prompt.
pub const PROOF_DELAY: Duration = Duration::from_millis(500);

/// What speaks against a part, for log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Time since the last crash or trial.
    pub age: Duration,
    /// Number of engines lost.
    pub crashes: usize,
    /// Number of moments at which they were lost.
    pub moments: u32,
    /// Number of trials claimed.
    pub trials: u32,
}

/// All suspects, as far as this instance knows.
#[derive(Debug)]
pub struct Suspects {
    /// Sorted by part.
    entries: Vec<Suspect>,
    outbox: Outbox<Change>,
    proofs: Proofs,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            outbox: Outbox::new(MAX_SUSPECTS * 2),
            proofs: Proofs::default(),
        }
    }
}

impl Suspects {
    /// The part for which a prompt with these parts is refused; `None` if it is not. Whole requests that are
    /// refused account for the crashes under them.
    #[must_use]
    pub fn blamed(&self, now: Time, parts: &[Part], requests: &suspects::Suspects) -> Option<Part> {
        let mut blamed = self.blamed_suspects(now, parts, requests);
        blamed.next().map(|suspect| suspect.part)
    }

    /// Whether a run of a prompt with these parts that has not begun is to be stopped. One with parts that were
    /// recently answered here may go on, since it can clear them.
    #[must_use]
    pub fn stops(&self, now: Time, parts: &[Part], requests: &suspects::Suspects) -> bool {
        let blamed = self.blamed(now, parts, requests);
        blamed.is_some_and(|part| !self.proofs.contains(now, part))
    }

    /// What speaks against a part.
    #[must_use]
    pub fn evidence(&self, now: Time, part: Part) -> Evidence {
        let suspect = self.find(part);
        suspect.map_or_else(Evidence::default, |suspect| Evidence {
            age: now.since(suspect.changed_at),
            crashes: suspect.crashes.len(),
            moments: suspect.moments(),
            trials: suspect.trials(),
        })
    }

    /// Whether enough engines were lost under a part for a refusal, whether or not others account for them.
    #[must_use]
    pub fn is_found(&self, now: Time, part: Part) -> bool {
        let suspect = self.find(part);
        suspect.is_some_and(|suspect| self.is_refused(now, suspect))
    }

    /// Records that an engine was lost before it had begun to answer a prompt with this part, which it was sent
    /// at `sent_at`; returns whether that was not known.
    pub fn record_crash(&mut self, now: Time, part: Part, endpoint: &str, sent_at: Time) -> bool {
        let moment = self
            .find(part)
            .filter(|suspect| !suspect.crashes.is_empty())
            .map_or(1, |suspect| {
                let started_at = suspect.moment_at;
                let is_later = sent_at > started_at || now.since(started_at) >= MOMENT;
                suspect.moments() + u32::from(is_later)
            });
        let crash = Crash {
            endpoint: endpoint.to_string(),
            moment,
            part,
        };
        let added = self.add(now, crash.clone());
        if added {
            self.publish(Change::Crashed(crash));
        }
        added
    }

    /// Records that a prompt with these parts is being answered, by an engine that lives on; returns the parts
    /// that are cleared.
    pub fn record_proof(&mut self, now: Time, parts: &[Part]) -> Vec<Part> {
        for part in parts {
            self.proofs.record(now, *part);
        }
        let suspects = parts.iter().filter(|part| self.find(**part).is_some());
        let cleared = suspects.copied().collect::<Vec<_>>();
        for part in &cleared {
            self.clear(*part);
        }
        cleared
    }

    /// Drops all crashes of an engine that has proved to live on, and publishes that; returns their number.
    pub fn retract(&mut self, endpoint: &str) -> usize {
        let mut retracted = Vec::new();
        for suspect in &mut self.entries {
            let found = suspect.position(endpoint);
            retracted.extend(found.map(|index| suspect.crashes.remove(index)));
        }
        let count = retracted.len();
        for crash in retracted {
            let part = crash.part;
            self.publish(Change::Cleared(crash));
            if self
                .find(part)
                .is_some_and(|suspect| suspect.crashes.is_empty())
            {
                self.clear(part);
            }
        }
        count
    }

    /// Applies a change that an instance has published.
    pub fn apply(&mut self, now: Time, change: &Change) {
        match change {
            Change::Claimed(claim) => self.apply_claim(now, *claim),
            Change::ClaimsCleared(part) => {
                if let Some(suspect) = self.find_mut(*part) {
                    suspect.claim = None;
                    suspect.tried_since = None;
                }
                self.drop_empty();
            }
            Change::Cleared(crash) => {
                if let Some(suspect) = self.find_mut(crash.part) {
                    suspect
                        .crashes
                        .retain(|other| other.endpoint != crash.endpoint);
                }
                self.drop_empty();
            }
            Change::Crashed(crash) => {
                self.add(now, crash.clone());
            }
        }
        self.outbox.retain(|own| !own.is_confirmed_by(change));
    }

    /// Drops crashes that are not among all those of the store: another instance has cleared them. Those of this
    /// instance that have not come back from the store yet stay.
    pub fn drop_unlisted(&mut self, listed: &[Crash]) {
        let unpublished = self.outbox.changes().iter();
        let own = unpublished.filter_map(|change| match change {
            Change::Crashed(crash) => Some(crash),
            Change::Claimed(_) | Change::ClaimsCleared(_) | Change::Cleared(_) => None,
        });
        let kept = listed.iter().chain(own);
        let kept = kept.map(|crash| (crash.part, crash.endpoint.clone()));
        let mut kept = kept.collect::<Vec<_>>();
        kept.sort_unstable();
        for suspect in &mut self.entries {
            suspect.crashes.retain(|crash| {
                kept.binary_search(&(crash.part, crash.endpoint.clone()))
                    .is_ok()
            });
        }
        self.drop_empty();
    }

    /// Changes of this instance that have not come back from the store yet, oldest first.
    #[must_use]
    pub fn unpublished(&self) -> &[Change] {
        self.outbox.changes()
    }

    /// Drops suspects that have expired or exceed [`MAX_SUSPECTS`]; returns the changes by which the reader of
    /// the topic removes them from the store.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let is_expired = |suspect: &mut Suspect| now.since(suspect.changed_at) >= RETENTION;
        let mut expired = self.entries.extract_if(.., is_expired).collect::<Vec<_>>();
        let excess = self.entries.len().saturating_sub(MAX_SUSPECTS);
        for _ in 0..excess {
            let ranks = self.entries.iter().enumerate();
            let least =
                ranks.min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.changed_at));
            if let Some((index, _)) = least {
                expired.push(self.entries.remove(index));
            }
        }
        expired.into_iter().flat_map(Suspect::removal).collect()
    }

    fn find(&self, part: Part) -> Option<&Suspect> {
        let index = self.position(part).ok()?;
        self.entries.get(index)
    }

    fn find_mut(&mut self, part: Part) -> Option<&mut Suspect> {
        let index = self.position(part).ok()?;
        self.entries.get_mut(index)
    }

    fn position(&self, part: Part) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&part, |suspect| suspect.part)
    }

    /// Whether enough engines were lost under a part for a refusal.
    fn is_refused(&self, now: Time, suspect: &Suspect) -> bool {
        let limit = if self.proofs.contains(now, suspect.part) {
            MAX_PROVEN_CRASHES
        } else {
            MAX_CRASHES
        };
        let is_settled = now.since(suspect.moment_at) >= SETTLING_TIME;
        suspect.crashes.len() >= limit && (suspect.moments() >= MIN_MOMENTS || is_settled)
    }

    /// The suspects for which a prompt with these parts is refused.
    fn blamed_suspects(
        &self,
        now: Time,
        parts: &[Part],
        requests: &suspects::Suspects,
    ) -> impl Iterator<Item = &Suspect> {
        let suspects = parts.iter().filter_map(|part| self.find(*part));
        suspects.filter(move |suspect| {
            self.is_refused(now, suspect)
                && (suspect.crashes.len() >= MAX_PROVEN_CRASHES
                    || self.unaccounted(now, suspect, parts, requests) > 0)
        })
    }

    /// Number of crashes under a part for which neither parts other than the given ones account, nor one refused
    /// request. Several requests do not account together: they may all have the part.
    fn unaccounted(
        &self,
        now: Time,
        suspect: &Suspect,
        parts: &[Part],
        requests: &suspects::Suspects,
    ) -> usize {
        let others = self.entries.iter();
        let others = others
            .filter(|other| !parts.contains(&other.part) && self.is_refused(now, other))
            .collect::<Vec<_>>();
        let crashes = suspect.crashes.iter().filter(|crash| {
            let mut others = others.iter();
            !others.any(|other| other.position(&crash.endpoint).is_some())
        });
        let crashes = crashes.collect::<Vec<_>>();
        let left_by = |endpoints: &[String]| {
            let left = crashes.iter();
            left.filter(|crash| !endpoints.contains(&crash.endpoint))
                .count()
        };
        let left = requests.refused_endpoints(now).map(left_by);
        left.min().unwrap_or(crashes.len())
    }

    /// Adds a crash; returns whether it was not known.
    fn add(&mut self, now: Time, crash: Crash) -> bool {
        let suspect = self.entry(now, crash.part);
        if suspect.position(&crash.endpoint).is_some() {
            return false;
        }
        suspect.tried_since = None;
        if suspect.crashes.len() == MAX_KEPT_CRASHES {
            return false;
        }
        suspect.changed_at = now;
        if crash.moment > suspect.moments() {
            suspect.moment_at = now;
        }
        suspect.crashes.push(crash);
        true
    }

    fn entry(&mut self, now: Time, part: Part) -> &mut Suspect {
        let index = match self.position(part) {
            Ok(index) => index,
            Err(index) => {
                let suspect = Suspect {
                    claim: None,
                    changed_at: now,
                    crashes: Vec::new(),
                    moment_at: now,
                    part,
                    tried_since: None,
                };
                self.entries.insert(index, suspect);
                index
            }
        };
        &mut self.entries[index]
    }

    /// Drops all that is known of a part, and publishes that.
    fn clear(&mut self, part: Part) {
        if let Ok(index) = self.position(part) {
            for change in self.entries.remove(index).removal() {
                self.publish(change);
            }
        }
    }

    fn drop_empty(&mut self) {
        self.entries
            .retain(|suspect| !suspect.crashes.is_empty() || suspect.claim.is_some());
    }

    fn publish(&mut self, change: Change) {
        self.outbox.retain(|other| !change.supersedes(other));
        self.outbox.push(change);
    }
}
