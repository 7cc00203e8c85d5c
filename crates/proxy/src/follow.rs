//! Tasks that follow the store's topics.

use {
    crate::{clock, prelude::*},
    platform::{
        instance, list, records,
        records::Order,
        store::{Keyed, Topic},
    },
    rand::RngExt as _,
};

/// Time that the store holds a read open when nothing is new. Knowledge is as old as the
/// sending of the last read that returned, so on a quiet day its age swings between one
/// and two of these; at two it is still below the age up to which it is believed.
const HOLD: Duration = Duration::from_millis(900);

/// The same for the list of instances, whose age bounds nothing.
const HOLD_INSTANCES: Duration = Duration::from_secs(12);

/// Pause between two reads. Changes come a few a second, and each read is a call that
/// counts; a pause takes several changes into one.
const PAUSE: Duration = Duration::from_millis(60);

/// Shortest and longest pause after a failed call, drawn anew each time so that instances
/// do not call in step.
const RETRY: (u64, u64) = (40, 240);

/// How often doubts of the endpoint list are looked at.
const TICK: Duration = Duration::from_millis(250);

/// Follows a topic for ever.
pub async fn follow(shared: Rc<Shared>, topic: Topic) {
    let mut position = None;
    let mut reached = true;
    let mut fresh = false;
    loop {
        let hold = hold(topic, fresh);
        let result = match position {
            None => start(&shared, topic, None).await,
            Some(from) => go_on(&shared, topic, from, hold).await,
        };
        match result {
            Ok(next) => {
                fresh = position.is_some();
                if !reached {
                    log::info!(topic:?; "store regained");
                }
                reached = true;
                position = Some(next);
                if fresh {
                    sleep(PAUSE).await;
                }
            }
            Err(error) => {
                shared.meters.store_called("failed");
                if reached {
                    log::warn!(topic:?, error:%; "store lost");
                }
                reached = false;
                fresh = false;
                let pause = rand::rng().random_range(RETRY.0..RETRY.1);
                sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// How long the store may hold the next read open. Right after the start or an outage it
/// is to answer at once: only its answer proves how recent the knowledge is, and callers
/// are refused until then.
const fn hold(topic: Topic, fresh: bool) -> Duration {
    match topic {
        _ if !fresh => Duration::ZERO,
        Topic::Instances => HOLD_INSTANCES,
        Topic::Endpoints | Topic::Operators => HOLD,
    }
}

/// Reads the newest record of each key; returns the offset to go on from.
async fn start(
    shared: &Rc<Shared>,
    topic: Topic,
    known: Option<u64>,
) -> Result<u64, platform::Error> {
    let newest = shared.store.newest(topic).await?;
    shared.meters.store_called("newest");
    if known.is_some_and(|known| newest.end < known) {
        // The store is behind what was read from it before; nothing is taken back.
        return Err(platform::Error::Malformed(format!(
            "newest records end at {}",
            newest.end
        )));
    }
    if topic == Topic::Endpoints {
        let mut state = shared.state.borrow_mut();
        for id in state.listed() {
            if !newest.records.iter().any(|record| record.key == id) {
                state.change(clock::now(), forward::state::Change::Gone(id));
            }
        }
    }
    if topic == Topic::Operators {
        take_back(shared, &newest.records);
    }
    for record in &newest.records {
        apply(shared, topic, record);
    }
    Ok(newest.end)
}

/// Failure domains whose record is gone are in again.
fn take_back(shared: &Shared, records: &[Keyed]) {
    let out = records
        .iter()
        .filter_map(|record| match records::order(record) {
            Ok(Order::Domain(domain, true)) => Some(domain),
            _ => None,
        })
        .collect::<Vec<_>>();
    let mut state = shared.state.borrow_mut();
    for domain in state.domains_out().to_vec() {
        if !out.contains(&domain) {
            state.set_domain(&domain, false);
        }
    }
}

/// Reads on; returns the offset to go on from.
async fn go_on(
    shared: &Rc<Shared>,
    topic: Topic,
    from: u64,
    hold: Duration,
) -> Result<u64, platform::Error> {
    let asked = clock::now();
    let tail = match shared.store.read(topic, from, hold).await {
        Err(platform::Error::Expired(first)) => {
            log::warn!(topic:?, from, first; "history is gone");
            return start(shared, topic, Some(from)).await;
        }
        tail => tail?,
    };
    shared.meters.store_called("read");
    for record in &tail.records {
        apply(shared, topic, record);
    }
    if tail.next >= tail.end {
        let mut state = shared.state.borrow_mut();
        match topic {
            Topic::Endpoints => state.prove_list(clock::now(), asked),
            Topic::Operators => state.config_freshness.prove(asked),
            Topic::Instances => {}
        }
    }
    shared.room.notify_waiters();
    Ok(tail.next)
}

fn apply(shared: &Shared, topic: Topic, record: &Keyed) {
    match topic {
        Topic::Endpoints => apply_entry(shared, record),
        Topic::Operators => apply_order(shared, record),
        Topic::Instances => apply_instance(shared, record),
    }
}

fn apply_entry(shared: &Shared, record: &Keyed) {
    let (change, error) = list::change(record);
    match (&change, error) {
        (_, Some(error)) => {
            log::warn!(endpoint = record.key, offset = record.offset, error:%; "entry of no use");
        }
        (forward::state::Change::Gone(id), None) => {
            log::info!(endpoint = id, offset = record.offset; "endpoint gone from the list");
        }
        (forward::state::Change::Set(listing), None) => log::info!(
            endpoint = listing.id, offset = record.offset, leaving = listing.leaving,
            service = listing.service, domain = listing.domain, address:% = listing.address,
            cold_ms = listing.cold.as_millis(); "endpoint listed"
        ),
    }
    shared.state.borrow_mut().change(clock::now(), change);
}

fn apply_instance(shared: &Shared, record: &Keyed) {
    match instance::decode(record) {
        Ok(entry) => {
            let address = entry.map(|entry| entry.address);
            log::info!(fellow = record.key, address:?, offset = record.offset; "instance listed");
            shared.fellows.hear(&record.key, entry);
        }
        Err(error) => {
            log::warn!(fellow = record.key, offset = record.offset, error:%; "record of no use");
        }
    }
}

fn apply_order(shared: &Shared, record: &Keyed) {
    match records::order(record) {
        Err(error) => {
            log::error!(key = record.key, offset = record.offset, error:%; "record of no use");
        }
        Ok(Order::Unknown(key)) => {
            log::info!(key, offset = record.offset; "record of an unknown kind");
        }
        Ok(Order::Domain(domain, out)) => {
            let changed = shared.state.borrow_mut().set_domain(&domain, out);
            log::info!(domain, out, changed, offset = record.offset; "failure domain set");
        }
        Ok(Order::Configure(config)) => {
            let (version, routes) = (config.version, config.routes());
            let taken = shared.state.borrow_mut().configure(*config);
            log::info!(version, routes, taken, offset = record.offset; "configuration read");
        }
    }
}

/// Settles what time alone settles.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        sleep(TICK).await;
        shared.state.borrow_mut().tick(clock::now());
    }
}
