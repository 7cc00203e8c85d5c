//! What instances do with a store that forgets, is slow to come, or falls silent.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Desk, Store,
        caller::{Ask, ask, config},
        store::Mood,
    },
    std::time::Duration,
};

async fn status(instance: &Instance, key: &str) -> StatusCode {
    let mut request = Ask::new("r1", "/order/7");
    request.key = key;
    let response = ask(instance.caller_address, &request).await;
    response.expect("an answer").status
}

/// An instance that has never heard from the store knows no route and no key. A 404 or a
/// 401 would be final for callers who are in the right.
#[tokio::test]
async fn instance_without_configuration_answers_503() {
    let store = Store::start().await;
    store.set_mood(Mood::Busy);
    let service = Desk::start("d1").await;
    store.operate("config", &config(1, &["key-1"], 5000));
    store.list("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start_without_waiting("e1", "a", &store).await;
    assert!(!platform::standin::caller::is_ready(instance.readiness_address).await);
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    store.set_mood(Mood::Sound);
    wait_until("it serves", || async {
        status(&instance, "key-1").await == StatusCode::OK
    })
    .await;
}

/// A key is taken away while the store does not answer an instance. It cannot hear of it,
/// so after a while nothing may run under any key; callers are told to come back.
#[tokio::test]
async fn keys_are_rejected_when_they_cannot_be_confirmed() {
    let store = Store::start().await;
    let service = Desk::start("d1").await;
    store.operate("config", &config(1, &["key-1"], 5000));
    store.list("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    store.set_mood(Mood::Silent);
    store.operate("config", &config(2, &[], 5000));
    wait_until("keys stop working", || async {
        status(&instance, "key-1").await == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let call_count = service.ran().len();
    assert_eq!(
        status(&instance, "key-1").await,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(service.ran().len(), call_count);
    store.set_mood(Mood::Sound);
    wait_until("the key is known to be gone", || async {
        status(&instance, "key-1").await == StatusCode::UNAUTHORIZED
    })
    .await;
}

/// The store drops its history and hands out old records for a while. The instance must
/// stay with what it knows, or a key that was just made would stop working.
#[tokio::test]
async fn lost_store_history_does_not_revert_configuration() {
    let store = Store::start().await;
    let service = Desk::start("d1").await;
    store.list("d1", &service.entry("desk", "a", "ready"));
    store.operate("config", &config(1, &["key-1"], 5000));
    store.operate("config", &config(2, &["key-2"], 5000));
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(status(&instance, "key-2").await, StatusCode::OK);
    store.forget(1);
    for _ in 0..20 {
        assert_eq!(status(&instance, "key-2").await, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    store.forget(0);
    store.operate("config", &config(3, &["key-3"], 5000));
    wait_until("the new version is in force", || async {
        status(&instance, "key-3").await == StatusCode::OK
    })
    .await;
}

/// Two instances share the work of following the store: one reads and passes on what it
/// reads, and both learn of each change. Who reads is tested in the core; here, that
/// records come over and are taken in.
#[tokio::test]
async fn instances_share_records_read_from_the_store() {
    let store = Store::start().await;
    let service = Desk::start("d1").await;
    store.operate("config", &config(1, &["key-1"], 5000));
    store.list("d1", &service.entry("desk", "a", "ready"));
    let one = Instance::start("e1", "a", &store).await;
    let two = Instance::start("e2", "b", &store).await;
    let version = std::cell::Cell::new(1);
    wait_until("records come from a fellow", || async {
        version.set(version.get() + 1);
        let key = format!("key-{}", version.get());
        store.operate("config", &config(version.get(), &[&key], 5000));
        for instance in [&one, &two] {
            wait_until("the change is in force", || async {
                status(instance, &key).await == StatusCode::OK
            })
            .await;
        }
        let heard =
            |instance: &Instance| instance.log_lines_containing("records of a fellow").len();
        heard(&one) + heard(&two) > 0
    })
    .await;
}

/// An operator asks an instance for its figures.
#[tokio::test]
async fn metrics_count_served_requests() {
    let store = Store::start().await;
    let service = Desk::start("d1").await;
    store.operate("config", &config(1, &["key-1"], 5000));
    store.list("d1", &service.entry("desk", "a", "ready"));
    let instance = Instance::start("e1", "a", &store).await;
    assert_eq!(status(&instance, "key-1").await, StatusCode::OK);
    let response = ask(instance.metrics_address, &Ask::new("m", "/metrics")).await;
    let text = response.expect("figures").body;
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
async fn changed_settings_are_reloaded() {
    let store = Store::start().await;
    store.operate("config", &config(1, &["key-1"], 5000));
    let instance = Instance::start("e1", "a", &store).await;
    let text = std::fs::read_to_string(&instance.settings_path).expect("settings");
    std::fs::write(&instance.settings_path, &text[..text.len() / 2]).expect("a file");
    instance.signal(rustix::process::Signal::HUP);
    wait_until("the fault is named", || async {
        !instance
            .log_lines_containing("cannot be read again")
            .is_empty()
    })
    .await;
    let changed = text.replace("retry_burst = 50", "retry_burst = 20");
    std::fs::write(&instance.settings_path, changed).expect("a file");
    wait_until("the change is taken in", || async {
        let lines = instance.log_lines_containing("settings changed");
        lines.iter().any(|line| line.contains("retry_burst: 20"))
    })
    .await;
    assert!(platform::standin::caller::is_ready(instance.readiness_address).await);
}

/// An instance was cut off for so long that its entry was dropped. It lives, so it must be
/// found again by the others, or it would choose engines without knowing their load.
#[tokio::test]
async fn dropped_instance_registers_again() {
    let store = Store::start().await;
    store.operate("config", &config(1, &["key-1"], 5000));
    let _instance = Instance::start("e1", "a", &store).await;
    wait_until("it is published", || async { store.instances() == ["e1"] }).await;
    store.drop_instance("e1");
    assert!(store.instances().is_empty());
    wait_until("it is published again", || async {
        store.instances() == ["e1"]
    })
    .await;
}
