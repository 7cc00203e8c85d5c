//! Room that new work leaves free for runs that have to move.
//!
//! An engine that leaves gives a notice that is often shorter than its runs, and each of them needs
//! room at another engine within it. What leaves next is learnt from the notices in the endpoint
//! list, which all instances read, and what has to move from the sums of the load, so that all keep
//! the same room without messages of their own.

use crate::{choice::Need, prelude::*};

/// Notices of a service within this time of the first belong to one departure. Instances read the
/// list about once a second.
const DEPARTURE_SPAN: Duration = Duration::from_secs(1);

/// Weight of the latest departure in the averages.
const DEPARTURE_WEIGHT: f64 = 0.5;

/// How long the sums of a service are used before they are taken anew.
const OCCUPANCY_LIFETIME: Duration = Duration::from_millis(20);

/// Minimum time in which runs of a leaving engine are copied to others.
const MIN_NOTICE: Duration = Duration::from_millis(1500);

/// Share of the room for runs that is to be free in addition before new work may go anywhere: instances
/// that choose at the same moment take the same room.
const SPARE_SHARE: f64 = 0.25;

/// Share of an engine's memory that new work uses at any rate.
const MIN_NEW_SHARE: f64 = 0.5;

/// What the engines of a service hold, over all instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Occupancy {
    /// Copies of runs, in tokens, including those of runs that are being moved.
    pub copies: u64,
    /// Engines that take new work.
    pub engines: u32,
    /// Room at engines that take new work, in tokens, counted in whole runs.
    pub free: u64,
    /// KV-cache demand of runs at engines that are leaving, in tokens.
    pub leaving: u64,
    /// Number of runs.
    pub runs: u32,
    /// KV-cache demand of runs at engines that take new work, in tokens.
    pub staying: u64,
}

impl Occupancy {
    /// Share of the runs, by demand, that have no copy and are not being moved.
    fn uncopied_share(self) -> f64 {
        let runs = self.staying.saturating_add(self.leaving);
        if runs == 0 {
            return 0.0;
        }
        (1.0 - as_f64(self.copies) / as_f64(runs)).max(0.0)
    }

    /// Mean demand of a run, in tokens.
    #[must_use]
    pub fn tokens_per_run(self) -> f64 {
        as_f64(self.staying.saturating_add(self.leaving)) / f64::from(self.runs.max(1))
    }
}

/// Departures of a service's engines, and the room that its runs need.
#[derive(Clone, Debug)]
struct Departures {
    /// Notices of the latest departure.
    engines: u32,
    /// Average time between two departures; `None` before the second one.
    interval: Option<Duration>,
    /// First notice of the latest departure.
    latest: Time,
    occupancy: Occupancy,
    /// When the sums were taken.
    occupied_at: Option<Time>,
    service: String,
    /// Average number of engines in an earlier departure.
    size: f64,
}

impl Departures {
    fn record(&mut self, now: Time) {
        let since = now.since(self.latest);
        if self.engines > 0 && since <= DEPARTURE_SPAN {
            self.engines = self.engines.saturating_add(1);
            return;
        }
        if self.engines > 0 {
            self.size = average(self.size, f64::from(self.engines));
            let interval = self.interval.map_or(since, |known| {
                Duration::from_secs_f64(average(known.as_secs_f64(), since.as_secs_f64()))
            });
            self.interval = Some(interval);
        }
        self.engines = 1;
        self.latest = now;
    }

    /// Engines that are expected to leave while a request takes `busy`.
    fn expected(&self, now: Time, busy: Duration) -> f64 {
        let Some(interval) = self.interval else {
            return 0.0;
        };
        let interval = interval.as_secs_f64();
        let overdue = now.since(self.latest).as_secs_f64() / interval - 1.0;
        let fading = 0.5_f64.powf(overdue.max(0.0));
        let engines = self.size.max(f64::from(self.engines)) * fading;
        if engines < 1.0 {
            return 0.0;
        }
        engines * (busy.as_secs_f64() / interval).min(1.0)
    }

