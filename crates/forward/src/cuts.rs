//! Failure domains whose links may be cut.

use crate::prelude::*;

/// Time for which nothing was read from a failure domain where new connections hang, from which on its links count as cut.
const MIN_GAP: Duration = Duration::from_millis(250);

/// What is known of the links to one failure domain.
#[derive(Clone, Debug, Default)]
struct Link {
    domain: String,
    /// When something was last read from one of its endpoints.
    heard_at: Time,
    is_cut: bool,
    /// When something was first read after its links were cut.
    restored_at: Time,
}

/// Cuts of the links to failure domains, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Vec<Link>);

impl Cuts {
    /// Records that something was read from an endpoint of a failure domain.
    pub fn record_heard(&mut self, now: Time, domain: &str) {
        let link = self.link_mut(domain);
        link.heard_at = now;
        if std::mem::take(&mut link.is_cut) {
            link.restored_at = now;
        }
    }

    /// Records that a connection to an endpoint of a failure domain was neither accepted nor refused.
    pub fn record_hang(&mut self, now: Time, domain: &str) {
        let link = self.link_mut(domain);
        link.is_cut |= now.since(link.heard_at) >= MIN_GAP;
    }

    /// Since when a failure domain can be reached, as far as is known; `None` if its links are cut.
    #[must_use]
    pub fn reachable_since(&self, domain: &str) -> Option<Time> {
        let Ok(index) = self.find(domain) else {
            return Some(Time::default());
        };
        let link = &self.0[index];
        (!link.is_cut).then_some(link.restored_at)
    }

    /// Whether the links to a failure domain are cut, as far as is known.
    #[must_use]
    pub fn is_cut(&self, domain: &str) -> bool {
        self.reachable_since(domain).is_none()
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
