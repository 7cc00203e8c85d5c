//! Load of endpoints over all instances.
//!
//! Every request to an endpoint passes through some instance, so what the instances
//! have in progress tells more than a load report, which is late and costs a call.

use crate::{endpoint::Load, prelude::*};

/// After this long without a word, a fellow's load no longer counts. Several exchanges
/// fit into it, and what it had in progress then is mostly done.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

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
struct PeerReport {
    at: Time,
    name: String,
    number: u64,
    /// Empty once it has outlived [`REPORT_LIFETIME`].
    report: Report,
}

/// What the other instances have in progress.
///
/// The sum over all fellows is kept up to date with each report, so that a choice costs
/// one search for each endpoint and not one for each fellow at each endpoint.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    reports: Vec<PeerReport>,
    /// Sum of all reports, sorted by digest.
    sums: Report,
}

impl PeerLoads {
    /// Takes the report of a fellow in; one that was overtaken by a later one changes
    /// nothing.
    pub fn update(&mut self, name: &str, at: Time, number: u64, mut report: Report) {
        report.sort_by_key(|(digest, _)| *digest);
        let index = match self
            .reports
            .binary_search_by(|other| other.name.as_str().cmp(name))
        {
            Ok(index) if self.reports[index].number >= number => return,
            Ok(index) => index,
            Err(index) => {
                let peer = PeerReport {
                    at,
                    name: name.to_string(),
                    number,
                    report: Vec::new(),
                };
                self.reports.insert(index, peer);
                index
            }
        };
        let peer = &mut self.reports[index];
        peer.at = at;
        peer.number = number;
        let old = std::mem::replace(&mut peer.report, report.clone());
        self.subtract(&old);
        self.add(&report);
    }

    /// A fellow has started anew; its reports are numbered from the start again.
    pub fn forget(&mut self, name: &str) {
        let index = self
            .reports
            .binary_search_by(|other| other.name.as_str().cmp(name));
        if let Ok(index) = index {
            let peer = self.reports.remove(index);
            self.subtract(&peer.report);
        }
    }

    /// What a fellow reported last.
    #[must_use]
    pub fn report(&self, name: &str) -> &[(u32, Load)] {
        let index = self
            .reports
            .binary_search_by(|other| other.name.as_str().cmp(name));
        index.map_or(&[], |index| self.reports[index].report.as_slice())
    }

    /// Sum of all reports, sorted by digest.
    #[must_use]
    pub const fn sums(&self) -> &Report {
        &self.sums
    }

    /// Load of all fellows at an endpoint.
    #[must_use]
    pub fn at(&self, digest: u32) -> Load {
        let index = self.sums.binary_search_by_key(&digest, |(other, _)| *other);
        index.map_or_else(|_| Load::default(), |index| self.sums[index].1)
    }

    /// Number of fellows heard of within the last two seconds.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let current = self
            .reports
            .iter()
            .filter(|peer| now.since(peer.at) <= REPORT_LIFETIME);
        current.count()
    }

    /// Drops the load of fellows that have been silent for too long.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        for peer in &mut self.reports {
            if now.since(peer.at) > REPORT_LIFETIME {
                expired.append(&mut peer.report);
            }
        }
        self.subtract(&expired);
    }

    fn add(&mut self, report: &Report) {
        for (digest, load) in report {
            match self.sums.binary_search_by_key(digest, |(other, _)| *other) {
                Ok(index) => self.sums[index].1.add(*load),
                Err(index) => self.sums.insert(index, (*digest, *load)),
            }
        }
    }

    fn subtract(&mut self, report: &Report) {
        for (digest, load) in report {
            if let Ok(index) = self.sums.binary_search_by_key(digest, |(other, _)| *other) {
                self.sums[index].1.subtract(*load);
                if self.sums[index].1 == Load::default() {
                    self.sums.remove(index);
                }
            }
        }
    }
}
