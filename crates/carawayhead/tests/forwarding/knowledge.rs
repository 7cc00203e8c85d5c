//! What instances do with a store that forgets, is slow to come, or falls silent.

use {
    crate::instance::{Instance, until},
    http::StatusCode,
    platform::standin::{
        PlainService, Store,
        caller::{CallerRequest, config, send_request},
        store::StoreBehavior,
    },
    std::time::Duration,
};

async fn status(instance: &Instance, key: &str) -> StatusCode {
    let mut request = CallerRequest::new("r1", "/order/7");
    request.key = key;
    let got = send_request(instance.callers, &request).await;
    got.expect("an answer").status
}

/// An instance that has never heard from the store knows no route and no key. A 404 or a
/// 401 would be final for callers who are in the right.
#[tokio::test]
async fn an_instance_without_a_configuration_refuses_for_now() {
    let store = Store::start().await;
    store.set_behavior(StoreBehavior::Rejecting);
    let desk = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &desk.entry("desk", "a", "ready"));
    let instance = Instance::start_unready("e1", "a", &store).await;
    assert!(!platform::standin::caller::is_ready(instance.ready).await);
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    store.set_behavior(StoreBehavior::Healthy);
    until("it serves", || async {
        status(&instance, "key-1").await == StatusCode::OK
    })
    .await;
}

/// A key is taken away while the store does not answer an instance. It cannot hear of it,
/// so after a while nothing may run under any key; callers are told to come back.
#[tokio::test]
async fn keys_stop_working_when_they_cannot_be_proved() {
    let store = Store::start().await;
    let desk = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &desk.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    store.set_behavior(StoreBehavior::Unresponsive);
    store.write_operator_record("config", &config(2, &[], 5000));
    until("keys stop working", || async {
        status(&instance, "key-1").await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let ran = desk.executed_calls().len();
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(desk.executed_calls().len(), ran);
    store.set_behavior(StoreBehavior::Healthy);
    until("the key is known to be gone", || async {
        status(&instance, "key-1").await == StatusCode::UNAUTHORIZED
    })
    .await;
}

/// The store drops its history and hands out old records for a while. The instance must
/// stay with what it knows, or a key that was just made would stop working.
#[tokio::test]
async fn lost_history_takes_nothing_back() {
    let store = Store::start().await;
    let desk = PlainService::start("d1").await;
    store.write_endpoint_entry("d1", &desk.entry("desk", "a", "ready"));
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
    until("the new version is in force", || async {
        status(&instance, "key-3").await == StatusCode::OK
    })
    .await;
}

/// Two instances share the work of following the store: one reads and passes on what it
/// reads, and both learn of each change. Who reads is tested in the core; here, that
/// records come over and are taken in.
#[tokio::test]
async fn two_instances_share_what_one_reads() {
    let store = Store::start().await;
    let desk = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &desk.entry("desk", "a", "ready"));
    let one = Instance::start("e1", "a", &store).await;
    let two = Instance::start("e2", "b", &store).await;
    let version = std::cell::Cell::new(1);
    until("records come from a fellow", || async {
        version.set(version.get() + 1);
        let key = format!("key-{}", version.get());
        store.write_operator_record("config", &config(version.get(), &[&key], 5000));
        for instance in [&one, &two] {
            until("the change is in force", || async {
                status(instance, &key).await == StatusCode::OK
            })
            .await;
        }
        let heard = |instance: &Instance| instance.lines_with("records of a peer").len();
        heard(&one) + heard(&two) > 0
    })
    .await;
}

/// An operator asks an instance for its figures.
#[tokio::test]
async fn metrics_count_what_was_served() {
    let store = Store::start().await;
    let desk = PlainService::start("d1").await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    store.write_endpoint_entry("d1", &desk.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(status(&instance, "key-1").await, StatusCode::OK);
    let got = send_request(instance.metrics, &CallerRequest::new("m", "/metrics")).await;
    let text = got.expect("figures").body;
    for name in [
        "requests_ended",
        "request_seconds",
        "requests_sent",
        "store_calls",
    ] {
        assert!(text.contains(name), "{name} in {text}");
    }
}

/// Operators change the settings while instances run, with a signal or without, and once
/// by a file that is half written. The change must be taken in and the half file passed
/// over, or an instance would run with bounds that nobody chose.
#[tokio::test]
async fn changed_settings_are_taken_in() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    let instance = Instance::start("e1", "a", &store).await;
    let text = std::fs::read_to_string(&instance.settings).expect("settings");
    std::fs::write(&instance.settings, &text[..text.len() / 2]).expect("a file");
    instance.signal(rustix::process::Signal::HUP);
    until("the fault is named", || async {
        !instance.lines_with("cannot be read again").is_empty()
    })
    .await;
    let changed = text.replace("retry_burst = 50", "retry_burst = 20");
    std::fs::write(&instance.settings, changed).expect("a file");
    until("the change is taken in", || async {
        let lines = instance.lines_with("settings changed");
        lines.iter().any(|line| line.contains("retry_burst: 20"))
    })
    .await;
    assert!(platform::standin::caller::is_ready(instance.ready).await);
}

/// An instance was cut off for so long that its entry was dropped. It lives, so it must be
/// found again by the others, or it would choose engines without knowing their load.
#[tokio::test]
async fn a_dropped_instance_publishes_itself_again() {
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 5000));
    let _instance = Instance::start("e1", "a", &store).await;
    until("it is published", || async { store.instances() == ["e1"] }).await;
    store.drop_instance("e1");
    assert!(store.instances().is_empty());
    until("it is published again", || async {
        store.instances() == ["e1"]
    })
    .await;
}
