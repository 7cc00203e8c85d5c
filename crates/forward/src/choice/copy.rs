//! Engines for copies of the KV cache of runs.

use {
    super::{FULL_MEMORY_COST_MS, pace::Knowledge},
    crate::{endpoint::Load, prelude::*, rollout::access::Access, state::State},
    slotmap::SecondaryMap,
};

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

/// Cost of a copy in the failure domain of its run, since all engines of a domain may be lost
/// together.
const SAME_DOMAIN_COPY_COST_MS: f64 = 100.0;

impl State {
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
        let loads = self.loads();
        let known = self.run_knowledge(now, service, run, &loads);
        self.pick_copy(now, service, run.need(), remaining, endpoint, &known)
    }

    pub(super) fn pick_copy(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        output: u32,
        source: EndpointKey,
        known: &Knowledge<'_>,
    ) -> Option<EndpointKey> {
        if output < MIN_COPY_OUTPUT_TOKENS {
            return None;
        }
        let engine = service.engine.filter(|engine| engine.backups)?;
        if self.run_fill(now, service, engine, known.loads) > MAX_RUN_KV_FILL {
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
                && !self.is_disabled(&endpoint.listing.domain)
                && !self.cuts.is_cut(now, &endpoint.listing.domain);
            let load = self.load(key, endpoint, known.loads);
            let tokens = f64::from(load.tokens.saturating_add(need));
            let same_domain = source_domain == Some(endpoint.listing.domain.as_str());
            let cost = tokens / max_tokens * FULL_MEMORY_COST_MS
                + if same_domain {
                    SAME_DOMAIN_COPY_COST_MS
                } else {
                    0.0
                };
            let pacing = known.pacing.as_ref();
            let pace = pacing.map_or(0.0, |pacing| {
                pacing.copy_cost(endpoint, tokens / max_tokens)
            });
            (usable && tokens <= max_tokens).then_some(cost + pace)
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
}
