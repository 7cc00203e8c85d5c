//! Words between instances: reports of load and knowledge, and records that were read.

use {
    crate::{
        clock, follow,
        message::{Batch, Message, RawRecord, Report},
        prelude::*,
        topic,
    },
    fellow::{
        datagram::Datagrams,
        pinned::{self, Identity, Pins},
    },
    forward::{
        endpoint::Load,
        load::digest,
        reader::{Mark, Word, is_many},
    },
    platform::{
        instance::{self, Entry},
        store::{Keyed, Topic},
    },
    tokio::sync::mpsc,
};

/// Shortest pause between two reports. A request is placed on what the others reported
/// last, so it is a few times shorter than the time between two arrivals at a quiet hour.
const SHORTEST: Duration = Duration::from_millis(25);

/// The same where there are many fellows, each of whom has a fraction of the load.
const SHORTEST_OF_MANY: Duration = Duration::from_millis(120);

/// Where there are many fellows, those in other failure domains hear of each change of the
/// load, and besides one report in so many; a report lives for two seconds.
const FAR_ROUNDS: usize = 5;

/// Longest pause between two reports. What a report says of knowledge is proved by the
/// number that it echoes, so two pauses add to the age of knowledge.
const LONGEST: Duration = Duration::from_millis(250);

/// Pause before a fellow that could not be reached is tried again.
const RECONNECT: Duration = Duration::from_millis(700);

/// Pause before the own entry is written again after a failed call.
const PUBLISH_RETRY: Duration = Duration::from_millis(400);

/// How often entries of silent instances are looked for.
const LOOK_FOR_DEAD: Duration = Duration::from_secs(20);

/// Endpoints in one report, the busiest first, so that it fits into a datagram.
const MOST_ENDPOINTS: usize = 90;

/// Datagrams that wait to be read.
const MOST_HEARD: usize = 256;

/// Publishes this instance, then tells fellows of its load and hears of theirs, for ever.
pub async fn run(shared: Rc<Shared>) {
    let (heard, reports) = mpsc::channel(MOST_HEARD);
    let pins = Pins::default();
    let address = shared.settings.instance.fellows;
    let started = Identity::new().and_then(|identity| {
        let configs = pinned::configs(&identity, &pins)?;
        let datagrams = Datagrams::listen(address, configs, heard)?;
        let address = datagrams.address()?;
        Ok((identity, datagrams, address))
    });
    let (identity, datagrams, address) = match started {
        Ok(started) => started,
        Err(error) => {
            log::error!(error:%; "no exchange with fellow instances");
            return;
        }
    };
    let entry = Entry {
        address,
        domain: shared.settings.instance.domain.clone(),
        fingerprint: identity.fingerprint,
    };
    shared.fellows.datagrams.replace(Some(datagrams.clone()));
    tokio::join!(
        keep_published(&shared, &entry),
        drop_dead(&shared),
        connect(&shared, &datagrams, &pins, address),
        tell(&shared, &datagrams),
        hear(&shared, reports),
    );
}

/// Publishes this instance, and again whenever its entry was dropped.
async fn keep_published(shared: &Shared, entry: &Entry) {
    loop {
        publish(shared, entry).await;
        shared.republish.notified().await;
    }
}

/// Drops entries of instances that have been silent for long, if this instance is the one
/// that reads the list of instances.
async fn drop_dead(shared: &Shared) {
    let own = &shared.settings.instance.name;
    loop {
        sleep(LOOK_FOR_DEAD).await;
        let now = clock::now();
        let known = follow::own(shared, Topic::Instances);
        if !shared.readers.borrow().reads(known, now) {
            continue;
        }
        let dead = shared.fellows.dead(&shared.readers.borrow(), own, now);
        for name in dead {
            let put = shared.store.put(Topic::Instances, &name, b"");
            match put.await {
                Ok(()) => log::info!(fellow = name; "entry of a silent instance dropped"),
                Err(error) => log::warn!(fellow = name, error:%; "entry not dropped"),
            }
        }
    }
}

async fn publish(shared: &Shared, entry: &Entry) {
    let name = &shared.settings.instance.name;
    let value = instance::encode(entry);
    loop {
        let put = shared.store.put(Topic::Instances, name, value.as_bytes());
        match put.await {
            Ok(()) => {
                shared.meters.store_called("put");
                log::info!(address:% = entry.address; "instance published");
                return;
            }
            // The record may stand all the same; writing it twice changes nothing.
            Err(error) => {
                shared.meters.store_called("failed");
                log::warn!(error:%; "instance not published");
            }
        }
        sleep(PUBLISH_RETRY).await;
    }
}

/// Keeps a connection open to each fellow; of two instances, the one with the lower address
/// opens it.
async fn connect(shared: &Shared, datagrams: &Datagrams, pins: &Pins, own: SocketAddr) {
    loop {
        pins.set(shared.fellows.fingerprints());
        let others = shared.fellows.others(&shared.settings.instance);
        let addresses = others.into_iter().map(|other| other.address);
        let addresses = addresses.collect::<Vec<_>>();
        datagrams.retain(&addresses);
        for address in addresses.into_iter().filter(|address| *address > own) {
            let datagrams = datagrams.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = datagrams.connect(address).await {
                    log::debug!(address:%, error:%; "fellow instance not reached");
                }
            });
        }
        sleep(RECONNECT).await;
    }
}

