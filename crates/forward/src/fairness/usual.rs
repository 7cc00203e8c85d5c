//! What customers usually ask for.

use {
    super::{Key, rates::Row},
    crate::prelude::*,
};

/// Time over which the usual demand is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(30);

/// Time from which on a customer's demand counts up to [`MAX_GROWTH`] only.
const WARM_UP: Duration = Duration::from_secs(5);

/// Demand that counts at most, relative to the usual one. Otherwise, a customer that presses would soon
/// be entitled to it.
const MAX_GROWTH: f64 = 2.0;

/// Demand below which a customer is forgotten.
const MIN_DEMAND: f64 = 1e-6;

/// Maximum number of customers, over all services.
const MAX_ROWS: usize = 1024;

/// Additional time for which a peer must have observed customers for its figures to be adopted.
const ADOPTION_MARGIN: Duration = Duration::from_secs(3);

/// What customers usually ask all instances for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usual {
    at: Time,
    /// For how long requests to a service have been observed, at most [`AVERAGING_TIME`]; sorted by
    /// service.
    observed: Vec<(u32, Duration)>,
    /// Sorted by key.
    rows: Vec<(Key, f64)>,
}

impl Usual {
    /// What a peer reports.
    #[must_use]
    pub fn new(mut observed: Vec<(u32, Duration)>, mut rows: Vec<(Key, f64)>) -> Self {
        observed.sort_unstable();
        rows.sort_unstable_by_key(|(key, _)| *key);
        Self {
            at: Time::default(),
            observed,
            rows,
        }
    }

    /// For how long requests to a service have been observed.
    #[must_use]
    pub fn observed(&self, service: u32) -> Duration {
        let index = self
            .observed
            .binary_search_by_key(&service, |(other, _)| *other);
        index.map_or(Duration::ZERO, |index| self.observed[index].1)
    }

    /// What a customer usually asks for.
    #[must_use]
    pub fn of(&self, key: Key) -> f64 {
        self.find(key).map_or(0.0, |index| self.rows[index].1)
    }

    /// What a customer of a service usually asks for on average. A customer that is not known yet, or
    /// usually asks for little, counts as one that asks for this.
    #[must_use]
    pub fn mean(&self, service: u32) -> f64 {
        let rows = self.rows.iter();
        let rows = rows.filter(|(key, _)| key.service == service && key.is_customer());
        let (count, sum) = rows.fold((0_u32, 0.0), |(count, sum), (_, usual)| {
            (count + 1, sum + usual)
        });
        sum / f64::from(count.max(1))
    }

    /// Takes the figures of services that a peer has observed for longer.
    pub fn adopt(&mut self, peer: &Self) {
        for (service, observed) in &peer.observed {
            if *observed <= self.observed(*service) + ADOPTION_MARGIN {
                continue;
            }
            self.rows.retain(|(key, _)| key.service != *service);
            let rows = peer.rows.iter();
            self.rows
                .extend(rows.filter(|(key, _)| key.service == *service));
            self.rows.sort_unstable_by_key(|(key, _)| *key);
            self.set_observed(*service, *observed);
        }
    }

    /// Observes what customers ask for now; rows are sorted by key.
    pub fn observe(&mut self, now: Time, whole: &[Row]) {
        let elapsed = now.since(self.at);
        let is_first = self.at == Time::default() || elapsed > AVERAGING_TIME;
        self.at = now;
        if is_first {
            return;
        }
        for rows in whole.chunk_by(|one, other| one.key.service == other.key.service) {
            self.observe_service(elapsed, rows);
        }
        self.shrink();
    }

    /// Observes what the customers of a service ask for. Time in which none of them does says nothing of
    /// what is usual.
    fn observe_service(&mut self, elapsed: Duration, rows: &[Row]) {
        let service = rows[0].key.service;
        let observed = (self.observed(service) + elapsed).min(AVERAGING_TIME);
        self.set_observed(service, observed);
        let weight = elapsed.as_secs_f64() / observed.as_secs_f64().max(f64::MIN_POSITIVE);
        let mean = self.mean(service);
        let is_warm = observed >= WARM_UP && mean > 0.0;
        for row in rows {
            if let Err(index) = self.find(row.key) {
                self.rows.insert(index, (row.key, 0.0));
            }
        }
        for (key, usual) in &mut self.rows {
            if key.service != service {
                continue;
            }
            let offered = rows.binary_search_by_key(key, |row| row.key);
            let mut offered = offered.map_or(0.0, |index| rows[index].offered);
            if is_warm && key.is_customer() {
                offered = offered.min(usual.max(mean) * MAX_GROWTH);
            }
            *usual += weight.min(1.0) * (offered - *usual);
        }
    }

    /// All rows, sorted by key.
    #[must_use]
    pub fn rows(&self) -> &[(Key, f64)] {
        &self.rows
    }

    fn set_observed(&mut self, service: u32, observed: Duration) {
        match self
            .observed
            .binary_search_by_key(&service, |(other, _)| *other)
        {
            Ok(index) => self.observed[index].1 = observed,
            Err(index) => self.observed.insert(index, (service, observed)),
        }
    }

    /// Forgets customers that hardly ask for anything, and those that ask for least if there are too many.
    fn shrink(&mut self) {
        self.rows.retain(|(_, usual)| *usual >= MIN_DEMAND);
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        self.rows
            .sort_by(|(_, one), (_, other)| other.total_cmp(one));
        self.rows.truncate(MAX_ROWS);
        self.rows.sort_unstable_by_key(|(key, _)| *key);
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&key, |(other, _)| *other)
    }
}
