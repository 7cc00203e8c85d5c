//! Endpoints that leave, expire or return, and disabled failure domains.

mod common;

use {
    common::*,
    forward::{
        condition::Conditions,
        state::{Answer, Outlook},
    },
};

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

/// Guards against a run that is sent again, as a takeover or as a move, to an engine that was asked to take it over and
/// may be running it.
#[test]
fn engine_that_may_be_running_a_run_is_not_asked_again() {
    let mut state = instance(&pair());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let backup = backup.expect("there is room for a copy");
    let run = begin_run(&mut state, first, Some(backup));
    let others = state.endpoints().map(|(key, _)| key);
    let others = others.filter(|key| *key != backup).collect::<Vec<_>>();
    assert_eq!(state.pick_target(at(11), run, &others), Some(backup));
    state.record_takeover(run, backup);
    assert!(state.may_be_running(run, backup));
    assert_eq!(state.backup(at(11), run), None);
    assert_eq!(state.healthy_backup(at(11), run), None);
    assert_eq!(state.pick_target(at(11), run, &others), None);
    // Other runs are not affected.
    let other = begin_run(&mut state, first, Some(backup));
    assert_eq!(state.backup(at(11), other), Some(backup));
    // It has refused.
    state.settle_takeover(run, backup);
    assert_eq!(state.backup(at(11), run), Some(backup));
    assert_eq!(state.pick_target(at(11), run, &others), Some(backup));
}

/// Guards against a stop that an engine obeys by a copy to itself, or that it is not asked for as the run has ended elsewhere.
#[test]
fn run_that_a_stream_has_left_is_stopped_towards_another_engine() {
    let mut state = instance(&pair());
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let others = state.endpoints().map(|(key, _)| key);
    let other = others.into_iter().find(|key| *key != first);
    let other = other.expect("a second engine");
    let run = begin_run(&mut state, first, None);
    assert_eq!(state.stop_target(run, first), Some(other));
    assert_eq!(state.stop_target(run, other), Some(first));
    state.end(run);
    assert_eq!(state.stop_target(run, first), Some(other));
}

/// Has an endpoint state in an answer that it leaves; returns whether that is new.
fn state_leaving(state: &mut State, now: u64, id: &str) -> bool {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    let (key, endpoint) = found.expect("a listed endpoint");
    let answer = Answer {
        conditions: Conditions {
            leaving: true,
            ..Conditions::default()
        },
        incarnation: endpoint.incarnation,
        rejected: false,
        sent_at: at(now),
    };
    drop(endpoints);
    state.record_statement(at(now), key, &answer)
}

fn is_usable(state: &State, now: u64, id: &str) -> bool {
    let mut endpoints = state.endpoints();
    endpoints.any(|(_, endpoint)| endpoint.listing.id == id && endpoint.usable(at(now)))
}

/// Guards against entries that call an endpoint ready which has stated that it leaves: a change of it, a whole list after
/// the store was away, and one that is read after the endpoint was forgotten.
#[test]
fn entries_do_not_undo_what_an_endpoint_states() {
    let mut state = instance(&pair());
    assert!(state_leaving(&mut state, 1000, "m1"));
    assert!(!state_leaving(&mut state, 1100, "m1"));
    let mut entry = listing("m1", "model", "a");
    entry.cold = millis(800);
    state.change(at(1500), Change::Set(entry));
    assert!(!is_usable(&state, 1500, "m1"));
    state.confirm_list(at(9000), at(8990));
    state.change(at(9000), Change::Removed("m1".to_string()));
    state.change(at(9500), Change::Set(listing("m1", "model", "a")));
    state.tick(at(11_000));
    assert!(!is_usable(&state, 11_000, "m1"));
    for round in 1..4 {
        let now = round * 60_000;
        state.tick(at(now));
        let names = state.endpoint_ids();
        assert!(!names.contains(&"m1".to_string()), "forgotten");
        state.change(at(now + 10), Change::Set(listing("m1", "model", "a")));
        assert!(!is_usable(&state, now + 20, "m1"));
    }
    let mut restarted = listing("m1", "model", "a");
    restarted.started_at = Some(2);
    state.change(at(200_000), Change::Set(restarted));
    assert!(is_usable(&state, 200_000, "m1"));
}

/// Guards against runs and copies that stay with an engine until the list says that it leaves.
#[test]
fn runs_leave_an_engine_that_states_that_it_leaves() {
    let mut state = instance(&pair());
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let name = id(&state, first);
    let run = begin_run(&mut state, first, None);
    assert!(!state.must_move(at(1000), run));
    state_leaving(&mut state, 1000, &name);
    assert!(state.must_move(at(1000), run));
    assert!(state.may_continue_at(at(1500), first));
    assert!(!state.may_continue_at(at(2000), first));
    assert_eq!(state.permit_send(at(1500), first, false), None);
    assert!(state.permit_send(at(1500), first, true).is_some());
}

/// Guards against a peer's news of an endpoint whose entry is read later.
#[test]
fn endpoint_that_a_peer_calls_leaving_is_not_used_once_listed() {
    let mut state = instance(&pair());
    let mut listed = listing("m4", "model", "a");
    listed.started_at = Some(7);
    let incarnation = forward::load::digest(&listed.incarnation());
    state.record_leaving(at(1000), incarnation);
    state.change(at(1500), Change::Set(listed));
    assert!(!is_usable(&state, 1500, "m4"));
    let known = state
        .endpoints()
        .find(|(_, endpoint)| endpoint.listing.id == "m2");
    let known = known.expect("a listed endpoint").1.incarnation;
    assert!(state.record_leaving(at(1600), known));
    assert!(!is_usable(&state, 1600, "m2"));
}

/// Guards against requests that wait for endpoints which all leave, and against refusals where one may register again.
#[test]
fn request_is_refused_at_once_where_all_endpoints_leave() {
    let mut state = instance(&[listing("d1", "desk", "a"), listing("d2", "desk", "a")]);
    state_leaving(&mut state, 1000, "d1");
    assert_eq!(state.outlook(at(1000), "desk", &[]), Outlook::Room);
    let mut leaving = listing("d2", "desk", "a");
    leaving.leaving = true;
    state.change(at(1100), Change::Set(leaving));
    assert_eq!(state.outlook(at(1100), "desk", &[]), Outlook::Nothing);
    state.change(at(1200), Change::Set(listing("d3", "desk", "a")));
    assert_eq!(state.outlook(at(1200), "desk", &[]), Outlook::Room);
    state.confirm_list(at(1300), at(1300));
    state.change(at(1300), Change::Removed("d3".to_string()));
    assert_eq!(state.outlook(at(1300), "desk", &[]), Outlook::Room);
}
