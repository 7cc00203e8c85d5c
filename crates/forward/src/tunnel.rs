//! Choice of the peer through which a partitioned instance reaches endpoints.

use {
    crate::{aggregate::members::Members, prelude::*, state::State},
    std::sync::Arc,
};

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

    /// The peer to open a tunnel through; `None` if all have failed recently.
    #[must_use]
    pub fn pick(&self, now: Time, members: &Members, own: &str) -> Option<String> {
        let own_domain = members.domain(own);
        let mut others = members.others(own);
        others.sort_unstable_by_key(|(_, _, order)| *order);
        let mut preferred = Vec::new();
        for is_own in [true, false] {
            let domain = others
                .iter()
                .filter(|(_, domain, _)| (own_domain == Some(*domain)) == is_own);
            preferred.extend(
                domain
                    .take(PREFERRED_PEERS)
                    .map(|(name, _, _)| (*name, is_own)),
            );
        }
        let usable = |name: &str| self.peer(name).is_none_or(|peer| now >= peer.avoid_until);
        let preferred = preferred.into_iter().filter(|(name, _)| usable(name));
        let cost = |name: &str, is_own: bool| {
            let open = self.peer(name).map_or(0, Peer::open);
            open + if is_own { 0 } else { CROSS_DOMAIN_COST }
        };
        let best = preferred.min_by_key(|(name, is_own)| cost(name, *is_own));
        if let Some((name, _)) = best {
            return Some(name.to_string());
        }
        let rest = others.iter().find(|(name, _, _)| usable(name));
        rest.map(|(name, _, _)| (*name).to_string())
    }

    /// Whether all peers have refused or not answered recently. That one cannot reach an endpoint says
    /// nothing of others.
    fn are_useless(&self, now: Time, members: &Members, own: &str) -> bool {
        let mut others = members.others(own).into_iter();
        others.all(|(name, _, _)| {
            let peer = self.peer(name);
            peer.is_some_and(|peer| now < peer.useless_until)
        })
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
