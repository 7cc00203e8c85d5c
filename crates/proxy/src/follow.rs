//! Tasks that follow the store's topics, by reading it or by what a fellow reads.

use {
    crate::{
        apply, clock,
        gossip::{self, records},
        prelude::*,
        topic,
    },
    forward::{
        aggregate::members::Role,
        reader::{Cause, ENOUGH, ENOUGH_INSTANCES, Own},
    },
    platform::store::{KeyedRecord, Topic},
    rand::RngExt as _,
};

/// Time that the store holds a read open when nothing is new. Knowledge is as old as the
/// sending of the last read that returned, so on a quiet day its age swings between one
/// and two of these.
const HOLD: Duration = Duration::from_millis(450);

/// The same for the list of instances, whose age bounds nothing.
const HOLD_INSTANCES: Duration = Duration::from_secs(12);

/// Pause between two reads. Changes come a few a second, and each read is a call that
/// counts; a pause takes several changes into one.
const PAUSE: Duration = Duration::from_millis(60);

/// The same for the list of instances, where there are many.
const PAUSE_INSTANCES: Duration = Duration::from_millis(800);

/// Pause between two reads of one of many instances that hears no other: until they have
/// found each other, all of them read.
const PAUSE_ALONE: Duration = Duration::from_millis(400);

/// Shortest and longest pause after a failed call, drawn anew each time so that instances
/// do not call in step.
const RETRY: (u64, u64) = (40, 240);

/// Failures after each of which the pause doubles, for all but the reader of a topic: it
/// tells the others as soon as the store is back, so that they need not ask as often.
const DOUBLINGS: u32 = 2;

/// The same for a member that hears an aggregator.
const DOUBLINGS_OF_MEMBER: u32 = 4;

/// Age of the list of instances up to which a member that hears no aggregator is content; the
/// entries that it knows may be those of processes that are gone.
const ENOUGH_UNLINKED: Duration = Duration::from_secs(2);

/// Time that the first read of the list of instances waits, so that instances which start
/// together find each other by one read.
const PUBLISHING: (u64, u64) = (400, 600);

/// Most that members wait longer than others before they read for themselves, each another
/// time: where the store turns everybody away hundreds of them would ask it at once.
const PATIENCE_MS: u64 = 1000;

/// How often an instance that does not read looks whether it has to.
const LOOK: Duration = Duration::from_millis(100);

/// Longest time that a request waits for a read that was wanted on its behalf.
const VERIFY: Duration = Duration::from_millis(400);

/// How often doubts of the endpoint list are looked at.
const TICK: Duration = Duration::from_millis(250);

/// Lateness of the loop from which on it is logged; half of the time after which an event
/// that is passed on counts as late.
const STALL: Duration = Duration::from_millis(60);

/// Follows a topic for ever.
pub async fn follow(shared: Rc<Shared>, topic: Topic) {
    let progress = shared.topic(topic);
    progress.reached.set(true);
    if topic == Topic::Instances {
        let pause = rand::rng().random_range(PUBLISHING.0..PUBLISHING.1);
        sleep(Duration::from_millis(pause)).await;
    }
    let mut proof_wanted = true;
    let mut failures = 0;
    loop {
        let cause = match cause(&shared, topic) {
            Some(cause) => cause,
            None if proof_wanted => Cause::Wanted,
            None => {
                let wanted = timeout(LOOK, progress.wanted.notified()).await;
                proof_wanted = wanted.is_ok();
                continue;
            }
        };
        if cause != Cause::Reader {
            log::info!(
                topic:?, cause = cause.label(), position:? = progress.position.get(),
                age_ms:? = progress.freshness.get().age(clock::now()).map(|age| age.as_millis());
                "reads the store itself"
            );
        }
        let result = match progress.position.get() {
            None => start(&shared, topic, None).await,
            Some(from) => {
                // The store answers at once where the answer is waited for.
                let member = gossip::role(&shared) == Role::Member;
                let hold = if proof_wanted || (member && topic != Topic::Instances) {
                    Duration::ZERO
                } else {
                    hold(topic)
                };
                go_on(&shared, topic, from, hold, cause).await
            }
        };
        match result {
            Ok(next) => {
                failures = 0;
                if !progress.reached.replace(true) {
                    log::info!(topic:?; "store regained");
                }
                proof_wanted = progress.position.get().is_none();
                progress.position.set(Some(next));
                progress.read.notify_waiters();
                if !proof_wanted {
                    sleep(pause(&shared, topic)).await;
                }
            }
            Err(error) => {
                shared.meters.store_called("failed");
                if progress.reached.replace(false) {
                    log::warn!(topic:?, error:%; "store lost");
                }
                // Words of a fellow may do until the next try; if not, there is a cause.
                proof_wanted = false;
                progress.read.notify_waiters();
                let pause = rand::rng().random_range(RETRY.0..RETRY.1);
                let doublings = if cause == Cause::Reader { 0 } else { failures };
                failures = (failures + 1).min(most_doublings(&shared));
                sleep(Duration::from_millis(pause << doublings)).await;
            }
        }
    }
}

fn most_doublings(shared: &Shared) -> u32 {
    let linked = shared.readers.borrow().has_aggregator(clock::now());
    if linked && gossip::role(shared) == Role::Member {
        return DOUBLINGS_OF_MEMBER;
    }
    DOUBLINGS
}

