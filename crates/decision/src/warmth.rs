//! Which endpoints are cold, and how many requests each instance may have there.
//!
//! An endpoint that has just started bears only a few requests over all
//! instances together. Splitting its limit by the instance list would break it
//! whenever two instances see different lists, or a partition gives each half of
//! the instances the whole limit; one would notice an engine that falls over
//! each time it starts. Instead the first instance to take the endpoint's start
//! in the log writes down who gets a part of the limit, each part being one request at
//! a time. All readers of the log agree on that record, whatever lists they see. Parts move by records, too:
//! an instance with work and no part says so, and one with an idle part hands it
//! over.

use serde::{Deserialize, Serialize};

/// One line about an endpoint's warmth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// What is said.
    pub kind: Kind,
    /// Which start of the endpoint it is about.
    pub started: u64,
}

/// What an entry says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// This request was answered there.
    Bore(u128),
    /// The appending instance wants a part, a free one or that of a dead instance.
    Join {
        /// Digest of the dead instance.
        heir_of: Option<u64>,
    },
    /// The appending instance takes the start and gives out parts.
    Take {
        /// Who must hold the endpoint for the entry to count.
        expected: Option<Holder>,
        /// Requests that the endpoint bears while cold.
        limit: u32,
        /// Digests of the instances that get a part.
        parts: Vec<u64>,
    },
    /// The endpoint has borne enough for long enough.
    Warm,
    /// The appending instance has work to send and no part.
    Wish,
    /// The appending instance gives its part, which it does not use, to another one.
    Yield {
        /// Digest of the other instance.
        to: u64,
    },
}

/// Who took which start of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Digest of the instance's name.
    pub instance: u64,
    /// The start.
    pub started: u64,
}

/// What is known of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Requests answered while it was cold, over all instances; a copy counts once.
    pub bore: Vec<u128>,
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// Who took it.
    pub holder: Holder,
    /// Requests that it bears while cold.
    pub limit: u32,
    /// Digests of the instances that have a part, in order.
    pub parts: Vec<u64>,
    /// Whether it was called warm since that start.
    pub warm: bool,
    /// Instances that have work to send and no part, in order.
    pub wishes: Vec<u64>,
}

/// Requests that an endpoint must have answered before it is called warm.
const WARM_AFTER: usize = 3;

impl Slot {
    /// Requests that an instance may have at the endpoint while it is cold.
    #[must_use]
    pub fn part(&self, instance: u64) -> u32 {
        let parts = self.parts.iter().filter(|part| **part == instance);
        u32::try_from(parts.count()).unwrap_or(u32::MAX)
    }

    /// Whether it has borne enough work to be called warm.
    #[must_use]
    pub const fn proven(&self) -> bool {
        self.bore.len() >= WARM_AFTER
    }

    /// Whether a part is left over.
    #[must_use]
    pub fn has_free(&self) -> bool {
        u32::try_from(self.parts.len()).is_ok_and(|parts| parts < self.limit)
    }

    fn count(&mut self, request: u128) {
        if !self.proven() && !self.bore.contains(&request) {
            self.bore.push(request);
        }
    }

    fn hand_over(&mut self, from: u64, to: u64) {
        if let Some(part) = self.parts.iter_mut().find(|part| **part == from) {
            *part = to;
            self.wishes.retain(|wish| *wish != to);
        }
    }

    fn wish(&mut self, instance: u64) {
        if self.part(instance) == 0 && !self.wishes.contains(&instance) {
            self.wishes.push(instance);
        }
    }

    fn join(&mut self, instance: u64, heir_of: Option<u64>) {
        if self.part(instance) > 0 {
            return;
        }
        match heir_of {
            None if self.has_free() => self.parts.push(instance),
            None => {}
            Some(dead) => {
                if let Some(part) = self.parts.iter_mut().find(|part| **part == dead) {
                    *part = instance;
                }
            }
        }
    }
}

/// Every endpoint that was ever taken, sorted by digest.
#[derive(Debug, Default)]
pub struct Warmth {
    slots: Vec<Slot>,
}

impl Warmth {
    /// Applies one entry that `instance` appended.
    pub fn apply(&mut self, entry: &Entry, instance: u64) {
        let place = self.place(entry.endpoint);
        if let Kind::Take {
            expected,
            limit,
            parts,
        } = &entry.kind
        {
            let most = usize::try_from(*limit).unwrap_or(usize::MAX);
            let slot = Slot {
                bore: Vec::new(),
                endpoint: entry.endpoint,
                holder: Holder {
                    instance,
                    started: entry.started,
                },
                limit: *limit,
                parts: parts.iter().copied().take(most).collect(),
                warm: false,
                wishes: Vec::new(),
            };
            self.take(place, *expected, slot);
            return;
        }
        let Ok(place) = place else {
            return;
        };
        let slot = &mut self.slots[place];
        if slot.holder.started != entry.started {
            return;
        }
        match entry.kind {
            Kind::Bore(request) => slot.count(request),
            Kind::Join { heir_of } => slot.join(instance, heir_of),
            Kind::Take { .. } => {}
            Kind::Warm => slot.warm = true,
            Kind::Wish => slot.wish(instance),
            Kind::Yield { to } => slot.hand_over(instance, to),
        }
    }

    /// The endpoints that were not called warm yet.
    pub fn cold(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|slot| !slot.warm)
    }

    /// What is known of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: u64) -> Option<&Slot> {
        let place = self.place(endpoint).ok()?;
        self.slots.get(place)
    }

    fn place(&self, endpoint: u64) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&endpoint, |slot| slot.endpoint)
    }

    fn take(&mut self, place: Result<usize, usize>, expected: Option<Holder>, slot: Slot) {
        match place {
            Err(place) if expected.is_none() => self.slots.insert(place, slot),
            Ok(place) if expected == Some(self.slots[place].holder) => self.slots[place] = slot,
            Err(_) | Ok(_) => {}
        }
    }
}
