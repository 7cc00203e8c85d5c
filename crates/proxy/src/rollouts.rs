//! Rollouts of new versions: orders, records in the store, and what operators are told.
//!
//! [`forward::rollout`] decides; this module performs it.

use {
    crate::{clock, follow, prelude::*},
    forward::{
        request::Ticket,
        rollout::{
            Rollout,
            order::Order,
            record::{Content, Published, Record},
            step::Action,
        },
    },
    platform::{
        rollout::{self, Status},
        store::{KeyedRecord, Topic},
    },
};

/// How often an instance checks whether it has to act while a rollout is in progress.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which the reader of the topic relays a record that was appended.
const RELAY_TIMEOUT: Duration = Duration::from_millis(120);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Takes an order.
pub fn order(shared: &Shared, order: Order) {
    let (service, target, id) = (order.service.clone(), order.target.clone(), order.id);
    let duration = order.duration;
    let mut state = shared.state.borrow_mut();
    let taken = state.set_order(clock::now(), order);
    let is_known = state.service(&service).is_some();
    drop(state);
    if is_known {
        log::info!(
            service, target, order = id, duration_ms = duration.as_millis(), taken;
            "rollout ordered"
        );
    } else {
        log::warn!(
            service, target, order = id, reason = "unknown service";
            "rollout is not started"
        );
    }
    notify(shared);
}

/// Handles the removal of an order.
pub fn withdraw(shared: &Shared, service: &str) {
    if shared.state.borrow_mut().rollouts.withdraw(service) {
        log::info!(service; "rollout withdrawn");
        notify(shared);
    }
}

/// Applies a record of the topic.
pub fn apply(shared: &Shared, record: &KeyedRecord) {
    let decoded = match rollout::decode(record) {
        Ok(Some(decoded)) => decoded,
        Ok(None) => return,
        Err(error) => {
            log::warn!(
                key = record.key, offset = record.offset, error:%;
                "invalid rollout record"
            );
            return;
        }
    };
    if let Content::Version(version) = &decoded.content {
        log::info!(
            service = decoded.service, version = version.version, order = version.order,
            stage = version.stage.label(), offset = record.offset; "rollout stage"
        );
    }
    shared
        .state
        .borrow_mut()
        .apply_rollout(clock::now(), decoded);
    shared.rollouts_changed.notify_one();
    shared.room.notify_waiters();
}

/// Logs that a request goes to a version that is not judged yet.
pub fn log_exposure(shared: &Shared, ticket: &Ticket) {
    let state = shared.state.borrow();
    let rollout = state.rollouts.rollout(&ticket.service);
    log::info!(
        service = ticket.service, route = ticket.route.name,
        exposed = rollout.map_or(0, Rollout::exposed);
        "request goes to a version that is not judged yet"
    );
    shared.metrics.record_rollout(&ticket.service, "exposed");
}

/// Acts on rollouts; never returns.
pub async fn run(shared: Rc<Shared>) {
    let name = shared.settings.instance.name.clone();
    loop {
        let now = clock::now();
        if !shared.state.borrow().rollouts.is_active() {
            shared.rollouts_changed.notified().await;
            continue;
        }
        let action = shared.state.borrow_mut().next_rollout_action(now, &name);
        match action {
            None => {
                let changed = shared.rollouts_changed.notified();
                let _changed = timeout(STEP_INTERVAL, changed).await;
            }
            Some(action) => perform(&shared, action).await,
        }
    }
}

