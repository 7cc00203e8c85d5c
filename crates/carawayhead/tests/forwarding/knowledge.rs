//! Configuration from a store that loses records, is unavailable or does not respond.

use {
    crate::instance::{Instance, wait_until},
    decision::{
        fingerprint::Fingerprint,
        suspects::{Change, Crash, MAX_CRASHES},
    },
    http::StatusCode,
    platform::standin::{
        PlainService, Store,
        caller::{CallerRequest, Session, config, send_request},
        store::StoreBehavior,
    },
    std::time::Duration,
};

/// Minimum delay after a failed call of the store.
const MIN_RETRY_DELAY_MS: u64 = 40;

async fn status(instance: &Instance, key: &str) -> StatusCode {
    let mut request = CallerRequest::new("r1", "/order/7");
    request.key = key;
    let response = send_request(instance.caller_address, &request).await;
    response.expect("the instance responds").status
}

/// An instance that has not yet read a configuration knows no route and no key. It must
/// answer 503, since a 404 or 401 would tell callers with valid keys not to retry.
#[tokio::test]
async fn instance_without_configuration_answers_503() {
    let store = Store::start().await;
    store.set_behavior(StoreBehavior::Rejecting);
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start_without_waiting("e1", "a", &store).await;
    assert!(!platform::standin::caller::is_ready(instance.readiness_address).await);
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    store.set_behavior(StoreBehavior::Healthy);
    wait_until("the instance serves requests", || async {
        status(&instance, "key-1").await == StatusCode::OK
    })
    .await;
}

/// A key is revoked while the store does not respond. The instance cannot learn of it, so
/// after the revocation time it must answer 503 for all keys.
#[tokio::test]
async fn keys_are_rejected_when_they_cannot_be_confirmed() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    store.write_operator_record("config", &config(2, &[], 5000));
    wait_until("keys stop working", || async {
        status(&instance, "key-1").await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let call_count = service.executed_calls().len();
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(service.executed_calls().len(), call_count);
    store.set_behavior(StoreBehavior::Healthy);
    wait_until("the key is rejected as revoked", || async {
        status(&instance, "key-1").await == StatusCode::UNAUTHORIZED
    })
    .await;
}

/// The store loses its history and returns old records for a while. The instance must keep
/// its newer configuration, or a newly created key would stop working.
#[tokio::test]
async fn lost_store_history_does_not_revert_configuration() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_operator_record("config", &config(2, &["key-2"], 5000));
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(status(&instance, "key-2").await, StatusCode::OK);
    store.drop_history(1);
    for _ in 0..20 {
        assert_eq!(status(&instance, "key-2").await, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    store.drop_history(0);
    store.write_operator_record("config", &config(3, &["key-3"], 5000));
    wait_until("the new version is applied", || async {
        status(&instance, "key-3").await == StatusCode::OK
    })
    .await;
}

/// Crashes of as many endpoints as it takes to refuse the request of [`status`].
fn crashes() -> Vec<Crash> {
    let fingerprint = Fingerprint::new(Some("ada"), "h.example", "/order/7", b"body");
    let crashes = (0..MAX_CRASHES).map(|number| Crash {
        endpoint: format!("m{number}"),
        events: 0,
        fingerprint,
    });
    crashes.collect()
}

/// A store with one service, in which a harmless request is listed under as many crashes as it takes to
/// refuse it.
async fn store_with_crashes() -> (Store, PlainService) {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    for crash in crashes() {
        store.write_crash(&Change::Crashed(crash));
    }
    (store, service)
}

/// A harmless request is cleared, and the store drops its history before all instances have read that.
/// They must find it in the newest records, or they refuse the request until its crashes expire.
#[tokio::test]
async fn request_is_served_when_its_clearance_was_in_lost_history() {
    let (store, _service) = store_with_crashes().await;
    let one = Instance::start("e1", "a", &store).await;
    let two = Instance::start("e2", "b", &store).await;
    for instance in [&one, &two] {
        wait_until("the request is refused", || async {
            status(instance, "key-1").await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    }
    // The store runs on this thread, so that no read comes in between.
    for crash in crashes() {
        store.write_crash(&Change::Cleared(crash));
    }
    store.drop_history(0);
    for instance in [&one, &two] {
        wait_until("the request is served", || async {
            status(instance, "key-1").await == StatusCode::OK
        })
        .await;
    }
}

/// The newest records end before the history begins, as after a loss of history. Instances that ask
/// again without a delay exhaust the rate limit of the store, and other calls of theirs fail.
#[tokio::test]
async fn outdated_listing_is_requested_again_after_a_delay() {
    let (store, _service) = store_with_crashes().await;
    store.drop_history(1);
    let instance = Instance::start_without_waiting("e1", "a", &store).await;
    let requested_at = || {
        let lines = instance.log_lines_containing("requested offset is no longer in the store");
        let lines = lines.iter().filter(|line| line.contains("Crashes"));
        let parsed = lines.map(|line| serde_json::from_str::<serde_json::Value>(line));
        let times = parsed.map(|line| line.expect("a line of JSON")["t"].as_u64());
        times.collect::<Option<Vec<_>>>().expect("times")
    };
    wait_until("newest records are read again", || async {
        requested_at().len() > 5
    })
    .await;
    for pair in requested_at().windows(2) {
        assert!(pair[1] - pair[0] >= MIN_RETRY_DELAY_MS, "{pair:?}");
    }
    store.catch_up();
    wait_until("the instance serves requests", || async {
        platform::standin::caller::is_ready(instance.readiness_address).await
    })
    .await;
}

/// One of two instances reads the store and relays its records to the other. Both must apply
/// every change, and at least one batch must arrive from a peer.
#[tokio::test]
async fn instances_share_records_read_from_the_store() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let one = Instance::start("e1", "a", &store).await;
    let two = Instance::start("e2", "b", &store).await;
    let version = std::cell::Cell::new(1);
    wait_until("records are received from a peer", || async {
        version.set(version.get() + 1);
        let key = format!("key-{}", version.get());
        store.write_operator_record("config", &config(version.get(), &[&key], 5000));
        for instance in [&one, &two] {
            wait_until("the change is applied", || async {
                status(instance, &key).await == StatusCode::OK
            })
            .await;
        }
        let peer_batches =
            |instance: &Instance| instance.log_lines_containing("records of a peer").len();
        peer_batches(&one) + peer_batches(&two) > 0
    })
    .await;
}

#[tokio::test]
async fn metrics_include_requests_and_store_calls() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(status(&instance, "key-1").await, StatusCode::OK);
    let response = send_request(
        instance.metrics_address,
        &CallerRequest::new("m", "/metrics"),
    )
    .await;
    let text = response.expect("the instance returns its metrics").body;
    for name in [
        "requests_ended",
        "request_seconds",
        "requests_sent",
        "store_calls",
    ] {
        assert!(text.contains(name), "metric {name} is missing in {text}");
    }
}

/// Operators change the settings of a running instance. A truncated file must be ignored,
/// and a valid change must be applied, with or without SIGHUP.
#[tokio::test]
async fn changed_settings_are_reloaded() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    let instance = Instance::start("e1", "a", &store).await;
    let text = std::fs::read_to_string(&instance.settings_path).expect("the settings can be read");
    std::fs::write(&instance.settings_path, &text[..text.len() / 2])
        .expect("the settings can be written");
    instance.signal(rustix::process::Signal::HUP);
    wait_until("the error is logged", || async {
        !instance
            .log_lines_containing("cannot be read again")
            .is_empty()
    })
    .await;
    let changed = text.replace("retry_burst = 50", "retry_burst = 20");
    std::fs::write(&instance.settings_path, changed).expect("the settings can be written");
    wait_until("the change is applied", || async {
        let lines = instance.log_lines_containing("settings changed");
        lines.iter().any(|line| line.contains("retry_burst: 20"))
    })
    .await;
    assert!(platform::standin::caller::is_ready(instance.readiness_address).await);
}

/// The entry of a running instance was dropped from the store, as after a long partition. It
/// must register again, or its peers would not send it their load reports.
#[tokio::test]
async fn dropped_instance_registers_again() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    let _instance = Instance::start("e1", "a", &store).await;
    wait_until("the instance is registered", || async {
        store.instances() == ["e1"]
    })
    .await;
    store.drop_instance("e1");
    assert!(store.instances().is_empty());
    wait_until("the instance is registered again", || async {
        store.instances() == ["e1"]
    })
    .await;
}

