//! Placement of requests, runs, and copies of their KV cache.
//!
//! Costs are in milliseconds of waiting, so that they can be added.

use {
    crate::{
        brittleness,
        endpoint::Load,
        prelude::*,
        request::Ticket,
        reserve::Demand,
        rollout::{
            Rollout,
            access::{Access, Gate},
            tally,
        },
        run::kv_demand,
        state::State,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    slotmap::{Key as _, SecondaryMap},
};

/// Share of the KV cache that placement fills by expected length; the rest is for runs that
/// exceed it.
pub(crate) const MAX_KV_FILL: f64 = 0.92;

/// Share of the KV cache of an engine up to which copies are placed; the rest is for runs.
const MAX_COPY_KV_FILL: f64 = 0.75;

/// Share of the KV cache of all engines up to which runs are copied. Above it copies would take
/// the memory of runs: new prompts would gather at the few engines that have some left, and runs
/// would be preempted. Runs of leaving engines can still be moved without a copy.
const MAX_RUN_KV_FILL: f64 = 0.65;

/// Minimum expected output for a copy. A shorter run ends within a fraction of a second of its
/// prefill, in which an engine is hardly ever lost, and its copy would take bandwidth from longer
/// runs.
const MIN_COPY_OUTPUT_TOKENS: u32 = 100;

/// Prefill rate of an engine in tokens per millisecond beside its other runs; about half of the
/// rate of an idle engine.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Usual maximum time per output token, reached at an engine with many runs.
pub(crate) const MAX_TOKEN_TIME: Duration = Duration::from_millis(11);

/// Cost of one more run, which slows every step of the others.
const RUN_COST_MS: f64 = 6.0;

/// Cost of an endpoint in another failure domain. Work in the own domain survives a partition, and
/// traffic between domains is expensive. Below the time of a usual prefill, so that an idle engine
/// elsewhere is preferred to one in the own domain with a prefill in progress.
const CROSS_DOMAIN_COST_MS: f64 = 150.0;

/// Cost of a copy in the failure domain of its run, since all engines of a domain may be lost
/// together.
const SAME_DOMAIN_COPY_COST_MS: f64 = 100.0;

/// Cost of moving a run to another failure domain. The transfer takes twice as long, and a leaving
/// engine often has time for only a few.
const CROSS_DOMAIN_MOVE_COST_MS: f64 = 150.0;

/// Minimum time that an engine keeps working after this instance learned that it is leaving.
const MIN_LEAVE_NOTICE: Duration = Duration::from_millis(900);

/// Cost of an engine whose KV cache is full; proportional below that.
const FULL_MEMORY_COST_MS: f64 = 150.0;

/// Cost of each request in progress at an endpoint that is not a model engine.
const PLAIN_REQUEST_COST_MS: f64 = 30.0;

/// Cost of an endpoint that fails every request; proportional to the failure rate.
const FAILURE_COST_MS: f64 = 400.0;

/// Maximum random addition to a cost where there are many instances.
///
/// Instances that choose before they learn of each other's choices would otherwise all take the
/// emptiest engine. Below the time of a usual prefill, so that an engine without one is still
/// preferred.
const MAX_JITTER_MS: f64 = 200.0;

/// Maximum random addition to a cost where there are few instances, at endpoints that are not model
/// engines. They would all take the first of several without load. At engines they do, so that equal
/// requests which crash theirs share a few of them.
const MAX_TIE_JITTER_MS: f64 = 1.0;

/// Endpoints of a version in each failure domain that get requests before it is judged.
const CANARIES_PER_DOMAIN: usize = 2;

/// Expected tokens of a request; zero for plain requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Expected output tokens.
    pub output: u32,
    /// Prompt tokens.
    pub prompt: u32,
}

impl Need {
    fn tokens(self) -> u32 {
        kv_demand(self.prompt, self.output)
    }
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// Send to this endpoint, with a copy of the KV cache at the other one, if any.
    Send(EndpointKey, Option<EndpointKey>),
    /// No endpoint has capacity now.
    Wait,
}

