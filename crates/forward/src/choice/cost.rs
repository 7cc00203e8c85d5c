//! Load of endpoints, and the cost of one more request there.

use {
    super::{FAILURE_COST_MS, FULL_MEMORY_COST_MS, PREFILL_TOKENS_PER_MS},
    crate::{endpoint::Load, prelude::*, reserve::Demand, state::State},
    slotmap::SecondaryMap,
};

/// Share of the KV cache that placement fills by expected length; the rest is for runs that
/// exceed it.
pub(crate) const MAX_KV_FILL: f64 = 0.92;

/// Cost of one more run, which slows every step of the others.
const RUN_COST_MS: f64 = 6.0;

/// Cost of an endpoint in another failure domain. Work in the own domain survives a partition, and
/// traffic between domains is expensive. Below the time of a usual prefill, so that an idle engine
/// elsewhere is preferred to one in the own domain with a prefill in progress.
const CROSS_DOMAIN_COST_MS: f64 = 150.0;

/// Cost of each request in progress at an endpoint that is not a model engine.
const PLAIN_REQUEST_COST_MS: f64 = 30.0;

impl State {
    /// Cost of sending there in milliseconds of waiting; `None` if it has no capacity beside the room
    /// that is kept there.
    pub(super) fn cost(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        service: &Service,
        demand: Demand,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Option<f64> {
        let load = self.load(key, endpoint, loads);
        let common = self.domain_cost(endpoint) + endpoint.failure_rate * FAILURE_COST_MS;
        let Some(engine) = service.engine else {
            let capacity = endpoint.listing.slots.max(1);
            let busy = f64::from(load.requests) / f64::from(capacity);
            return (load.requests < capacity)
                .then_some(common + f64::from(load.requests) * PLAIN_REQUEST_COST_MS + busy);
        };
        let capacity = f64::from(engine.kv_tokens) * MAX_KV_FILL;
        let tokens = f64::from(load.tokens.saturating_add(demand.tokens));
        let usable = demand.kept.capacity(capacity, endpoint.digest);
        if load.requests >= engine.slots || tokens > usable {
            return None;
        }
        Some(
            common
                + f64::from(load.prefill_tokens) / PREFILL_TOKENS_PER_MS
                + f64::from(load.requests) * RUN_COST_MS
                + tokens / capacity * FULL_MEMORY_COST_MS,
        )
    }

    pub(super) fn domain_cost(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.listing.domain == self.settings.domain {
            return 0.0;
        }
        CROSS_DOMAIN_COST_MS
    }

    /// Load of one endpoint over all instances.
    pub(crate) fn load(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Load {
        let mut load = loads.get(key).copied().unwrap_or_default();
        load.requests += endpoint.in_flight;
        load.add(self.sums.others(&self.peer_loads, endpoint.digest));
        load
    }

    /// Load of this instance's runs, by endpoint.
    #[must_use]
    pub fn loads(&self) -> SecondaryMap<EndpointKey, Load> {
        let mut loads = SecondaryMap::new();
        let mut add = |key: EndpointKey, load: Load| {
            if let Some(entry) = loads.entry(key) {
                entry.or_insert(Load::default()).add(load);
            }
        };
        for run in self.runs.values() {
            add(run.endpoint, run.load());
            for copy in [run.backup, run.target].into_iter().flatten() {
                add(copy, run.copy_load());
            }
        }
        loads
    }

    /// Load of one endpoint over all instances, as used for choices.
    #[must_use]
    pub fn load_at(&self, key: EndpointKey) -> Load {
        let endpoint = self.endpoints.get(key);
        endpoint.map_or_else(Load::default, |endpoint| {
            self.load(key, endpoint, &self.loads())
        })
    }

    /// Load of this instance by endpoint id, to report to peers.
    #[must_use]
    pub fn report(&self) -> Vec<(String, Load)> {
        let loads = self.loads();
        let mut report = Vec::new();
        for (key, endpoint) in &self.endpoints {
            let mut load = loads.get(key).copied().unwrap_or_default();
            load.requests += endpoint.in_flight;
            if load != Load::default() {
                report.push((endpoint.listing.id.clone(), load));
            }
        }
        report
    }
}
