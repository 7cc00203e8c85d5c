//! Choice of the peer through which a partitioned instance reaches endpoints.

pub use decision::tunnel::{Candidate, Failure};
use {
    crate::{aggregate::members::Members, prelude::*, state::State},
    std::sync::Arc,
};

/// Peers through which tunnels have been opened.
#[derive(Clone, Debug, Default)]
pub struct Tunnels(decision::tunnel::Tunnels);

impl Tunnels {
    /// Counts a tunnel through a peer for as long as the result is held.
    #[must_use]
    pub fn record_opened(&mut self, name: &str) -> Arc<()> {
        self.0.record_opened(name)
    }

    /// Records that a peer opened no tunnel.
    pub fn record_failure(&mut self, now: Time, name: &str, failure: Failure) {
        self.0.record_failure(now, name, failure);
    }

    /// Forgets peers without tunnels that may be asked again.
    pub fn prune(&mut self, now: Time) {
        self.0.prune(now);
    }

    /// The peer to open a tunnel through; `None` if all have failed recently.
    #[must_use]
    pub fn pick(&self, now: Time, members: &Members, own: &str) -> Option<String> {
        let own_domain = members.domain(own);
        let mut others = members.others(own);
        others.sort_unstable_by_key(|(_, _, order)| *order);
        let candidates = others.into_iter().map(|(name, domain, _)| Candidate {
            is_own_domain: own_domain == Some(domain),
            name,
        });
        let ranked = self.0.rank(now, &candidates.collect::<Vec<_>>());
        ranked.into_iter().next()
    }

    /// Whether all peers have refused or not answered recently.
    fn are_useless(&self, now: Time, members: &Members, own: &str) -> bool {
        let mut others = members.others(own).into_iter();
        others.all(|(name, _, _)| self.0.is_useless(now, name))
    }
}

impl State {
    /// Whether endpoints of a service can be reached neither directly nor through peers. Without any
    /// peer it stays unknown whether the endpoints have failed, so that they are tried on.
    #[must_use]
    pub fn is_cut_off(&self, now: Time, own: &str, service: &str) -> bool {
        self.paths.is_partitioned(service)
            && self.members.count() > 1
            && self.tunnels.are_useless(now, &self.members, own)
    }
}
