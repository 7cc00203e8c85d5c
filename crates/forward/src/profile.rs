//! What engines do, learnt from the streams that instances relay.
//!
//! An engine's pace is the time that it takes for an event when nothing disturbs it. Intervals in units
//! of that pace have much the same distribution at all engines of a service, since prefill and slow spells
//! multiply the time of a step; so pauses at an engine can be predicted from those at all others.

mod news;
mod shape;
mod window;

pub use self::{
    news::News,
    shape::{BUCKETS, Counts, Shape},
    window::{Interval, Window},
};

use crate::prelude::*;

/// Time after which evidence counts half: several slow spells pass in it, so that none of them decides.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of windows at which the evidence on an engine counts as much as what is usual.
const PRIOR_WINDOWS: f64 = 4.0;

/// Maximum evidence on an engine, in windows. What it did earlier is outweighed by twice as many new ones.
const MAX_WINDOWS: f64 = 24.0;

/// Maximum evidence on an engine from one [`SPELL`], in windows. However many streams an engine has, they all see the same
/// spell, which must not make it count as slow.
const MAX_SPELL_WINDOWS: f64 = 4.0;

/// Time in which a slow spell begins and ends.
const SPELL: Duration = Duration::from_secs(1);

/// Evidence below which an engine is forgotten, in windows.
const MIN_WINDOWS: f64 = 0.05;

/// Maximum number of engines that are kept; those with the least evidence are forgotten first.
pub const MAX_ENGINES: usize = 4096;

/// What was observed of one start of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Digest of the engine's incarnation.
    pub digest: u32,
    /// Digest of its service.
    pub service: u32,
    /// Windows that were observed.
    pub windows: f64,
    /// Mean undisturbed time of an event in them, in milliseconds.
    pub pace_ms: f64,
}

impl Pace {
    fn add(&mut self, other: Self) {
        let windows = self.windows + other.windows;
        if windows > 0.0 {
            let sum = self.windows * self.pace_ms + other.windows * other.pace_ms;
            self.pace_ms = sum / windows;
        }
        self.windows = windows;
    }

    /// Share of what is known of it that comes from evidence, from 0 to 1.
    fn certainty(&self) -> f64 {
        self.windows / (self.windows + PRIOR_WINDOWS)
    }
}

/// A row with the time up to which its evidence has aged.
#[derive(Clone, Copy, Debug)]
struct Entry {
    aged_at: Time,
    /// Whether it has changed since it was last sent to members.
    is_changed: bool,
    row: Pace,
    /// Since when [`Self::spell_windows`] are counted.
    spell_from: Time,
    spell_windows: f64,
}

impl Entry {
    const fn new(now: Time, row: Pace) -> Self {
        Self {
            aged_at: now,
            is_changed: true,
            row,
            spell_from: now,
            spell_windows: 0.0,
        }
    }

    fn at(&self, now: Time) -> Pace {
        let windows = self.row.windows * remaining_share(now.since(self.aged_at));
        Pace {
            windows,
            ..self.row
        }
    }

    /// Adds observations, as far as they are not of the same spell as others.
    fn add(&mut self, now: Time, mut row: Pace) {
        if now.since(self.spell_from) >= SPELL {
            self.spell_from = now;
            self.spell_windows = 0.0;
        }
        row.windows = row.windows.min(MAX_SPELL_WINDOWS - self.spell_windows);
        self.spell_windows += row.windows;
        self.age(now);
        self.row.add(row);
        self.row.windows = self.row.windows.min(MAX_WINDOWS);
        self.is_changed = true;
    }

    fn age(&mut self, now: Time) {
        self.row = self.at(now);
        self.aged_at = now;
    }
}

/// Share of evidence that still counts at an age.
fn remaining_share(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// What is known of the engines of all services.
#[derive(Debug, Default)]
pub struct Profiles {
    /// What instances of the own failure domain have observed, where this one adds that up.
    domain_news: News,
    /// Sorted by digest.
    entries: Vec<Entry>,
    /// Digest of the engine up to which members were told of all.
    told_to: u32,
    /// What this instance has observed.
    own_news: News,
    /// Sorted by service.
    shapes: Vec<(u32, Shape, Time)>,
}

/// What is usual in a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Pace of the mean engine, in milliseconds.
    pub pace_ms: f64,
    /// How intervals spread.
    pub shape: Shape,
}

