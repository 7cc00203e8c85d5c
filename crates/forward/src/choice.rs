//! Where requests, runs and copies go.
//!
//! Costs are in milliseconds of waiting, so that they can be added up.

use {
    crate::{endpoint::Load, prelude::*, run::kv_demand, state::State},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    slotmap::{Key as _, SecondaryMap},
};

/// Part of the KV memory that is filled by prediction; the rest is for runs that turn
/// out longer than expected.
const MAX_KV_FILL: f64 = 0.92;

/// Part of the KV memory up to which copies are placed; memory above it is for runs.
const MAX_COPY_KV_FILL: f64 = 0.75;

/// Part of the KV memory of all engines that runs may need while copies are made. Beyond it
/// copies take the room of runs: new prompts meet at the few engines that have some left,
/// and runs are preempted, while runs of an engine that leaves are moved within its notice
/// all the same.
const MAX_RUN_KV_FILL: f64 = 0.65;

/// Output tokens from which on a copy is made. A shorter run lives a fraction of a second
/// after its prompt is read, in which an engine is hardly ever lost, while the copy would
/// take the links from longer ones.
const MIN_COPY_OUTPUT_TOKENS: u32 = 100;

/// Prompt tokens that an engine reads in a millisecond beside the runs that it has; about
/// half of what it reads alone.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Longest time that a token usually takes, at an engine with many requests.
pub(crate) const MAX_TOKEN_TIME: Duration = Duration::from_millis(11);

/// What one more running request costs the others, in milliseconds of waiting: it lengthens
/// each of their steps.
const RUN_COST_MS: f64 = 6.0;

/// Milliseconds of waiting that are borne to stay in the own failure domain. Work there
/// survives a partition between domains, and bytes between domains are dear. Less than the
/// time that a prompt takes to be read, so that engines of the own domain that read one are
/// left for idle ones elsewhere.
const CROSS_DOMAIN_COST_MS: f64 = 150.0;

/// Milliseconds of waiting that it is worth to have a copy in another failure domain than
/// the run itself: all engines of a domain are at times lost at once.
const SAME_DOMAIN_COPY_COST_MS: f64 = 100.0;

/// Milliseconds of waiting that it is worth to move a run within the failure domain of its
/// engine: between domains the copy takes twice as long, and an engine that leaves often
/// has no time for more than a few.
const CROSS_DOMAIN_MOVE_COST_MS: f64 = 150.0;

/// Shortest time that an engine works on after its leaving became known.
const MIN_LEAVE_NOTICE: Duration = Duration::from_millis(900);

/// Milliseconds of waiting that a full memory is worth avoiding.
const FULL_MEMORY_COST_MS: f64 = 150.0;

/// Milliseconds of waiting that a plain endpoint's running request costs.
const PLAIN_REQUEST_COST_MS: f64 = 30.0;

/// Milliseconds of waiting at which an endpoint that fails every request is rated.
const FAILURE_COST_MS: f64 = 400.0;

/// Milliseconds of waiting up to which a choice among many instances is left to a draw.
///
/// Instances that choose while word of each other's choices is on its way would all take the
/// emptiest engine, and its prompts would be read one after the other. Less than the time
/// that a prompt takes to read, so that an engine which reads none is still taken first.
const MAX_JITTER_MS: f64 = 200.0;

/// What a request is expected to need, in tokens; zero for plain requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Tokens it will make.
    pub output: u32,
    /// Tokens in its prompt.
    pub prompt: u32,
}

impl Need {
    fn tokens(self) -> u32 {
        kv_demand(self.prompt, self.output)
    }
}

/// Where to send a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// To this endpoint, with a copy of the KV memory at the other one.
    Send(EndpointKey, Option<EndpointKey>),
    /// No endpoint has room now.
    Wait,
}

/// A draw that sets instances apart which would all choose the same endpoint.
#[derive(Clone, Copy, Debug)]
struct Jitter {
    seed: u64,
    /// Most that is added to a cost, in milliseconds of waiting.
    max_ms: f64,
}

impl Jitter {
    /// What is added to the cost of an endpoint; the same one throughout a choice.
    fn cost(self, key: EndpointKey) -> f64 {
        if self.max_ms <= 0.0 {
            return 0.0;
        }
        let mut random = SmallRng::seed_from_u64(self.seed ^ key.data().as_ffi());
        random.random_range(0.0..self.max_ms)
    }
}

