//! Whether endpoints can be reached directly.
//!
//! An endpoint that cannot be connected to has failed, or its links have. Where several of a kind cannot
//! be, the links of this instance are cut, and requests go through peers instead.

use {
    crate::{
        endpoint::Kind,
        prelude::*,
        routing::rendezvous,
        tunnel::{self, Candidate, Tunnels},
    },
    std::sync::Arc,
};

/// Endpoints of a kind that cannot be reached, from which on it counts as partitioned. With fewer,
/// crashes of two endpoints would send all requests on a detour.
const MIN_UNREACHED: usize = 3;

/// Time for which a failed connection counts, so that single failures minutes apart do not add up.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

/// Interval between two checks of a kind; it bounds how long requests take a detour after a partition
/// has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of peers that are asked for one tunnel.
const MAX_TUNNEL_PEERS: usize = 4;

/// What is known of the links to the endpoints of one kind.
#[derive(Debug)]
struct Links {
    /// Position of the last endpoint that was checked.
    cursor: usize,
    is_partitioned: bool,
    kind: Kind,
    next_check_at: Time,
    /// Endpoint to check, since it does not answer a call.
    suspect: Option<endpoint::Key>,
    /// Endpoints to which connections have failed since a check succeeded, and when.
    unreached: Vec<(endpoint::Key, Time)>,
}

/// Links to the endpoints of all kinds, sorted by kind.
#[derive(Debug, Default)]
pub struct Reachability {
    links: Vec<Links>,
    /// Peers through which endpoints are reached.
    pub(crate) tunnels: Tunnels,
}

impl Reachability {
    fn links_mut(&mut self, kind: &Kind) -> &mut Links {
        let index = self.links.binary_search_by(|links| links.kind.cmp(kind));
        let index = index.unwrap_or_else(|index| {
            let links = Links {
                cursor: 0,
                is_partitioned: false,
                kind: kind.clone(),
                next_check_at: Time::default(),
                suspect: None,
                unreached: Vec::new(),
            };
            self.links.insert(index, links);
            index
        });
        &mut self.links[index]
    }

    /// Whether the endpoints of a kind cannot be reached directly.
    #[must_use]
    pub fn is_partitioned(&self, kind: &Kind) -> bool {
        let index = self.links.binary_search_by(|links| links.kind.cmp(kind));
        index.is_ok_and(|index| self.links[index].is_partitioned)
    }

    /// Number of kinds of endpoints that cannot be reached directly.
    #[must_use]
    pub fn partitioned(&self) -> usize {
        let links = self.links.iter();
        links.filter(|links| links.is_partitioned).count()
    }
}

/// A peer to ask for a tunnel.
#[derive(Clone, Debug)]
pub struct Detour {
    /// IP address and port for messages between instances.
    pub address: String,
    /// Its name.
    pub name: String,
    /// Counts a tunnel through the peer while it is held.
    pub usage: Arc<()>,
}

