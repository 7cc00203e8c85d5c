//! Which endpoints are cold, and how many requests each instance may have there.
//!
//! An endpoint that has just started bears only a few requests over all
//! instances together. Splitting its limit by the instance list would break it
//! whenever two instances see different lists, or a partition gives each half of
//! the instances the whole limit; one would notice an engine that falls over
//! each time it starts. Instead the first instance to take the endpoint's start
//! in the log writes down who gets which part of the limit, and keeps half of it for
//! those who come later. All readers of the log agree on that record, whatever lists they see. Parts move by records, too:
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
    pub incarnation: u64,
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
        /// Who gets which part.
        parts: Vec<Part>,
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

/// Requests that one instance may have at an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Digest of the instance's name.
    pub instance: u64,
    /// How many at once.
    pub requests: u32,
}

/// Who took which start of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Digest of the instance's name.
    pub instance: u64,
    /// The start.
    pub incarnation: u64,
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
    /// Who has which part.
    pub parts: Vec<Part>,
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
        let parts = self.parts.iter().filter(|part| part.instance == instance);
        parts.map(|part| part.requests).sum()
    }

    /// Whether it has borne enough work to be called warm.
    #[must_use]
    pub const fn proven(&self) -> bool {
        self.bore.len() >= WARM_AFTER
    }

    /// Requests of the limit that nobody has.
    #[must_use]
    pub fn free(&self) -> u32 {
        let given = self.parts.iter().map(|part| part.requests).sum::<u32>();
        self.limit.saturating_sub(given)
    }

    fn count(&mut self, request: u128) {
        if !self.proven() && !self.bore.contains(&request) {
            self.bore.push(request);
        }
    }

    /// Half of an instance's part goes to another one, all of a single request.
    fn hand_over(&mut self, from: u64, to: u64) {
        let Some(part) = self.parts.iter_mut().find(|part| part.instance == from) else {
            return;
        };
        let given = part.requests.div_ceil(2);
        part.requests -= given;
        self.give(to, given);
        self.wishes.retain(|wish| *wish != to);
    }

    fn give(&mut self, to: u64, requests: u32) {
        match self.parts.iter_mut().find(|part| part.instance == to) {
            Some(part) => part.requests += requests,
            None => self.parts.push(Part {
                instance: to,
                requests,
            }),
        }
    }

    fn wish(&mut self, instance: u64) {
        if self.part(instance) == 0 && !self.wishes.contains(&instance) {
            self.wishes.push(instance);
        }
    }

    /// Half of what is free, or the whole part of a dead instance.
    fn join(&mut self, instance: u64, heir_of: Option<u64>) {
        let dead = heir_of.and_then(|dead| {
            let mut parts = self.parts.iter();
            parts.position(|part| part.instance == dead)
        });
        match (heir_of, dead) {
            (None, _) => self.give(instance, self.free().div_ceil(2)),
            (Some(_), Some(place)) => {
                let part = self.parts.remove(place);
                self.give(instance, part.requests);
            }
            (Some(_), None) => {}
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
            let slot = Slot {
                bore: Vec::new(),
                endpoint: entry.endpoint,
                holder: Holder {
                    instance,
                    incarnation: entry.incarnation,
                },
                limit: *limit,
                parts: parts.clone(),
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
        if slot.holder.incarnation != entry.incarnation {
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
