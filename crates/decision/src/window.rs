//! The part of the endpoints that one instance works with.
//!
//! At full size every instance with every endpoint would cost instances times
//! endpoints in load reports and connections. Each instance has a window of the
//! endpoints of its own failure domain and one of the others, laid evenly around
//! them by its rank, so that every endpoint lies in a few windows. At today's
//! sizes a window holds all of them.

use crate::{event::Peer, prelude::*, state::digest};

/// Endpoints in each of the two windows.
const SIZE: usize = 24;

impl State {
    /// Marks the endpoints that lie in this instance's windows.
    pub(crate) fn lay_windows(&mut self) {
        let near = self.ring(&self.domain, true);
        let far = self.ring(&self.domain, false);
        let (near_rank, far_rank) = self.ranks(&self.name, &self.domain);
        let marked = self.endpoints.iter().map(|(key, endpoint)| {
            let covered = covers(&near, near_rank, endpoint) || covers(&far, far_rank, endpoint);
            (key, covered)
        });
        for (key, covered) in marked.collect::<Vec<_>>() {
            self.endpoints[key].mine = covered;
        }
    }

    /// Digests of the instances in whose windows an endpoint lies, by rendezvous order.
    pub(crate) fn covering(&self, endpoint: &Endpoint) -> Vec<u64> {
        let mut rings: Vec<(&str, Vec<u64>)> = Vec::new();
        let mut covering = Vec::new();
        for peer in self.peers.iter().filter(|peer| !peer.leaving) {
            let place = rings.iter().position(|(domain, _)| *domain == peer.domain);
            let place = place.unwrap_or_else(|| {
                let near = endpoint.member.domain == peer.domain;
                rings.push((&peer.domain, self.ring(&peer.domain, near)));
                rings.len() - 1
            });
            let (near_rank, far_rank) = self.ranks(&peer.name, &peer.domain);
            let near = endpoint.member.domain == peer.domain;
            if covers(
                &rings[place].1,
                if near { near_rank } else { far_rank },
                endpoint,
            ) {
                covering.push(peer);
            }
        }
        let weight = |peer: &&Peer| crate::routing::rendezvous(&peer.name, &endpoint.member.name);
        covering.sort_by_key(|peer| std::cmp::Reverse(weight(peer)));
        covering
            .into_iter()
            .map(|peer| digest(&peer.name))
            .collect()
    }

    /// Digests of the endpoints in a failure domain, or outside of it, sorted.
    fn ring(&self, domain: &str, near: bool) -> Vec<u64> {
        let listed = self.endpoints.values();
        let mut ring = listed
            .filter(|endpoint| (endpoint.member.domain == domain) == near)
            .map(|endpoint| endpoint.digest)
            .collect::<Vec<_>>();
        ring.sort_unstable();
        ring
    }

    /// Ranks of an instance within its failure domain and among all.
    fn ranks(&self, name: &str, domain: &str) -> (Rank, Rank) {
        let near = || self.peers.iter().filter(|peer| peer.domain == domain);
        let near_rank = Rank {
            all: near().count().max(1),
            place: near().filter(|peer| peer.name.as_str() < name).count(),
        };
        let far_rank = Rank {
            all: self.peers.len().max(1),
            place: self.peers.partition_point(|peer| peer.name.as_str() < name),
        };
        (near_rank, far_rank)
    }
}

/// Place of an instance in an order.
#[derive(Clone, Copy, Debug)]
struct Rank {
    all: usize,
    place: usize,
}

/// Whether an endpoint lies in the window that belongs to a rank.
fn covers(ring: &[u64], rank: Rank, endpoint: &Endpoint) -> bool {
    let Ok(place) = ring.binary_search(&endpoint.digest) else {
        return false;
    };
    let start = rank.place * ring.len() / rank.all;
    (place + ring.len() - start) % ring.len() < SIZE
}