/// Random additions to costs, so that instances do not all choose the same endpoint.
#[derive(Clone, Copy, Debug)]
struct Jitter {
    seed: u64,
    /// Maximum addition to a cost, in milliseconds of waiting.
    max_ms: f64,
}

impl Jitter {
    /// The addition to the cost of an endpoint; constant within one choice.
    fn cost(self, key: EndpointKey) -> f64 {
        if self.max_ms <= 0.0 {
            return 0.0;
        }
        let mut random = SmallRng::seed_from_u64(self.seed ^ key.data().as_ffi());
        random.random_range(0.0..self.max_ms)
    }
}

impl State {
    /// Chooses an endpoint for an attempt of a request, and an engine for its copy. Some first
    /// attempts go to a version that is not judged yet; returns whether this one does.
    #[must_use]
    pub fn pick_attempt(
        &mut self,
        now: Time,
        ticket: &Ticket,
        need: Need,
        tried: &[EndpointKey],
    ) -> (Pick, bool) {
        let route = &ticket.route.name;
        if tried.is_empty()
            && self.may_expose(now, ticket)
            && let Some(key) = self.pick_canary(now, &ticket.service, need)
        {
            self.rollouts.record_exposure(now, &ticket.service, route);
            let copy = self.service(&ticket.service).and_then(|service| {
                let tokens = need.tokens();
                self.pick_copy(now, service, tokens, need.output, key, &self.loads())
            });
            return (Pick::Send(key, copy), true);
        }
        (self.pick(now, &ticket.service, need, tried), false)
    }

    /// Whether a request is to go to a version that is not judged yet.
    fn may_expose(&mut self, now: Time, ticket: &Ticket) -> bool {
        let service = &ticket.service;
        if self.rollouts.may_expose(now, service, &ticket.route.name) {
            return true;
        }
        let share = self.rollouts.ramp_share(now, service, self.members.count());
        share > 0.0 && self.random.random_bool(share)
    }