impl Usual {
    /// Probability that a stream of this many events has a pause over `gap` at an engine of this pace.
    #[must_use]
    pub fn pause_risk(&self, pace_ms: f64, gap: Duration, events: f64) -> f64 {
        let ratio = gap.as_secs_f64() * 1000.0 / pace_ms;
        let reading = self.shape.reading_share();
        let each = self.shape.reading.share_over(ratio) * reading
            + self.shape.calm.share_over(ratio) * (1.0 - reading);
        1.0 - (1.0 - each).powf(events)
    }

    /// Probability that a prompt makes a pause over `gap` in a stream beside it, if the stream has this many events
    /// until it is read.
    #[must_use]
    pub fn reading_risk(&self, pace_ms: f64, gap: Duration, events: f64) -> f64 {
        let ratio = gap.as_secs_f64() * 1000.0 / pace_ms;
        let each = self.shape.reading.share_over(ratio) - self.shape.calm.share_over(ratio);
        1.0 - (1.0 - each.max(0.0)).powf(events)
    }
}

impl Profiles {
    /// Adds observations of an engine.
    pub fn add(&mut self, now: Time, row: Pace) {
        let index = self.find(row.digest).unwrap_or_else(|index| {
            let unknown = Pace {
                windows: 0.0,
                ..row
            };
            self.entries.insert(index, Entry::new(now, unknown));
            index
        });
        self.entries[index].add(now, row);
    }

    /// Replaces what is known of an engine by what an aggregator knows, if that is more.
    pub fn learn(&mut self, now: Time, mut row: Pace) {
        row.windows = row.windows.min(MAX_WINDOWS);
        match self.find(row.digest) {
            Err(index) => self.entries.insert(index, Entry::new(now, row)),
            Ok(index) if self.entries[index].at(now).windows <= row.windows => {
                self.entries[index] = Entry::new(now, row);
            }
            Ok(_) => {}
        }
    }

    /// Adds intervals of streams of a service.
    pub fn add_shape(&mut self, now: Time, service: u32, shape: &Shape) {
        let (known, aged_at) = self.shape_mut(now, service);
        known.scale(remaining_share(now.since(*aged_at)));
        *aged_at = now;
        known.add(shape);
    }

    /// Replaces the intervals of a service by those that an aggregator knows, if these are more.
    pub fn learn_shape(&mut self, now: Time, service: u32, shape: &Shape) {
        let (known, aged_at) = self.shape_mut(now, service);
        if shape.total() >= known.total() * remaining_share(now.since(*aged_at)) {
            *known = *shape;
            *aged_at = now;
        }
    }

    fn shape_mut(&mut self, now: Time, service: u32) -> (&mut Shape, &mut Time) {
        let found = self
            .shapes
            .binary_search_by_key(&service, |(other, _, _)| *other);
        let index = found.unwrap_or_else(|index| {
            self.shapes.insert(index, (service, Shape::default(), now));
            index
        });
        let (_, shape, aged_at) = &mut self.shapes[index];
        (shape, aged_at)
    }

    /// Records an interval of a stream at an engine.
    pub fn observe(&mut self, now: Time, seen: &Observation) {
        let known = self.find(seen.digest).ok();
        let known = known.map(|index| self.entries[index].at(now));
        if let Some(known) = known.filter(|known| known.windows >= PRIOR_WINDOWS) {
            let mut shape = Shape::default();
            let ratio = seen.interval.length.as_secs_f64() * 1000.0 / known.pace_ms;
            let Interval {
                events, is_reading, ..
            } = seen.interval;
            shape.record(ratio, is_reading, events, seen.expected_events);
            self.add_shape(now, seen.service, &shape);
            self.own_news.add_shape(seen.service, &shape);
        }
        if let Some(undisturbed) = seen.interval.undisturbed {
            let row = Pace {
                digest: seen.digest,
                service: seen.service,
                windows: seen.interval.certainty,
                pace_ms: undisturbed.as_secs_f64() * 1000.0,
            };
            self.add(now, row);
            self.own_news.add(row);
        }
    }

    /// Adds what another instance has observed.
    pub fn add_all(&mut self, now: Time, news: &News) {
        for row in news.rows() {
            self.add(now, *row);
        }
        for (service, shape) in news.shapes() {
            self.add_shape(now, *service, shape);
        }
    }

    /// Keeps what an instance of the own failure domain has observed for the other domains.
    pub fn note_domain(&mut self, news: &News) {
        self.domain_news.append(news);
    }

