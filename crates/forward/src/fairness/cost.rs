//! How much room a request takes, and for how long.
//!
//! Room is counted in engines at a model service, in slots at a plain one.

use crate::{prelude::*, run::kv_demand};

/// Prefill rate of an engine in tokens per second beside its other runs.
const PREFILL_TOKENS_PER_SECOND: f64 = 7000.0;

/// Expected seconds per output token.
const SECONDS_PER_TOKEN: f64 = 0.011;

/// Weight of the latest request in the moving average of durations.
const LATEST_WEIGHT: f64 = 0.03;

/// Duration that counts at most, relative to the average.
const MAX_RATIO: f64 = 4.0;

/// Expected seconds of a run with usual engines.
#[must_use]
pub fn expected_seconds(prompt: u32, output: u32) -> f64 {
    f64::from(prompt) / PREFILL_TOKENS_PER_SECOND + f64::from(output) * SECONDS_PER_TOKEN
}

/// Share of an engine that a run takes: of its KV cache or of its slots, whichever is larger.
#[must_use]
pub fn engine_share(engine: Engine, prompt: u32, output: u32) -> f64 {
    let memory = f64::from(kv_demand(prompt, output)) / f64::from(engine.kv_tokens.max(1));
    memory.max(1.0 / f64::from(engine.slots.max(1)))
}

/// How long requests hold their room, relative to what is expected.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    /// By digest of the service, sorted.
    factors: Vec<(u32, f64)>,
}

impl Durations {
    /// Duration of a request that is expected to take this time; at a plain service, any request takes
    /// the average time, and `expected` is 1.
    #[must_use]
    pub fn seconds(&self, service: u32, expected: f64, is_engine: bool) -> f64 {
        let found = self.factors.binary_search_by_key(&service, |(key, _)| *key);
        let unknown = if is_engine { 1.0 } else { 0.0 };
        expected * found.map_or(unknown, |index| self.factors[index].1)
    }

    /// Records how long a request took.
    pub fn record(&mut self, service: u32, expected: f64, took: Duration) {
        if expected <= 0.0 {
            return;
        }
        let ratio = took.as_secs_f64() / expected;
        match self.factors.binary_search_by_key(&service, |(key, _)| *key) {
            Ok(index) => {
                let factor = &mut self.factors[index].1;
                *factor += LATEST_WEIGHT * (ratio.min(*factor * MAX_RATIO) - *factor);
            }
            Err(index) => self.factors.insert(index, (service, ratio)),
        }
    }
}
