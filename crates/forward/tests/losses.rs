//! Endpoints whose connections broke, and whether they live on.

mod common;

use {common::*, forward::fingerprint::Fingerprint};

fn fingerprint() -> Fingerprint {
    Fingerprint::new(Some("ada"), "h.example", "/draft/x", b"body")
}

/// Three engines, under which a request has broken at 10 s.
fn instance_with_losses() -> (State, Vec<EndpointKey>) {
    let engines = ["m1", "m2", "m3"].map(|id| listing(id, "model", "a"));
    let mut state = instance(&engines);
    let keys = state.endpoints().map(|(key, _)| key).collect::<Vec<_>>();
    for key in &keys {
        assert!(state.record_break(at(10_000), fingerprint(), *key, 0));
    }
    assert!(state.suspects.refuses(at(10_000), fingerprint()));
    (state, keys)
}

/// A cut link resets connections as a crash does. A request must not be refused for endpoints that
/// live on, and other instances must learn that.
#[test]
fn endpoint_that_lives_on_counts_against_no_request() {
    let (mut state, keys) = instance_with_losses();
    assert_eq!(state.due_loss_checks(at(10_000)), keys);
    assert_eq!(state.record_alive(keys[0], Some(1)), 1);
    assert!(!state.suspects.refuses(at(10_100), fingerprint()));
    assert_eq!(state.suspects.crashes(fingerprint()), 2);
    assert_eq!(state.suspects.unpublished().len(), 3);
    assert_eq!(state.record_alive(keys[0], Some(1)), 0);
}

/// An engine that crashed may be back under its id before its new entry has been read.
#[test]
fn restarted_engine_has_crashed() {
    let (mut state, keys) = instance_with_losses();
    assert_eq!(state.record_alive(keys[0], Some(2)), 0);
    assert!(state.suspects.refuses(at(10_100), fingerprint()));
    assert!(!state.due_loss_checks(at(10_100)).contains(&keys[0]));
}

/// A partition may last for seconds, after which engines prove to live on, within the three seconds in which
/// instances have to serve again; most have crashed, and must not be asked for ever.
#[test]
fn lost_engines_are_checked_for_some_time() {
    let (mut state, keys) = instance_with_losses();
    let mut checked = Vec::new();
    for now in (10_000..60_000).step_by(100) {
        if state.due_loss_checks(at(now)).contains(&keys[1]) {
            checked.push(now);
        }
    }
    assert!(checked.len() <= 14, "{checked:?}");
    assert!(checked[1] <= 10_500, "{checked:?}");
    let gaps = checked.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max() <= Some(2500), "{checked:?}");
    let last = checked.last().copied().unwrap_or_default();
    assert!((25_000..=30_000).contains(&last), "{checked:?}");
}

/// When a partition ends, what it seemed to have crashed is asked for at once.
#[test]
fn lost_engines_are_checked_when_links_have_healed() {
    let (mut state, keys) = instance_with_losses();
    for key in &keys {
        state.record_unreached(at(10_100), *key);
    }
    for now in (10_000..15_000).step_by(100) {
        let _checked = state.due_loss_checks(at(now));
    }
    state.record_reached(at(15_000), keys[1]);
    assert_eq!(state.due_loss_checks(at(15_000)), keys);
}

/// A plain service does not say when it started, so that one that answers seconds later may have
/// crashed.
#[test]
fn plain_service_is_checked_for_a_short_time() {
    let mut state = instance(&[listing("d1", "desk", "a")]);
    let key = state.endpoints().next().expect("listed").0;
    state.record_break(at(10_000), fingerprint(), key, 0);
    assert_eq!(state.due_loss_checks(at(10_000)), [key]);
    assert!(state.due_loss_checks(at(11_100)).is_empty());
}

/// An engine that is lost already, behind a proxy that still accepts connections, breaks those of harmless requests that
/// are sent there later. They must not be blamed for it.
#[test]
fn request_sent_to_a_lost_endpoint_is_not_blamed() {
    let (mut state, keys) = instance_with_losses();
    assert!(!state.was_lost_before(at(9_999), keys[0]));
    assert!(state.was_lost_before(at(10_001), keys[0]));
    state.record_heard(at(10_500), keys[0]);
    assert!(!state.was_lost_before(at(10_501), keys[0]));
    let mut entry = listing("m2", "model", "a");
    entry.slots = 7;
    state.change(at(10_500), Change::Set(entry));
    assert!(!state.was_lost_before(at(10_501), keys[1]));
    state.record_alive(keys[2], Some(1));
    assert!(!state.was_lost_before(at(10_501), keys[2]));
}

/// Another instance has seen the loss. A trial that is sent to the lost engine ends without a result, and there is not
/// another one for a long time.
#[test]
fn trials_avoid_endpoints_that_peers_have_lost() {
    let engines = ["m1", "m2"].map(|id| listing(id, "model", "a"));
    let mut state = instance(&engines);
    let keys = state.endpoints().map(|(key, _)| key).collect::<Vec<_>>();
    state.record_loss(at(10_000), "m1@1");
    assert_eq!(state.lost_endpoints("model"), [keys[0]]);
    state.record_loss(at(10_100), "m2@1");
    assert!(state.lost_endpoints("model").is_empty());
    state.record_heard(at(10_200), keys[0]);
    assert_eq!(state.lost_endpoints("model"), [keys[1]]);
    state.record_loss(at(10_300), "m1@2");
    assert_eq!(state.lost_endpoints("model"), [keys[1]]);
}
