//! Endpoints of a version that is not judged yet.

use {
    super::{FAILURE_COST_MS, Need},
    crate::{
        prelude::*,
        request::Ticket,
        rollout::{Rollout, tally},
        state::State,
    },
    rand::RngExt as _,
};

/// Endpoints of a version in each failure domain that get requests before it is judged.
const CANARIES_PER_DOMAIN: usize = 2;

impl State {
    /// Whether a request is to go to a version that is not judged yet.
    pub(super) fn may_expose(&mut self, now: Time, ticket: &Ticket) -> bool {
        let service = &ticket.service;
        if self.rollouts.may_expose(now, service, &ticket.route.name) {
            return true;
        }
        let share = self.rollouts.ramp_share(now, service, self.members.count());
        share > 0.0 && self.random.random_bool(share)
    }

    /// Chooses an endpoint of the version that is not judged yet. All instances use the same few, so
    /// that these get the load of an ordinary one: some versions are bad only under load.
    pub(super) fn pick_canary(
        &mut self,
        now: Time,
        service: &str,
        need: Need,
    ) -> Option<EndpointKey> {
        let jitter = self.jitter();
        let service = self.service(service)?;
        let (target, _) = self.rollouts.gate(now, &service.name).target?;
        let mut canaries = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                endpoint.version() == target
                    && now >= endpoint.cold_until
                    && self.takes_requests(now, endpoint, service)
            })
            .map(|(key, endpoint)| (endpoint.listing.domain.as_str(), endpoint.digest, key))
            .collect::<Vec<_>>();
        canaries.sort_unstable();
        let mut best = None;
        let loads = self.loads();
        let rollout = self.rollouts.rollout(&service.name);
        let tallies = rollout.map(Rollout::tallies).unwrap_or_default();
        for domain in canaries.chunk_by(|(one, _, _), (other, _, _)| one == other) {
            for (_, _, key) in domain.iter().take(CANARIES_PER_DOMAIN) {
                let endpoint = self.endpoints.get(*key)?;
                let Some(cost) = self.cost(*key, endpoint, service, need.tokens().into(), &loads)
                else {
                    continue;
                };
                // A faulty endpoint would make its version look bad.
                let failed = tally::failed_share(&tallies, endpoint.digest);
                let cost = cost + jitter.cost(*key) + failed * FAILURE_COST_MS;
                if best.is_none_or(|(lowest, _)| cost < lowest) {
                    best = Some((cost, *key));
                }
            }
        }
        best.map(|(_, key)| key)
    }
}
