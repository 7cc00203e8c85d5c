//! Placement of requests, runs, and copies of their KV cache.
//!
//! Costs are in milliseconds of waiting, so that they can be added.

mod canary;
mod copy;
mod cost;
mod eligible;
mod pace;
mod side;

pub(crate) use self::cost::MAX_KV_FILL;
pub use self::pace::{Judgement, Promise};

use {
    self::pace::Knowledge,
    crate::{
        overflow::Side, prelude::*, request::Ticket, reserve::Demand, run::kv_demand, state::State,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    slotmap::Key as _,
};

/// Prefill rate of an engine in tokens per millisecond beside its other runs; about half of the
/// rate of an idle engine.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 7.0;

/// Usual maximum time per output token, reached at an engine with many runs.
pub(crate) const MAX_TOKEN_TIME: Duration = Duration::from_millis(11);

/// Cost of moving a run to another failure domain. The transfer takes twice as long, and a leaving
/// engine often has time for only a few.
const CROSS_DOMAIN_MOVE_COST_MS: f64 = 150.0;

/// Minimum time that an engine keeps working after this instance learned that it is leaving.
const MIN_LEAVE_NOTICE: Duration = Duration::from_millis(900);

/// Cost of an engine whose KV cache is full; proportional below that.
const FULL_MEMORY_COST_MS: f64 = 150.0;

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
        let promise = Promise::of(&ticket.route);
        if tried.is_empty()
            && self.may_expose(now, ticket)
            && let Some(key) = self.pick_canary(now, &ticket.service, need)
        {
            self.rollouts.record_exposure(now, &ticket.service, route);
            let copy = self.service(&ticket.service).and_then(|service| {
                let tokens = need.tokens();
                let loads = self.loads();
                let known = self.knowledge(now, service, need, promise, &loads);
                self.pick_copy(now, service, tokens, need.output, key, &known)
            });
            return (Pick::Send(key, copy), true);
        }
        let side = self.side(now, ticket, need, tried);
        let pick = self.pick_promised(now, &ticket.service, need, tried, promise, side);
        if side.is_some() && pick == Pick::Wait && need != Need::default() {
            // Engines hold a run for seconds, so that room elsewhere is known in time. For plain
            // requests it is not: all instances would leave at once.
            let pick = self.pick_promised(now, &ticket.service, need, tried, promise, None);
            return (pick, false);
        }
        (pick, false)
    }

    /// Chooses an endpoint for a request, and an engine for its copy.
    #[must_use]
    pub fn pick(&mut self, now: Time, service: &str, need: Need, tried: &[EndpointKey]) -> Pick {
        self.pick_promised(now, service, need, tried, None, None)
    }

    /// What a new request needs of an engine, and leaves free there.
    fn demand(&mut self, now: Time, service: &str, need: Need) -> Demand {
        Demand {
            kept: self.kept_room(now, service, need),
            tokens: need.tokens(),
        }
    }

    fn pick_promised(
        &mut self,
        now: Time,
        service: &str,
        need: Need,
        tried: &[EndpointKey],
        promise: Option<Promise>,
        side: Option<Side>,
    ) -> Pick {
        self.pace_brittle(now, service);
        let demand = self.demand(now, service, need);
        let mut jitter = self.jitter();
        let Some(service) = self.service(service) else {
            return Pick::Wait;
        };
        if service.engine.is_none() {
            jitter.max_ms = jitter.max_ms.max(MAX_TIE_JITTER_MS);
        }
        let loads = self.loads();
        let mut known = self.knowledge(now, service, need, promise, &loads);
        known.side = side;
        match self.cheapest(now, service, demand, tried, &known, jitter) {
            None => Pick::Wait,
            Some(key) => {
                let (tokens, output) = (need.tokens(), need.output);
                let copy = self.pick_copy(now, service, tokens, output, key, &known);
                Pick::Send(key, copy)
            }
        }
    }

    /// Chooses an engine to move a run to, one that is silent only if there is no other. Engines that may
    /// be running it are not chosen.
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
        let key = run;
        let run = self.runs.get(key)?;
        let service = self.service(&run.service)?;
        let mut skip = tried.to_vec();
        skip.push(run.endpoint);
        skip.extend(self.asked(key));
        let source = self.endpoints.get(run.endpoint)?;
        let loads = self.loads();
        let queued = self.queued_moves(run.endpoint, source, &loads);
        let gate = self.gate(now, &service.name);
        let known = self.run_knowledge(now, service, run, &loads);
        self.cheapest_by(&skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service, &gate) {
                return None;
            }
            let cross_domain = endpoint.listing.domain != source.listing.domain;
            let cost = self.cost(key, endpoint, service, run.need().into(), &loads)?;
            let cost = cost + self.pace_cost(key, endpoint, service, &known);
            let cross_domain = if cross_domain {
                CROSS_DOMAIN_MOVE_COST_MS * queued
            } else {
                0.0
            };
            Some(cost + cross_domain + jitter.cost(key))
        })
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
        known: &Knowledge<'_>,
        jitter: Jitter,
    ) -> Option<EndpointKey> {
        let gate = self.gate(now, &service.name);
        self.cheapest_by(skip, |key, endpoint| {
            if !self.is_on(known.side, endpoint) || !self.eligible(now, endpoint, service, &gate) {
                return None;
            }
            let cost = self.cost(key, endpoint, service, demand, known.loads)?;
            let cost = cost + self.pace_cost(key, endpoint, service, known);
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
}
