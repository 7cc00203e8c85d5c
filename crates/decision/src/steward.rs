//! Taking care of endpoints that have just started.

use crate::{
    prelude::*,
    routing::rendezvous,
    warmth::{Entry, Kind, Slot},
};

/// Pause before another attempt to take an endpoint's start.
const AGAIN: Duration = Duration::from_millis(500);

/// Time that each instance leaves to the one before it in rendezvous order.
const STAGGER: Duration = Duration::from_millis(250);

/// Most instances that are waited for.
const MOST_AHEAD: u32 = 8;

impl State {
    /// Takes starts and declares endpoints warm, where that is due.
    pub(crate) fn tend(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.mine || endpoint.proposed.is_some_and(|at| now.since(at) < AGAIN) {
                continue;
            }
            let Some(started) = endpoint.started() else {
                continue;
            };
            if let Some(kind) = self.due(now, endpoint, started) {
                let endpoint = endpoint.digest;
                due.push((
                    key,
                    Entry {
                        endpoint,
                        kind,
                        started,
                    },
                ));
            }
        }
        for (key, entry) in due {
            self.endpoints[key].proposed = Some(now);
            self.batch.push(batch::Entry::Warmth(entry));
        }
    }

    /// What this instance should say of an endpoint now.
    fn due(&self, now: Time, endpoint: &Endpoint, started: u64) -> Option<Kind> {
        let slot = self.warmth.get(endpoint.digest);
        let current = slot.filter(|slot| slot.holder.started == started);
        match current {
            None => self.take(now, endpoint, slot),
            Some(slot) if slot.warm => None,
            Some(_) if endpoint.proven() => Some(Kind::Warm),
            Some(slot) if slot.part(self.digest) == 0 => self.join(slot),
            Some(_) => None,
        }
    }

    /// Asks for a free part, or for one whose instance is gone.
    fn join(&self, slot: &Slot) -> Option<Kind> {
        if self.draining {
            return None;
        }
        if slot.has_free() {
            return Some(Kind::Join { heir_of: None });
        }
        let dead = slot.parts.iter().find(|part| !self.alive(**part))?;
        Some(Kind::Join {
            heir_of: Some(*dead),
        })
    }

    fn take(&self, now: Time, endpoint: &Endpoint, slot: Option<&Slot>) -> Option<Kind> {
        let due = endpoint
            .seen
            .after(STAGGER * self.ahead(&endpoint.member.name));
        if self.draining || endpoint.leaving() || now < due {
            return None;
        }
        let limit = self.config.facts(&endpoint.member.name).cold_limit;
        let mut parts = self.covering(endpoint);
        parts.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        Some(Kind::Take {
            expected: slot.map(|slot| slot.holder),
            limit,
            parts,
        })
    }

    /// Instances of the own failure domain that come first for an endpoint.
    ///
    /// They get a head start, so that a start is not taken by all at once.
    fn ahead(&self, endpoint: &str) -> u32 {
        let own = rendezvous(&self.name, endpoint);
        let peers = self.peers.iter();
        let ahead = peers
            .filter(|peer| peer.domain == self.domain && !peer.leaving)
            .filter(|peer| rendezvous(&peer.name, endpoint) > own)
            .count();
        u32::try_from(ahead).unwrap_or(MOST_AHEAD).min(MOST_AHEAD)
    }
}