/// A configuration with this idle timeout.
fn config_with_idle_timeout(version: u64, timeout_ms: u64) -> String {
    let text = config(version, &["key-1"], 5000);
    let mut config = serde_json::from_str::<serde_json::Value>(&text).expect("it is JSON");
    config["limits"]["idleTimeoutMs"] = timeout_ms.into();
    config.to_string()
}

/// A configuration raises the idle timeout, and callers reuse connections that were opened before for as long as it
/// allows. Those that are closed sooner cut requests that are on the way.
#[tokio::test]
async fn raised_idle_timeout_applies_to_open_connections() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config_with_idle_timeout(1, 2000));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    let session = Session::open(instance.caller_address).await;
    let mut session = session.expect("the instance accepts");
    let first = session.send(&CallerRequest::new("r1", "/order/7")).await;
    assert_eq!(first.map(|response| response.status), Some(StatusCode::OK));
    store.write_operator_record("config", &config_with_idle_timeout(2, 20_000));
    wait_until("the configuration is in force", || async {
        let lines = instance.log_lines_containing("configuration read");
        lines.iter().any(|line| line.contains("\"version\":2"))
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(session.is_open().await);
    let second = session.send(&CallerRequest::new("r2", "/order/7")).await;
    assert_eq!(second.map(|response| response.status), Some(StatusCode::OK));
}

/// Connections that are idle for longer than the timeout must not hold file descriptors, whether they have carried
/// a request or not.
#[tokio::test]
async fn idle_connections_are_closed() {
    let store = Store::start().await;
    let service = PlainService::start("d1").await;
    store.write_operator_record("config", &config_with_idle_timeout(1, 500));
    store.write_endpoint_entry("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    for is_used in [false, true] {
        let session = Session::open(instance.caller_address).await;
        let mut session = session.expect("the instance accepts");
        if is_used {
            let response = session.send(&CallerRequest::new("r1", "/order/7")).await;
            assert_eq!(
                response.map(|response| response.status),
                Some(StatusCode::OK)
            );
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(!session.is_open().await, "{is_used}");
    }
}
