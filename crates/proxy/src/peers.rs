//! The other instances, as listed in the store.

use {
    crate::{clock, prelude::*, settings::Instance},
    forward::reader::Readers,
    peer::{datagram::DatagramSocket, pinned::Fingerprint},
    platform::instance::Entry,
};

/// Time after its last request for rows for which a member counts as a subscriber.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer, as it published itself.
#[derive(Clone, Debug, PartialEq)]
struct Peer {
    entry: Entry,
    /// When its entry was last read.
    listed_at: Time,
    name: String,
}

/// Address of a peer, and what to echo to it.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress {
    /// Address for messages from peers.
    pub address: SocketAddr,
    /// Incarnation and number to echo to it.
    pub echo: (u64, u64),
}

/// All listed instances, this one included.
#[derive(Debug, Default)]
pub struct Peers {
    /// Socket with connections to them, once it is set up.
    pub datagrams: RefCell<Option<DatagramSocket>>,
    /// Incarnation and number of the last report of each peer, sorted by name.
    echoes: RefCell<Vec<(String, (u64, u64))>>,
    /// Sorted by name.
    known: RefCell<Vec<Peer>>,
    /// Members that receive records from this instance and when they last requested rows,
    /// sorted by name.
    subscribers: RefCell<Vec<(String, Time)>>,
}

impl Peers {
    /// Adds, updates or removes an instance. Returns its address if it has restarted there, so
    /// that an open connection to it is stale.
    pub fn update(&self, name: &str, entry: Option<Entry>) -> Option<SocketAddr> {
        let mut peers = self.known.borrow_mut();
        let index = peers.binary_search_by(|peer| peer.name.as_str().cmp(name));
        match (index, entry) {
            (Ok(index), Some(entry)) => {
                let peer = &mut peers[index];
                let restarted = peer.entry.fingerprint != entry.fingerprint;
                let address = entry.address;
                peer.entry = entry;
                peer.listed_at = clock::now();
                restarted.then_some(address)
            }
            (Ok(index), None) => {
                peers.remove(index);
                self.echoes.borrow_mut().retain(|(other, _)| other != name);
                None
            }
            (Err(index), Some(entry)) => {
                let peer = Peer {
                    entry,
                    listed_at: clock::now(),
                    name: name.to_string(),
                };
                peers.insert(index, peer);
                None
            }
            (Err(_), None) => None,
        }
    }

    /// Names of all listed instances, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let peers = self.known.borrow();
        peers.iter().map(|peer| peer.name.clone()).collect()
    }

    /// Address of a peer.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let peers = self.known.borrow();
        let index = peers.binary_search_by(|peer| peer.name.as_str().cmp(name));
        index.ok().map(|index| peers[index].entry.address)
    }

    /// Addresses of all instances but `own`, sorted.
    #[must_use]
    pub fn addresses(&self, own: &str) -> Vec<SocketAddr> {
        let peers = self.known.borrow();
        let others = peers.iter().filter(|peer| peer.name != own);
        let mut addresses = others.map(|peer| peer.entry.address).collect::<Vec<_>>();
        addresses.sort_unstable();
        addresses
    }

    /// Fingerprints of all listed instances.
    #[must_use]
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let peers = self.known.borrow();
        peers.iter().map(|peer| peer.entry.fingerprint).collect()
    }

    /// All instances but `own`.
    #[must_use]
    pub fn others(&self, own: &Instance) -> Vec<PeerAddress> {
        let peers = self.known.borrow();
        let others = peers.iter().filter(|peer| peer.name != own.name);
        others
            .map(|peer| PeerAddress {
                address: peer.entry.address,
                echo: self.echo(&peer.name),
            })
            .collect()
    }

    /// Peers whose entries are to be dropped; where instances are `many`, only those of the own
    /// failure domain, since the others do not report here.
    #[must_use]
    pub fn expired(&self, readers: &Readers, own: &Instance, many: bool, now: Time) -> Vec<String> {
        let peers = self.known.borrow();
        let expired = peers
            .iter()
            .filter(|peer| peer.name != own.name)
            .filter(|peer| !many || peer.entry.domain == own.domain)
            .filter(|peer| readers.is_dead(&peer.name, peer.listed_at, now));
        expired.map(|peer| peer.name.clone()).collect()
    }

    /// Records that a member receives records from this instance.
    pub fn note_subscriber(&self, name: &str, now: Time) {
        let mut subscribers = self.subscribers.borrow_mut();
        match subscribers.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(index) => subscribers[index].1 = now,
            Err(index) => subscribers.insert(index, (name.to_string(), now)),
        }
    }

    /// Members that receive records from this instance.
    #[must_use]
    pub fn subscribers(&self, now: Time) -> Vec<String> {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|(_, seen_at)| now.since(*seen_at) <= SUBSCRIPTION_TIMEOUT);
        subscribers.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Incarnation and number to echo to a peer; zeros if it has not reported.
    #[must_use]
    pub fn echo(&self, name: &str) -> (u64, u64) {
        let echoes = self.echoes.borrow();
        let index = echoes.binary_search_by(|(other, _)| other.as_str().cmp(name));
        index.map_or((0, 0), |index| echoes[index].1)
    }

    /// Records incarnation and number of a peer's last report, to be echoed to it. Returns
    /// whether it has restarted.
    pub fn record_report(&self, name: &str, incarnation: u64, number: u64) -> bool {
        let mut echoes = self.echoes.borrow_mut();
        match echoes.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(index) => {
                let (before, _) = std::mem::replace(&mut echoes[index].1, (incarnation, number));
                before != incarnation
            }
            Err(index) => {
                echoes.insert(index, (name.to_string(), (incarnation, number)));
                false
            }
        }
    }
}
