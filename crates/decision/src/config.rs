//! The configuration in force, derived from the configuration stream.

use {
    crate::record::{Body, Change, Facts, Item, Kind, Route, SCHEMA, Service},
    crate::{prelude::*, snapshot},
};

/// Result of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyResult {
    /// Another record had changed an item first; nothing was applied.
    Conflict {
        /// The first item in conflict.
        item: Item,
        /// Offset of the record that last changed the item, if it exists.
        winner: Option<u64>,
    },
    /// The record is in force.
    InForce,
    /// A record at this or a later offset was applied before; nothing changed.
    AlreadyApplied,
    /// The schema is newer than this version supports; the record is kept and relayed.
    UnknownSchema,
}

/// An item with the offset of the record that last changed it.
#[derive(Clone, Debug)]
struct Entry {
    body: Body,
    customer: Option<customer::Key>,
    item: Item,
    offset: u64,
}

/// The published configuration as of one offset.
#[derive(Debug, Default)]
pub struct Config {
    credentials: Vec<([u8; 32], customer::Key)>,
    /// The customers, with their counters of served tokens.
    pub customers: SlotMap<customer::Key, customer::Customer>,
    items: Vec<Entry>,
    next: u64,
    loaded: bool,
    skipped_records: u64,
}

impl Config {
    /// Applies the record at `offset`.
    ///
    /// Records at offsets below [`Self::next`] are ignored, so late and duplicate records
    /// from several sources never revert an accepted change.
    pub fn apply(&mut self, offset: u64, record: &Record) -> ApplyResult {
        if offset < self.next {
            return ApplyResult::AlreadyApplied;
        }
        self.next = offset + 1;
        self.loaded = true;
        if record.schema > SCHEMA {
            self.skipped_records += 1;
            return ApplyResult::UnknownSchema;
        }
        if let Some(change) = record
            .changes
            .iter()
            .find(|change| !self.matches_version(change))
        {
            return ApplyResult::Conflict {
                item: change.item.clone(),
                winner: self.version(&change.item),
            };
        }
        for change in &record.changes {
            self.put(offset, &change.item, change.body.as_ref());
        }
        ApplyResult::InForce
    }

    /// Whether a snapshot would contain everything published.
    ///
    /// A snapshot by a version that skipped records of a newer schema would revert them on
    /// every instance that starts from it.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.loaded && self.skipped_records == 0
    }

    /// The configuration with the offsets of its items.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.items.iter().map(|entry| snapshot::Entry {
            body: entry.body.clone(),
            item: entry.item.clone(),
            offset: entry.offset,
        });
        Snapshot {
            entries: entries.collect(),
            next: self.next,
        }
    }

    /// Replaces the configuration with a snapshot; false if the snapshot is not newer.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.next <= self.next {
            return false;
        }
        let listed = snapshot.entries.iter().map(|entry| &entry.item);
        let listed = listed.cloned().collect::<Vec<_>>();
        let removed = self
            .items
            .iter()
            .filter(|entry| !listed.contains(&entry.item));
        for item in removed.map(|entry| entry.item.clone()).collect::<Vec<_>>() {
            self.put(self.next, &item, None);
        }
        for entry in snapshot.entries {
            self.put(entry.offset, &entry.item, Some(&entry.body));
        }
        self.next = snapshot.next;
        self.loaded = true;
        true
    }

    /// The customer that a credential acts for.
    #[must_use]
    pub fn customer(&self, credential: &[u8; 32]) -> Option<customer::Key> {
        let index = self
            .credentials
            .binary_search_by_key(&credential, |(hash, _)| hash)
            .ok()?;
        Some(self.credentials[index].1)
    }

    /// Whether a failure domain is disabled.
    #[must_use]
    pub fn domain_disabled(&self, domain: &str) -> bool {
        matches!(self.get(Kind::Domain, domain), Some(Body::Domain(domain)) if domain.out)
    }

    /// Published facts about an endpoint, or the defaults.
    #[must_use]
    pub fn facts(&self, endpoint: &str) -> Facts {
        match self.get(Kind::Endpoint, endpoint) {
            Some(Body::Endpoint(facts)) => *facts,
            _ => Facts::default(),
        }
    }

    /// Items with the offsets of their last changes, sorted.
    pub fn items(&self) -> impl Iterator<Item = (&Item, u64, &Body)> {
        self.items
            .iter()
            .map(|entry| (&entry.item, entry.offset, &entry.body))
    }

    /// The offset after the last record applied.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// The route of a public model name.
    #[must_use]
    pub fn route(&self, model: &str) -> Option<&Route> {
        match self.get(Kind::Route, model)? {
            Body::Route(route) => Some(route),
            _ => None,
        }
    }

    /// Whether a record or snapshot was applied.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// A plain service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.get(Kind::Service, name)? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Offset of the record that last changed an item.
    #[must_use]
    pub fn version(&self, item: &Item) -> Option<u64> {
        let index = self.search(item.kind, &item.name).ok()?;
        Some(self.items[index].offset)
    }

    fn put(&mut self, offset: u64, item: &Item, body: Option<&Body>) {
        let index = self.search(item.kind, &item.name);
        let Some(body) = body else {
            if let Ok(index) = index {
                let removed = self.items.remove(index);
                self.drop_customer(removed.customer);
            }
            return;
        };
        let old = index.ok().and_then(|index| self.items[index].customer);
        let entry = Entry {
            body: body.clone(),
            customer: self.put_customer(old, &item.name, body),
            item: item.clone(),
            offset,
        };
        match index {
            Ok(index) => self.items[index] = entry,
            Err(index) => self.items.insert(index, entry),
        }
    }

    fn drop_customer(&mut self, key: Option<customer::Key>) {
        let Some(key) = key else {
            return;
        };
        self.customers.remove(key);
        self.credentials.retain(|(_, owner)| *owner != key);
    }

    fn matches_version(&self, change: &Change) -> bool {
        self.version(&change.item) == change.replaces
    }

    fn get(&self, kind: Kind, name: &str) -> Option<&Body> {
        let index = self.search(kind, name).ok()?;
        Some(&self.items[index].body)
    }

    fn search(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|entry| {
            (entry.item.kind, entry.item.name.as_str()).cmp(&(kind, name))
        })
    }

    fn put_customer(
        &mut self,
        old: Option<customer::Key>,
        name: &str,
        body: &Body,
    ) -> Option<customer::Key> {
        let Body::Customer(body) = body else {
            return None;
        };
        let served = old
            .and_then(|key| self.customers.get(key))
            .map_or(0.0, |old| old.served);
        let customer = customer::Customer {
            credentials: body.credentials.clone(),
            name: name.to_string(),
            priority: body.priority,
            served,
            weight: f64::from(body.weight.max(1)),
        };
        let key = match old {
            Some(key) => {
                self.credentials.retain(|(_, owner)| *owner != key);
                self.customers[key] = customer;
                key
            }
            None => self.customers.insert(customer),
        };
        for hash in &body.credentials {
            let index = self.credentials.partition_point(|(other, _)| other < hash);
            self.credentials.insert(index, (*hash, key));
        }
        Some(key)
    }
}
