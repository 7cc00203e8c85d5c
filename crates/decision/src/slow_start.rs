//! Slow start: limits concurrent requests to endpoints that have just started.
//!
//! A cold endpoint can take only a few requests over all instances together. Dividing
//! that limit by the instance list would exceed it whenever instances see different lists,
//! or when a partition leaves each side with the whole limit. Instead, the first instance to
//! append an [`Kind::Initialize`] entry for an incarnation of the endpoint assigns the quotas
//! and keeps half of the limit free for instances that join later. All readers of the log
//! agree on the quotas, whatever list they see. Entries also move quotas: an instance with
//! waiting requests and no quota asks for one, and an instance with an unused quota hands
//! over half of it.

use serde::{Deserialize, Serialize};

/// A slow-start entry of the claim stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// The change.
    pub kind: Kind,
    /// Incarnation of the endpoint that it applies to.
    pub incarnation: u64,
}

/// The change that an entry makes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// The endpoint answered this request.
    Served(u128),
    /// The appending instance acquires free quota, or that of a dead instance.
    AcquireQuota {
        /// Digest of the dead instance.
        from_absent: Option<u64>,
    },
    /// The appending instance initializes slow start for an incarnation and assigns quotas.
    Initialize {
        /// The holder that the entry replaces; it is ignored if another one is current.
        expected: Option<Holder>,
        /// Concurrent requests allowed at the endpoint while it is cold, over all instances.
        limit: u32,
        /// The initial quotas.
        quotas: Vec<Quota>,
    },
    /// The endpoint has served enough requests, and its cold time has passed.
    Warm,
    /// The appending instance has waiting requests and no quota.
    RequestQuota,
    /// The appending instance transfers half of its unused quota to another one.
    TransferQuota {
        /// Digest of the other instance.
        to: u64,
    },
}

/// Concurrent requests that one instance may have at an endpoint while it is cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quota {
    /// Digest of the instance's name.
    pub instance: u64,
    /// Number of concurrent requests.
    pub requests: u32,
}

/// The instance that initialized slow start, and for which incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Digest of the instance's name.
    pub instance: u64,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
}

/// Slow-start state of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Requests answered while it was cold, over all instances, without duplicates.
    pub served: Vec<u128>,
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// Who initialized it.
    pub holder: Holder,
    /// Concurrent requests allowed while it is cold, over all instances.
    pub limit: u32,
    /// Quotas of the instances.
    pub quotas: Vec<Quota>,
    /// Whether this incarnation was declared warm.
    pub warm: bool,
    /// Instances that have waiting requests and no quota, in order.
    pub quota_requests: Vec<u64>,
}

/// Requests that an endpoint must have answered before it is declared warm.
const MIN_SERVED_REQUESTS: usize = 3;

impl Slot {
    /// Concurrent requests that an instance may have at the endpoint while it is cold.
    #[must_use]
    pub fn quota(&self, instance: u64) -> u32 {
        let quotas = self
            .quotas
            .iter()
            .filter(|quota| quota.instance == instance);
        quotas.map(|quota| quota.requests).sum()
    }

    /// Whether it has answered enough requests to be declared warm.
    #[must_use]
    pub const fn proven(&self) -> bool {
        self.served.len() >= MIN_SERVED_REQUESTS
    }

    /// Part of the limit that no instance holds.
    #[must_use]
    pub fn free(&self) -> u32 {
        let granted = self.quotas.iter().map(|quota| quota.requests).sum::<u32>();
        self.limit.saturating_sub(granted)
    }

    fn record_served(&mut self, request: u128) {
        if !self.proven() && !self.served.contains(&request) {
            self.served.push(request);
        }
    }

    /// Moves half of an instance's quota, rounded up, to another one.
    fn transfer(&mut self, from: u64, to: u64) {
        let Some(quota) = self.quotas.iter_mut().find(|quota| quota.instance == from) else {
            return;
        };
        let granted = quota.requests.div_ceil(2);
        quota.requests -= granted;
        self.grant(to, granted);
        self.quota_requests.retain(|requester| *requester != to);
    }

    fn grant(&mut self, to: u64, requests: u32) {
        match self.quotas.iter_mut().find(|quota| quota.instance == to) {
            Some(quota) => quota.requests += requests,
            None => self.quotas.push(Quota {
                instance: to,
                requests,
            }),
        }
    }

    fn request_quota(&mut self, instance: u64) {
        if self.quota(instance) == 0 && !self.quota_requests.contains(&instance) {
            self.quota_requests.push(instance);
        }
    }

    /// Grants half of the free quota, rounded up, or the whole quota of a dead instance.
    fn acquire(&mut self, instance: u64, from_absent: Option<u64>) {
        let dead = from_absent.and_then(|dead| {
            let mut quotas = self.quotas.iter();
            quotas.position(|quota| quota.instance == dead)
        });
        match (from_absent, dead) {
            (None, _) => self.grant(instance, self.free().div_ceil(2)),
            (Some(_), Some(index)) => {
                let quota = self.quotas.remove(index);
                self.grant(instance, quota.requests);
            }
            (Some(_), None) => {}
        }
    }
}

/// Slow-start state of every endpoint in the log, sorted by digest.
#[derive(Debug, Default)]
pub struct SlowStart {
    slots: Vec<Slot>,
}

impl SlowStart {
    /// Applies one entry that `instance` appended.
    pub fn apply(&mut self, entry: &Entry, instance: u64) {
        let index = self.search(entry.endpoint);
        if let Kind::Initialize {
            expected,
            limit,
            quotas,
        } = &entry.kind
        {
            let slot = Slot {
                served: Vec::new(),
                endpoint: entry.endpoint,
                holder: Holder {
                    instance,
                    incarnation: entry.incarnation,
                },
                limit: *limit,
                quotas: quotas.clone(),
                warm: false,
                quota_requests: Vec::new(),
            };
            self.initialize(index, *expected, slot);
            return;
        }
        let Ok(index) = index else {
            return;
        };
        let slot = &mut self.slots[index];
        if slot.holder.incarnation != entry.incarnation {
            return;
        }
        match entry.kind {
            Kind::Served(request) => slot.record_served(request),
            Kind::AcquireQuota { from_absent } => slot.acquire(instance, from_absent),
            Kind::Initialize { .. } => {}
            Kind::Warm => slot.warm = true,
            Kind::RequestQuota => slot.request_quota(instance),
            Kind::TransferQuota { to } => slot.transfer(instance, to),
        }
    }

    /// Endpoints that have not been declared warm.
    pub fn cold(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|slot| !slot.warm)
    }

    /// State of an endpoint, by the digest of its name.
    #[must_use]
    pub fn get(&self, endpoint: u64) -> Option<&Slot> {
        let index = self.search(endpoint).ok()?;
        self.slots.get(index)
    }

    fn search(&self, endpoint: u64) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&endpoint, |slot| slot.endpoint)
    }

    fn initialize(&mut self, index: Result<usize, usize>, expected: Option<Holder>, slot: Slot) {
        match index {
            Err(index) if expected.is_none() => self.slots.insert(index, slot),
            Ok(index) if expected == Some(self.slots[index].holder) => self.slots[index] = slot,
            Err(_) | Ok(_) => {}
        }
    }
}
