//! The part of the endpoints that one instance works with.
//!
//! At full size every instance with every endpoint would cost instances times
//! endpoints in load reports and connections. Each instance has a window of the
//! endpoints of its own failure domain and one of the others, laid evenly around
//! them by its rank, so that every endpoint lies in a few windows. At today's
//! sizes a window holds all of them.

use crate::{event::Peer, prelude::*, state::digest};

/// Endpoints in each of the two windows.
const SUBSET_SIZE: usize = 24;

impl State {
    /// Marks the endpoints that lie in this instance's windows.
    pub(crate) fn update_subset(&mut self) {
        let local = self.ring(&self.domain, true);
        let remote = self.ring(&self.domain, false);
        let (local_rank, remote_rank) = self.ranks(&self.name, &self.domain);
        let marked = self.endpoints.iter().map(|(key, endpoint)| {
            let in_subset = subset_contains(&local, local_rank, endpoint)
                || subset_contains(&remote, remote_rank, endpoint);
            (key, in_subset)
        });
        for (key, in_subset) in marked.collect::<Vec<_>>() {
            self.endpoints[key].in_subset = in_subset;
        }
    }

    /// Digests of the instances in whose windows an endpoint lies, by rendezvous order.
    pub(crate) fn instances_with(&self, endpoint: &Endpoint) -> Vec<u64> {
        let mut rings: Vec<(&str, Vec<u64>)> = Vec::new();
        let mut covering = Vec::new();
        for peer in self.peers.iter().filter(|peer| !peer.leaving) {
            let position = rings.iter().position(|(domain, _)| *domain == peer.domain);
            let position = position.unwrap_or_else(|| {
                let local = endpoint.member.domain == peer.domain;
                rings.push((&peer.domain, self.ring(&peer.domain, local)));
                rings.len() - 1
            });
            let (local_rank, remote_rank) = self.ranks(&peer.name, &peer.domain);
            let local = endpoint.member.domain == peer.domain;
            if subset_contains(
                &rings[position].1,
                if local { local_rank } else { remote_rank },
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
    fn ring(&self, domain: &str, local: bool) -> Vec<u64> {
        let listed = self.endpoints.values();
        let mut ring = listed
            .filter(|endpoint| (endpoint.member.domain == domain) == local)
            .map(|endpoint| endpoint.digest)
            .collect::<Vec<_>>();
        ring.sort_unstable();
        ring
    }

    /// Ranks of an instance within its failure domain and among all.
    fn ranks(&self, name: &str, domain: &str) -> (Rank, Rank) {
        let local = || self.peers.iter().filter(|peer| peer.domain == domain);
        let local_rank = Rank {
            count: local().count().max(1),
            position: local().filter(|peer| peer.name.as_str() < name).count(),
        };
        let remote_rank = Rank {
            count: self.peers.len().max(1),
            position: self.peers.partition_point(|peer| peer.name.as_str() < name),
        };
        (local_rank, remote_rank)
    }
}

/// Place of an instance in an order.
#[derive(Clone, Copy, Debug)]
struct Rank {
    count: usize,
    position: usize,
}

/// Whether an endpoint lies in the window that belongs to a rank.
fn subset_contains(ring: &[u64], rank: Rank, endpoint: &Endpoint) -> bool {
    let Ok(position) = ring.binary_search(&endpoint.digest) else {
        return false;
    };
    let start = rank.position * ring.len() / rank.count;
    (position + ring.len() - start) % ring.len() < SUBSET_SIZE
}
