//! Continuous batching with a bounded KV memory, as a pure model.
//!
//! Each step gives one token to every generation in the batch and takes one
//! token of memory for it. When memory runs out, the generation of the lowest
//! priority that came last is preempted and computed anew later.

use crate::prelude::*;

/// Sizes and times of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Most generations in the batch.
    pub batch: usize,
    /// KV memory in tokens.
    pub capacity: u64,
    /// Time of a step with an empty batch, in microseconds.
    pub step_base: u64,
    /// Time added by each generation in the batch, in microseconds.
    pub step_each: u64,
    /// Time added by each prompt token computed, in microseconds.
    pub prefill_each: u64,
    /// How long it is cold after its start.
    pub cold_for: Duration,
    /// Generations borne at once while cold; one more makes it fall over.
    pub cold_limit: usize,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            batch: 64,
            capacity: 32_768,
            cold_for: Duration::ZERO,
            cold_limit: 8,
            prefill_each: 10,
            step_base: 8_000,
            step_each: 150,
        }
    }
}

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Whether it was cancelled or lost.
    pub broken: bool,
    /// Tokens produced.
    pub produced: u32,
}

/// One generation.
#[derive(Debug)]
pub struct Generation {
    /// Identifier given by the caller.
    pub id: String,
    /// Model.
    pub model: String,
    /// Tells readers how far it has come.
    pub progress: watch::Sender<Progress>,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Higher is preempted later.
    pub priority: i64,
    /// Connections that read it.
    pub readers: usize,
    /// Length of the whole output.
    pub target: u32,
    /// When it ended.
    pub ended: Option<Instant>,
    arrived: u64,
    known: bool,
    produced: u32,
    running: bool,
}

impl Generation {
    fn memory(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.produced)
    }

    fn live(&self) -> bool {
        self.ended.is_none()
    }
}

/// The batch, the queue behind it, and what has ended of late.
#[derive(Debug)]
pub struct Batch {
    /// Every generation known.
    pub generations: Vec<Generation>,
    /// Generations thrown out of the batch for want of memory.
    pub preemptions: u64,
    /// Times it was overrun while cold.
    pub fell_over: u64,
    /// Tokens produced.
    pub tokens: u64,
    arrivals: u64,
    profile: EngineProfile,
}

/// How long an ended generation can still be read.
const KEPT: Duration = Duration::from_secs(30);

impl Batch {
    /// An empty batch.
    #[must_use]
    pub const fn new(profile: EngineProfile) -> Self {
        Self {
            arrivals: 0,
            fell_over: 0,
            generations: Vec::new(),
            preemptions: 0,
            profile,
            tokens: 0,
        }
    }

    /// Takes a new generation in.
    pub fn add(
        &mut self,
        id: &str,
        model: &str,
        prompt: u32,
        target: u32,
        priority: i64,
        known: bool,
    ) {
        self.arrivals += 1;
        let (progress, _) = watch::channel(Progress::default());
        self.generations.push(Generation {
            arrived: self.arrivals,
            ended: None,
            id: id.to_string(),
            known,
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

    /// The generation of this id.
    pub fn get(&mut self, id: &str) -> Option<&mut Generation> {
        self.generations
            .iter_mut()
            .find(|generation| generation.id == id)
    }

    /// Ends a generation before its time.
    pub fn cancel(&mut self, id: &str, now: Instant) {
        if let Some(generation) = self.get(id) {
            end(generation, now, true);
        }
    }

    /// Ends every generation, as when the engine falls over.
    pub fn fall_over(&mut self, now: Instant) {
        self.fell_over += 1;
        for generation in &mut self.generations {
            end(generation, now, true);
        }
    }

    /// Generations in the batch and waiting.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let live = self
            .generations
            .iter()
            .filter(|generation| generation.live());
        let running = live.clone().filter(|generation| generation.running).count();
        (running, live.count() - running)
    }

    /// KV memory in use, in tokens.
    #[must_use]
    pub fn used(&self) -> u64 {
        let running = self
            .generations
            .iter()
            .filter(|generation| generation.running);
        running.map(Generation::memory).sum()
    }

    /// One step: admits, produces, preempts. Returns how long it takes.
    pub fn step(&mut self, now: Instant, cold: bool) -> Duration {
        let computed = self.admit();
        self.make_room();
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
                .ended
                .is_none_or(|ended| now.duration_since(ended) < KEPT)
        });
        let profile = &self.profile;
        let micros =
            profile.step_base + profile.step_each * batch + profile.prefill_each * computed;
        Duration::from_micros(if cold { micros * 4 } else { micros })
    }

    /// Moves waiting generations into the batch and returns the tokens to compute.
    fn admit(&mut self) -> u64 {
        let mut used = self.used();
        let (mut running, _) = self.counts();
        let mut waiting = (0..self.generations.len())
            .filter(|place| self.generations[*place].live() && !self.generations[*place].running)
            .collect::<Vec<_>>();
        waiting.sort_by_key(|place| {
            let generation = &self.generations[*place];
            (-generation.priority, generation.arrived)
        });
        let mut computed = 0;
        for place in waiting {
            let generation = &mut self.generations[place];
            let need = generation.memory() + 1;
            if running >= self.profile.batch || used + need > self.profile.capacity {
                break;
            }
            generation.running = true;
            used += need;
            running += 1;
            // Once it was preempted its memory is gone, and the prefix with it.
            computed += if std::mem::take(&mut generation.known) {
                0
            } else {
                generation.memory()
            };
        }
        computed
    }

    fn make_room(&mut self) {
        loop {
            let running = self
                .generations
                .iter()
                .filter(|generation| generation.running)
                .count() as u64;
            if running < 2 || self.used() + running <= self.profile.capacity {
                return;
            }
            let victim = self
                .generations
                .iter_mut()
                .filter(|generation| generation.running)
                .min_by_key(|generation| {
                    (generation.priority, std::cmp::Reverse(generation.arrived))
                });
            if let Some(victim) = victim {
                victim.running = false;
                self.preemptions += 1;
            }
        }
    }
}

fn end(generation: &mut Generation, now: Instant, broken: bool) {
    if !generation.live() {
        return;
    }
    generation.ended = Some(now);
    generation.running = false;
    generation
        .progress
        .send_modify(|progress| progress.broken = broken);
}
