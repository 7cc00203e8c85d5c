//! The other instances, as they published themselves.

use {
    crate::{clock, prelude::*, settings::Instance},
    fellow::{datagram::Datagrams, pinned::Fingerprint},
    forward::reader::Readers,
    platform::instance::Entry,
};

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
    /// Whether it stands in the own failure domain.
    pub near: bool,
}

/// Fellows that are known.
#[derive(Debug, Default)]
pub struct Fellows {
    /// Connections to them, once there is a socket.
    pub datagrams: RefCell<Option<Datagrams>>,
    /// Life and number of the last report of each fellow, sorted by name.
    echoes: RefCell<Vec<(String, (u64, u64))>>,
    /// Sorted by name.
    known: RefCell<Vec<Fellow>>,
}

impl Fellows {
    /// Takes a record of an instance in.
    pub fn hear(&self, name: &str, entry: Option<Entry>) {
        let mut fellows = self.known.borrow_mut();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        match (place, entry) {
            (Ok(place), Some(entry)) => {
                fellows[place].entry = entry;
                fellows[place].listed = clock::now();
            }
            (Ok(place), None) => {
                fellows.remove(place);
            }
            (Err(place), Some(entry)) => {
                let name = name.to_string();
                let listed = clock::now();
                fellows.insert(
                    place,
                    Fellow {
                        entry,
                        listed,
                        name,
                    },
                );
            }
            (Err(_), None) => {}
        }
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

    /// Instances that have published themselves, this one included.
    #[must_use]
    pub fn published(&self) -> usize {
        self.known.borrow().len()
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
                near: fellow.entry.domain == own.domain,
            })
            .collect()
    }

    /// Fellows whose entries are to be dropped.
    #[must_use]
    pub fn dead(&self, readers: &Readers, own: &str, now: Time) -> Vec<String> {
        let fellows = self.known.borrow();
        let dead = fellows
            .iter()
            .filter(|fellow| fellow.name != own)
            .filter(|fellow| readers.is_dead(&fellow.name, fellow.listed, now));
        dead.map(|fellow| fellow.name.clone()).collect()
    }

    /// Whether a fellow stands in a failure domain.
    #[must_use]
    pub fn is_in(&self, name: &str, domain: &str) -> bool {
        let fellows = self.known.borrow();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        place.is_ok_and(|place| fellows[place].entry.domain == domain)
    }

    fn echo(&self, name: &str) -> (u64, u64) {
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