/// Reports load and knowledge whenever the load has changed, and from time to time.
async fn tell(shared: &Shared, datagrams: &Datagrams) {
    let mut round = 0_usize;
    let mut pause = SHORTEST;
    loop {
        let changed = timeout(LONGEST.saturating_sub(pause), shared.load.notified()).await;
        let mut report = report(shared);
        let others = shared.fellows.others(&shared.settings.instance);
        let many = is_many(others.len());
        round = round.wrapping_add(1);
        for (place, other) in others.iter().enumerate() {
            let told = other.near || changed.is_ok() || (round + place).is_multiple_of(FAR_ROUNDS);
            if many && !told {
                continue;
            }
            report.echo = other.echo;
            let address = other.address;
            let Some(data) = Message::Report(report.clone()).encode() else {
                continue;
            };
            if let Err(error) = datagrams.send(address, data) {
                log::trace!(address:%, error:%; "report not sent");
            }
        }
        pause = if many { SHORTEST_OF_MANY } else { SHORTEST };
        sleep(pause).await;
    }
}

fn report(shared: &Shared) -> Report {
    let mut loads = shared.state.borrow().report();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    loads.truncate(MOST_ENDPOINTS);
    let rows = loads.into_iter();
    let words = topic::ALL.map(|topic| {
        let word = shared.topic(topic).word();
        let age = word
            .age
            .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        (age, word.position)
    });
    Report {
        echo: (0, 0),
        life: shared.life,
        loads: rows
            .map(|(id, load)| {
                let Load {
                    copies,
                    reading,
                    requests,
                    tokens,
                } = load;
                (digest(&id), tokens, copies, reading, requests)
            })
            .collect(),
        name: shared.settings.instance.name.clone(),
        number: clock::now().micros(),
        words,
    }
}

/// Passes records on to all fellows, right after they were read.
pub fn pass_on(shared: &Shared, topic: Topic, from: u64, records: &[Keyed]) {
    let records = records.iter().map(|record| RawRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.as_ref().map(|value| value.to_vec()),
    });
    let batch = Batch {
        from,
        records: records.collect(),
        topic: u8::try_from(topic::index(topic)).unwrap_or(u8::MAX),
    };
    let datagrams = shared.fellows.datagrams.borrow();
    let data = batch.pack().and_then(|message| message.encode());
    let (Some(datagrams), Some(data)) = (&*datagrams, data) else {
        return;
    };
    let others = shared.fellows.others(&shared.settings.instance);
    let many = is_many(others.len());
    for other in others.iter().filter(|other| other.near || !many) {
        let address = other.address;
        if let Err(error) = datagrams.send_whole(address, data.clone()) {
            log::trace!(address:%, error:%; "records not passed on");
        }
    }
}

async fn hear(shared: &Shared, mut messages: mpsc::Receiver<Bytes>) {
    while let Some(data) = messages.recv().await {
        match postcard::from_bytes::<Message>(&data) {
            Ok(Message::Records(data)) => match Batch::unpack(&data) {
                Ok(batch) => take(shared, batch),
                Err(error) => log::warn!(error:%; "records of a fellow instance cannot be read"),
            },
            Ok(Message::Report(report)) => hear_report(shared, report),
            Err(error) => log::warn!(error:%; "message of a fellow instance cannot be read"),
        }
    }
}

/// Takes records in that a fellow has read.
fn take(shared: &Shared, batch: Batch) {
    let Some(topic) = topic::ALL.get(usize::from(batch.topic)) else {
        log::warn!(topic = batch.topic; "records of an unknown topic");
        return;
    };
    if shared.topic(*topic).position.get().is_none() {
        // Nothing is known yet; the first read brings them.
        return;
    }
    let records = batch.records.into_iter().map(|record| Keyed {
        key: record.key,
        offset: record.offset,
        value: record.value.map(Bytes::from),
    });
    let records = records.collect::<Vec<_>>();
    let known = shared.topic(*topic).position.get();
    let reached = follow::take(shared, *topic, batch.from, &records);
    log::info!(
        topic:? = topic, from = batch.from, records = records.len(), known:?, reached;
        "records of a fellow"
    );
}

fn hear_report(shared: &Shared, report: Report) {
    let now = clock::now();
    let anew = shared
        .fellows
        .note(&report.name, report.life, report.number);
    let row = |(digest, tokens, copies, reading, requests)| {
        let load = Load {
            copies,
            reading,
            requests,
            tokens,
        };
        (digest, load)
    };
    let loads = report.loads.into_iter().map(row).collect();
    let mut state = shared.state.borrow_mut();
    if anew {
        log::info!(fellow = report.name; "fellow instance has started anew");
        state.fellows.forget(&report.name);
    }
    state.fellows.hear(&report.name, now, report.number, loads);
    drop(state);
    let words = report.words.map(|(age, position)| Word {
        age: age.map(|age| Duration::from_millis(u64::from(age))),
        position,
    });
    let domain = &shared.settings.instance.domain;
    let near = shared.fellows.is_in(&report.name, domain);
    shared
        .readers
        .borrow_mut()
        .hear(&report.name, now, near, words);
    let (life, micros) = report.echo;
    let echo = Mark {
        at: Time::from_micros(micros),
        life,
    };
    for (topic, word) in topic::ALL.into_iter().zip(words) {
        let known = shared.topic(topic).position.get();
        if let Some(asked) = known.and_then(|position| word.proves(echo, shared.life, position)) {
            follow::prove(shared, topic, asked);
        }
    }
}
