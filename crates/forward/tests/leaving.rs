//! Endpoints that leave, lapse, come back, and failure domains that are taken out.

mod common;

use common::*;

fn pair() -> Vec<Listing> {
    vec![
        listing("m1", "model", "a"),
        listing("m2", "model", "b"),
        listing("m3", "model", "b"),
    ]
}

/// An engine announces that it leaves, or its entry vanishes while it still works for a
/// second or two. Requests sent there are cut off with it.
#[test]
fn nothing_new_goes_to_an_engine_that_leaves() {
    for vanishes in [false, true] {
        let mut state = instance(&pair());
        let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
        assert_eq!(id(&state, first), "m1");
        let mut leaving = listing("m1", "model", "a");
        leaving.leaving = true;
        let change = if vanishes {
            Change::Removed("m1".to_string())
        } else {
            Change::Set(leaving)
        };
        // The list has been followed without a break, so a vanished entry is believed.
        state.confirm_list(at(2200), at(2200));
        state.change(at(2300), change);
        let (next, _) = picked(state.pick(at(2301), "model", LONG, &[]));
        assert_ne!(id(&state, next), "m1");
        let run = begin_run(&mut state, first, Some(next));
        assert!(state.must_move(run));
    }
}

/// An instance has just started, and an engine's entry vanishes. The first word of the
/// store looked like its return, so the entry was doubted for two seconds, in which the
/// engine was gone with its runs.
#[test]
fn a_new_instance_believes_what_vanishes() {
    let mut state = instance(&pair());
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let run = begin_run(&mut state, first, None);
    state.change(at(300), Change::Removed(id(&state, first)));
    assert!(state.must_move(run));
}

/// The store was away and dropped the entries of engines that live. Believing it at once
/// would leave no engine to send to, and callers would be refused by a healthy system.
#[test]
fn entries_that_lapsed_during_an_outage_are_doubted_first() {
    let mut state = instance(&pair());
    // The store is away from 1 s on, and back with its first answer at 8 s.
    state.confirm_list(at(1000), at(900));
    state.confirm_list(at(8000), at(7990));
    for name in ["m1", "m2"] {
        state.change(at(8001), Change::Removed(name.to_string()));
    }
    let (during, _) = picked(state.pick(at(8100), "model", LONG, &[]));
    assert_eq!(id(&state, during), "m1");
    // One comes back within two seconds, the other does not.
    state.change(at(9000), Change::Set(listing("m1", "model", "a")));
    state.tick(at(10_100));
    let usable = |state: &State, name: &str| {
        let mut endpoints = state.endpoints();
        endpoints.any(|(_, endpoint)| endpoint.listing.id == name && endpoint.usable(at(10_100)))
    };
    assert!(usable(&state, "m1"));
    assert!(!usable(&state, "m2"));
}

/// Operators take a failure domain out because its engines turn cold. Whatever is sent
/// there after that, a run that goes on from its copy included, breaks their promise.
#[test]
fn nothing_goes_to_a_domain_that_is_out() {
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

/// The engine that holds a run's copy leaves as well. For a moment it is all that is left
/// of the run, and it still works; a while later it must get nothing more.
#[test]
fn a_leaving_engine_may_take_a_run_over_for_a_moment() {
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

/// An engine dies without a word. The first request that cannot reach it must keep the
/// next ones away, for longer with each failure, but a new life under the same id starts
/// with a clean record.
#[test]
fn an_unreachable_endpoint_is_avoided_until_it_is_born_again() {
    let mut state = instance(&pair());
    let (key, _) = picked(state.pick(at(10), "model", LONG, &[]));
    state.endpoint_mut(key).expect("known").mark_unreachable(at(100));
    assert!(!state.endpoint(key).expect("known").usable(at(350)));
    assert!(state.endpoint(key).expect("known").usable(at(400)));
    state.endpoint_mut(key).expect("known").mark_unreachable(at(400));
    assert!(!state.endpoint(key).expect("known").usable(at(900)));
    let mut reborn = listing("m1", "model", "a");
    reborn.started_at = Some(2);
    state.change(at(900), Change::Set(reborn));
    assert!(state.endpoint(key).expect("known").usable(at(900)));
}
