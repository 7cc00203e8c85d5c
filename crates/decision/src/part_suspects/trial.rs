//! Trials: one refused request over all instances that is let through, to find out whether it is harmless.

use {
    super::{
        MIN_MOMENTS, SETTLING_TIME, Suspects,
        change::{Change, Claim},
        suspect::Suspect,
    },
    crate::{fingerprint::Fingerprint, part::Part, prelude::*, suspects},
};

/// Number of engines lost without another suspect that accounts for them up to which a refused part may be tried at
/// once. One engine may have failed by itself, or may have been reported by nobody else.
const MAX_UNACCOUNTED: usize = 1;

/// Time after the last crash, or the last trial, at which a refused part may be tried. It may be so at once where
/// other suspects account for all of its crashes, and the first time earlier if engines were lost at a single
/// moment. Later trials do not take place, so that each part costs a bounded number of engines.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(15),
    Duration::from_mins(10),
];

/// Additional times after which a prompt with other suspects may be a trial. If an engine crashes, it does not tell
/// which one is at fault, so that prompts without any come first.
const AMBIGUITY_DELAYS: [Duration; TRIAL_DELAYS.len()] = [
    Duration::from_secs(2),
    Duration::from_secs(10),
    Duration::from_secs(10),
];

/// Number of crashes from which on another part makes a trial ambiguous.
const MIN_AMBIGUOUS_CRASHES: usize = 2;

/// Time after the last crash under a whole request at which it may be tried, once.
const REQUEST_TRIAL_DELAY: Duration = Duration::from_secs(6);

/// Time after the claim of a trial within which its result is waited for.
pub const RESULT_TIMEOUT: Duration = Duration::from_secs(1);

impl Suspects {
    /// Claims a trial of all parts for which a prompt with these parts is refused. The claims hold once
    /// [`Self::has_won`] says so. Empty if one of these parts may not be tried yet, or no more.
    pub fn claim_trial(
        &mut self,
        now: Time,
        parts: &[Part],
        requests: &suspects::Suspects,
        instance: u64,
    ) -> Vec<Claim> {
        let suspects = parts.iter().filter_map(|part| self.find(*part));
        let suspects = suspects.collect::<Vec<_>>();
        let ambiguous = suspects
            .iter()
            .filter(|suspect| suspect.crashes.len() >= MIN_AMBIGUOUS_CRASHES);
        let is_ambiguous = ambiguous.count() > 1;
        let refused = suspects
            .into_iter()
            .filter(|suspect| self.is_refused(now, suspect));
        let claims = refused.map(|suspect| {
            let unaccounted = self.unaccounted(now, suspect, parts, requests);
            let is_accounted = unaccounted <= MAX_UNACCOUNTED;
            let may_be_tried = suspect.may_be_tried(now, is_accounted, is_ambiguous);
            let claim = Claim {
                instance,
                number: suspect.trials() + 1,
                part: suspect.part,
            };
            // An engine that the next trial crashes may be the one that works on this trial.
            let is_tried = self.trial_left(now, suspect.part).is_some();
            (may_be_tried && !is_tried).then_some(claim)
        });
        let claims = claims.collect::<Option<Vec<_>>>().unwrap_or_default();
        for claim in &claims {
            self.publish(Change::Claimed(*claim));
        }
        claims
    }

    /// Claims the trial of a whole request that is refused although it has got to its first event somewhere. Nothing
    /// else clears one whose crashes another request has caused that nobody has published. `None` if it may not be
    /// tried yet, or no more.
    pub fn claim_request_trial(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        requests: &suspects::Suspects,
        instance: u64,
    ) -> Option<Claim> {
        let part = Part::of_request(fingerprint);
        let doubted_for = requests.doubted_for(now, fingerprint)?;
        let is_tried = self.find(part).is_some() || self.is_claimed(part);
        if doubted_for < REQUEST_TRIAL_DELAY || is_tried {
            return None;
        }
        let claim = Claim {
            instance,
            number: 1,
            part,
        };
        self.publish(Change::Claimed(claim));
        Some(claim)
    }

