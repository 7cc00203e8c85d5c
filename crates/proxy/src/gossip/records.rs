//! Relaying of records of the store between instances.

use {
    super::{history::History, role},
    crate::{
        clock, follow,
        message::{Batch, Message, RawRecord, RawWatermark, Trailer},
        prelude::*,
        topic,
    },
    forward::{aggregate::members::Role, reader::TOPICS},
    platform::store::{KeyedRecord, Topic},
};

/// Relays records that this instance has read: to all peers if they are few, otherwise to
/// aggregators and, if it is an aggregator itself, to members.
pub fn relay(shared: &Shared, topic: Topic, from: u64, records: &[KeyedRecord]) {
    let names = shared.links().into_iter().map(|link| {
        let state = shared.state.borrow();
        state.members.name(link.key).to_string()
    });
    let mut names = names.collect::<Vec<_>>();
    if role(shared) == Role::Aggregator {
        names.extend(shared.state.borrow().sums.domains.senders());
        names.extend(shared.peers.subscribers(clock::now()));
    }
    send(shared, topic, from, records, names);
}

/// Applies records that a peer has read. An aggregator relays those that are new to it: from
/// another aggregator to members, from a member to all.
pub fn receive(shared: &Shared, batch: Batch) {
    let Some(topic) = topic::ALL.get(usize::from(batch.topic)).copied() else {
        log::warn!(topic = batch.topic; "received records of unknown topic");
        return;
    };
    let Some(known) = shared.topic(topic).position.get() else {
        // Nothing is known yet; the first read will include them.
        return;
    };
    let records = batch.records.into_iter().map(|record| KeyedRecord {
        key: record.key,
        offset: record.offset,
        value: record.value.map(Bytes::from),
    });
    let records = records.collect::<Vec<_>>();
    let reached = follow::apply_records(shared, topic, batch.from, &records);
    log::info!(
        topic:?, from = batch.from, records = records.len(), known, reached;
        "records of a peer"
    );
    if reached <= known || role(shared) != Role::Aggregator {
        return;
    }
    let subscribers = shared.peers.subscribers(clock::now());
    if subscribers.contains(&batch.sender) {
        relay(shared, topic, batch.from, &records);
    } else {
        send(shared, topic, batch.from, &records, subscribers);
    }
}

/// Retains records for members that lack some; only aggregators do.
pub fn retain_history(shared: &Shared, topic: Topic, from: u64, records: &[KeyedRecord]) {
    let mut history = shared.history[topic::index(topic)].borrow_mut();
    if role(shared) == Role::Aggregator {
        history.add(from, records);
    } else {
        *history = History::default();
    }
}

/// Sends a member the records that it lacks according to its watermarks.
pub fn send_missing(shared: &Shared, member: &str, watermarks: [RawWatermark; TOPICS]) {
    let now = clock::now();
    for (topic, (age, position)) in topic::ALL.into_iter().zip(watermarks) {
        let known = shared.topic(topic).position.get().unwrap_or_default();
        if age.is_none() || position >= known {
            continue;
        }
        let mut history = shared.history[topic::index(topic)].borrow_mut();
        let Some(records) = history.since(position) else {
            continue;
        };
        if history.due(member, now) {
            let to = vec![member.to_string()];
            send(shared, topic, position, &records, to);
        }
    }
}

fn send(shared: &Shared, topic: Topic, from: u64, records: &[KeyedRecord], mut names: Vec<String>) {
    let raw = records.iter().map(|record| RawRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.as_ref().map(|value| value.to_vec()),
    });
    let batch = Batch {
        from,
        records: raw.collect(),
        sender: shared.settings.instance.name.clone(),
        topic: u8::try_from(topic::index(topic)).unwrap_or(u8::MAX),
    };
    let datagrams = shared.peers.datagrams.borrow();
    let data = batch
        .compress()
        .and_then(|message| Message::encode(&message, &Trailer::default()));
    let (Some(datagrams), Some(data)) = (&*datagrams, data) else {
        return;
    };
    names.sort_unstable();
    names.dedup();
    for address in names.iter().filter_map(|name| shared.peers.address(name)) {
        if let Err(error) = datagrams.send_reliable(address, data.clone()) {
            log::trace!(address:%, error:%; "cannot relay records");
        }
    }
}