    /// Room to leave free for runs without a copy, in tokens over all engines.
    fn room(&self, now: Time, busy: Duration) -> f64 {
        let held = self.occupancy;
        let soon = self.expected(now, busy).min(f64::from(held.engines));
        let next = as_f64(held.staying) / f64::from(held.engines.max(1)) * soon;
        let share = (busy.as_secs_f64() / MIN_NOTICE.as_secs_f64()).min(1.0);
        (next + as_f64(held.leaving) * share) * held.uncopied_share()
    }
}

/// Room for runs that have to move, by service.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    /// Sorted by service.
    services: Vec<Departures>,
}

impl Reserve {
    /// Records the notice of an engine that it is leaving.
    pub fn record_notice(&mut self, now: Time, service: &str) {
        self.departures(service).record(now);
    }

    /// Whether the sums of a service are too old to be used.
    #[must_use]
    pub fn is_outdated(&self, now: Time, service: &str) -> bool {
        let taken_at = self.find(service).and_then(|known| known.occupied_at);
        taken_at.is_none_or(|taken_at| now.since(taken_at) >= OCCUPANCY_LIFETIME)
    }

    /// Records what the engines of a service hold.
    pub fn update(&mut self, now: Time, service: &str, occupancy: Occupancy) {
        let departures = self.departures(service);
        departures.occupancy = occupancy;
        departures.occupied_at = Some(now);
    }

    /// Room of a service that a new request which takes `busy` leaves free.
    #[must_use]
    pub fn kept(&self, now: Time, service: &str, busy: Duration) -> Kept {
        let Some(departures) = self.find(service) else {
            return Kept::default();
        };
        let occupancy = departures.occupancy;
        let room = departures.room(now, busy);
        if as_f64(occupancy.free) >= room * (1.0 + SPARE_SHARE) {
            return Kept::default();
        }
        Kept {
            tokens: room / f64::from(occupancy.engines.max(1)),
            unit: occupancy.tokens_per_run(),
        }
    }

    fn find(&self, service: &str) -> Option<&Departures> {
        let index = self
            .services
            .binary_search_by(|known| known.service.as_str().cmp(service));
        index.ok().map(|index| &self.services[index])
    }

    fn departures(&mut self, service: &str) -> &mut Departures {
        let found = self
            .services
            .binary_search_by(|known| known.service.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let departures = Departures {
                engines: 0,
                interval: None,
                latest: Time::default(),
                occupancy: Occupancy::default(),
                occupied_at: None,
                service: service.to_string(),
                size: 0.0,
            };
            self.services.insert(index, departures);
            index
        });
        &mut self.services[index]
    }
}

/// Room that new work leaves free at each engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kept {
    /// Mean over all engines, in tokens.
    tokens: f64,
    /// Demand of a run that moves, in tokens.
    unit: f64,
}

impl Kept {
    /// Room that new work may use at the engine with this digest, of a capacity in tokens.
    ///
    /// The room is kept in parts that a run fits into, at engines that are the same for all
    /// instances.
    #[must_use]
    pub fn capacity(self, capacity: f64, digest: u32) -> f64 {
        if self.tokens <= 0.0 {
            return capacity;
        }
        let units = self.tokens / self.unit.max(1.0);
        let point = f64::from(digest) / f64::from(u32::MAX);
        let rounded = units.floor() + if point < units.fract() { 1.0 } else { 0.0 };
        (capacity - rounded * self.unit).max(capacity * MIN_NEW_SHARE)
    }
}

/// Room that a request or a run needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Room that it leaves free.
    pub kept: Kept,
    /// KV-cache demand, in tokens.
    pub tokens: u32,
}

impl From<u32> for Demand {
    fn from(tokens: u32) -> Self {
        Self {
            kept: Kept::default(),
            tokens,
        }
    }
}

/// How long a request is expected to hold its room.
#[must_use]
pub fn busy_time(need: Need, tokens_per_ms: f64, token_time: Duration) -> Duration {
    let prefill = Duration::from_secs_f64(f64::from(need.prompt) / tokens_per_ms / 1000.0);
    prefill + token_time.saturating_mul(need.output)
}

fn average(known: f64, latest: f64) -> f64 {
    if known <= 0.0 {
        return latest;
    }
    known + DEPARTURE_WEIGHT * (latest - known)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sums of tokens are far below 2^52"
)]
const fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}
