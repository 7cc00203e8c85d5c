//! Publication of crashes of endpoints, and of their clearance, through the store.

use {
    crate::{clock, follow, prelude::*},
    forward::suspects::Change,
    platform::{
        crash,
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
        if shared.state.borrow().suspects.unpublished().is_empty() {
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
    let batch = {
        let state = shared.state.borrow();
        let unpublished = state.suspects.unpublished().iter().take(MAX_BATCH);
        unpublished.cloned().collect::<Vec<_>>()
    };
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
    let state = shared.state.borrow();
    let mut unpublished = state.suspects.unpublished().iter();
    unpublished.any(|change| batch.contains(change))
}

/// Whether there are changes that were not in the last batch, which must not wait for its relay. A full
/// batch is relayed first, since the next one begins with the same changes until then.
fn has_further_changes(shared: &Shared, batch: &[Change]) -> bool {
    let state = shared.state.borrow();
    let mut unpublished = state.suspects.unpublished().iter();
    batch.len() < MAX_BATCH && unpublished.any(|change| !batch.contains(change))
}

/// Drops expired crashes; the reader of the topic removes them from the store.
async fn drop_expired(shared: &Shared) {
    let now = clock::now();
    let expired = shared.state.borrow_mut().suspects.expire(now);
    let own = follow::own(shared, Topic::Crashes);
    if expired.is_empty() || !shared.readers.borrow().is_reader(own, now) {
        return;
    }
    let removals = expired.into_iter().map(Change::Cleared).collect::<Vec<_>>();
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
    let changes = records
        .iter()
        .filter_map(|record| crash::decode(record).ok());
    let listed = changes.filter_map(|change| match change {
        Change::Cleared(_) => None,
        Change::Crashed(crash) => Some(crash),
    });
    let listed = listed.collect::<Vec<_>>();
    shared.state.borrow_mut().suspects.drop_unlisted(&listed);
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
    let mut state = shared.state.borrow_mut();
    match change {
        Change::Cleared(crash) => state.suspects.apply_removal(crash),
        Change::Crashed(crash) => {
            let (fingerprint, endpoint) = (crash.fingerprint, crash.endpoint.clone());
            let before = state.suspects.crashes(fingerprint);
            state.suspects.apply_crash(clock::now(), crash);
            let crashes = state.suspects.crashes(fingerprint);
            // Most suspects are harmless requests that shared an endpoint with the one at fault.
            if crashes > before && crashes > 1 {
                let refused = state.suspects.refuses(clock::now(), fingerprint);
                log_suspicion(fingerprint, &endpoint, crashes, refused);
            }
            if crashes >= forward::suspects::MAX_CRASHES {
                shared.refusals_changed.notify_waiters();
            }
            shared.suspects_changed.notify_one();
        }
    }
}

/// Logs that one more endpoint was lost under a request.
pub fn log_suspicion(fingerprint: Fingerprint, endpoint: &str, crashes: usize, refused: bool) {
    log::info!(fingerprint:%, endpoint, crashes, refused; "request may crash endpoints");
}