    /// Drops the claim of a whole request that has completed, and publishes that.
    pub fn clear_request_trial(&mut self, fingerprint: Fingerprint) {
        self.clear(Part::of_request(fingerprint));
    }

    /// Whether these claims were the first ones; `None` until the log tells.
    #[must_use]
    pub fn has_won(&self, claims: &[Claim]) -> Option<bool> {
        let mut won = true;
        for claim in claims {
            let Some(suspect) = self.find(claim.part) else {
                // Cleared in the meantime.
                continue;
            };
            if suspect.trials() < claim.number {
                return None;
            }
            won &= suspect.claim == Some(*claim);
        }
        Some(won)
    }

    /// How long a refused request may wait for the trials of all parts for which it is refused, or of itself; `None`
    /// if one of these is not being tried. A refusal in the meantime could be overtaken by the clearance, which this
    /// instance reads last.
    #[must_use]
    pub fn result_due(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        parts: &[Part],
        requests: &suspects::Suspects,
    ) -> Option<Duration> {
        let mut left = RESULT_TIMEOUT;
        for suspect in self.blamed_suspects(now, parts, requests) {
            left = left.min(self.trial_left(now, suspect.part)?);
        }
        if requests.refuses(now, fingerprint) {
            let trial_left = self.trial_left(now, Part::of_request(fingerprint))?;
            let tried_for = RESULT_TIMEOUT.saturating_sub(trial_left);
            let doubted_for = requests.doubted_for(now, fingerprint)?;
            if doubted_for < tried_for {
                // An engine was lost since the claim.
                return None;
            }
            left = left.min(trial_left);
        }
        Some(left)
    }

    /// Time left for the result of the trial of a part; `None` if it is not being tried.
    fn trial_left(&self, now: Time, part: Part) -> Option<Duration> {
        if self.is_claimed(part) {
            return Some(RESULT_TIMEOUT);
        }
        let tried_since = self.find(part)?.tried_since?;
        let left = RESULT_TIMEOUT.saturating_sub(now.since(tried_since));
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn apply_claim(&mut self, now: Time, claim: Claim) {
        let suspect = self.entry(now, claim.part);
        if claim.number <= suspect.trials() {
            return;
        }
        suspect.claim = Some(claim);
        suspect.changed_at = now;
        suspect.tried_since = Some(now);
    }

    /// Whether this instance has a claim of a part that has not come back from the log yet.
    fn is_claimed(&self, part: Part) -> bool {
        let unpublished = self.outbox.changes().iter();
        let mut claimed = unpublished.filter_map(|change| match change {
            Change::Claimed(claim) => Some(claim.part),
            Change::ClaimsCleared(_) | Change::Cleared(_) | Change::Crashed(_) => None,
        });
        claimed.any(|other| other == part)
    }
}

impl Suspect {
    /// Whether a prompt may try it; `is_accounted` if other suspects that it does not have account for all crashes,
    /// `is_ambiguous` if it has other suspects.
    fn may_be_tried(&self, now: Time, is_accounted: bool, is_ambiguous: bool) -> bool {
        let trials = usize::try_from(self.trials()).unwrap_or(usize::MAX);
        let delays = TRIAL_DELAYS.get(trials).zip(AMBIGUITY_DELAYS.get(trials));
        let Some((delay, ambiguity_delay)) = delays else {
            return false;
        };
        let delay = match (is_accounted, is_ambiguous) {
            (true, _) => Duration::ZERO,
            (false, _) if trials == 0 && self.moments() < MIN_MOMENTS => SETTLING_TIME,
            (false, false) => *delay,
            (false, true) => *delay + *ambiguity_delay,
        };
        now.since(self.changed_at) >= delay
    }
}
