//! Simulation of continuous batching with a bounded KV cache, without I/O.
//!
//! Each step produces one token for every generation in the batch, which takes one token of
//! KV cache. When the cache is full, the most recent generation of the lowest priority is
//! preempted and recomputed later.

use crate::prelude::*;

/// Capacity and timing of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Maximum number of generations in the batch.
    pub batch: usize,
    /// KV cache capacity, in tokens.
    pub capacity: u64,
    /// Base duration of a step, in microseconds.
    pub step_base: u64,
    /// Time that each generation in the batch adds to a step, in microseconds.
    pub step_each: u64,
    /// Time that each prefilled token adds to a step, in microseconds.
    pub prefill_each: u64,
    /// Duration of the cold phase after a start.
    pub cold_duration: Duration,
    /// Maximum number of concurrent generations while cold; one more crashes the engine.
    pub cold_limit: usize,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            batch: 64,
            capacity: 32_768,
            cold_duration: Duration::ZERO,
            cold_limit: 8,
            prefill_each: 10,
            step_base: 8_000,
            step_each: 150,
        }
    }
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Whether it was cancelled or lost in a crash.
    pub aborted: bool,
    /// Number of tokens produced.
    pub produced: u32,
}

/// One generation.
#[derive(Debug)]
pub struct Generation {
    /// Id that the client gave it.
    pub id: String,
    /// Model name.
    pub model: String,
    /// Publishes its progress to readers.
    pub progress: watch::Sender<Progress>,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Priority; a higher one is admitted earlier and preempted later.
    pub priority: i64,
    /// Number of connections that read it.
    pub readers: usize,
    /// Length of the complete output, in tokens.
    pub target: u32,
    /// When it ended, if it has.
    pub ended_at: Option<Instant>,
    sequence: u64,
    prefix_cached: bool,
    produced: u32,
    running: bool,
}

impl Generation {
    fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.produced)
    }

    fn is_live(&self) -> bool {
        self.ended_at.is_none()
    }
}

/// Generations in the batch, in the queue, and recently ended.
#[derive(Debug)]
pub struct Batch {
    /// All generations, ended ones included for `ENDED_RETENTION`.
    pub generations: Vec<Generation>,
    /// Number of preemptions because the KV cache was full.
    pub preemptions: u64,
    /// Number of crashes caused by overload while cold.
    pub crashes: u64,
    /// Number of tokens produced by all generations.
    pub tokens: u64,
    arrivals: u64,
    profile: EngineProfile,
}

/// How long an ended generation can still be read.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub const fn new(profile: EngineProfile) -> Self {
        Self {
            arrivals: 0,
            crashes: 0,
            generations: Vec::new(),
            preemptions: 0,
            profile,
            tokens: 0,
        }
    }

    /// Queues a new generation; `prefix_cached` spares it the first prefill.
    pub fn enqueue(
        &mut self,
        id: &str,
        model: &str,
        prompt: u32,
        target: u32,
        priority: i64,
        prefix_cached: bool,
    ) {
        self.arrivals += 1;
        let (progress, _) = watch::channel(Progress::default());
        self.generations.push(Generation {
            sequence: self.arrivals,
            ended_at: None,
            id: id.to_string(),
            prefix_cached,
            model: model.to_string(),
            priority,
            produced: 0,
            progress,
            prompt,
            readers: 0,
            running: false,
            target,
        });
    }

    /// Returns the generation with this id.
    pub fn get(&mut self, id: &str) -> Option<&mut Generation> {
        self.generations
            .iter_mut()
            .find(|generation| generation.id == id)
    }

    /// Aborts a generation.
    pub fn cancel(&mut self, id: &str, now: Instant) {
        if let Some(generation) = self.get(id) {
            end(generation, now, true);
        }
    }

    /// Aborts all generations, as a crash of the engine does.
    pub fn crash(&mut self, now: Instant) {
        self.crashes += 1;
        for generation in &mut self.generations {
            end(generation, now, true);
        }
    }

    /// Returns the numbers of running and of waiting generations.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let live = self
            .generations
            .iter()
            .filter(|generation| generation.is_live());
        let running = live.clone().filter(|generation| generation.running).count();
        (running, live.count() - running)
    }

    /// Returns the KV cache in use, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        let running = self
            .generations
            .iter()
            .filter(|generation| generation.running);
        running.map(Generation::kv_tokens).sum()
    }

    /// Runs one step (admission, preemption, decoding) and returns its duration.
    pub fn step(&mut self, now: Instant, cold: bool) -> Duration {
        let prefill_tokens = self.admit();
        self.preempt_until_fit();
        let mut batch = 0;
        for generation in self
            .generations
            .iter_mut()
            .filter(|generation| generation.running)
        {
            batch += 1;
            generation.produced += 1;
            let produced = generation.produced;
            generation
                .progress
                .send_modify(|progress| progress.produced = produced);
            if produced >= generation.target {
                end(generation, now, false);
            }
        }
        self.tokens += batch;
        self.generations.retain(|generation| {
            generation
                .ended_at
                .is_none_or(|ended| now.duration_since(ended) < ENDED_RETENTION)
        });
        let profile = &self.profile;
        let micros =
            profile.step_base + profile.step_each * batch + profile.prefill_each * prefill_tokens;
        Duration::from_micros(if cold { micros * 4 } else { micros })
    }

    /// Moves waiting generations into the batch and returns the number of tokens to prefill.
    fn admit(&mut self) -> u64 {
        let mut used = self.used_tokens();
        let (mut running, _) = self.counts();
        let mut waiting = (0..self.generations.len())
            .filter(|index| self.generations[*index].is_live() && !self.generations[*index].running)
            .collect::<Vec<_>>();
        waiting.sort_by_key(|index| {
            let generation = &self.generations[*index];
            (-generation.priority, generation.sequence)
        });
        let mut prefill_tokens = 0;
        for index in waiting {
            let generation = &mut self.generations[index];
            let need = generation.kv_tokens() + 1;
            if running >= self.profile.batch || used + need > self.profile.capacity {
                break;
            }
            generation.running = true;
            used += need;
            running += 1;
            // Preemption frees the whole KV cache of a generation, its cached prefix included.
            prefill_tokens += if std::mem::take(&mut generation.prefix_cached) {
                0
            } else {
                generation.kv_tokens()
            };
        }
        prefill_tokens
    }

    fn preempt_until_fit(&mut self) {
        loop {
            let running = self
                .generations
                .iter()
                .filter(|generation| generation.running)
                .count() as u64;
            if running < 2 || self.used_tokens() + running <= self.profile.capacity {
                return;
            }
            let preempted = self
                .generations
                .iter_mut()
                .filter(|generation| generation.running)
                .min_by_key(|generation| {
                    (generation.priority, std::cmp::Reverse(generation.sequence))
                });
            if let Some(preempted) = preempted {
                preempted.running = false;
                self.preemptions += 1;
            }
        }
    }
}

fn end(generation: &mut Generation, now: Instant, aborted: bool) {
    if !generation.is_live() {
        return;
    }
    generation.ended_at = Some(now);
    generation.running = false;
    generation
        .progress
        .send_modify(|progress| progress.aborted = aborted);
}
