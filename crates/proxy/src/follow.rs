//! Tasks that follow the store's topics, by reading the store or through peers that read it.

use {
    crate::{
        apply, clock, crashes,
        gossip::{self, records},
        prelude::*,
        topic,
    },
    forward::{
        aggregate::members::Role,
        reader::{Cause, LocalTopic, MAX_CRASHES_AGE, MAX_INSTANCE_LIST_AGE, MAX_WATERMARK_AGE},
    },
    platform::store::{KeyedRecord, Topic},
    rand::RngExt as _,
};

/// Long poll timeout of a read. The age of data counts from the sending of the last completed
/// read, so without changes it varies between one and two timeouts.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(450);

/// Long poll timeout for crashes of endpoints.
const CRASHES_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Long poll timeout for the list of instances, whose age does not matter for requests.
const INSTANCES_LONG_POLL_TIMEOUT: Duration = Duration::from_secs(12);

/// Delay between two reads, so that one read returns several changes: there are a few per second, and
/// each read is a call that counts against the rate limit.
const READ_DELAY: Duration = Duration::from_millis(60);

/// The same for crashes of endpoints. Until all instances know of them, requests that crash endpoints
/// are passed on.
const CRASHES_READ_DELAY: Duration = Duration::from_millis(10);

/// Delay between two reads of the list of instances where there are many of them.
const INSTANCES_READ_DELAY: Duration = Duration::from_millis(800);

/// Delay between two reads of an instance among many that receives nothing from peers. All
/// of them read until they have found each other.
const ISOLATED_READ_DELAY: Duration = Duration::from_millis(400);

/// Range of the random delay after a failed call; random, so that instances do not retry in
/// step.
const RETRY_DELAY_RANGE_MS: (u64, u64) = (40, 240);

/// Maximum number of times the retry delay is doubled. The reader of a topic does not back off:
/// it notifies the others as soon as the store is back. For crashes of endpoints a second later
/// is soon enough.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Maximum number of doublings for a member that is connected to an aggregator.
const MEMBER_MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Age from which a member without an aggregator reads the list of instances itself, and crashes of
/// endpoints. The entries that it knows may belong to processes that have ended, and nobody relays
/// records to it.
const UNLINKED_MAX_AGE: Duration = Duration::from_secs(2);

/// Range of the delay before the first read of the list of instances, so that instances that
/// start together find each other with one read.
const FIRST_READ_DELAY_RANGE_MS: (u64, u64) = (400, 600);

/// Range of the extra age that members accept before they read the store themselves. It
/// differs between them, so that they do not all call a failing store simultaneously.
const MEMBER_JITTER_MS: u64 = 1000;

/// How often an instance that does not read a topic checks whether it has to.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request waits for a read on its behalf.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval of the timer that drives time-dependent state.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Lateness of the event loop above which it is logged.
const STALL_THRESHOLD: Duration = Duration::from_millis(60);

