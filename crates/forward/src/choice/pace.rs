//! What a request costs at an engine of this pace: the time to its first event, pauses in it, and pauses in streams that run
//! there.

use {
    super::{Need, PREFILL_TOKENS_PER_MS},
    crate::{
        endpoint::Load,
        feature::Feature,
        load::digest,
        overflow::Side,
        prelude::*,
        profile::{Profiles, Usual},
        state::State,
    },
    slotmap::SecondaryMap,
};

/// Cost of a stream that is late by a pause, in targets of the first event. Waiting makes a first event late only where it
/// comes near the target, while a pause over what is allowed is late whatever came before.
const LATE_COST_TARGETS: f64 = 4.0;

/// What a route promises of its streams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Longest interval between two events that counts as on time.
    pub gap: Duration,
    /// Target time to the first event. A stream with a longer pause is as late as one that begins after it.
    pub target: Duration,
}

impl Promise {
    /// The promise of a route, if it states an interval.
    #[must_use]
    pub fn of(route: &Route) -> Option<Self> {
        let gap = route.gap.filter(|_| route.kind == Kind::Stream)?;
        let target = route.target;
        Some(Self { gap, target })
    }

    fn cost_ms(self) -> f64 {
        self.target.as_secs_f64() * 1000.0 * LATE_COST_TARGETS
    }
}

/// A request, and what is usual at the engines it may go to; for one choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacing<'a> {
    /// Events that it is expected to have.
    events: f64,
    now: Time,
    profiles: &'a Profiles,
    /// Its promise; that of other streams of the service is taken to be the same.
    promise: Promise,
    prompt: f64,
    /// Probability of a pause in a long stream at a usual engine.
    usual_risk: f64,
    /// Length of a long stream in events.
    usual_length: f64,
    usual: Usual,
}

impl Pacing<'_> {
    /// Cost of a request at an engine with this load, in milliseconds of waiting.
    pub(super) fn cost(&self, endpoint: &Endpoint, load: Load, fill: f64) -> f64 {
        let pace_ms = self.pace_ms(endpoint);
        let relative = pace_ms / self.usual.pace_ms;
        let queued = f64::from(load.prefill_tokens) / PREFILL_TOKENS_PER_MS * (relative - 1.0);
        let prefill = self.prompt / PREFILL_TOKENS_PER_MS * relative;
        let harm = self.harm_ms(pace_ms, prefill, load);
        queued + prefill + self.hold_ms(pace_ms) + harm + self.room_ms(pace_ms, prefill, load, fill)
    }

    /// Cost of a copy at an engine that is filled to this share. A run may have to go on there, but most copies are never
    /// used, so where room is short it is left to runs.
    pub(super) fn copy_cost(&self, endpoint: &Endpoint, fill: f64) -> f64 {
        let pace_ms = self.pace_ms(endpoint);
        let hold = self.hold_ms(pace_ms) * (1.0 - fill);
        hold + self.spared(pace_ms) * fill * self.promise.cost_ms()
    }

    /// Cost of the pauses that the request itself is likely to have there.
    fn hold_ms(&self, pace_ms: f64) -> f64 {
        self.risk(pace_ms, self.events) * self.promise.cost_ms()
    }

    /// By how much less likely a long stream is to have a pause than at a usual engine.
    fn spared(&self, pace_ms: f64) -> f64 {
        (self.usual_risk - self.risk(pace_ms, self.usual_length)).max(0.0)
    }

    fn pace_ms(&self, endpoint: &Endpoint) -> f64 {
        self.profiles
            .pace_ms(self.now, &self.usual, endpoint.incarnation)
    }

    fn risk(&self, pace_ms: f64, events: f64) -> f64 {
        self.usual.pause_risk(pace_ms, self.promise.gap, events)
    }

    /// Cost of the pauses that its prefill is likely to make in streams that run there.
    fn harm_ms(&self, pace_ms: f64, prefill_ms: f64, load: Load) -> f64 {
        let risk = self
            .usual
            .reading_risk(pace_ms, self.promise.gap, prefill_ms / pace_ms);
        streams(load) * risk * self.promise.cost_ms()
    }

    /// Cost of the room that a short request takes where long streams would have fewer pauses than elsewhere.
    fn room_ms(&self, pace_ms: f64, prefill_ms: f64, load: Load, fill: f64) -> f64 {
        let needless = (1.0 - self.events / self.usual_length).max(0.0);
        let held_ms = prefill_ms * (1.0 + streams(load)) + self.events * pace_ms;
        let long_ms = prefill_ms + self.usual_length * pace_ms;
        let share = (held_ms / long_ms).min(1.0);
        needless * share * fill * self.spared(pace_ms) * self.promise.cost_ms()
    }
}

