//! Publication of crashes of endpoints, and of their clearance, through the store.

use {
    crate::{clock, follow, prelude::*},
    forward::{part_suspects, suspects},
    platform::{
        crash::{self, Change},
        store::{KeyedRecord, Topic},
    },
};

/// Time for which changes are batched. All requests at an endpoint break at the same time.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// How often an instance checks whether its records have been relayed.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which the reader of the topic relays a record that was appended.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before a failed call is retried; it doubles with each failure, up to
/// [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before a failed call is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Maximum number of records in one call.
const MAX_BATCH: usize = 256;

/// How often crashes are checked for expiry while there is nothing to publish.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Publishes changes of this instance until all peers can know them; never returns.
///
/// A change is repeated until it has come back from the store. If the reader of the topic does not
/// relay it, this instance does.
pub async fn publish(shared: Rc<Shared>) {
    let mut retry_delay = RETRY_DELAY;
    loop {
        drop_expired(&shared).await;
        if unpublished(&shared).is_empty() {
            let _changed = timeout(EXPIRY_INTERVAL, shared.suspects_changed.notified()).await;
            sleep(BATCH_DELAY).await;
            continue;
        }
        if append_unpublished(&shared).await.is_ok() {
            retry_delay = RETRY_DELAY;
        } else {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

async fn append_unpublished(shared: &Rc<Shared>) -> Result<(), platform::Error> {
    let mut batch = unpublished(shared);
    batch.truncate(MAX_BATCH);
    append(shared, &batch).await?;
    let appended_at = clock::now();
    while clock::now().since(appended_at) < RELAY_TIMEOUT {
        let _changed = timeout(RELAY_POLL_INTERVAL, shared.suspects_changed.notified()).await;
        if !is_pending(shared, &batch) || has_further_changes(shared, &batch) {
            return Ok(());
        }
    }
    log::info!(records = batch.len(); "crashes were not relayed; reading the store directly");
    follow::read_and_relay(shared, Topic::Crashes).await
}

/// Changes that have not come back from the store yet. Those of parts come first: fewer are needed to stop a part
/// than to stop all requests with it.
fn unpublished(shared: &Shared) -> Vec<Change> {
    let state = shared.state.borrow();
    let parts = state.part_suspects.unpublished().iter().cloned();
    let requests = state.suspects.unpublished().iter().cloned();
    let parts = parts.map(Change::Part);
    parts.chain(requests.map(Change::Request)).collect()
}

async fn append(shared: &Shared, changes: &[Change]) -> Result<(), platform::Error> {
    let encoded = changes.iter().map(crash::encode).collect::<Vec<_>>();
    let records = encoded.iter();
    let records = records.map(|(key, value)| (key.clone(), value.as_bytes()));
    let records = records.collect::<Vec<_>>();
    let result = shared.store.put_all(Topic::Crashes, &records).await;
    let outcome = if result.is_ok() { "put" } else { "failed" };
    shared.metrics.record_store_call(outcome);
    result.inspect_err(|error| {
        log::warn!(error:%, records = records.len(); "cannot publish crashes of endpoints");
    })
}

fn is_pending(shared: &Shared, batch: &[Change]) -> bool {
    let unpublished = unpublished(shared);
    unpublished.iter().any(|change| batch.contains(change))
}

/// Whether there are changes that were not in the last batch, which must not wait for its relay. A full
/// batch is relayed first, since the next one begins with the same changes until then.
fn has_further_changes(shared: &Shared, batch: &[Change]) -> bool {
    let unpublished = unpublished(shared);
    batch.len() < MAX_BATCH && unpublished.iter().any(|change| !batch.contains(change))
}

/// Drops expired crashes; the reader of the topic removes them from the store.
async fn drop_expired(shared: &Shared) {
    let now = clock::now();
    let removals = {
        let mut state = shared.state.borrow_mut();
        let expired = state.suspects.expire(now).into_iter();
        let requests = expired.map(suspects::Change::Cleared).map(Change::Request);
        let parts = state.part_suspects.expire(now).into_iter();
        requests.chain(parts.map(Change::Part)).collect::<Vec<_>>()
    };
    let own = follow::own(shared, Topic::Crashes);
    if removals.is_empty() || !shared.readers.borrow().is_reader(own, now) {
        return;
    }
    log::info!(records = removals.len(); "expired crashes are removed");
    for batch in removals.chunks(MAX_BATCH) {
        if append(shared, batch).await.is_err() {
            // Whoever reads them after a restart removes them.
            return;
        }
    }
}

/// Drops crashes that are not among the newest records. Their clearance may be in the history that the
/// store no longer has, and harmless requests would be refused until the crashes expire.
pub fn drop_unlisted(shared: &Shared, records: &[KeyedRecord]) {
    let (mut requests, mut parts) = (Vec::new(), Vec::new());
    for record in records {
        match crash::decode(record) {
            Ok(Change::Request(suspects::Change::Crashed(crash))) => requests.push(crash),
            Ok(Change::Part(part_suspects::Change::Crashed(crash))) => parts.push(crash),
            Ok(_) | Err(_) => {}
        }
    }
    let mut state = shared.state.borrow_mut();
    state.suspects.drop_unlisted(&requests);
    state.part_suspects.drop_unlisted(&parts);
}

/// Applies a record of the topic.
pub fn apply(shared: &Shared, record: &KeyedRecord) {
    let change = match crash::decode(record) {
        Ok(change) => change,
        Err(error) => {
            log::warn!(offset = record.offset, error:%; "invalid crash record");
            return;
        }
    };
    match change {
        Change::Part(change) => apply_part(shared, &change),
        Change::Request(change) => apply_request(shared, change),
    }
}

fn apply_request(shared: &Shared, change: suspects::Change) {
    let mut state = shared.state.borrow_mut();
    match change {
        suspects::Change::Cleared(crash) => {
            state.suspects.apply_removal(crash);
            shared.refusals_changed.notify_waiters();
        }
        suspects::Change::Crashed(crash) => {
            let (fingerprint, endpoint) = (crash.fingerprint, crash.endpoint.clone());
            let before = state.suspects.crashes(fingerprint);
            let now = clock::now();
            state.record_loss(now, &endpoint);
            state.suspects.apply_crash(now, crash);
            let crashes = state.suspects.crashes(fingerprint);
            // Most suspects are harmless requests that shared an endpoint with the one at fault.
            if crashes > before && crashes > 1 {
                let refused = state.suspects.refuses(clock::now(), fingerprint);
                log_suspicion(fingerprint, &endpoint, crashes, refused);
            }
            if crashes >= suspects::MAX_CRASHES {
                shared.refusals_changed.notify_waiters();
            }
            shared.suspects_changed.notify_one();
        }
    }
}

fn apply_part(shared: &Shared, change: &part_suspects::Change) {
    let now = clock::now();
    let crash = match change {
        part_suspects::Change::Crashed(crash) => Some(crash.clone()),
        _ => None,
    };
    let mut state = shared.state.borrow_mut();
    let suspects = &mut state.part_suspects;
    let known = crash
        .as_ref()
        .map(|crash| suspects.evidence(now, crash.part).crashes);
    suspects.apply(now, change);
    if let Some(crash) =
        crash.filter(|crash| Some(suspects.evidence(now, crash.part).crashes) > known)
    {
        log_part_suspicion(suspects, crash.part, &crash.endpoint);
    }
    shared.refusals_changed.notify_waiters();
    shared.suspects_changed.notify_one();
}

/// Logs that one more endpoint was lost before it had begun to answer a prompt with a part.
pub fn log_part_suspicion(suspects: &part_suspects::Suspects, part: Part, endpoint: &str) {
    let now = clock::now();
    let evidence = suspects.evidence(now, part);
    log::info!(
        part:%, endpoint, crashes = evidence.crashes, moments = evidence.moments, trials = evidence.trials,
        found = suspects.is_found(now, part); "part of prompts may crash endpoints"
    );
}

/// Logs that one more endpoint was lost under a request.
pub fn log_suspicion(fingerprint: Fingerprint, endpoint: &str, crashes: usize, refused: bool) {
    log::info!(fingerprint:%, endpoint, crashes, refused; "request may crash endpoints");
}
