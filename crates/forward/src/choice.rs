//! Where requests, runs and copies go.
//!
//! Costs are in milliseconds of waiting, so that they can be added up.

use {
    crate::{endpoint::Load, prelude::*, run::memory, state::State},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    slotmap::{Key as _, SecondaryMap},
};

/// Part of the KV memory that is filled by prediction; the rest is for runs that turn
/// out longer than expected.
const FILL: f64 = 0.92;

/// Part of the KV memory up to which copies are placed; memory above it is for runs.
const COPY_FILL: f64 = 0.75;

/// Part of the KV memory of all engines that runs may need while copies are made. Beyond it
/// copies take the room of runs: new prompts meet at the few engines that have some left,
/// and runs are preempted, while runs of an engine that leaves are moved within its notice
/// all the same.
const RUNS_FILL: f64 = 0.65;

/// Output tokens from which on a copy is made. A shorter run lives a fraction of a second
/// after its prompt is read, in which an engine is hardly ever lost, while the copy would
/// take the links from longer ones.
const COPY_FROM: u32 = 100;

/// Prompt tokens that an engine reads in a millisecond beside the runs that it has; about
/// half of what it reads alone.
pub(crate) const READ_RATE: f64 = 7.0;

/// Longest time that a token usually takes, at an engine with many requests.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(11);

/// What one more running request costs the others, in milliseconds of waiting: it lengthens
/// each of their steps.
const RUN_COST: f64 = 6.0;

/// Milliseconds of waiting that are borne to stay in the own failure domain. Work there
/// survives a partition between domains, and bytes between domains are dear. Less than the
/// time that a prompt takes to be read, so that engines of the own domain that read one are
/// left for idle ones elsewhere.
const DOMAIN_COST: f64 = 150.0;

/// Milliseconds of waiting that it is worth to have a copy in another failure domain than
/// the run itself: all engines of a domain are at times lost at once.
const SHARED_FATE_COST: f64 = 100.0;

/// Milliseconds of waiting that it is worth to move a run within the failure domain of its
/// engine: between domains the copy takes twice as long, and an engine that leaves often
/// has no time for more than a few.
const FAR_COPY_COST: f64 = 150.0;

/// Shortest time that an engine works on after its leaving became known.
const NOTICE: Duration = Duration::from_millis(900);

/// Milliseconds of waiting that a full memory is worth avoiding.
const MEMORY_COST: f64 = 150.0;

/// Milliseconds of waiting that a plain endpoint's running request costs.
const PLAIN_COST: f64 = 30.0;

/// Milliseconds of waiting at which an endpoint that fails every request is rated.
const FAILING_COST: f64 = 400.0;

/// Milliseconds of waiting up to which a choice among many instances is left to a draw.
///
/// Instances that choose while word of each other's choices is on its way would all take the
/// emptiest engine, and its prompts would be read one after the other. Less than the time
/// that a prompt takes to read, so that an engine which reads none is still taken first.
const SPREAD_COST: f64 = 200.0;

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
        memory(self.prompt, self.output)
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
struct Draw {
    seed: u64,
    /// Most that is added to a cost, in milliseconds of waiting.
    spread: f64,
}

impl Draw {
    /// What is added to the cost of an endpoint; the same one throughout a choice.
    fn cost(self, key: EndpointKey) -> f64 {
        if self.spread <= 0.0 {
            return 0.0;
        }
        let mut random = SmallRng::seed_from_u64(self.seed ^ key.data().as_ffi());
        random.random_range(0.0..self.spread)
    }
}

