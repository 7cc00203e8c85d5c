//! Choice of the peer through which a partitioned instance reaches endpoints.

use {crate::prelude::*, std::sync::Arc};

/// Peers of the own failure domain, and of the others together, that are preferred. Each instance
/// has its own order, so that the load is spread, and few connections are opened among hundreds.
const PREFERRED_PEERS: usize = 4;

/// Tunnels by which a peer of the own failure domain may exceed one of another before the other is
/// chosen; bytes between domains are expensive.
const CROSS_DOMAIN_COST: usize = 6;

/// Time for which a peer is not asked again after it refused.
const REFUSED_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a peer is not asked again after it did not answer; it doubles with each further failure.
/// A busy peer answers late now and then, and may be the only one that reaches endpoints.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum number of doublings of [`UNANSWERED_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time for which a peer is not asked again after it could not reach an endpoint either. It may be
/// partitioned itself and not know yet.
const UNREACHED_BACKOFF: Duration = Duration::from_millis(250);

/// Time for which a peer without tunnels is remembered after it may be asked again.
const PEER_MEMORY: Duration = Duration::from_secs(10);

/// Why a peer opened no tunnel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It refused: it is partitioned itself, stopping, or has too many tunnels.
    Refused,
    /// It did not answer.
    Unanswered,
    /// It could not connect to the endpoint.
    Unreached,
}

/// What is known of a peer.
#[derive(Clone, Debug)]
struct Peer {
    avoid_until: Time,
    name: String,
    /// Requests in a row that it did not answer.
    unanswered: u32,
    /// Until when it is of no use, whatever the endpoint.
    useless_until: Time,
    /// Held by each open tunnel through it.
    usage: Arc<()>,
}

impl Peer {
    /// Number of open tunnels through it.
    fn open(&self) -> usize {
        Arc::strong_count(&self.usage) - 1
    }
}

/// A peer that may be asked for a tunnel.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Whether it is in this instance's failure domain.
    pub is_own_domain: bool,
    /// Its name.
    pub name: &'a str,
}

/// Peers through which tunnels have been opened, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Tunnels(Vec<Peer>);

impl Tunnels {
    fn peer(&self, name: &str) -> Option<&Peer> {
        let index = self.0.binary_search_by(|peer| peer.name.as_str().cmp(name));
        index.ok().map(|index| &self.0[index])
    }

    fn peer_mut(&mut self, name: &str) -> &mut Peer {
        let index = self.0.binary_search_by(|peer| peer.name.as_str().cmp(name));
        let index = index.unwrap_or_else(|index| {
            let peer = Peer {
                avoid_until: Time::default(),
                name: name.to_string(),
                unanswered: 0,
                useless_until: Time::default(),
                usage: Arc::default(),
            };
            self.0.insert(index, peer);
            index
        });
        &mut self.0[index]
    }

    /// Counts a tunnel through a peer for as long as the result is held.
    #[must_use]
    pub fn record_opened(&mut self, name: &str) -> Arc<()> {
        let peer = self.peer_mut(name);
        peer.unanswered = 0;
        Arc::clone(&peer.usage)
    }

    /// The same for a tunnel that is still to be opened.
    #[must_use]
    pub fn usage(&mut self, name: &str) -> Arc<()> {
        Arc::clone(&self.peer_mut(name).usage)
    }

    /// Records that a peer opened no tunnel.
    pub fn record_failure(&mut self, now: Time, name: &str, failure: Failure) {
        let peer = self.peer_mut(name);
        let backoff = match failure {
            Failure::Refused => REFUSED_BACKOFF,
            Failure::Unanswered => {
                let doublings = peer.unanswered.min(MAX_BACKOFF_DOUBLINGS);
                UNANSWERED_BACKOFF * 2_u32.pow(doublings)
            }
            Failure::Unreached => UNREACHED_BACKOFF,
        };
        peer.unanswered = match failure {
            Failure::Unanswered => peer.unanswered.saturating_add(1),
            Failure::Refused | Failure::Unreached => 0,
        };
        peer.avoid_until = peer.avoid_until.max(now.after(backoff));
        if failure != Failure::Unreached {
            peer.useless_until = peer.avoid_until;
        }
    }

    /// Forgets peers without tunnels that may be asked again.
    pub fn prune(&mut self, now: Time) {
        self.0
            .retain(|peer| peer.open() > 0 || now.since(peer.avoid_until) < PEER_MEMORY);
    }

    /// The peers to ask for a tunnel, the best one first; empty if all have failed recently.
    ///
    /// `candidates` are in an order of this instance's own.
    #[must_use]
    pub fn rank(&self, now: Time, candidates: &[Candidate<'_>]) -> Vec<String> {
        let usable = |name: &str| self.peer(name).is_none_or(|peer| now >= peer.avoid_until);
        let mut preferred = Vec::<&Candidate<'_>>::new();
        for is_own in [true, false] {
            let domain = candidates
                .iter()
                .filter(|peer| peer.is_own_domain == is_own);
            preferred.extend(domain.take(PREFERRED_PEERS));
        }
        let is_preferred = |name: &str| preferred.iter().any(|peer| peer.name == name);
        let rest = candidates.iter().filter(|peer| !is_preferred(peer.name));
        let rest = rest.collect::<Vec<_>>();
        let cost = |name: &str, is_own: bool| {
            let open = self.peer(name).map_or(0, Peer::open);
            open + if is_own { 0 } else { CROSS_DOMAIN_COST }
        };
        preferred.sort_by_key(|peer| cost(peer.name, peer.is_own_domain));
        let ranked = preferred.into_iter().chain(rest);
        let ranked = ranked.filter(|peer| usable(peer.name));
        ranked.map(|peer| peer.name.to_string()).collect()
    }

    /// Whether a peer has refused or not answered recently. That it could not reach one endpoint says
    /// nothing of others.
    #[must_use]
    pub fn is_useless(&self, now: Time, name: &str) -> bool {
        let peer = self.peer(name);
        peer.is_some_and(|peer| now < peer.useless_until)
    }
}
