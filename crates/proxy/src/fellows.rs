//! The other instances, as they published themselves.

use {
    crate::{clock, prelude::*, settings::Instance},
    forward::reader::Readers,
    peer::{datagram::DatagramSocket, pinned::Fingerprint},
    platform::instance::Entry,
};

/// Time after which a member that has not asked for rows takes records from another
/// aggregator.
const LISTENS: Duration = Duration::from_secs(2);

/// A fellow, as it published itself.
#[derive(Clone, Debug, PartialEq)]
struct Fellow {
    entry: Entry,
    /// When its entry was read.
    listed: Time,
    name: String,
}

/// Another instance, as seen from the own one.
#[derive(Clone, Copy, Debug)]
pub struct Other {
    /// Where it listens for fellows.
    pub address: SocketAddr,
    /// Life and number to be echoed to it.
    pub echo: (u64, u64),
}

/// Fellows that are known.
#[derive(Debug, Default)]
pub struct Fellows {
    /// Connections to them, once there is a socket.
    pub datagrams: RefCell<Option<DatagramSocket>>,
    /// Life and number of the last report of each fellow, sorted by name.
    echoes: RefCell<Vec<(String, (u64, u64))>>,
    /// Sorted by name.
    known: RefCell<Vec<Fellow>>,
    /// Members that take records from this instance and when they last said so, sorted by
    /// name.
    listeners: RefCell<Vec<(String, Time)>>,
}

impl Fellows {
    /// Takes a record of an instance in. Returns the address of one that has started anew
    /// there, to which an open connection leads nowhere.
    pub fn hear(&self, name: &str, entry: Option<Entry>) -> Option<SocketAddr> {
        let mut fellows = self.known.borrow_mut();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        match (place, entry) {
            (Ok(place), Some(entry)) => {
                let fellow = &mut fellows[place];
                let anew = fellow.entry.fingerprint != entry.fingerprint;
                let address = entry.address;
                fellow.entry = entry;
                fellow.listed = clock::now();
                anew.then_some(address)
            }
            (Ok(place), None) => {
                fellows.remove(place);
                self.echoes.borrow_mut().retain(|(other, _)| other != name);
                None
            }
            (Err(place), Some(entry)) => {
                let fellow = Fellow {
                    entry,
                    listed: clock::now(),
                    name: name.to_string(),
                };
                fellows.insert(place, fellow);
                None
            }
            (Err(_), None) => None,
        }
    }

    /// Names of all that are published, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let fellows = self.known.borrow();
        fellows.iter().map(|fellow| fellow.name.clone()).collect()
    }

    /// Where a fellow listens.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let fellows = self.known.borrow();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        place.ok().map(|place| fellows[place].entry.address)
    }

    /// Where all fellows listen, sorted.
    #[must_use]
    pub fn addresses(&self, own: &str) -> Vec<SocketAddr> {
        let fellows = self.known.borrow();
        let others = fellows.iter().filter(|fellow| fellow.name != own);
        let mut addresses = others
            .map(|fellow| fellow.entry.address)
            .collect::<Vec<_>>();
        addresses.sort_unstable();
        addresses
    }

    /// Fingerprints of all that are published.
    #[must_use]
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let fellows = self.known.borrow();
        fellows
            .iter()
            .map(|fellow| fellow.entry.fingerprint)
            .collect()
    }

    /// The other instances, as seen from the own one.
    #[must_use]
    pub fn others(&self, own: &Instance) -> Vec<Other> {
        let fellows = self.known.borrow();
        let others = fellows.iter().filter(|fellow| fellow.name != own.name);
        others
            .map(|fellow| Other {
                address: fellow.entry.address,
                echo: self.echo(&fellow.name),
            })
            .collect()
    }

    /// Fellows whose entries are to be dropped; where instances are `many` only those of the
    /// own failure domain, since the others are not heard.
    #[must_use]
    pub fn dead(&self, readers: &Readers, own: &Instance, many: bool, now: Time) -> Vec<String> {
        let fellows = self.known.borrow();
        let dead = fellows
            .iter()
            .filter(|fellow| fellow.name != own.name)
            .filter(|fellow| !many || fellow.entry.domain == own.domain)
            .filter(|fellow| readers.is_dead(&fellow.name, fellow.listed, now));
        dead.map(|fellow| fellow.name.clone()).collect()
    }

    /// A member takes records from this instance.
    pub fn listens(&self, name: &str, now: Time) {
        let mut listeners = self.listeners.borrow_mut();
        match listeners.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(place) => listeners[place].1 = now,
            Err(place) => listeners.insert(place, (name.to_string(), now)),
        }
    }

    /// Members that take records from this instance.
    #[must_use]
    pub fn listeners(&self, now: Time) -> Vec<String> {
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|(_, heard)| now.since(*heard) <= LISTENS);
        listeners.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Life and number to be echoed to a fellow.
    #[must_use]
    pub fn echo(&self, name: &str) -> (u64, u64) {
        let echoes = self.echoes.borrow();
        let place = echoes.binary_search_by(|(other, _)| other.as_str().cmp(name));
        place.map_or((0, 0), |place| echoes[place].1)
    }

    /// Notes life and number of a fellow's last report, to be echoed to it. Returns whether
    /// it has started anew.
    pub fn note(&self, name: &str, life: u64, number: u64) -> bool {
        let mut echoes = self.echoes.borrow_mut();
        match echoes.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(place) => {
                let (before, _) = std::mem::replace(&mut echoes[place].1, (life, number));
                before != life
            }
            Err(place) => {
                echoes.insert(place, (name.to_string(), (life, number)));
                false
            }
        }
    }
}
