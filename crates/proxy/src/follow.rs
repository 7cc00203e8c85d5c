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
    platform::store::{Keyed, Topic},
    rand::RngExt as _,
};

/// Time that the store holds a read open when nothing is new. Knowledge is as old as the
/// sending of the last read that returned, so on a quiet day its age swings between one
/// and two of these.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(450);

/// The same for the list of instances, whose age bounds nothing.
const INSTANCES_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(12);

/// Pause between two reads. Changes come a few a second, and each read is a call that
/// counts; a pause takes several changes into one.
const READ_DELAY: Duration = Duration::from_millis(60);

/// The same for the list of instances, where there are many.
const INSTANCES_READ_DELAY: Duration = Duration::from_millis(800);

/// Pause between two reads of one of many instances that hears no other: until they have
/// found each other, all of them read.
const ISOLATED_READ_DELAY: Duration = Duration::from_millis(400);

/// Shortest and longest pause after a failed call, drawn anew each time so that instances
/// do not call in step.
const RETRY_DELAY_RANGE_MS: (u64, u64) = (40, 240);

/// Failures after each of which the pause doubles, for all but the reader of a topic: it
/// tells the others as soon as the store is back, so that they need not ask as often.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// The same for a member that hears an aggregator.
const MEMBER_MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Age of the list of instances up to which a member that hears no aggregator is content; the
/// entries that it knows may be those of processes that are gone.
const UNLINKED_MAX_INSTANCE_LIST_AGE: Duration = Duration::from_secs(2);

/// Time that the first read of the list of instances waits, so that instances which start
/// together find each other by one read.
const FIRST_READ_DELAY_RANGE_MS: (u64, u64) = (400, 600);

/// Most that members wait longer than others before they read for themselves, each another
/// time: where the store turns everybody away hundreds of them would ask it at once.
const MEMBER_JITTER_MS: u64 = 1000;

/// How often an instance that does not read looks whether it has to.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a request waits for a read that was wanted on its behalf.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// How often doubts of the endpoint list are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Lateness of the loop from which on it is logged; half of the time after which an event
/// that is passed on counts as late.
const STALL_THRESHOLD: Duration = Duration::from_millis(60);

/// Follows a topic for ever.
pub async fn follow(shared: Rc<Shared>, topic: Topic) {
    let topic_state = shared.topic(topic);
    topic_state.reachable.set(true);
    if topic == Topic::Instances {
        let read_delay =
            rand::rng().random_range(FIRST_READ_DELAY_RANGE_MS.0..FIRST_READ_DELAY_RANGE_MS.1);
        sleep(Duration::from_millis(read_delay)).await;
    }
    let mut confirmation_wanted = true;
    let mut failures = 0;
    loop {
        let cause = match cause(&shared, topic) {
            Some(cause) => cause,
            None if confirmation_wanted => Cause::Wanted,
            None => {
                let wanted = timeout(POLL_INTERVAL, topic_state.read_wanted.notified()).await;
                confirmation_wanted = wanted.is_ok();
                continue;
            }
        };
        if cause != Cause::Reader {
            log::info!(
                topic:?, cause = cause.label(), position:? = topic_state.position.get(),
                age_ms:? = topic_state.freshness.get().age(clock::now()).map(|age| age.as_millis());
                "reads the store itself"
            );
        }
        let result = match topic_state.position.get() {
            None => read_newest(&shared, topic, None).await,
            Some(from) => {
                // The store answers at once where the answer is waited for.
                let member = gossip::role(&shared) == Role::Member;
                let long_poll_timeout =
                    if confirmation_wanted || (member && topic != Topic::Instances) {
                        Duration::ZERO
                    } else {
                        long_poll_timeout(topic)
                    };
                read_tail(&shared, topic, from, long_poll_timeout, cause).await
            }
        };
        match result {
            Ok(next) => {
                failures = 0;
                if !topic_state.reachable.replace(true) {
                    log::info!(topic:?; "store regained");
                }
                confirmation_wanted = topic_state.position.get().is_none();
                topic_state.position.set(Some(next));
                topic_state.read_done.notify_waiters();
                if !confirmation_wanted {
                    sleep(read_delay(&shared, topic)).await;
                }
            }
            Err(error) => {
                shared.metrics.record_store_call("failed");
                if topic_state.reachable.replace(false) {
                    log::warn!(topic:?, error:%; "store lost");
                }
                // Words of a fellow may do until the next try; if not, there is a cause.
                confirmation_wanted = false;
                topic_state.read_done.notify_waiters();
                let read_delay =
                    rand::rng().random_range(RETRY_DELAY_RANGE_MS.0..RETRY_DELAY_RANGE_MS.1);
                let doublings = if cause == Cause::Reader { 0 } else { failures };
                failures = (failures + 1).min(max_doublings(&shared));
                sleep(Duration::from_millis(read_delay << doublings)).await;
            }
        }
    }
}