impl State {
    /// Chooses an endpoint for a request, and an engine for its copy.
    #[must_use]
    pub fn pick(&mut self, now: Time, service: &str, need: Need, tried: &[EndpointKey]) -> Pick {
        let jitter = self.jitter();
        let Some(service) = self.service(service) else {
            return Pick::Wait;
        };
        let loads = self.loads();
        match self.cheapest(now, service, need.tokens(), tried, &loads, jitter) {
            None => Pick::Wait,
            Some(key) => {
                let (tokens, output) = (need.tokens(), need.output);
                let copy = self.pick_copy(now, service, tokens, output, key, &loads);
                Pick::Send(key, copy)
            }
        }
    }

    /// Chooses an engine to move a run to.
    #[must_use]
    pub fn pick_target(
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
        self.cheapest_by(&skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service) {
                return None;
            }
            let cross_domain = endpoint.listing.domain != source.listing.domain;
            let cost = self.cost(key, endpoint, service, run.need(), &loads)?;
            let cross_domain = if cross_domain { CROSS_DOMAIN_MOVE_COST_MS } else { 0.0 };
            Some(cost + cross_domain + jitter.cost(key))
        })
    }

    /// Chooses an engine for the copy of a run's KV memory, once it runs at `endpoint`.
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

    /// Whether a generation is likely to end before an engine that has said that it leaves
    /// is gone.
    #[must_use]
    pub fn ends_soon(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        run.is_some_and(|run| MAX_TOKEN_TIME.saturating_mul(run.max_remaining()) < MIN_LEAVE_NOTICE)
    }

    /// The endpoint with room that costs the least.
    fn cheapest(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        skip: &[EndpointKey],
        loads: &SecondaryMap<EndpointKey, Load>,
        jitter: Jitter,
    ) -> Option<EndpointKey> {
        self.cheapest_by(skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service) {
                return None;
            }
            let cost = self.cost(key, endpoint, service, need, loads)?;
            Some(cost + jitter.cost(key))
        })
    }

    /// What is added to each endpoint's cost in one choice; nothing among few instances.
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

    /// The endpoint of the least cost, of those that have one.
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
        let source_domain = self.endpoints.get(source);
        let source_domain = source_domain.map(|endpoint| endpoint.listing.domain.as_str());
        self.cheapest_by(&[source], |key, endpoint| {
            let usable = endpoint.listing.service == service.name
                && endpoint.usable(now)
                && !self.is_disabled(&endpoint.listing.domain);
            let load = self.load(key, endpoint, loads);
            let tokens = f64::from(load.tokens.saturating_add(need));
            let same_domain = source_domain == Some(endpoint.listing.domain.as_str());
            let cost = tokens / max_tokens * FULL_MEMORY_COST_MS + if same_domain { SAME_DOMAIN_COPY_COST_MS } else { 0.0 };
            (usable && tokens <= max_tokens).then_some(cost)
        })
    }

    /// Part of the KV memory of a service's usable engines that runs need, without copies.
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

    fn eligible(&self, now: Time, endpoint: &Endpoint, service: &Service) -> bool {
        endpoint.listing.service == service.name
            && endpoint.usable(now)
            && !self.is_disabled(&endpoint.listing.domain)
            && endpoint.rate_limiter.allows(now, self.send_quota(service))
    }

    /// Sends a second to one endpoint of a service that this instance may make.
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

    /// Cost of sending there in milliseconds of waiting; `None` if it has no room.
    fn cost(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        service: &Service,
        need: u32,
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
        let tokens = f64::from(load.tokens.saturating_add(need));
        if load.requests >= engine.slots || tokens > capacity {
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
    fn load(
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

    /// Load of this instance's generations, for each endpoint.
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

    /// Load of one endpoint over all instances, as choices count it.
    #[must_use]
    pub fn load_at(&self, key: EndpointKey) -> Load {
        let endpoint = self.endpoints.get(key);
        endpoint.map_or_else(Load::default, |endpoint| {
            self.load(key, endpoint, &self.loads())
        })
    }

    /// What fellows should know of this instance's load.
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
