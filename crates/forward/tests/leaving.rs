//! Endpoints that leave, expire or return, and disabled failure domains.

mod common;

use common::*;

fn pair() -> Vec<Listing> {
    vec![
        listing("m1", "model", "a"),
        listing("m2", "model", "b"),
        listing("m3", "model", "b"),
    ]
}

/// An engine is leaving once it announces so or its entry is removed; new requests would be lost
/// with it.
#[test]
fn leaving_engine_gets_no_new_requests() {
    for removed in [false, true] {
        let mut state = instance(&pair());
        let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
        assert_eq!(id(&state, first), "m1");
        let mut leaving = listing("m1", "model", "a");
        leaving.leaving = true;
        let change = if removed {
            Change::Removed("m1".to_string())
        } else {
            Change::Set(leaving)
        };
        // The list is current, so that a removed entry takes effect at once.
        state.confirm_list(at(2200), at(2200));
        state.change(at(2300), change);
        let (next, _) = picked(state.pick(at(2301), "model", LONG, &[]));
        assert_ne!(id(&state, next), "m1");
        let run = begin_run(&mut state, first, Some(next));
        assert!(state.must_move(at(2301), run));
    }
}

/// The first read of the list must not count as a recovery of the store, which delays removals.
#[test]
fn removal_right_after_start_applies_at_once() {
    let mut state = instance(&pair());
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let run = begin_run(&mut state, first, None);
    state.change(at(300), Change::Removed(id(&state, first)));
    assert!(state.must_move(at(301), run));
}

/// Entries of live engines expire while the store is unreachable; removing them at once would leave
/// no engine.
#[test]
fn removals_after_store_outage_are_delayed() {
    let mut state = instance(&pair());
    // The store is unreachable from 1 s to 8 s.
    state.confirm_list(at(1000), at(900));
    state.confirm_list(at(8000), at(7990));
    for name in ["m1", "m2"] {
        state.change(at(8001), Change::Removed(name.to_string()));
    }
    let (during, _) = picked(state.pick(at(8100), "model", LONG, &[]));
    assert_eq!(id(&state, during), "m1");
    // One registers again within two seconds, the other does not.
    state.change(at(9000), Change::Set(listing("m1", "model", "a")));
    state.tick(at(10_100));
    let usable = |state: &State, name: &str| {
        let mut endpoints = state.endpoints();
        endpoints.any(|(_, endpoint)| endpoint.listing.id == name && endpoint.usable(at(10_100)))
    };
    assert!(usable(&state, "m1"));
    assert!(!usable(&state, "m2"));
}

/// A disabled failure domain gets no new work, copies or continued runs.
#[test]
fn disabled_domain_gets_no_work() {
    let mut state = instance(&pair());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let backup = backup.expect("an engine for the copy");
    let run = begin_run(&mut state, first, Some(backup));
    assert!(state.may_continue_at(at(20), backup));
    assert_eq!(state.healthy_backup(at(20), run), Some(backup));
    state.set_domain("b", true);
    assert!(!state.may_continue_at(at(20), backup));
    assert_eq!(state.healthy_backup(at(20), run), None);
    assert_eq!(state.pick_target(at(20), run, &[]), None);
    state.set_domain("b", false);
    assert!(state.may_continue_at(at(20), backup));
}

/// An engine that has just started to leave may hold the only copy of a run; later it must get
/// nothing.
#[test]
fn leaving_engine_may_continue_run_within_grace() {
    let mut state = instance(&pair());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let backup = backup.expect("an engine for the copy");
    let run = begin_run(&mut state, first, Some(backup));
    let name = id(&state, backup);
    let mut leaving = listing(&name, "model", "b");
    leaving.leaving = true;
    state.change(at(1000), Change::Set(leaving));
    assert_eq!(state.healthy_backup(at(1100), run), None);
    assert!(state.may_continue_at(at(1800), backup));
    assert!(!state.may_continue_at(at(2000), backup));
}

/// Failed connections lengthen the backoff; a restart under the same id resets it.
#[test]
fn unreachable_endpoint_is_avoided_until_restart() {
    let mut state = instance(&pair());
    let (key, _) = picked(state.pick(at(10), "model", LONG, &[]));
    state
        .endpoint_mut(key)
        .expect("known")
        .mark_unreachable(at(100));
    assert!(!state.endpoint(key).expect("known").usable(at(350)));
    assert!(state.endpoint(key).expect("known").usable(at(400)));
    state
        .endpoint_mut(key)
        .expect("known")
        .mark_unreachable(at(400));
    assert!(!state.endpoint(key).expect("known").usable(at(900)));
    let mut reborn = listing("m1", "model", "a");
    reborn.started_at = Some(2);
    state.change(at(900), Change::Set(reborn));
    assert!(state.endpoint(key).expect("known").usable(at(900)));
}

/// All instances lose an endpoint at the same moment. If they came back together, what waits at them would
/// overload it as soon as it is back.
#[test]
fn instances_come_back_to_a_failed_endpoint_at_different_times() {
    let returns = (0..8).map(|seed| {
        let mut state = instance_in("a", seed, &pair());
        let (key, _) = state.endpoints().next().expect("listed");
        let endpoint = state.endpoint_mut(key).expect("listed");
        for _ in 0..4 {
            endpoint.mark_unreachable(at(0));
        }
        (0..5000).find(|millis| endpoint.usable(at(*millis)))
    });
    let mut returns = returns.collect::<Vec<_>>();
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 4, "{returns:?}");
}

/// An engine that has restarted has lost the copies that it held. A takeover there would run the
/// request a second time.
#[test]
fn copy_is_lost_when_its_engine_restarts() {
    let mut state = instance(&pair());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let backup = backup.expect("there is room for a copy");
    let run = begin_run(&mut state, first, Some(backup));
    let mut restarted = listing(&id(&state, backup), "model", "b");
    state.change(at(20), Change::Set(restarted.clone()));
    assert_eq!(state.healthy_backup(at(21), run), Some(backup));
    restarted.started_at = Some(2);
    state.change(at(30), Change::Set(restarted));
    assert_eq!(state.healthy_backup(at(31), run), None);
}

/// An engine that has rejected a takeover does not have the copy. Asking it at each silence of the
/// run's own engine can start the run a second time.
#[test]
fn copy_is_lost_when_its_engine_does_not_have_it() {
    let mut state = instance(&pair());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let backup = backup.expect("there is room for a copy");
    let run = begin_run(&mut state, first, Some(backup));
    state.record_missing_copy(run, first);
    assert_eq!(state.healthy_backup(at(11), run), Some(backup));
    state.record_missing_copy(run, backup);
    assert_eq!(state.healthy_backup(at(11), run), None);
}
