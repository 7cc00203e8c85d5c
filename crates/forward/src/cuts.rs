//! Failure domains whose links may be cut.
//!
//! Instances of other failure domains report several times a second. Where none does, only connections to endpoints show a cut.

use crate::prelude::*;

/// Time for which nothing was read from a failure domain where new connections hang, from which on its links count as cut.
const MIN_GAP: Duration = Duration::from_millis(250);

/// Time for which nothing was heard of a failure domain whose instances report, from which on its links were cut.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);

/// Time since the last report from a failure domain up to which another one is expected.
const REPORT_MEMORY: Duration = Duration::from_secs(15);

/// What is known of the links to one failure domain.
#[derive(Clone, Debug, Default)]
struct Link {
    domain: String,
    /// When something was last read from one of its endpoints, or reported by one of its instances.
    heard_at: Time,
    is_cut: bool,
    /// When one of its instances last reported; `None` if none has.
    reported_at: Option<Time>,
    /// When something was first read after its links were cut.
    restored_at: Time,
}

impl Link {
    fn record_heard(&mut self, now: Time) {
        self.heard_at = now;
        if std::mem::take(&mut self.is_cut) {
            self.restored_at = now;
        }
    }
}

/// Cuts of the links to failure domains, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Vec<Link>);

impl Cuts {
    /// Records that something was read from an endpoint of a failure domain.
    pub fn record_heard(&mut self, now: Time, domain: &str) {
        self.link_mut(domain).record_heard(now);
    }

    /// Records that an instance of a failure domain has reported.
    pub fn record_report(&mut self, now: Time, domain: &str) {
        let link = self.link_mut(domain);
        let is_expected = link.reported_at.replace(now).is_some();
        link.is_cut |= is_expected && now.since(link.heard_at) >= MAX_REPORT_GAP;
        link.record_heard(now);
    }

    /// Records that a connection to an endpoint of a failure domain was neither accepted nor refused.
    pub fn record_hang(&mut self, now: Time, domain: &str) {
        let link = self.link_mut(domain);
        link.is_cut |= now.since(link.heard_at) >= MIN_GAP;
    }

    /// Whether the links to a failure domain are cut, as far as is known.
    #[must_use]
    pub fn is_cut(&self, now: Time, domain: &str) -> bool {
        let Some(link) = self.link(domain) else {
            return false;
        };
        let gap = link.reported_at.map(|reported_at| now.since(reported_at));
        let is_missed = gap.is_some_and(|gap| (MAX_REPORT_GAP..REPORT_MEMORY).contains(&gap));
        link.is_cut || (is_missed && now.since(link.heard_at) >= MAX_REPORT_GAP)
    }

    /// Whether the links to a failure domain were not cut from this time on, as far as is known.
    #[must_use]
    pub fn is_reachable_since(&self, now: Time, domain: &str, since: Time) -> bool {
        let Some(link) = self.link(domain) else {
            return true;
        };
        let is_reported = link
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_MEMORY);
        let is_heard = !is_reported || link.heard_at >= since;
        is_heard && !link.is_cut && link.restored_at <= since
    }

    fn link(&self, domain: &str) -> Option<&Link> {
        self.find(domain).ok().map(|index| &self.0[index])
    }

    fn link_mut(&mut self, domain: &str) -> &mut Link {
        let index = self.find(domain).unwrap_or_else(|index| {
            let link = Link {
                domain: domain.to_string(),
                ..Link::default()
            };
            self.0.insert(index, link);
            index
        });
        &mut self.0[index]
    }

    fn find(&self, domain: &str) -> Result<usize, usize> {
        self.0
            .binary_search_by(|link| link.domain.as_str().cmp(domain))
    }
}