    /// Chooses an endpoint of the version that is not judged yet. All instances use the same few, so
    /// that these get the load of an ordinary one: some versions are bad only under load.
    fn pick_canary(&mut self, now: Time, service: &str, need: Need) -> Option<EndpointKey> {
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

    /// Chooses an endpoint for a request, and an engine for its copy.
    #[must_use]
    pub fn pick(&mut self, now: Time, service: &str, need: Need, tried: &[EndpointKey]) -> Pick {
        self.pace_brittle(now, service);
        let demand = Demand {
            kept: self.kept_room(now, service, need),
            tokens: need.tokens(),
        };
        let mut jitter = self.jitter();
        let Some(service) = self.service(service) else {
            return Pick::Wait;
        };
        if service.engine.is_none() {
            jitter.max_ms = jitter.max_ms.max(MAX_TIE_JITTER_MS);
        }
        let loads = self.loads();
        match self.cheapest(now, service, demand, tried, &loads, jitter) {
            None => Pick::Wait,
            Some(key) => {
                let (tokens, output) = (need.tokens(), need.output);
                let copy = self.pick_copy(now, service, tokens, output, key, &loads);
                Pick::Send(key, copy)
            }
        }
    }

    /// Chooses an engine to move a run to, one that is silent only if there is no other.
    #[must_use]
    pub fn pick_target(
        &mut self,
        now: Time,
        run: RunKey,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let mut skip = tried.to_vec();
        skip.extend(
            self.endpoints
                .keys()
                .filter(|key| self.is_silent(now, *key)),
        );
        self.pick_target_except(now, run, &skip)
            .or_else(|| self.pick_target_except(now, run, tried))
    }

    fn pick_target_except(
        &mut self,
        now: Time,
        run: RunKey,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let jitter = self.jitter();
        let run = self.runs.get(run)?;
        let service = self.service(&run.service)?;
        let mut skip = tried.to_vec();
        skip.push(run.endpoint);
        let source = self.endpoints.get(run.endpoint)?;
        let loads = self.loads();
        let queued = self.queued_moves(run.endpoint, source, &loads);
        let gate = self.gate(now, &service.name);
        self.cheapest_by(&skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service, &gate) {
                return None;
            }
            let cross_domain = endpoint.listing.domain != source.listing.domain;
            let cost = self.cost(key, endpoint, service, run.need().into(), &loads)?;
            let cross_domain = if cross_domain {
                CROSS_DOMAIN_MOVE_COST_MS * queued
            } else {
                0.0
            };
            Some(cost + cross_domain + jitter.cost(key))
        })
    }

    /// Chooses an engine for the copy of the KV cache of a run at `endpoint`.
    #[must_use]
    pub fn pick_backup(
        &self,
        now: Time,
        run: RunKey,
        endpoint: EndpointKey,
    ) -> Option<EndpointKey> {
        let run = self.runs.get(run)?;
        let service = self.service(&run.service)?;
        let remaining = run.remaining();
        self.pick_copy(now, service, run.need(), remaining, endpoint, &self.loads())
    }

    /// Whether a run is likely to end before its leaving engine stops.
    #[must_use]
    pub fn ends_soon(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        run.is_some_and(|run| MAX_TOKEN_TIME.saturating_mul(run.max_remaining()) < MIN_LEAVE_NOTICE)
    }

    /// The eligible endpoint with the lowest cost.
    fn cheapest(
        &self,
        now: Time,
        service: &Service,
        demand: Demand,
        skip: &[EndpointKey],
        loads: &SecondaryMap<EndpointKey, Load>,
        jitter: Jitter,
    ) -> Option<EndpointKey> {
        let gate = self.gate(now, &service.name);
        self.cheapest_by(skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service, &gate) {
                return None;
            }
            let cost = self.cost(key, endpoint, service, demand, loads)?;
            Some(cost + jitter.cost(key))
        })
    }

    /// Random additions for one choice; none where there are few instances.
    fn jitter(&mut self) -> Jitter {
        let max_ms = if self.members.is_aggregated() {
            MAX_JITTER_MS
        } else {
            0.0
        };
        Jitter {
            seed: self.random.random(),
            max_ms,
        }
    }

    /// The endpoint with the lowest cost, among those for which `cost` returns one.
    fn cheapest_by(
        &self,
        skip: &[EndpointKey],
        cost: impl Fn(EndpointKey, &Endpoint) -> Option<f64>,
    ) -> Option<EndpointKey> {
        let mut best = None;
        for (key, endpoint) in &self.endpoints {
            if skip.contains(&key) {
                continue;
            }
            let Some(cost) = cost(key, endpoint) else {
                continue;
            };
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn pick_copy(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        output: u32,
        source: EndpointKey,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Option<EndpointKey> {
        if output < MIN_COPY_OUTPUT_TOKENS {
            return None;
        }
        let engine = service.engine.filter(|engine| engine.backups)?;
        if self.run_fill(now, service, engine, loads) > MAX_RUN_KV_FILL {
            return None;
        }
        let max_tokens = f64::from(engine.kv_tokens) * MAX_COPY_KV_FILL;
        let gate = self.gate(now, &service.name);
        let source_domain = self.endpoints.get(source);
        let source_domain = source_domain.map(|endpoint| endpoint.listing.domain.as_str());
        self.cheapest_by(&[source], |key, endpoint| {
            let usable = endpoint.listing.service == service.name
                && endpoint.usable(now)
                && gate.access(endpoint) == Access::Open
                && !self.is_disabled(&endpoint.listing.domain);
            let load = self.load(key, endpoint, loads);
            let tokens = f64::from(load.tokens.saturating_add(need));
            let same_domain = source_domain == Some(endpoint.listing.domain.as_str());
            let cost = tokens / max_tokens * FULL_MEMORY_COST_MS
                + if same_domain {
                    SAME_DOMAIN_COPY_COST_MS
                } else {
                    0.0
                };
            (usable && tokens <= max_tokens).then_some(cost)
        })
    }

    /// Share of the KV cache of a service's usable engines that runs need, without copies.
    fn run_fill(
        &self,
        now: Time,
        service: &Service,
        engine: Engine,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> f64 {
        let usable = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.listing.service == service.name
                && endpoint.usable(now)
                && !self.is_disabled(&endpoint.listing.domain)
        });
        let (mut capacity, mut used) = (0.0, 0.0);
        for (key, endpoint) in usable {
            let load = self.load(key, endpoint, loads);
            capacity += f64::from(engine.kv_tokens);
            used += f64::from(load.tokens.saturating_sub(load.copies));
        }
        if capacity > 0.0 { used / capacity } else { 1.0 }
    }

    fn eligible(&self, now: Time, endpoint: &Endpoint, service: &Service, gate: &Gate<'_>) -> bool {
        self.takes_requests(now, endpoint, service)
            && gate.access(endpoint) == Access::Open
            && !self.is_unverified(endpoint)
    }

    /// Whether an endpoint may get a request, whatever its version.
    fn takes_requests(&self, now: Time, endpoint: &Endpoint, service: &Service) -> bool {
        endpoint.listing.service == service.name
            && endpoint.usable(now)
            && !self.is_disabled(&endpoint.listing.domain)
            && endpoint.rate_limiter.allows(now, self.send_quota(service))
            && self.may_be_rejected(now, endpoint)
    }

    /// Whether a rejection of one more request is within what a brittle endpoint bears.
    fn may_be_rejected(&self, now: Time, endpoint: &Endpoint) -> bool {
        let limit = self.brittleness.limit(now, &endpoint.listing.service);
        limit.is_none_or(|limit| {
            endpoint.exposure.allows(now, limit, self.instances) && endpoint.exposure.is_due()
        })
    }

    /// Paces sends to the endpoints of a brittle service that bear less than one rejection per second for
    /// each instance.
    fn pace_brittle(&mut self, now: Time, service: &str) {
        let limit = self.brittleness.limit(now, service);
        let Some(limit) = limit.filter(|limit| *limit < self.instances) else {
            return;
        };
        let share = brittleness::expected_share(limit, self.instances);
        let engine = self.service(service).and_then(|service| service.engine);
        let loads = self.loads();
        let listed = self.endpoints.iter();
        let listed = listed.filter(|(_, endpoint)| endpoint.listing.service == service);
        let occupied = listed.map(|(key, endpoint)| {
            let load = self.load(key, endpoint, &loads);
            (key, occupied_slots(load, endpoint.listing.slots, engine))
        });
        for (key, occupied) in occupied.collect::<Vec<_>>() {
            let random = self.random.random();
            let endpoint = &mut self.endpoints[key];
            let slots = endpoint.listing.slots;
            endpoint.exposure.pace(now, occupied, slots, share, random);
        }
    }

    /// This instance's share of the requests per second to one cold endpoint of a service; at least
    /// one, and unlimited for a service that is never cold.
    fn send_quota(&self, service: &Service) -> usize {
        if service.cold_rate <= 0.0 {
            return usize::MAX;
        }
        let quota = service.cold_rate / f64::from(self.instances);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of requests a second is small and positive here"
        )]
        let quota = quota.floor() as usize;
        quota.max(1)
    }

    /// Cost of sending there in milliseconds of waiting; `None` if it has no capacity
    /// beside the room that is kept there.
    fn cost(
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

    fn domain_cost(&self, endpoint: &Endpoint) -> f64 {
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

/// Slots of an endpoint that are in use, or the same share of them as of an engine's KV cache, if that is
/// larger.
fn occupied_slots(load: Load, slots: u32, engine: Option<Engine>) -> f64 {
    let requests = f64::from(load.requests);
    let Some(engine) = engine else {
        return requests;
    };
    let fill = f64::from(load.tokens) / f64::from(engine.kv_tokens.max(1));
    requests.max(fill * f64::from(slots))
}