impl State {
    /// Chooses an endpoint for a request, and an engine for its copy.
    #[must_use]
    pub fn pick(&mut self, now: Time, service: &str, need: Need, tried: &[EndpointKey]) -> Pick {
        let draw = self.draw();
        let Some(service) = self.service(service) else {
            return Pick::Wait;
        };
        let loads = self.loads();
        match self.cheapest(now, service, need.tokens(), tried, &loads, draw) {
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
        let draw = self.draw();
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
            let far = endpoint.listing.domain != source.listing.domain;
            let cost = self.cost(key, endpoint, service, run.need(), &loads)?;
            let far = if far { FAR_COPY_COST } else { 0.0 };
            Some(cost + far + draw.cost(key))
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
        run.is_some_and(|run| TOKEN_TIME.saturating_mul(run.most_left()) < NOTICE)
    }

    /// The endpoint with room that costs the least.
    fn cheapest(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        skip: &[EndpointKey],
        loads: &SecondaryMap<EndpointKey, Load>,
        draw: Draw,
    ) -> Option<EndpointKey> {
        self.cheapest_by(skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service) {
                return None;
            }
            let cost = self.cost(key, endpoint, service, need, loads)?;
            Some(cost + draw.cost(key))
        })
    }

    /// What is added to each endpoint's cost in one choice; nothing among few instances.
    fn draw(&mut self) -> Draw {
        let spread = if self.members.are_many() {
            SPREAD_COST
        } else {
            0.0
        };
        Draw {
            seed: self.random.random(),
            spread,
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
            if best.is_none_or(|(least, _)| cost < least) {
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
        if output < COPY_FROM {
            return None;
        }
        let engine = service.engine.filter(|engine| engine.backups)?;
        if self.runs_fill(now, service, engine, loads) > RUNS_FILL {
            return None;
        }
        let most = f64::from(engine.kv_tokens) * COPY_FILL;
        let source_domain = self.endpoints.get(source);
        let source_domain = source_domain.map(|endpoint| endpoint.listing.domain.as_str());
        self.cheapest_by(&[source], |key, endpoint| {
            let usable = endpoint.listing.service == service.name
                && endpoint.usable(now)
                && !self.is_out(&endpoint.listing.domain);
            let load = self.load(key, endpoint, loads);
            let tokens = f64::from(load.tokens.saturating_add(need));
            let shared = source_domain == Some(endpoint.listing.domain.as_str());
            let cost = tokens / most * MEMORY_COST + if shared { SHARED_FATE_COST } else { 0.0 };
            (usable && tokens <= most).then_some(cost)
        })
    }

    /// Part of the KV memory of a service's usable engines that runs need, without copies.
    fn runs_fill(
        &self,
        now: Time,
        service: &Service,
        engine: Engine,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> f64 {
        let usable = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.listing.service == service.name
                && endpoint.usable(now)
                && !self.is_out(&endpoint.listing.domain)
        });
        let (mut room, mut needed) = (0.0, 0.0);
        for (key, endpoint) in usable {
            let load = self.load(key, endpoint, loads);
            room += f64::from(engine.kv_tokens);
            needed += f64::from(load.tokens.saturating_sub(load.copies));
        }
        if room > 0.0 { needed / room } else { 1.0 }
    }

    fn eligible(&self, now: Time, endpoint: &Endpoint, service: &Service) -> bool {
        endpoint.listing.service == service.name
            && endpoint.usable(now)
            && !self.is_out(&endpoint.listing.domain)
            && endpoint.rate_limiter.allows(now, self.pace_part(service))
    }

    /// Sends a second to one endpoint of a service that this instance may make.
    fn pace_part(&self, service: &Service) -> usize {
        if service.cold_rate <= 0.0 {
            return usize::MAX;
        }
        let part = service.cold_rate / f64::from(self.instances);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of requests a second is small and positive here"
        )]
        let part = part.floor() as usize;
        part.max(1)
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
        let common = self.domain_cost(endpoint) + endpoint.failing * FAILING_COST;
        let Some(engine) = service.engine else {
            let room = endpoint.listing.slots.max(1);
            let busy = f64::from(load.requests) / f64::from(room);
            return (load.requests < room)
                .then_some(common + f64::from(load.requests) * PLAIN_COST + busy);
        };
        let room = f64::from(engine.kv_tokens) * FILL;
        let tokens = f64::from(load.tokens.saturating_add(need));
        if load.requests >= engine.slots || tokens > room {
            return None;
        }
        Some(
            common
                + f64::from(load.prefill_tokens) / READ_RATE
                + f64::from(load.requests) * RUN_COST
                + tokens / room * MEMORY_COST,
        )
    }

    fn domain_cost(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.listing.domain == self.settings.domain {
            return 0.0;
        }
        DOMAIN_COST
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
