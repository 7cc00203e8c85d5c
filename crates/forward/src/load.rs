//! Load of endpoints over all instances, from the reports of peers.
//!
//! Every request passes through an instance, so the instances' own counts are more current than
//! load reports of the endpoints, and need no extra calls.

use crate::{endpoint::Load, prelude::*};

/// Time without a report after which the load of a peer no longer counts. Long enough for several
/// reports; most of the reported work has ended by then.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time without a report after which a peer counts as unresponsive; they come at least four times a second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Load of one instance by the digest of the endpoint id, sorted by digest.
pub type Report = Vec<(u32, Load)>;

/// Digest of an endpoint id, which is shorter than the id in reports. If two ids collide, the load
/// of both counts at each.
#[must_use]
pub fn digest(id: &str) -> u32 {
    let bytes = *blake3::hash(id.as_bytes()).as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Last report of one peer.
#[derive(Debug)]
struct PeerReport {
    at: Time,
    name: String,
    number: u64,
    /// Emptied after [`REPORT_LIFETIME`].
    report: Report,
}

/// Load of the other instances, from their reports.
///
/// The sum is updated with each report, so that a lookup does not depend on the number of peers.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    reports: Vec<PeerReport>,
    /// Sum of all reports, sorted by digest.
    sums: Report,
}

impl PeerLoads {
    /// Applies the report of a peer, unless a later one was applied already.
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

    /// Removes the report of a peer that has restarted, whose report numbers start again.
    pub fn forget(&mut self, name: &str) {
        let index = self
            .reports
            .binary_search_by(|other| other.name.as_str().cmp(name));
        if let Ok(index) = index {
            let peer = self.reports.remove(index);
            self.subtract(&peer.report);
        }
    }

    /// Last report of a peer.
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

    /// Load of all peers at an endpoint.
    #[must_use]
    pub fn at(&self, digest: u32) -> Load {
        let index = self.sums.binary_search_by_key(&digest, |(other, _)| *other);
        index.map_or_else(|_| Load::default(), |index| self.sums[index].1)
    }

    /// Number of peers whose report is recent enough to count.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let current = self
            .reports
            .iter()
            .filter(|peer| now.since(peer.at) <= REPORT_LIFETIME);
        current.count()
    }

    /// Whether a peer has reported just now.
    #[must_use]
    pub fn is_heard(&self, now: Time, name: &str) -> bool {
        let index = self
            .reports
            .binary_search_by(|other| other.name.as_str().cmp(name));
        index.is_ok_and(|index| now.since(self.reports[index].at) <= REPORT_TIMEOUT)
    }

    /// Drops the load of peers whose report is too old.
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
