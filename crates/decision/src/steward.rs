//! Taking care of endpoints that have just started.

use crate::{
    prelude::*,
    routing::rendezvous,
    warmth::{Entry, Kind, Part, Slot},
};

/// Pause before another attempt to take an endpoint's start.
const AGAIN: Duration = Duration::from_millis(500);

/// Time that each instance leaves to the one before it in rendezvous order.
const STAGGER: Duration = Duration::from_millis(250);

/// Time that an instance must be missing from the list before its part is taken.
///
/// It lies well above the lag of the list and the time that a cold request takes.
const DEAD_AFTER: Duration = Duration::from_secs(30);

/// Most instances that are waited for.
const MOST_AHEAD: u32 = 8;

impl State {
    /// Counts an answer of an endpoint that is cold.
    pub(crate) fn bore(&mut self, endpoint: endpoint::Key, generation: generation::Id) {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return;
        };
        let slot = self.warmth.get(endpoint.digest);
        let Some(slot) = slot.filter(|slot| !slot.proven()) else {
            return;
        };
        self.append_queue.push(batch::Entry::Warmth(Entry {
            endpoint: endpoint.digest,
            kind: Kind::Bore(generation.0),
            incarnation: slot.holder.incarnation,
        }));
    }

    /// Notes since when the owners of parts have been missing from the list.
    ///
    /// A list can lag behind an instance that has just started; taking its part at
    /// once would let one request too many through.
    pub(crate) fn note_absent(&mut self, now: Time) {
        let cold = self.warmth.cold();
        let owners = cold.flat_map(|slot| slot.parts.iter().map(|part| part.instance));
        let missing = owners.filter(|owner| !self.alive(*owner));
        let mut absent = Vec::new();
        for owner in missing {
            let known = self.absent.iter().find(|(other, _)| *other == owner);
            absent.push(*known.unwrap_or(&(owner, now)));
        }
        self.absent = absent;
    }

    fn dead(&self, now: Time, instance: u64) -> bool {
        let mut absent = self.absent.iter();
        absent.any(|(other, since)| *other == instance && now.since(*since) >= DEAD_AFTER)
    }

    /// Says of starting endpoints what is due: takes them, asks for parts, gives parts up.
    pub(crate) fn tend(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.mine || endpoint.proposed.is_some_and(|at| now.since(at) < AGAIN) {
                continue;
            }
            let Some(incarnation) = endpoint.incarnation() else {
                continue;
            };
            if let Some(kind) = self.due(now, endpoint, incarnation) {
                let endpoint = endpoint.digest;
                due.push((
                    key,
                    Entry {
                        endpoint,
                        kind,
                        incarnation,
                    },
                ));
            }
        }
        for (key, entry) in due {
            let endpoint = &mut self.endpoints[key];
            endpoint.proposed = Some(now);
            // From here on the part belongs to the other instance, whenever the record
            // arrives: one request more would be one too many there.
            endpoint.yielding |= matches!(entry.kind, Kind::Yield { .. });
            self.append_queue.push(batch::Entry::Warmth(entry));
        }
    }

    /// What this instance should say of an endpoint now.
    fn due(&self, now: Time, endpoint: &Endpoint, incarnation: u64) -> Option<Kind> {
        let slot = self.warmth.get(endpoint.digest);
        let current = slot.filter(|slot| slot.holder.incarnation == incarnation);
        match current {
            None => self.take(now, endpoint, slot),
            Some(slot) if slot.warm => None,
            Some(slot) if slot.proven() && self.matured(now, endpoint) => Some(Kind::Warm),
            Some(slot) if endpoint.running >= slot.part(self.digest) => self.join(now, slot),
            Some(slot) if endpoint.running == 0 && self.backlog.is_empty() => {
                let to = *slot.wishes.first()?;
                Some(Kind::Yield { to })
            }
            Some(_) => None,
        }
    }

    /// Whether this instance has known the start for as long as such a start is cold.
    fn matured(&self, now: Time, endpoint: &Endpoint) -> bool {
        let facts = self.config.facts(&endpoint.member.name);
        now.since(endpoint.seen) >= facts.cold_time
    }

    /// Asks for a free part, one whose instance is gone, or any that is idle.
    fn join(&self, now: Time, slot: &Slot) -> Option<Kind> {
        if self.draining {
            return None;
        }
        let lacking = slot.part(self.digest) == 0 || !self.backlog.is_empty();
        if !lacking {
            return None;
        }
        if slot.free() > 0 {
            return Some(Kind::Join { heir_of: None });
        }
        let dead = slot.parts.iter().find(|part| self.dead(now, part.instance));
        if let Some(dead) = dead {
            return Some(Kind::Join {
                heir_of: Some(dead.instance),
            });
        }
        let wished = slot.wishes.contains(&self.digest);
        (!self.backlog.is_empty() && !wished).then_some(Kind::Wish)
    }

    fn take(&self, now: Time, endpoint: &Endpoint, slot: Option<&Slot>) -> Option<Kind> {
        let due = endpoint
            .seen
            .after(STAGGER * self.ahead(&endpoint.member.name));
        if self.draining || endpoint.leaving() || now < due {
            return None;
        }
        let limit = self.config.facts(&endpoint.member.name).cold_limit;
        let instances = self.covering(endpoint);
        let parts = divide(limit, &instances);
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

/// Half of a limit in equal parts, at least one request each as long as there are any.
fn divide(limit: u32, instances: &[u64]) -> Vec<Part> {
    let count = u32::try_from(instances.len()).unwrap_or(u32::MAX).max(1);
    let each = (limit / 2 / count).max(1);
    let most = usize::try_from(limit / each).unwrap_or(usize::MAX);
    let given = instances.iter().take(most);
    given
        .map(|instance| Part {
            instance: *instance,
            requests: each,
        })
        .collect()
}