/// Follows a topic; never returns.
pub async fn follow(shared: Rc<Shared>, topic: Topic) {
    let topic_state = shared.topic(topic);
    topic_state.reachable.set(true);
    if topic == Topic::Instances {
        let first_read_delay =
            rand::rng().random_range(FIRST_READ_DELAY_RANGE_MS.0..FIRST_READ_DELAY_RANGE_MS.1);
        sleep(Duration::from_millis(first_read_delay)).await;
    }
    let mut confirmation_wanted = true;
    let mut failures = 0;
    loop {
        if topic == Topic::Rollouts && !shared.state.borrow().rollouts.is_active() {
            topic_state.read_wanted.notified().await;
            continue;
        }
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
                "reading the store directly"
            );
        }
        let result = match topic_state.position.get() {
            None => read_newest(&shared, topic, None).await,
            Some(from) => {
                // No long poll where something waits for the result.
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
                    log::info!(topic:?; "store reachable again");
                }
                let is_first = topic_state.position.get().is_none();
                confirmation_wanted =
                    is_first && !matches!(topic, Topic::Crashes | Topic::Rollouts);
                topic_state.position.set(Some(next));
                topic_state.read_done.notify_waiters();
                if !confirmation_wanted {
                    sleep(read_delay(&shared, topic)).await;
                }
            }
            Err(error) => {
                shared.metrics.record_store_call("failed");
                if topic_state.reachable.replace(false) {
                    log::warn!(topic:?, error:%; "store unreachable");
                }
                // Data from peers may suffice until the next attempt; if not, `cause` says so.
                confirmation_wanted = false;
                topic_state.read_done.notify_waiters();
                let retry_delay =
                    rand::rng().random_range(RETRY_DELAY_RANGE_MS.0..RETRY_DELAY_RANGE_MS.1);
                let doublings = if cause == Cause::Reader && topic != Topic::Crashes {
                    0
                } else {
                    failures
                };
                failures = (failures + 1).min(max_doublings(&shared));
                sleep(Duration::from_millis(retry_delay << doublings)).await;
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

/// Why this instance has to read a topic from the store, if it has to.
fn cause(shared: &Shared, topic: Topic) -> Option<Cause> {
    if shared.topic(topic).position.get().is_none() {
        return Some(Cause::Start);
    }
    let own = own(shared, topic);
    shared.readers.borrow_mut().read_cause(own, clock::now())
}

/// This instance's own state of a topic.
pub fn own(shared: &Shared, topic: Topic) -> LocalTopic<'_> {
    let topic_state = shared.topic(topic);
    let role = gossip::role(shared);
    let linked = shared.readers.borrow().has_aggregator(clock::now());
    let max_age = match topic {
        Topic::Crashes | Topic::Instances if role == Role::Member && !linked => UNLINKED_MAX_AGE,
        Topic::Crashes if role == Role::Member => {
            MAX_CRASHES_AGE + Duration::from_millis(shared.incarnation % MEMBER_JITTER_MS)
        }
        Topic::Crashes => MAX_CRASHES_AGE,
        Topic::Instances => MAX_INSTANCE_LIST_AGE,
        Topic::Endpoints | Topic::Operators | Topic::Rollouts if role == Role::Member && linked => {
            MAX_WATERMARK_AGE + Duration::from_millis(shared.incarnation % MEMBER_JITTER_MS)
        }
        Topic::Endpoints | Topic::Operators | Topic::Rollouts | Topic::Statuses => {
            MAX_WATERMARK_AGE
        }
    };
    LocalTopic {
        max_age,
        freshness: topic_state.freshness.get(),
        name: &shared.settings.instance.name,
        position: topic_state.position.get().unwrap_or_default(),
        role,
        topic: topic::index(topic),
    }
}

const fn long_poll_timeout(topic: Topic) -> Duration {
    match topic {
        Topic::Crashes => CRASHES_LONG_POLL_TIMEOUT,
        Topic::Instances => INSTANCES_LONG_POLL_TIMEOUT,
        Topic::Endpoints | Topic::Operators | Topic::Rollouts | Topic::Statuses => {
            LONG_POLL_TIMEOUT
        }
    }
}

/// Delay after a read. All instances publish themselves when a deployment starts; without the
/// delay, each of many would read once for each other one. Among few, a new instance should be
/// found immediately.
fn read_delay(shared: &Shared, topic: Topic) -> Duration {
    let many = gossip::role(shared) != Role::Equal;
    match topic {
        Topic::Instances if many => INSTANCES_READ_DELAY,
        // The watermark of an aggregator arrives meanwhile, which saves the read.
        Topic::Rollouts if gossip::role(shared) == Role::Member => ISOLATED_READ_DELAY,
        _ if many && shared.readers.borrow().is_isolated(clock::now()) => ISOLATED_READ_DELAY,
        Topic::Crashes => CRASHES_READ_DELAY,
        Topic::Endpoints
        | Topic::Instances
        | Topic::Operators
        | Topic::Rollouts
        | Topic::Statuses => READ_DELAY,
    }
}

/// Records that the store no longer has, from the offset that was asked for up to the first one that it
/// has.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: u64,
    first: u64,
}

/// Reads the newest record of each key; returns the offset to continue from.
async fn read_newest(
    shared: &Rc<Shared>,
    topic: Topic,
    gap: Option<Gap>,
) -> Result<u64, platform::Error> {
    let sent_at = clock::now();
    let newest = shared.store.newest(topic).await?;
    shared.metrics.record_store_call("newest");
    for error in &newest.invalid {
        log::warn!(topic:?, error:%; "invalid item in a page of the store");
    }
    if gap.is_some_and(|gap| newest.end < gap.from) {
        // The store has lost records that were read before; keep what is known.
        return Err(platform::Error::Malformed(format!(
            "newest records end at {}",
            newest.end
        )));
    }
    // Peers may have relayed records meanwhile that are newer than the listing.
    let position = shared.topic(topic).position.get();
    let is_current = position <= Some(newest.end);
    if topic == Topic::Crashes && is_current {
        crashes::drop_unlisted(shared, &newest.records);
    }
    apply::snapshot(shared, topic, &newest.records);
    if let Some(gap) = gap.filter(|gap| newest.end < gap.first) {
        // The listing is outdated, and what it lacks cannot be read. Without the delay after a failed
        // call, instances would exhaust the rate limit of the store until the listing catches up.
        shared
            .topic(topic)
            .position
            .set(position.max(Some(newest.end)));
        return Err(platform::Error::Malformed(format!(
            "newest records end at {}, history begins at {}",
            newest.end, gap.first
        )));
    }
    if topic == Topic::Crashes {
        // The newest records may be a little old, which only delays a refusal.
        confirm(shared, topic, sent_at);
    }
    Ok(newest.end)
}

