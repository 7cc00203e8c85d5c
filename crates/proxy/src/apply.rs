//! Applies records of the store to the state of this instance.

use {
    crate::{clock, crashes, prelude::*, rollouts},
    forward::state::Change,
    platform::{
        instance::{self, Entry},
        list, records,
        records::OperatorRecord,
        store::{KeyedRecord, Topic},
    },
};

/// Applies the newest record of each key; keys that are not among them are removed, but for crashes, which
/// may be newer ([`crashes::drop_unlisted`]).
pub fn snapshot(shared: &Shared, topic: Topic, records: &[KeyedRecord]) {
    match topic {
        // Stages of rollouts never go back.
        Topic::Crashes | Topic::Rollouts | Topic::Statuses => {}
        Topic::Endpoints => remove_unlisted_endpoints(shared, records),
        Topic::Operators => {
            reinstate_unlisted_domains(shared, records);
            withdraw_unlisted_orders(shared, records);
        }
        Topic::Instances => remove_unlisted_instances(shared, records),
    }
    for record in records {
        update(shared, topic, record);
    }
}

/// Applies one record.
pub fn update(shared: &Shared, topic: Topic, record: &KeyedRecord) {
    match topic {
        Topic::Crashes => crashes::apply(shared, record),
        Topic::Endpoints => apply_endpoint(shared, record),
        Topic::Instances => apply_instance(shared, record),
        Topic::Operators => apply_operator_record(shared, record),
        Topic::Rollouts => rollouts::apply(shared, record),
        Topic::Statuses => {}
    }
}

fn remove_unlisted_endpoints(shared: &Shared, records: &[KeyedRecord]) {
    let now = clock::now();
    let mut state = shared.state.borrow_mut();
    for id in state.endpoint_ids() {
        if !records.iter().any(|record| record.key == id) {
            log::info!(endpoint = id; "endpoint removed: not among the newest records");
            state.change(now, Change::Removed(id));
        }
    }
}

/// Removes instances that have no entry. If this instance's own entry is missing, it is
/// published again: peers reject connections from instances that are not listed.
fn remove_unlisted_instances(shared: &Shared, records: &[KeyedRecord]) {
    let listed = |name: &str| records.iter().any(|record| record.key == name);
    let own = &shared.settings.instance.name;
    if !listed(own) {
        shared.republish.notify_one();
    }
    for name in shared.peers.names() {
        if name != *own && !listed(&name) {
            log::info!(fellow = name; "instance removed: not among the newest records");
            set_instance(shared, &name, None);
        }
    }
}

/// Enables failure domains that no record disables any more.
fn reinstate_unlisted_domains(shared: &Shared, records: &[KeyedRecord]) {
    let disabled = records
        .iter()
        .filter_map(|record| match records::decode_operator_record(record) {
            Ok(OperatorRecord::Domain(domain, true)) => Some(domain),
            _ => None,
        })
        .collect::<Vec<_>>();
    let mut state = shared.state.borrow_mut();
    for domain in state.disabled_domains().to_vec() {
        if !disabled.contains(&domain) {
            log::info!(domain; "failure domain enabled: not among the newest records");
            state.set_domain(&domain, false);
        }
    }
}

/// Withdraws orders of rollouts that no record holds any more.
fn withdraw_unlisted_orders(shared: &Shared, records: &[KeyedRecord]) {
    let ordered = records
        .iter()
        .filter_map(|record| match records::decode_operator_record(record) {
            Ok(OperatorRecord::Order(order)) => Some(order.service),
            _ => None,
        })
        .collect::<Vec<_>>();
    let known = {
        let state = shared.state.borrow();
        let services = state.rollouts.services().map(str::to_string);
        services.collect::<Vec<_>>()
    };
    for service in known.iter().filter(|service| !ordered.contains(service)) {
        rollouts::withdraw(shared, service);
    }
}

fn apply_endpoint(shared: &Shared, record: &KeyedRecord) {
    let (change, error) = list::change(record);
    match (&change, error) {
        (_, Some(error)) => {
            log::warn!(
                endpoint = record.key, offset = record.offset, error:%;
                "invalid endpoint record"
            );
        }
        (Change::Removed(id), None) => {
            log::info!(endpoint = id, offset = record.offset; "endpoint removed from the list");
        }
        (Change::Set(listing), None) => log::info!(
            endpoint = listing.id, offset = record.offset, leaving = listing.leaving,
            service = listing.service, domain = listing.domain, address:% = listing.address,
            version:? = listing.version, cold_ms = listing.cold.as_millis(); "endpoint listed"
        ),
    }
    shared.state.borrow_mut().change(clock::now(), change);
}

fn apply_instance(shared: &Shared, record: &KeyedRecord) {
    match instance::decode(record) {
        Ok(entry) => {
            let address = entry.as_ref().map(|entry| entry.address);
            log::info!(fellow = record.key, address:?, offset = record.offset; "instance listed");
            let own = record.key == shared.settings.instance.name;
            if own && entry.is_none() {
                shared.republish.notify_one();
            }
            set_instance(shared, &record.key, entry);
        }
        Err(error) => {
            log::warn!(
                fellow = record.key, offset = record.offset, error:%;
                "invalid instance record"
            );
        }
    }
}

/// Adds or updates an instance, or removes it if there is no entry.
fn set_instance(shared: &Shared, name: &str, entry: Option<Entry>) {
    {
        let mut state = shared.state.borrow_mut();
        if let Some(entry) = &entry {
            state.members.set(name, &entry.domain, entry.processor);
        } else {
            state.members.remove(name);
            state.peer_loads.forget(name);
            state.sums.views.forget(name);
            shared.readers.borrow_mut().forget(name);
        }
        let published = state.members.count();
        state.update_instance_count(published);
    };
    if let Some(address) = shared.peers.update(name, entry)
        && let Some(datagrams) = &*shared.peers.datagrams.borrow()
    {
        datagrams.close(address);
    }
}

fn apply_operator_record(shared: &Shared, record: &KeyedRecord) {
    match records::decode_operator_record(record) {
        Err(error) => {
            log::error!(
                key = record.key, offset = record.offset, error:%;
                "invalid operator record"
            );
        }
        Ok(OperatorRecord::Unknown(key)) => {
            log::info!(key, offset = record.offset; "unknown kind of operator record");
        }
        Ok(OperatorRecord::Order(order)) => rollouts::order(shared, order),
        Ok(OperatorRecord::Withdrawn(service)) => rollouts::withdraw(shared, &service),
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
