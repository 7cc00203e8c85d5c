//! Observations that have not been told to others yet.

use super::{Pace, Shape};

/// Observations since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// Sorted by digest of the engine's incarnation.
    rows: Vec<Pace>,
    /// Sorted by digest of the service.
    shapes: Vec<(u32, Shape)>,
}

impl News {
    /// Adds what was observed of an engine.
    pub fn add(&mut self, row: Pace) {
        let found = self
            .rows
            .binary_search_by_key(&row.digest, |other| other.digest);
        match found {
            Ok(index) => self.rows[index].add(row),
            Err(index) => self.rows.insert(index, row),
        }
    }

    /// Adds intervals of streams of a service.
    pub fn add_shape(&mut self, service: u32, shape: &Shape) {
        let found = self
            .shapes
            .binary_search_by_key(&service, |(other, _)| *other);
        match found {
            Ok(index) => self.shapes[index].1.add(shape),
            Err(index) => self.shapes.insert(index, (service, *shape)),
        }
    }

    /// Adds the observations of another one.
    pub fn append(&mut self, other: &Self) {
        for row in &other.rows {
            self.add(*row);
        }
        for (service, shape) in &other.shapes {
            self.add_shape(*service, shape);
        }
    }

    /// Takes all intervals, and up to `limit` rows, those with the most evidence; further ones are dropped. More will be
    /// observed of engines that are in use.
    #[must_use]
    pub fn take(&mut self, limit: usize) -> Self {
        let mut taken = std::mem::take(self);
        if taken.rows.len() > limit {
            let rows = &mut taken.rows;
            rows.sort_by(|one, other| other.windows.total_cmp(&one.windows));
            rows.truncate(limit);
            rows.sort_unstable_by_key(|row| row.digest);
        }
        taken
    }

    /// The rows, sorted by digest.
    #[must_use]
    pub fn rows(&self) -> &[Pace] {
        &self.rows
    }

    /// The intervals by service.
    #[must_use]
    pub fn shapes(&self) -> &[(u32, Shape)] {
        &self.shapes
    }
}
