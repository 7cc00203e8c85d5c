//! Load of endpoints over all instances.
//!
//! Every request to an endpoint passes through some instance, so what the instances
//! have in progress tells more than a load report, which is late and costs a call.

use crate::{endpoint::Load, prelude::*};

/// After this long without a word, a fellow's load no longer counts. Several exchanges
/// fit into it, and what it had in progress then is mostly done.
const LIFE: Duration = Duration::from_secs(2);

/// Load that one instance has at endpoints, sorted by the digest of the endpoint's id.
pub type Report = Vec<(u32, Load)>;

/// Digest of an endpoint's id. Reports name endpoints by it, since an id is several times
/// as long; among 2,200 endpoints two share one in one system of 1,800, and then a load
/// is counted at both.
#[must_use]
pub fn digest(id: &str) -> u32 {
    let bytes = *blake3::hash(id.as_bytes()).as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// What one fellow reported last.
#[derive(Debug)]
struct Heard {
    at: Time,
    name: String,
    number: u64,
    /// Empty once it has outlived [`LIFE`].
    report: Report,
}

/// What the other instances have in progress.
///
/// The sum over all fellows is kept up to date with each report, so that a choice costs
/// one search for each endpoint and not one for each fellow at each endpoint.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    heard: Vec<Heard>,
    /// Sum of all reports, sorted by digest.
    sums: Report,
}

impl PeerLoads {
    /// Takes the report of a fellow in; one that was overtaken by a later one changes
    /// nothing.
    pub fn update(&mut self, name: &str, at: Time, number: u64, mut report: Report) {
        report.sort_by_key(|(digest, _)| *digest);
        let place = match self
            .heard
            .binary_search_by(|other| other.name.as_str().cmp(name))
        {
            Ok(place) if self.heard[place].number >= number => return,
            Ok(place) => place,
            Err(place) => {
                let heard = Heard {
                    at,
                    name: name.to_string(),
                    number,
                    report: Vec::new(),
                };
                self.heard.insert(place, heard);
                place
            }
        };
        let heard = &mut self.heard[place];
        heard.at = at;
        heard.number = number;
        let old = std::mem::replace(&mut heard.report, report.clone());
        self.subtract(&old);
        self.add(&report);
    }

    /// A fellow has started anew; its reports are numbered from the start again.
    pub fn forget(&mut self, name: &str) {
        let place = self
            .heard
            .binary_search_by(|other| other.name.as_str().cmp(name));
        if let Ok(place) = place {
            let heard = self.heard.remove(place);
            self.subtract(&heard.report);
        }
    }

    /// What a fellow reported last.
    #[must_use]
    pub fn report(&self, name: &str) -> &[(u32, Load)] {
        let place = self
            .heard
            .binary_search_by(|other| other.name.as_str().cmp(name));
        place.map_or(&[], |place| self.heard[place].report.as_slice())
    }

    /// Sum of all reports, sorted by digest.
    #[must_use]
    pub const fn sums(&self) -> &Report {
        &self.sums
    }

    /// Load of all fellows at an endpoint.
    #[must_use]
    pub fn at(&self, digest: u32) -> Load {
        let place = self.sums.binary_search_by_key(&digest, |(other, _)| *other);
        place.map_or_else(|_| Load::default(), |place| self.sums[place].1)
    }

    /// Number of fellows heard of within the last two seconds.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let alive = self
            .heard
            .iter()
            .filter(|heard| now.since(heard.at) <= LIFE);
        alive.count()
    }

    /// Drops the load of fellows that have been silent for too long.
    pub fn expire(&mut self, now: Time) {
        let mut outlived = Vec::new();
        for heard in &mut self.heard {
            if now.since(heard.at) > LIFE {
                outlived.append(&mut heard.report);
            }
        }
        self.subtract(&outlived);
    }

    fn add(&mut self, report: &Report) {
        for (digest, load) in report {
            match self.sums.binary_search_by_key(digest, |(other, _)| *other) {
                Ok(place) => self.sums[place].1.add(*load),
                Err(place) => self.sums.insert(place, (*digest, *load)),
            }
        }
    }

    fn subtract(&mut self, report: &Report) {
        for (digest, load) in report {
            if let Ok(place) = self.sums.binary_search_by_key(digest, |(other, _)| *other) {
                self.sums[place].1.subtract(*load);
                if self.sums[place].1 == Load::default() {
                    self.sums.remove(place);
                }
            }
        }
    }
}
