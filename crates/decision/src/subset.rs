//! Deterministic subsetting: selects the endpoints that an instance uses.
//!
//! If every instance used every endpoint, connections and load reports would grow with the
//! product of their numbers. Instead, each instance uses one subset of the endpoints in its
//! own failure domain and one of the endpoints elsewhere. Subsets are contiguous ranges of a
//! ring, placed evenly by the rank of the instance, so that each endpoint is in several. With
//! at most `SUBSET_SIZE` endpoints, a subset contains all of them.

use crate::{event::Peer, prelude::*, state::digest};

/// Number of endpoints in each of the two subsets.
const SUBSET_SIZE: usize = 24;

impl State {
    /// Marks the endpoints in the subsets of this instance.
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

    /// Name digests of the instances whose subsets contain the endpoint, in rendezvous order;
    /// instances that are shutting down are left out.
    pub(crate) fn instances_with(&self, endpoint: &Endpoint) -> Vec<u64> {
        let mut rings: Vec<(&str, Vec<u64>)> = Vec::new();
        let mut instances = Vec::new();
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
                instances.push(peer);
            }
        }
        let weight = |peer: &&Peer| crate::routing::rendezvous(&peer.name, &endpoint.member.name);
        instances.sort_by_key(|peer| std::cmp::Reverse(weight(peer)));
        instances
            .into_iter()
            .map(|peer| digest(&peer.name))
            .collect()
    }

    /// Sorted name digests of the endpoints in a failure domain, or of all others.
    fn ring(&self, domain: &str, local: bool) -> Vec<u64> {
        let listed = self.endpoints.values();
        let mut ring = listed
            .filter(|endpoint| (endpoint.member.domain == domain) == local)
            .map(|endpoint| endpoint.digest)
            .collect::<Vec<_>>();
        ring.sort_unstable();
        ring
    }

    /// Ranks of an instance in its failure domain and among all instances.
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

/// Position of an instance in a sorted list of `count` instances.
#[derive(Clone, Copy, Debug)]
struct Rank {
    count: usize,
    position: usize,
}

/// Whether an endpoint is in the subset of a rank.
fn subset_contains(ring: &[u64], rank: Rank, endpoint: &Endpoint) -> bool {
    let Ok(position) = ring.binary_search(&endpoint.digest) else {
        return false;
    };
    let start = rank.position * ring.len() / rank.count;
    (position + ring.len() - start) % ring.len() < SUBSET_SIZE
}