fn max_doublings(shared: &Shared) -> u32 {
    let linked = shared.readers.borrow().has_aggregator(clock::now());
    if linked && gossip::role(shared) == Role::Member {
        return MEMBER_MAX_BACKOFF_DOUBLINGS;
    }
    MAX_BACKOFF_DOUBLINGS
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
    let topic_state = shared.topic(topic);
    let role = gossip::role(shared);
    let linked = shared.readers.borrow().has_aggregator(clock::now());
    let enough = match topic {
        Topic::Instances if role == Role::Member && !linked => UNLINKED_MAX_INSTANCE_LIST_AGE,
        Topic::Instances => ENOUGH_INSTANCES,
        Topic::Endpoints | Topic::Operators if role == Role::Member && linked => {
            ENOUGH + Duration::from_millis(shared.incarnation % MEMBER_JITTER_MS)
        }
        Topic::Endpoints | Topic::Operators => ENOUGH,
    };
    Own {
        enough,
        freshness: topic_state.freshness.get(),
        name: &shared.settings.instance.name,
        position: topic_state.position.get().unwrap_or_default(),
        role,
        topic: topic::index(topic),
    }
}

const fn long_poll_timeout(topic: Topic) -> Duration {
    match topic {
        Topic::Instances => INSTANCES_LONG_POLL_TIMEOUT,
        Topic::Endpoints | Topic::Operators => LONG_POLL_TIMEOUT,
    }
}

/// Pause after a read. All instances publish themselves when a deployment starts, and a
/// read for each of them by each of them would be thousands of calls.
/// Among few, a new instance is to be heard at once.
fn read_delay(shared: &Shared, topic: Topic) -> Duration {
    let many = gossip::role(shared) != Role::Equal;
    match topic {
        Topic::Instances if many => INSTANCES_READ_DELAY,
        _ if many && shared.readers.borrow().alone(clock::now()) => ISOLATED_READ_DELAY,
        Topic::Endpoints | Topic::Instances | Topic::Operators => READ_DELAY,
    }
}

/// Reads the newest record of each key; returns the offset to go on from.
async fn read_newest(
    shared: &Rc<Shared>,
    topic: Topic,
    known: Option<u64>,
) -> Result<u64, platform::Error> {
    let newest = shared.store.newest(topic).await?;
    shared.metrics.record_store_call("newest");
    if known.is_some_and(|known| newest.end < known) {
        // The store is behind what was read from it before; nothing is taken back.
        return Err(platform::Error::Malformed(format!(
            "newest records end at {}",
            newest.end
        )));
    }
    apply::snapshot(shared, topic, &newest.records);
    Ok(newest.end)
}

/// Reads on; returns the offset to go on from.
async fn read_tail(
    shared: &Rc<Shared>,
    topic: Topic,
    from: u64,
    long_poll_timeout: Duration,
    cause: Cause,
) -> Result<u64, platform::Error> {
    let sent_at = clock::now();
    let tail = match shared.store.read(topic, from, long_poll_timeout).await {
        Err(platform::Error::Expired(first)) => {
            log::warn!(topic:?, from, first; "history is gone");
            return read_newest(shared, topic, Some(from)).await;
        }
        tail => tail?,
    };
    shared.metrics.record_store_call("read");
    let known = shared.topic(topic).position.get();
    let reached = apply_records(shared, topic, from, &tail.records).max(tail.next);
    // Where many read for themselves, as when the store comes back, those to whom a fellow
    // has passed the records on meanwhile do not do so again; the links would be full of them.
    let has_news = !tail.records.is_empty() && known.is_none_or(|known| known < reached);
    let own = own(shared, topic);
    if has_news && shared.readers.borrow().passes_on(cause, own, sent_at) {
        records::relay(shared, topic, from, &tail.records);
    }
    if reached >= tail.end {
        prove(shared, topic, sent_at);
    }
    Ok(reached)
}

/// Takes records from an offset on in, apart from those that are known already; returns
/// the offset after the last one known.
pub fn apply_records(shared: &Shared, topic: Topic, from: u64, records: &[Keyed]) -> u64 {
    let topic_state = shared.topic(topic);
    let mut position = topic_state.position.get().unwrap_or(from);
    if from > position {
        // Records in between are missing; they are read from the store.
        return position;
    }
    records::retain_history(shared, topic, from, records);
    for record in records {
        if record.offset >= position {
            apply::update(shared, topic, record);
            position = record.offset + 1;
        }
    }
    topic_state.position.set(Some(position));
    shared.room.notify_waiters();
    position
}

/// Knowledge of a topic was complete at `when`.
pub fn prove(shared: &Shared, topic: Topic, when: Time) {
    let topic_state = shared.topic(topic);
    let mut freshness = topic_state.freshness.get();
    freshness.prove(when);
    topic_state.freshness.set(freshness);
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
    let topic_state = shared.topic(Topic::Operators);
    if !topic_state.reachable.get() {
        return;
    }
    if topic_state.position.get().is_none() {
        // The first read is under way.
        let _known = timeout(VERIFY_TIMEOUT, topic_state.read_done.notified()).await;
    }
    let read = topic_state.read_done.notified();
    topic_state.read_wanted.notify_one();
    let _answered = timeout(VERIFY_TIMEOUT, read).await;
}

/// Settles what time alone settles, and notes when the loop came late.
///
/// One slow turn stalls every stream of the instance; callers then get events long after
/// an engine made them, and nothing else would show why.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        let started_at = clock::now();
        sleep(TICK_INTERVAL).await;
        let now = clock::now();
        shared.state.borrow_mut().tick(now);
        let late = now.since(started_at).saturating_sub(TICK_INTERVAL);
        shared.metrics.record_loop_lateness(late);
        if late > STALL_THRESHOLD {
            log::warn!(late_ms = late.as_millis(), in_progress = shared.in_progress.get(); "loop stalled");
        }
    }
}