impl State {
    /// Whether an endpoint is to be reached through a peer.
    #[must_use]
    pub fn needs_detour(&self, endpoint: endpoint::Key) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| self.reachability.is_partitioned(&endpoint.member.kind))
    }

    /// The peers to ask for a tunnel, the best one first.
    pub fn detours(&mut self, now: Time) -> Vec<Detour> {
        let mut others = self
            .peers
            .iter()
            .filter(|peer| peer.name != self.name && !peer.leaving)
            .collect::<Vec<_>>();
        others.sort_by_cached_key(|peer| rendezvous(&self.name, &peer.name));
        let candidates = others.iter().map(|peer| Candidate {
            is_own_domain: peer.domain == self.domain,
            name: &peer.name,
        });
        let candidates = candidates.collect::<Vec<_>>();
        let mut ranked = self.reachability.tunnels.rank(now, &candidates);
        ranked.truncate(MAX_TUNNEL_PEERS);
        let mut detours = Vec::new();
        for name in ranked {
            let Some(peer) = others.iter().find(|peer| peer.name == name) else {
                continue;
            };
            detours.push(Detour {
                address: peer.address.clone(),
                usage: self.reachability.tunnels.usage(&name),
                name,
            });
        }
        detours
    }

    /// The endpoint at this address, if a tunnel of a peer to it may be opened: it is listed, and this
    /// instance reaches its kind itself.
    #[must_use]
    pub fn accepts_tunnel(&self, address: &str) -> Option<endpoint::Key> {
        if self.draining {
            return None;
        }
        let mut listed = self.endpoints.iter();
        let (key, endpoint) = listed.find(|(_, endpoint)| endpoint.member.address == address)?;
        let is_partitioned = self.reachability.is_partitioned(&endpoint.member.kind);
        (!is_partitioned && !endpoint.member.leaving).then_some(key)
    }

    /// Records whether a peer opened a tunnel.
    pub(crate) fn record_tunnel(
        &mut self,
        now: Time,
        peer: &str,
        result: Result<(), tunnel::Failure>,
    ) {
        let tunnels = &mut self.reachability.tunnels;
        match result {
            Ok(()) => {
                self.stats.tunnels += 1;
                drop(tunnels.record_opened(peer));
            }
            Err(failure) => tunnels.record_failure(now, peer, failure),
        }
    }

    /// Records that a direct connection to an endpoint was answered.
    pub(crate) fn record_reached(&mut self, key: endpoint::Key) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let links = self.reachability.links_mut(&endpoint.member.kind);
        links.unreached.clear();
        links.is_partitioned = false;
    }

    /// Records that an endpoint has not answered a call for a while, so that it is checked.
    pub(crate) fn record_silence(&mut self, key: endpoint::Key) {
        if let Some(endpoint) = self.endpoints.get(key) {
            let links = self.reachability.links_mut(&endpoint.member.kind);
            links.suspect.get_or_insert(key);
        }
    }

    /// Records that an endpoint could not be reached. Where that makes its kind partitioned, idle
    /// connections are dropped and reports are requested again at once, through peers.
    pub(crate) fn record_unreached(
        &mut self,
        now: Time,
        key: endpoint::Key,
        out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let kind = endpoint.member.kind.clone();
        let listed = self.listed_of(&kind);
        let links = self.reachability.links_mut(&kind);
        if links.is_partitioned {
            return;
        }
        links.unreached.retain(|(other, at)| {
            *other != key && now.since(*at) <= FAILURE_MEMORY && listed.contains(other)
        });
        links.unreached.push((key, now));
        let needed = listed.len().clamp(1, MIN_UNREACHED);
        links.is_partitioned = links.unreached.len() >= needed;
        if links.is_partitioned {
            links.next_check_at = now;
            for key in listed {
                self.endpoints[key].next_poll = now;
                out.push(Action::DropIdle(key));
            }
        }
    }

    /// Has endpoints checked directly: those of partitioned kinds, to learn when the links have healed, and
    /// others while some of their kind cannot be reached.
    pub(crate) fn check_links(&mut self, now: Time, out: &mut Vec<Action>) {
        for index in 0..self.reachability.links.len() {
            let kind = self.reachability.links[index].kind.clone();
            let listed = self.listed_of(&kind);
            let links = &mut self.reachability.links[index];
            links
                .unreached
                .retain(|(_, at)| now.since(*at) <= FAILURE_MEMORY);
            let is_doubtful = links.is_partitioned || !links.unreached.is_empty();
            if !(is_doubtful || links.suspect.is_some()) || now < links.next_check_at {
                continue;
            }
            links.next_check_at = now.after(CHECK_INTERVAL);
            if let Some(suspect) = links.suspect.take() {
                out.push(Action::Check(suspect));
                continue;
            }
            let failed =
                |key: &endpoint::Key| links.unreached.iter().any(|(other, _)| other == key);
            let others = listed.iter().copied().filter(|key| !failed(key));
            let mut candidates = others.collect::<Vec<_>>();
            if candidates.is_empty() {
                candidates = listed;
            }
            links.cursor = links.cursor.wrapping_add(1);
            if let Some(index) = links.cursor.checked_rem(candidates.len()) {
                out.push(Action::Check(candidates[index]));
            }
        }
        self.reachability.tunnels.prune(now);
    }

    /// Endpoints of a kind in this instance's subset that are not leaving.
    fn listed_of(&self, kind: &Kind) -> Vec<endpoint::Key> {
        let listed = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.member.kind == *kind && endpoint.in_subset && !endpoint.member.leaving
        });
        listed.map(|(key, _)| key).collect()
    }
}