/// Why this instance has to read a topic itself, if it has to.
fn cause(shared: &Shared, topic: Topic) -> Option<Cause> {
    if shared.topic(topic).position.get().is_none() {
        return Some(Cause::Start);
    }
    let own = own(shared, topic);
    shared.readers.borrow_mut().must_read(own, clock::now())
}

/// What this instance knows of a topic itself.
pub fn own(shared: &Shared, topic: Topic) -> Own<'_> {
    let progress = shared.topic(topic);
    let role = gossip::role(shared);
    let linked = shared.readers.borrow().has_aggregator(clock::now());
    let enough = match topic {
        Topic::Instances if role == Role::Member && !linked => ENOUGH_UNLINKED,
        Topic::Instances => ENOUGH_INSTANCES,
        Topic::Endpoints | Topic::Operators if role == Role::Member && linked => {
            ENOUGH + Duration::from_millis(shared.life % PATIENCE_MS)
        }
        Topic::Endpoints | Topic::Operators => ENOUGH,
    };
    Own {
        enough,
        freshness: progress.freshness.get(),
        name: &shared.settings.instance.name,
        position: progress.position.get().unwrap_or_default(),
        role,
        topic: topic::index(topic),
    }
}

const fn hold(topic: Topic) -> Duration {
    match topic {
        Topic::Instances => HOLD_INSTANCES,
        Topic::Endpoints | Topic::Operators => HOLD,
    }
}

/// Pause after a read. All instances publish themselves when a deployment starts, and a
/// read for each of them by each of them would be thousands of calls.
/// Among few, a new instance is to be heard at once.
fn pause(shared: &Shared, topic: Topic) -> Duration {
    let many = gossip::role(shared) != Role::Equal;
    match topic {
        Topic::Instances if many => PAUSE_INSTANCES,
        _ if many && shared.readers.borrow().alone(clock::now()) => PAUSE_ALONE,
        Topic::Endpoints | Topic::Instances | Topic::Operators => PAUSE,
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
    apply::all(shared, topic, &newest.records);
    Ok(newest.end)
}

/// Reads on; returns the offset to go on from.
async fn go_on(
    shared: &Rc<Shared>,
    topic: Topic,
    from: u64,
    hold: Duration,
    cause: Cause,
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
    let known = shared.topic(topic).position.get();
    let reached = take(shared, topic, from, &tail.records).max(tail.next);
    // Where many read for themselves, as when the store comes back, those to whom a fellow
    // has passed the records on meanwhile do not do so again; the links would be full of them.
    let news = !tail.records.is_empty() && known.is_none_or(|known| known < reached);
    let own = own(shared, topic);
    if news && shared.readers.borrow().passes_on(cause, own, asked) {
        records::pass_on(shared, topic, from, &tail.records);
    }
    if reached >= tail.end {
        prove(shared, topic, asked);
    }
    Ok(reached)
}

/// Takes records from an offset on in, apart from those that are known already; returns
/// the offset after the last one known.
pub fn take(shared: &Shared, topic: Topic, from: u64, records: &[KeyedRecord]) -> u64 {
    let progress = shared.topic(topic);
    let mut position = progress.position.get().unwrap_or(from);
    if from > position {
        // Records in between are missing; they are read from the store.
        return position;
    }
    records::keep(shared, topic, from, records);
    for record in records {
        if record.offset >= position {
            apply::one(shared, topic, record);
            position = record.offset + 1;
        }
    }
    progress.position.set(Some(position));
    shared.room.notify_waiters();
    position
}

/// Knowledge of a topic was complete at `when`.
pub fn prove(shared: &Shared, topic: Topic, when: Time) {
    let progress = shared.topic(topic);
    let mut freshness = progress.freshness.get();
    freshness.prove(when);
    progress.freshness.set(freshness);
    let mut state = shared.state.borrow_mut();
    match topic {
        Topic::Endpoints => state.prove_list(clock::now(), when),
        Topic::Operators => state.config_freshness.prove(when),
        Topic::Instances => {}
    }
}

/// Has the configuration read at once, for a request that it would otherwise be too old
/// for; requests that come meanwhile share the read. Nothing is tried while the store is
/// known to be lost.
pub async fn verify(shared: &Shared) {
    let progress = shared.topic(Topic::Operators);
    if !progress.reached.get() {
        return;
    }
    if progress.position.get().is_none() {
        // The first read is under way.
        let _known = timeout(VERIFY, progress.read.notified()).await;
    }
    let read = progress.read.notified();
    progress.wanted.notify_one();
    let _answered = timeout(VERIFY, read).await;
}

/// Settles what time alone settles, and notes when the loop came late.
///
/// One slow turn stalls every stream of the instance; callers then get events long after
/// an engine made them, and nothing else would show why.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        let began = clock::now();
        sleep(TICK).await;
        let now = clock::now();
        shared.state.borrow_mut().tick(now);
        let late = now.since(began).saturating_sub(TICK);
        shared.meters.looped(late);
        if late > STALL {
            log::warn!(late_ms = late.as_millis(), in_progress = shared.in_progress.get(); "loop stalled");
        }
    }
}
