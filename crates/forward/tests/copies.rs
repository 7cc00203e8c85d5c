//! What is known of the backup copies of runs.

mod common;

use {
    common::{at, begin_unread_run, instance, listing},
    forward::{State, prelude::EndpointKey},
};

fn engine(state: &State, id: &str) -> EndpointKey {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    found.expect("a known endpoint").0
}

/// Guards against a takeover that is sent to an engine without a copy, which might run the request anew: the run was so young when
/// it was last heard that its copy may not have been begun.
#[test]
fn young_run_has_no_backup() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "b")]);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    let run = begin_unread_run(&mut state, source, Some(backup));
    assert_eq!(state.backup(at(0), run), None);
    state.record_events(at(1000), run);
    state.record_events(at(1199), run);
    assert_eq!(state.backup(at(5000), run), None);
    state.record_events(at(1200), run);
    assert_eq!(state.backup(at(5000), run), Some(backup));
}

/// Guards against the same after the run has gone on at another engine, which copies it to another backup.
#[test]
fn run_that_went_on_elsewhere_has_no_backup_at_once() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "b")]);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    let run = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(1000), run);
    state.record_events(at(2000), run);
    state.restart_copy(run);
    assert_eq!(state.backup(at(2000), run), None);
    state.record_events(at(2010), run);
    assert_eq!(state.backup(at(2010), run), None);
}

/// Guards against the same where the failure domain of the backup was cut off while the run was at work. Engines do not go on
/// copying it after the cut.
#[test]
fn copy_is_not_known_after_the_domain_of_the_backup_was_cut_off() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "b")]);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    state.record_heard(at(900), backup);
    let run = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(1000), run);
    state.record_hang(at(1300), backup);
    state.record_events(at(3000), run);
    assert_eq!(state.backup(at(3000), run), None);
    state.record_heard(at(3000), backup);
    state.record_events(at(9000), run);
    assert_eq!(state.backup(at(9000), run), None);
    let later = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(9000), later);
    state.record_events(at(9200), later);
    assert_eq!(state.backup(at(9200), later), Some(backup));
}

/// Guards against copies that are ordered at an engine in a failure domain that is cut off, where they never arrive.
#[test]
fn copies_are_not_ordered_in_a_domain_that_is_cut_off() {
    let listings = [
        listing("m1", "model", "a"),
        listing("m2", "model", "a"),
        listing("m3", "model", "b"),
    ];
    let mut state = instance(&listings);
    let [source, near, far] = ["m1", "m2", "m3"].map(|id| engine(&state, id));
    let run = begin_unread_run(&mut state, source, None);
    assert_eq!(state.pick_backup(at(500), run, source), Some(far));
    state.record_hang(at(500), far);
    assert_eq!(state.pick_backup(at(500), run, source), Some(near));
    state.record_heard(at(900), far);
    assert_eq!(state.pick_backup(at(900), run, source), Some(far));
}

/// Guards against streams that are lost although their copies are known: one engine of the domain does not answer, while others do.
#[test]
fn one_engine_that_hangs_does_not_cut_off_its_domain() {
    let listings = [
        listing("m1", "model", "a"),
        listing("m2", "model", "b"),
        listing("m3", "model", "b"),
    ];
    let mut state = instance(&listings);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    let run = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(1000), run);
    state.record_heard(at(1200), backup);
    state.record_events(at(1300), run);
    let other = engine(&state, "m3");
    state.record_hang(at(1310), other);
    assert_eq!(state.backup(at(1310), run), Some(backup));
}

/// Guards against the same where nothing was sent to the failure domain of the backup while it was cut off: its instances did not
/// report.
#[test]
fn copy_is_not_known_after_a_domain_has_not_reported() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "b")]);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    state.members.set("e2", "b", 1000);
    for sent_at in [500, 750, 1000] {
        state.record_peer_report(at(sent_at), "e2");
    }
    let run = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(1500), run);
    state.record_events(at(3000), run);
    assert_eq!(state.backup(at(3000), run), None);
    assert_eq!(state.pick_backup(at(3000), run, source), None);
    state.record_peer_report(at(3100), "e2");
    state.record_events(at(4000), run);
    assert_eq!(state.backup(at(4000), run), None);
    let later = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(3200), later);
    state.record_peer_report(at(3300), "e2");
    state.record_events(at(4000), later);
    assert_eq!(state.backup(at(4000), later), Some(backup));
    assert_eq!(state.pick_backup(at(4000), later, source), Some(backup));
}

/// Guards against copies that are in doubt after the only instance of their failure domain was replaced, while its engines answered.
#[test]
fn failure_domain_whose_engines_are_heard_is_not_cut_off() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "b")]);
    let (source, backup) = (engine(&state, "m1"), engine(&state, "m2"));
    state.members.set("e2", "b", 1000);
    state.record_peer_report(at(500), "e2");
    let run = begin_unread_run(&mut state, source, Some(backup));
    state.record_events(at(600), run);
    for heard_at in [700, 1500, 2300] {
        state.record_heard(at(heard_at), backup);
        state.record_events(at(heard_at), run);
    }
    state.record_peer_report(at(3000), "e2");
    assert_eq!(state.backup(at(3000), run), Some(backup));
}
