//! When a request leaves its failure domain.
//!
//! Each request decides for itself, by the strain at home and elsewhere and by thresholds of its own
//! that are drawn at random. So the share that leaves grows steadily with the strain at home, and is
//! the same over any number of instances that know the same load. Nobody decides for others.

use {
    crate::prelude::*,
    rand::{RngExt as _, rngs::SmallRng},
    std::ops::RangeInclusive,
};

/// Strain at home from which the first requests leave, up to that from which all do.
///
/// Below it a caller is answered well within its target at home and gains nothing by leaving. The end
/// of the range keeps a part of the target for what is not known when the choice is made.
const LEAVING_STRAIN: RangeInclusive<f64> = 0.4..=0.6;

/// Advantage of the other side with which the first requests leave, up to that with which all do.
///
/// Domains in equal need would otherwise exchange their requests.
const LEAVING_ADVANTAGE: RangeInclusive<f64> = 0.05..=0.2;

/// Time over which strain is averaged.
///
/// Short requests end sooner than other instances learn of them. Without it all instances would leave
/// for as long as it takes to learn that they have left.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Age at which an average no longer says anything.
const MAX_AVERAGE_AGE: Duration = Duration::from_secs(5);

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

/// How close endpoints are to answering late: 0 if they are idle, 1 if an answer would just be in
/// time or they are full.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Strain(f64);

impl Strain {
    /// No strain.
    const NONE: Self = Self(0.0);

    /// Strain on endpoints that have no room.
    pub const FULL: Self = Self(1.0);

    /// Strain where a request would wait for `wait`, with `left` until its target.
    #[must_use]
    pub fn of_wait(wait: Duration, left: Duration) -> Self {
        if wait.is_zero() {
            return Self::NONE;
        }
        if wait >= left {
            return Self::FULL;
        }
        Self(wait.as_secs_f64() / left.as_secs_f64())
    }

    /// Strain on endpoints of which this many slots are taken. Requests that wait take none: they
    /// gather at single endpoints when many instances choose alike.
    #[must_use]
    pub fn of_slots(taken: u32, slots: u32) -> Self {
        Self((f64::from(taken) / f64::from(slots.max(1))).min(1.0))
    }

    /// This strain and that of a transfer of `bytes`, where a megabyte is worth `wait_per_megabyte` of a
    /// caller's waiting.
    #[must_use]
    pub fn with_transfer(self, bytes: f64, wait_per_megabyte: Duration, left: Duration) -> Self {
        let wait = wait_per_megabyte.mul_f64(bytes / MEGABYTE);
        Self(self.0 + Self::of_wait(wait, left).0)
    }
}

/// Strain on each side; `None` where there is no endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sides {
    /// In other failure domains.
    pub away: Option<Strain>,
    /// In the own failure domain.
    pub home: Option<Strain>,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// To another failure domain.
    Away,
    /// To the own failure domain.
    Home,
}

impl Sides {
    /// The side to send a request to; `None` if there is no endpoint.
    ///
    /// A request leaves if the strain at home, and what it is lower elsewhere, both exceed its
    /// thresholds.
    #[must_use]
    pub fn choose(self, random: &mut SmallRng) -> Option<Side> {
        let (home, away) = match (self.home, self.away) {
            (None, None) => return None,
            (Some(_), None) => return Some(Side::Home),
            (None, Some(_)) => return Some(Side::Away),
            (Some(home), Some(away)) => (home.0, away.0),
        };
        let strain = random.random_range(LEAVING_STRAIN);
        let advantage = random.random_range(LEAVING_ADVANTAGE);
        if home > strain && home - away > advantage {
            return Some(Side::Away);
        }
        Some(Side::Home)
    }
}

/// Average strain for the requests of one route to one service.
#[derive(Debug)]
struct Average {
    at: Time,
    route: String,
    service: String,
    sides: Sides,
}

/// Average strain, by service and route.
#[derive(Debug, Default)]
pub struct Overflow {
    /// Sorted by service, then by route.
    averages: Vec<Average>,
}

impl Overflow {
    /// Takes the strain as it is now; returns the average. A side that gains or loses its last
    /// endpoint counts at once.
    pub fn average(&mut self, now: Time, service: &str, route: &str, sides: Sides) -> Sides {
        self.averages
            .retain(|average| now.since(average.at) <= MAX_AVERAGE_AGE);
        let key = (service, route);
        let found = self.averages.binary_search_by(|average| {
            (average.service.as_str(), average.route.as_str()).cmp(&key)
        });
        let index = found.unwrap_or_else(|index| {
            let average = Average {
                at: now,
                route: route.to_string(),
                service: service.to_string(),
                sides,
            };
            self.averages.insert(index, average);
            index
        });
        let average = &mut self.averages[index];
        let passed = now.since(average.at).as_secs_f64();
        let weight = 1.0 - (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        average.at = now;
        average.sides = Sides {
            away: blend(average.sides.away, sides.away, weight),
            home: blend(average.sides.home, sides.home, weight),
        };
        average.sides
    }
}

fn blend(before: Option<Strain>, now: Option<Strain>, weight: f64) -> Option<Strain> {
    match (before, now) {
        (Some(before), Some(now)) => Some(Strain(before.0 + weight * (now.0 - before.0))),
        (_, now) => now,
    }
}
