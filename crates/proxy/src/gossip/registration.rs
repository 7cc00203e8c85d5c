//! The entry of this instance in the store, and removal of dead instances' entries.

use {
    super::role,
    crate::{clock, follow, prelude::*},
    forward::aggregate::members::Role,
    platform::{
        instance::{self, Entry},
        store::Topic,
    },
};

/// Delay before a failed write of this instance's entry is retried.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(400);

/// How often to check for entries of dead instances.
const DEAD_CHECK_INTERVAL: Duration = Duration::from_secs(20);

/// Publishes this instance, and again whenever its entry has been dropped.
pub async fn keep_published(shared: &Shared, entry: &Entry) {
    loop {
        publish(shared, entry).await;
        shared.republish.notified().await;
    }
}

/// Drops entries of dead instances. Among few instances the reader of the list of instances
/// does so, among many each aggregator for its failure domain.
pub async fn drop_dead_entries(shared: &Shared) {
    let own = &shared.settings.instance;
    loop {
        sleep(DEAD_CHECK_INTERVAL).await;
        let now = clock::now();
        let known = follow::own(shared, Topic::Instances);
        let (many, drops) = match role(shared) {
            Role::Aggregator => (true, true),
            Role::Equal => (false, shared.readers.borrow().is_reader(known, now)),
            Role::Member => (true, false),
        };
        if !drops {
            continue;
        }
        let dead = shared
            .peers
            .expired(&shared.readers.borrow(), own, many, now);
        for name in dead {
            let put = shared.store.put(Topic::Instances, &name, b"");
            match put.await {
                Ok(()) => log::info!(fellow = name; "dead entry dropped"),
                Err(error) => log::warn!(fellow = name, error:%; "cannot drop dead entry"),
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
                shared.metrics.record_store_call("put");
                log::info!(address:% = entry.address; "instance published");
                return;
            }
            // The write may have succeeded nevertheless; repeating it is harmless.
            Err(error) => {
                shared.metrics.record_store_call("failed");
                log::warn!(error:%; "cannot publish instance");
            }
        }
        sleep(PUBLISH_RETRY_DELAY).await;
    }
}
