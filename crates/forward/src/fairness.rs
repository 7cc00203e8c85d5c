//! Shares of customers in a service that is short of room.
//!
//! * [`rates`]: what customers ask this instance for;
//! * [`sums`]: what they ask the other instances for, from their reports;
//! * [`usual`]: what they usually ask for, by which shares are weighted;
//! * [`level`]: how much of it fits into a service;
//! * [`cost`]: how much room a request takes, and for how long.
//!
//! Every instance computes the same shares from the same sums, and admits each request of a
//! customer that is held back with the same probability. So the shares hold over all instances
//! without a coordinator.

pub mod cost;
pub mod level;
pub mod rates;
pub mod sums;
pub mod usual;

use {
    self::{
        cost::Durations,
        level::{Demand, Hold},
        rates::{Rates, Row},
        sums::Sums,
        usual::Usual,
    },
    crate::{load::digest, prelude::*},
};

/// Shortest time after which a request that was held back may return.
const MIN_RETRY: Duration = Duration::from_millis(400);

/// Longest time after which a request that was held back may return.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Share of the room of a service above which it counts as busy.
const BUSY_SHARE: f64 = 0.4;

/// Time for which the requests of other customers must have been observed before any is held back.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// Identifies a customer at a service, by the digests of their names.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Digest of the service's name.
    pub service: u32,
    /// Digest of the customer's name; [`Key::OTHERS`] for all customers without a row of their own.
    pub customer: u32,
}

impl Key {
    /// Stands for all customers without a row of their own.
    pub const OTHERS: u32 = 0;

    /// The key of a customer; requests without one count as those of a single customer.
    #[must_use]
    pub fn new(service: &str, customer: Option<&str>) -> Self {
        Self {
            customer: digest(customer.unwrap_or_default()).max(1),
            service: digest(service),
        }
    }

    /// Whether it stands for a single customer.
    #[must_use]
    pub const fn is_customer(self) -> bool {
        self.customer != Self::OTHERS
    }
}

/// Room of a service, in the unit of [`cost`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Share of the service's room that is in use, from 0 to 1.
    pub fill: f64,
    /// Room that requests may take at the same time without others having to wait.
    pub room: f64,
    /// Digest of the service's name.
    pub service: u32,
}

/// A customer that is held back from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The customer.
    pub key: Key,
    /// Share of its requests that is admitted; 1 if it is no longer held back.
    pub admitted: f64,
}

/// What customers ask for, and which of them are held back.
#[derive(Debug, Default)]
pub struct Shares {
    /// How long requests hold their room.
    pub durations: Durations,
    /// Sorted by key.
    holds: Vec<Hold>,
    is_busy: bool,
    rates: Rates,
    /// Reports of other instances.
    pub sums: Sums,
    usual: Usual,
}

impl Shares {
    /// Records a request; `cost` is the room that it takes, times how long.
    pub fn offer(&mut self, now: Time, key: Key, cost: f64) {
        self.rates.add(now, key, cost);
    }

    /// Whether to admit a request; `random` is uniform from 0 to 1.
    ///
    /// # Errors
    ///
    /// The customer is over its share; it may return after this time, which grows with its excess.
    pub fn admit(&self, key: Key, random: f64, spread: f64) -> Result<(), Duration> {
        let Ok(index) = self.holds.binary_search_by_key(&key, |hold| hold.key) else {
            return Ok(());
        };
        let admitted = self.holds[index].admitted;
        if random < admitted {
            return Ok(());
        }
        let excess = (1.0 / admitted.max(f64::MIN_POSITIVE)).min(100.0);
        let longest = MIN_RETRY.mul_f64(excess).min(MAX_RETRY);
        Err(MIN_RETRY + longest.saturating_sub(MIN_RETRY).mul_f64(spread))
    }

    /// What customers ask this instance for.
    pub fn own(&mut self, now: Time) -> Vec<Row> {
        self.rates.rows(now)
    }

    /// What customers usually ask all instances for.
    #[must_use]
    pub const fn usual(&self) -> &Usual {
        &self.usual
    }

    /// Takes what customers usually ask for from an instance that has observed them for longer.
    pub fn adopt_usual(&mut self, usual: &Usual) {
        self.usual.adopt(usual);
    }

    /// Computes anew which customers are held back; `instances` is the number of all instances.
    /// Returns what has changed.
    pub fn update(&mut self, now: Time, capacities: &[Capacity], instances: u32) -> Vec<Change> {
        let own = self.rates.rows(now);
        self.sums.expire(now);
        let (mut whole, covered) = self.sums.whole(now, &own);
        if covered.saturating_mul(2) >= instances {
            self.usual.observe(now, &whole);
        }
        if covered < instances {
            scale(&mut whole, instances, covered);
        }
        self.is_busy = capacities.iter().any(|capacity| {
            let rows = whole.iter();
            let rows = rows.filter(|row| row.key.service == capacity.service);
            rows.map(|row| row.offered).sum::<f64>() > capacity.room * BUSY_SHARE
        });
        let mut holds = Vec::new();
        for capacity in capacities {
            if self.usual.observed(capacity.service) >= MIN_OBSERVATION {
                let demands = self.demands(&whole, capacity.service);
                holds.extend(level::holds(&demands, capacity.room, capacity.fill));
            }
        }
        holds.sort_unstable_by_key(|hold| hold.key);
        let before = std::mem::replace(&mut self.holds, holds);
        changes(&before, &self.holds)
    }

    /// Customers that are held back, sorted by key.
    #[must_use]
    pub fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// Whether a service is so busy that it may soon be short of room.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// What the customers of a service ask for.
    fn demands(&self, whole: &[Row], service: u32) -> Vec<Demand> {
        let rows = whole.iter().filter(|row| row.key.service == service);
        let floor = self.usual.mean(service);
        let demands = rows.map(|row| Demand {
            key: row.key,
            offered: row.offered,
            requests: row.requests,
            usual: self.usual.of(row.key),
            weight: self.usual.of(row.key).max(floor),
        });
        demands.collect()
    }
}

/// Estimates what all instances are asked for from what `covered` of them are.
fn scale(rows: &mut [Row], instances: u32, covered: u32) {
    let factor = f64::from(instances) / f64::from(covered.max(1));
    for row in rows {
        row.offered *= factor;
    }
}

/// Customers that are held back now and were not before, or the reverse.
fn changes(before: &[Hold], after: &[Hold]) -> Vec<Change> {
    let lacks =
        |holds: &[Hold], key: Key| holds.binary_search_by_key(&key, |hold| hold.key).is_err();
    let held = after.iter().filter(|hold| lacks(before, hold.key));
    let held = held.map(|hold| Change {
        admitted: hold.admitted,
        key: hold.key,
    });
    let freed = before.iter().filter(|hold| lacks(after, hold.key));
    let freed = freed.map(|hold| Change {
        admitted: 1.0,
        key: hold.key,
    });
    held.chain(freed).collect()
}