async fn perform(shared: &Rc<Shared>, action: Action) {
    let result = match &action {
        Action::Append(record) => append(shared, record).await,
        Action::AppendNext(record) => append_next(shared, record).await,
        Action::Publish {
            target,
            published,
            record,
        } => publish(shared, &record.service, target, *published, record).await,
    };
    let outcome = if result.is_ok() { "put" } else { "failed" };
    shared.metrics.record_store_call(outcome);
    match result {
        Ok(()) => {}
        // Another instance was first; its record says what is next.
        Err(platform::Error::Conflict) => read(shared).await,
        Err(error) => {
            log::warn!(error:%, action:?; "cannot record a step of a rollout");
            if let Action::Append(record) = &action {
                let mut state = shared.state.borrow_mut();
                state.rollouts.repeat_evidence(&record.service);
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Appends a record if this instance knows all earlier ones.
async fn append_next(shared: &Rc<Shared>, record: &Record) -> Result<(), platform::Error> {
    let Some(end) = shared.topic(Topic::Rollouts).position.get() else {
        return Ok(());
    };
    let (key, value) = rollout::encode(record);
    shared
        .store
        .put_at(Topic::Rollouts, &key, value.as_bytes(), end)
        .await?;
    log_step(shared, record);
    wait_for_relay(shared, end).await;
    Ok(())
}

async fn append(shared: &Rc<Shared>, record: &Record) -> Result<(), platform::Error> {
    let (key, value) = rollout::encode(record);
    shared
        .store
        .put(Topic::Rollouts, &key, value.as_bytes())
        .await?;
    log_step(shared, record);
    Ok(())
}

/// Tells operators of a stage, unless they have been told of a later one.
async fn publish(
    shared: &Rc<Shared>,
    service: &str,
    target: &str,
    published: Published,
    record: &Record,
) -> Result<(), platform::Error> {
    let key = rollout::status_key(service);
    let status = Status::new(published, target);
    let newest = shared.store.newest(Topic::Statuses).await?;
    shared.metrics.record_store_call("newest");
    let known = newest.records.iter().find(|record| record.key == key);
    let known = known.and_then(rollout::decode_status);
    let is_outdated = known.as_ref().is_some_and(|known| known.outlasts(&status));
    if !is_outdated && known.as_ref() != Some(&status) {
        let value = status.encode();
        shared
            .store
            .put_at(Topic::Statuses, &key, value.as_bytes(), newest.end)
            .await?;
        log::info!(
            service, target, order = published.order, stage = published.stage.label();
            "operators are told of a rollout"
        );
    }
    let end = shared.topic(Topic::Rollouts).position.get();
    let (key, value) = rollout::encode(record);
    let mut records = vec![(key, value.as_bytes())];
    if published.stage.is_final() {
        let state = shared.state.borrow();
        let needless = state.rollouts.needless_records(service);
        let keys = needless.iter().map(|record| rollout::encode(record).0);
        records.extend(keys.map(|key| (key, &b""[..])));
    }
    shared.store.put_all(Topic::Rollouts, &records).await?;
    wait_for_relay(shared, end.unwrap_or_default()).await;
    Ok(())
}

/// Waits until records after `end` have been relayed; reads them if they are not.
async fn wait_for_relay(shared: &Rc<Shared>, end: u64) {
    let started_at = clock::now();
    while shared.topic(Topic::Rollouts).position.get() <= Some(end) {
        let left = RELAY_TIMEOUT.saturating_sub(clock::now().since(started_at));
        if left.is_zero() {
            read(shared).await;
            return;
        }
        let _changed = timeout(left, shared.rollouts_changed.notified()).await;
    }
}

async fn read(shared: &Rc<Shared>) {
    if let Err(error) = follow::read_and_relay(shared, Topic::Rollouts).await {
        log::warn!(error:%; "cannot read records of rollouts");
        sleep(RETRY_DELAY).await;
    }
}

fn log_step(shared: &Shared, record: &Record) {
    let state = shared.state.borrow();
    let Some(rollout) = state.rollouts.rollout(&record.service) else {
        return;
    };
    let service = &record.service;
    match &record.content {
        Content::Claim(claim) => {
            log::info!(service, slot = claim.slot, order = claim.order; "rollout slot claimed");
        }
        Content::Evidence(evidence) => log::info!(
            service, order = evidence.order, exposed = rollout.exposed(), score = rollout.judgement().score,
            answers:? = evidence.tallies; "rollout evidence published"
        ),
        Content::Published(_) => {}
        Content::Version(version) => {
            log::info!(
                service, version = version.version, order = version.order,
                stage = version.stage.label(), score = rollout.judgement().score,
                slots = rollout.claimed(), answers:? = rollout.tallies(),
                age_ms = state.rollouts.freshness.age(clock::now()).unwrap_or_default().as_millis();
                "rollout stage recorded"
            );
            shared
                .metrics
                .record_rollout(service, version.stage.label());
        }
    }
}

fn notify(shared: &Shared) {
    shared.topic(Topic::Rollouts).read_wanted.notify_one();
    shared.rollouts_changed.notify_one();
}
