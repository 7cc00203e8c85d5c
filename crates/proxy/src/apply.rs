//! Taking records of the store in.

use {
    crate::{clock, prelude::*},
    forward::state::Change,
    platform::{
        instance::{self, Entry},
        list, records,
        records::OperatorRecord,
        store::{KeyedRecord, Topic},
    },
};

/// Takes the newest record of each key in; keys that are not among them are gone.
pub fn all(shared: &Shared, topic: Topic, records: &[KeyedRecord]) {
    match topic {
        Topic::Endpoints => drop_unlisted(shared, records),
        Topic::Operators => take_back(shared, records),
        Topic::Instances => forget_unlisted(shared, records),
    }
    for record in records {
        one(shared, topic, record);
    }
}

/// Takes one record in.
pub fn one(shared: &Shared, topic: Topic, record: &KeyedRecord) {
    match topic {
        Topic::Endpoints => entry(shared, record),
        Topic::Instances => fellow(shared, record),
        Topic::Operators => order(shared, record),
    }
}

fn drop_unlisted(shared: &Shared, records: &[KeyedRecord]) {
    let now = clock::now();
    let mut state = shared.state.borrow_mut();
    for id in state.listed() {
        if !records.iter().any(|record| record.key == id) {
            log::info!(endpoint = id; "endpoint not among the newest records");
            state.change(now, Change::Gone(id));
        }
    }
}

/// Instances whose entry is gone are forgotten. If it is the own one, it is written again:
/// fellows that have not heard of an instance do not let it in.
fn forget_unlisted(shared: &Shared, records: &[KeyedRecord]) {
    let listed = |name: &str| records.iter().any(|record| record.key == name);
    let own = &shared.settings.instance.name;
    if !listed(own) {
        shared.republish.notify_one();
    }
    for name in shared.fellows.names() {
        if name != *own && !listed(&name) {
            log::info!(fellow = name; "instance not among the newest records");
            list(shared, &name, None);
        }
    }
}

/// Failure domains whose record is gone are in again.
fn take_back(shared: &Shared, records: &[KeyedRecord]) {
    let out = records
        .iter()
        .filter_map(|record| match records::decode_operator_record(record) {
            Ok(OperatorRecord::Domain(domain, true)) => Some(domain),
            _ => None,
        })
        .collect::<Vec<_>>();
    let mut state = shared.state.borrow_mut();
    for domain in state.domains_out().to_vec() {
        if !out.contains(&domain) {
            log::info!(domain; "failure domain in again by the newest records");
            state.set_domain(&domain, false);
        }
    }
}

fn entry(shared: &Shared, record: &KeyedRecord) {
    let (change, error) = list::change(record);
    match (&change, error) {
        (_, Some(error)) => {
            log::warn!(endpoint = record.key, offset = record.offset, error:%; "entry of no use");
        }
        (Change::Gone(id), None) => {
            log::info!(endpoint = id, offset = record.offset; "endpoint gone from the list");
        }
        (Change::Set(listing), None) => log::info!(
            endpoint = listing.id, offset = record.offset, leaving = listing.leaving,
            service = listing.service, domain = listing.domain, address:% = listing.address,
            cold_ms = listing.cold.as_millis(); "endpoint listed"
        ),
    }
    shared.state.borrow_mut().change(clock::now(), change);
}

fn fellow(shared: &Shared, record: &KeyedRecord) {
    match instance::decode(record) {
        Ok(entry) => {
            let address = entry.as_ref().map(|entry| entry.address);
            log::info!(fellow = record.key, address:?, offset = record.offset; "instance listed");
            let own = record.key == shared.settings.instance.name;
            if own && entry.is_none() {
                shared.republish.notify_one();
            }
            list(shared, &record.key, entry);
        }
        Err(error) => {
            log::warn!(fellow = record.key, offset = record.offset, error:%; "record of no use");
        }
    }
}

/// Takes the entry of an instance in, or forgets the instance.
fn list(shared: &Shared, name: &str, entry: Option<Entry>) {
    {
        let mut state = shared.state.borrow_mut();
        if let Some(entry) = &entry {
            state.members.set(name, &entry.domain, entry.processor);
        } else {
            state.members.remove(name);
            state.fellows.forget(name);
            state.sums.views.forget(name);
            shared.readers.borrow_mut().forget(name);
        }
        let published = state.members.count();
        state.count_instances(published);
    };
    if let Some(address) = shared.fellows.hear(name, entry)
        && let Some(datagrams) = &*shared.fellows.datagrams.borrow()
    {
        datagrams.close(address);
    }
}

fn order(shared: &Shared, record: &KeyedRecord) {
    match records::decode_operator_record(record) {
        Err(error) => {
            log::error!(key = record.key, offset = record.offset, error:%; "record of no use");
        }
        Ok(OperatorRecord::Unknown(key)) => {
            log::info!(key, offset = record.offset; "record of an unknown kind");
        }
        Ok(OperatorRecord::Domain(domain, out)) => {
            let changed = shared.state.borrow_mut().set_domain(&domain, out);
            log::info!(domain, out, changed, offset = record.offset; "failure domain set");
        }
        Ok(OperatorRecord::Configure(config)) => {
            let (version, routes) = (config.version, config.routes());
            let taken = shared.state.borrow_mut().configure(*config);
            log::info!(version, routes, taken, offset = record.offset; "configuration read");
        }
    }
}
