//! Proposes slow-start entries for endpoints that have just started.

use crate::{
    prelude::*,
    routing::rendezvous,
    slow_start::{Entry, Kind, Quota, Slot},
};

/// Delay before an instance proposes another entry for the same endpoint.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Delay per rendezvous rank before an instance proposes to initialize slow start.
const STAGGER_DELAY: Duration = Duration::from_millis(250);

/// Time that an instance must be missing from the list before its quota may be reassigned.
///
/// Longer than the lag of the list and the duration of a request to a cold endpoint, so that
/// the requests of the missing instance have ended.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound of the rank used for the stagger delay.
const MAX_RANK: u32 = 8;

impl State {
    /// Appends an entry for a request that a cold endpoint answered.
    pub(crate) fn record_served(&mut self, endpoint: endpoint::Key, generation: generation::Id) {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return;
        };
        let slot = self.slow_start.get(endpoint.digest);
        let Some(slot) = slot.filter(|slot| !slot.proven()) else {
            return;
        };
        self.appends.push(batch::Entry::SlowStart(Entry {
            endpoint: endpoint.digest,
            kind: Kind::Served(generation.0),
            incarnation: slot.holder.incarnation,
        }));
    }

    /// Records since when instances that hold quotas have been missing from the list.
    ///
    /// The list can lag behind an instance that has just started; reassigning its quota
    /// at once would exceed the limit of the endpoint.
    pub(crate) fn track_absent_instances(&mut self, now: Time) {
        let cold = self.slow_start.cold();
        let owners = cold.flat_map(|slot| slot.quotas.iter().map(|quota| quota.instance));
        let missing = owners.filter(|owner| !self.is_live(*owner));
        let mut absent = Vec::new();
        for owner in missing {
            let known = self.absent_since.iter().find(|(other, _)| *other == owner);
            absent.push(*known.unwrap_or(&(owner, now)));
        }
        self.absent_since = absent;
    }

    fn is_dead(&self, now: Time, instance: u64) -> bool {
        let mut absent = self.absent_since.iter();
        absent.any(|(other, since)| *other == instance && now.since(*since) >= ABSENCE_TIMEOUT)
    }

    /// Proposes the entries that are due for this instance's endpoints.
    pub(crate) fn propose_slow_start(&mut self, now: Time) {
        let mut proposals = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if !endpoint.in_subset
                || endpoint
                    .proposed_at
                    .is_some_and(|at| now.since(at) < PROPOSAL_RETRY_INTERVAL)
            {
                continue;
            }
            let Some(incarnation) = endpoint.incarnation() else {
                continue;
            };
            if let Some(kind) = self.next_proposal(now, endpoint, incarnation) {
                let endpoint = endpoint.digest;
                proposals.push((
                    key,
                    Entry {
                        endpoint,
                        kind,
                        incarnation,
                    },
                ));
            }
        }
        for (key, entry) in proposals {
            let endpoint = &mut self.endpoints[key];
            endpoint.proposed_at = Some(now);
            // The quota belongs to the other instance as soon as the entry is in the log,
            // which is before it is read here; a request sent until then would exceed the
            // limit.
            endpoint.quota_transferred |= matches!(entry.kind, Kind::TransferQuota { .. });
            self.appends.push(batch::Entry::SlowStart(entry));
        }
    }

    /// The entry to propose for an endpoint now, if any.
    fn next_proposal(&self, now: Time, endpoint: &Endpoint, incarnation: u64) -> Option<Kind> {
        let slot = self.slow_start.get(endpoint.digest);
        let current = slot.filter(|slot| slot.holder.incarnation == incarnation);
        match current {
            None => self.propose_initialize(now, endpoint, slot),
            Some(slot) if slot.warm => None,
            Some(slot) if slot.proven() && self.cold_time_over(now, endpoint) => Some(Kind::Warm),
            Some(slot) if endpoint.running >= slot.quota(self.digest) => self.seek_quota(now, slot),
            Some(slot) if endpoint.running == 0 && self.backlog.is_empty() => {
                let to = *slot.quota_requests.first()?;
                Some(Kind::TransferQuota { to })
            }
            Some(_) => None,
        }
    }

    /// Whether the endpoint's cold time has passed since this instance first saw the incarnation.
    fn cold_time_over(&self, now: Time, endpoint: &Endpoint) -> bool {
        let facts = self.config.facts(&endpoint.member.name);
        now.since(endpoint.incarnation_seen_at) >= facts.cold_time
    }

    /// Acquires free quota or that of a dead instance, or else requests one from the others.
    fn seek_quota(&self, now: Time, slot: &Slot) -> Option<Kind> {
        if self.draining {
            return None;
        }
        let needs_quota = slot.quota(self.digest) == 0 || !self.backlog.is_empty();
        if !needs_quota {
            return None;
        }
        if slot.free() > 0 {
            return Some(Kind::AcquireQuota { from_absent: None });
        }
        let dead = slot
            .quotas
            .iter()
            .find(|quota| self.is_dead(now, quota.instance));
        if let Some(dead) = dead {
            return Some(Kind::AcquireQuota {
                from_absent: Some(dead.instance),
            });
        }
        let requested = slot.quota_requests.contains(&self.digest);
        (!self.backlog.is_empty() && !requested).then_some(Kind::RequestQuota)
    }

    fn propose_initialize(
        &self,
        now: Time,
        endpoint: &Endpoint,
        slot: Option<&Slot>,
    ) -> Option<Kind> {
        let due = endpoint
            .incarnation_seen_at
            .after(STAGGER_DELAY * self.rank(&endpoint.member.name));
        if self.draining || endpoint.leaving() || now < due {
            return None;
        }
        let limit = self.config.facts(&endpoint.member.name).cold_limit;
        let instances = self.instances_with(endpoint);
        let quotas = initial_quotas(limit, &instances);
        Some(Kind::Initialize {
            expected: slot.map(|slot| slot.holder),
            limit,
            quotas,
        })
    }

    /// Rendezvous rank of this instance for an endpoint within its failure domain.
    ///
    /// It staggers the proposals, so that not every instance appends one.
    fn rank(&self, endpoint: &str) -> u32 {
        let own = rendezvous(&self.name, endpoint);
        let peers = self.peers.iter();
        let rank = peers
            .filter(|peer| peer.domain == self.domain && !peer.leaving)
            .filter(|peer| rendezvous(&peer.name, endpoint) > own)
            .count();
        u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK)
    }
}

/// Divides half of a limit equally, at least one request per instance until the limit is used up.
fn initial_quotas(limit: u32, instances: &[u64]) -> Vec<Quota> {
    let count = u32::try_from(instances.len()).unwrap_or(u32::MAX).max(1);
    let per_instance = (limit / 2 / count).max(1);
    let max_instances = usize::try_from(limit / per_instance).unwrap_or(usize::MAX);
    let recipients = instances.iter().take(max_instances);
    recipients
        .map(|instance| Quota {
            instance: *instance,
            requests: per_instance,
        })
        .collect()
}