/// What one choice knows of the endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge<'a> {
    /// Load of this instance.
    pub(super) loads: &'a SecondaryMap<EndpointKey, Load>,
    /// What engines do, if it counts.
    pub(super) pacing: Option<Pacing<'a>>,
    /// Side that the request is to be sent to, if it is restricted to one.
    pub(super) side: Option<Side>,
}

/// Streams at an engine that have begun: runs whose prompts are read, by the memory that they hold.
fn streams(load: Load) -> f64 {
    let held = load.tokens.saturating_sub(load.copies);
    if held == 0 {
        return 0.0;
    }
    let reading = f64::from(load.prefill_tokens) / f64::from(held);
    f64::from(load.requests) * (1.0 - reading).max(0.0)
}

/// How the engine of a run is judged, for logs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Judgement {
    /// Time of an event there without disturbance.
    pub pace: Duration,
    /// The same at the usual engine.
    pub usual: Duration,
    /// Probability of a pause over what the route allows in a long stream at the usual engine.
    pub usual_risk: f64,
}

impl State {
    /// How an engine is judged for a run that it has.
    #[must_use]
    pub fn judgement(&self, now: Time, run: RunKey) -> Option<Judgement> {
        let run = self.runs.get(run)?;
        let endpoint = self.endpoints.get(run.endpoint)?;
        let service = self.service(&run.service)?;
        let loads = self.loads();
        let pacing = self.run_knowledge(now, service, run, &loads).pacing?;
        Some(Judgement {
            pace: Duration::from_secs_f64(pacing.pace_ms(endpoint) / 1000.0),
            usual: Duration::from_secs_f64(pacing.usual.pace_ms / 1000.0),
            usual_risk: pacing.usual_risk,
        })
    }

    /// What is known of the endpoints for a request of a service.
    pub(super) fn knowledge<'a>(
        &'a self,
        now: Time,
        service: &Service,
        need: Need,
        promise: Option<Promise>,
        loads: &'a SecondaryMap<EndpointKey, Load>,
    ) -> Knowledge<'a> {
        let pacing = self.pacing(now, service, need, promise);
        Knowledge {
            loads,
            pacing,
            side: None,
        }
    }

    /// What placement knows of the engines' pace for a request of a service; `None` if it is not asked for, or if
    /// nothing is known.
    fn pacing(
        &self,
        now: Time,
        service: &Service,
        need: Need,
        promise: Option<Promise>,
    ) -> Option<Pacing<'_>> {
        let engine = service.engine?;
        if !self.settings.features.has(Feature::EngineProfiles) {
            return None;
        }
        let promise = promise?;
        let usual = self.profiles.usual(now, digest(&service.name))?;
        let usual_length = usual.shape.usual_length().max(1.0);
        let events = f64::from(need.output) / f64::from(engine.tokens_per_event.max(1));
        Some(Pacing {
            events,
            now,
            profiles: &self.profiles,
            promise,
            prompt: f64::from(need.prompt),
            usual_length,
            usual_risk: usual.pause_risk(usual.pace_ms, promise.gap, usual_length),
            usual,
        })
    }

    /// The same for a run that goes on elsewhere with its memory.
    pub(super) fn run_knowledge<'a>(
        &'a self,
        now: Time,
        service: &Service,
        run: &Run,
        loads: &'a SecondaryMap<EndpointKey, Load>,
    ) -> Knowledge<'a> {
        let need = Need {
            output: run.remaining(),
            prompt: 0,
        };
        let promise = self.service_promise(service);
        self.knowledge(now, service, need, promise, loads)
    }

    /// Cost of an engine's pace for a request, in milliseconds of waiting.
    pub(super) fn pace_cost(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        service: &Service,
        known: &Knowledge<'_>,
    ) -> f64 {
        let Some((pacing, engine)) = known.pacing.as_ref().zip(service.engine) else {
            return 0.0;
        };
        let load = self.load(key, endpoint, known.loads);
        let fill = f64::from(load.tokens) / f64::from(engine.kv_tokens.max(1));
        pacing.cost(endpoint, load, fill.min(1.0))
    }

    /// The strictest promise of the routes to a service, for work whose own route is not known.
    fn service_promise(&self, service: &Service) -> Option<Promise> {
        let routes = self.config.as_ref()?.routes_to(&service.name);
        let promises = routes.filter_map(Promise::of);
        promises.min_by_key(|promise| promise.gap)
    }

    /// Whether an engine reads a prompt, as far as is known.
    #[must_use]
    pub fn is_reading(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let mut runs = self.runs.values();
        let own = runs.any(|run| run.endpoint == key && run.events == 0);
        own || self
            .sums
            .others(&self.peer_loads, endpoint.digest)
            .prefill_tokens
            > 0
    }
}