    /// Takes over what an aggregator knows.
    pub fn learn_all(&mut self, now: Time, news: &News) {
        for row in news.rows() {
            self.learn(now, *row);
        }
        for (service, shape) in news.shapes() {
            self.learn_shape(now, *service, shape);
        }
    }

    /// Takes what this instance has observed, and what its failure domain has, this instance included.
    pub fn take_news(&mut self, limit: usize) -> (News, News) {
        let own = self.own_news.take(limit);
        self.domain_news.append(&own);
        (own, self.domain_news.take(limit))
    }

    /// Takes what members are told: engines with new observations first, then the others in turn, for members that have
    /// just started.
    pub fn take_known(&mut self, now: Time, limit: usize) -> News {
        let mut known = News::default();
        for row in self.take_rows(now, limit) {
            known.add(row);
        }
        for (service, shape) in self.shapes(now) {
            known.add_shape(service, &shape);
        }
        known
    }

    /// What is usual in a service, if anything is known of its engines.
    ///
    /// Engines count alike however many streams they have, so that it does not change with the choice of engines.
    #[must_use]
    pub fn usual(&self, now: Time, service: u32) -> Option<Usual> {
        let (mut sum, mut weight) = (0.0, 0.0);
        for entry in &self.entries {
            if entry.row.service == service {
                let row = entry.at(now);
                sum += row.certainty() * row.pace_ms;
                weight += row.certainty();
            }
        }
        let shape = self
            .shapes
            .binary_search_by_key(&service, |(other, _, _)| *other);
        let shape = shape.map_or_else(|_| Shape::default(), |index| self.shapes[index].1);
        (weight > 0.0).then(|| Usual {
            pace_ms: sum / weight,
            shape,
        })
    }

    /// Pace of an engine in milliseconds for an event; the usual one as far as evidence is lacking.
    #[must_use]
    pub fn pace_ms(&self, now: Time, usual: &Usual, digest: u32) -> f64 {
        let Ok(index) = self.find(digest) else {
            return usual.pace_ms;
        };
        let row = self.entries[index].at(now);
        usual.pace_ms + row.certainty() * (row.pace_ms - usual.pace_ms)
    }

    fn take_rows(&mut self, now: Time, limit: usize) -> Vec<Pace> {
        let mut rows = Vec::new();
        let changed = self.entries.iter_mut().filter(|entry| entry.is_changed);
        for entry in changed.take(limit) {
            entry.is_changed = false;
            rows.push(entry.at(now));
        }
        let others = limit - rows.len();
        let start = self
            .entries
            .partition_point(|entry| entry.row.digest <= self.told_to);
        let others = self.entries[start..].iter().take(others);
        let before = rows.len();
        rows.extend(others.map(|entry| entry.at(now)));
        // Starts again after the last one.
        self.told_to = rows[before..].last().map_or(0, |row| row.digest);
        rows
    }

    fn shapes(&self, now: Time) -> Vec<(u32, Shape)> {
        let shapes = self.shapes.iter().map(|(service, shape, aged_at)| {
            let mut shape = *shape;
            shape.scale(remaining_share(now.since(*aged_at)));
            (*service, shape)
        });
        shapes.collect()
    }

    /// All engines of which something is known, sorted by digest.
    #[must_use]
    pub fn rows(&self, now: Time) -> Vec<Pace> {
        self.entries.iter().map(|entry| entry.at(now)).collect()
    }

    /// Forgets engines of which nothing is known any more, and those with the least evidence beyond
    /// [`MAX_ENGINES`].
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|entry| entry.at(now).windows >= MIN_WINDOWS);
        if self.entries.len() <= MAX_ENGINES {
            return;
        }
        let excess = self.entries.len() - MAX_ENGINES;
        let mut evidence = self
            .entries
            .iter()
            .map(|entry| entry.at(now).windows)
            .collect::<Vec<_>>();
        evidence.sort_unstable_by(f64::total_cmp);
        let least = evidence[excess];
        self.entries.retain(|entry| entry.at(now).windows >= least);
        self.entries.truncate(MAX_ENGINES);
    }

    fn find(&self, digest: u32) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&digest, |entry| entry.row.digest)
    }
}

/// An interval of a stream, with the engine that it was observed at.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Digest of the engine's incarnation.
    pub digest: u32,
    /// Expected number of events of the stream.
    pub expected_events: u32,
    /// The interval.
    pub interval: Interval,
    /// Digest of the service.
    pub service: u32,
}