/// Reads records from an offset on; returns the offset to continue from.
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
            log::warn!(
                topic:?, from, first;
                "requested offset is no longer in the store; reading newest records"
            );
            return read_newest(shared, topic, Some(Gap { from, first })).await;
        }
        tail => tail?,
    };
    shared.metrics.record_store_call("read");
    let known = shared.topic(topic).position.get();
    let reached = apply_records(shared, topic, from, &tail.records).max(tail.next);
    // When many instances read simultaneously, as after a store outage, only those whose peers
    // have not relayed the records meanwhile relay them; otherwise copies would fill the network.
    let has_news = !tail.records.is_empty() && known.is_none_or(|known| known < reached);
    let own = own(shared, topic);
    if has_news && shared.readers.borrow().should_relay(cause, own, sent_at) {
        records::relay(shared, topic, from, &tail.records);
    }
    if reached >= tail.end {
        confirm(shared, topic, sent_at);
    }
    Ok(reached)
}

/// Applies records that start at an offset, skipping those already known; returns the offset
/// after the last known one.
pub fn apply_records(shared: &Shared, topic: Topic, from: u64, records: &[KeyedRecord]) -> u64 {
    let topic_state = shared.topic(topic);
    let mut position = topic_state.position.get().unwrap_or(from);
    if from > position {
        // Records in between are missing and will be read from the store.
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

/// Records that this instance's data of a topic was complete at `when`.
pub fn confirm(shared: &Shared, topic: Topic, when: Time) {
    let topic_state = shared.topic(topic);
    let mut freshness = topic_state.freshness.get();
    freshness.confirm(when);
    topic_state.freshness.set(freshness);
    let mut state = shared.state.borrow_mut();
    match topic {
        Topic::Endpoints => state.confirm_list(clock::now(), when),
        Topic::Operators => state.config_freshness.confirm(when),
        Topic::Rollouts => state.rollouts.freshness.confirm(when),
        Topic::Crashes | Topic::Instances | Topic::Statuses => {}
    }
}

/// Reads a topic to its end and relays the records to peers, as the reader of the topic would.
///
/// # Errors
///
/// The store did not answer, or its answer cannot be decoded.
pub async fn read_and_relay(shared: &Rc<Shared>, topic: Topic) -> Result<(), platform::Error> {
    let topic_state = shared.topic(topic);
    let Some(from) = topic_state.position.get() else {
        // The first read is in progress.
        return Ok(());
    };
    let reached = read_tail(shared, topic, from, Duration::ZERO, Cause::Old).await?;
    let known = topic_state.position.get();
    topic_state.position.set(known.max(Some(reached)));
    Ok(())
}

/// Requests an immediate read of the configuration when it is too old for a request, and waits
/// for it. Concurrent requests share the read. Returns immediately while the store is known to
/// be unreachable.
pub async fn verify(shared: &Shared) {
    let topic_state = shared.topic(Topic::Operators);
    if !topic_state.reachable.get() {
        return;
    }
    if topic_state.position.get().is_none() {
        // The first read is in progress.
        let _known = timeout(VERIFY_TIMEOUT, topic_state.read_done.notified()).await;
    }
    let read = topic_state.read_done.notified();
    topic_state.read_wanted.notify_one();
    let _answered = timeout(VERIFY_TIMEOUT, read).await;
}

/// Advances time-dependent state, and measures how late the event loop runs.
///
/// A slow iteration delays every stream of the instance, and nothing else would show why.
pub async fn tick(shared: Rc<Shared>) {
    shared
        .state
        .borrow_mut()
        .lateness
        .start(clock::now(), TICK_INTERVAL);
    loop {
        sleep(TICK_INTERVAL).await;
        let now = clock::now();
        let late = shared.state.borrow_mut().lateness.record(now);
        shared.state.borrow_mut().tick(now);
        shared.record_lateness(now, late);
        shared.buffers.let_go_unread(shared.limits().idle_timeout);
        if late > STALL_THRESHOLD {
            log::warn!(
                late_ms = late.as_millis(), in_progress = shared.in_progress.get();
                "event loop stalled"
            );
        }
    }
}
