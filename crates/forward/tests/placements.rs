//! Since when engines may be working on runs.

mod common;

use {
    common::{at, begin_unread_run, instance, listing},
    forward::{
        State,
        placement::Placements,
        prelude::{EndpointKey, RunKey},
    },
};

fn engine(state: &State, id: &str) -> EndpointKey {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    found.expect("a known endpoint").0
}

fn run_and_engines() -> (RunKey, [EndpointKey; 3]) {
    let ids = ["m1", "m2", "m3"];
    let mut state = instance(&ids.map(|id| listing(id, "model", "a")));
    let engines = ids.map(|id| engine(&state, id));
    let run = begin_unread_run(&mut state, engines[0], None);
    (run, engines)
}

/// Guards against an overlap of two engines that is counted from the answer of the second one, not from the time at which it may
/// have begun.
#[test]
fn overlap_begins_with_the_second_engine() {
    let (run, [first, second, third]) = run_and_engines();
    let mut placements = Placements::default();
    placements.begin(at(1000), run, third);
    assert_eq!(placements.overlaps_since(run), None);
    placements.begin(at(2000), run, first);
    placements.begin(at(3000), run, second);
    assert_eq!(placements.overlaps_since(run), Some(at(2000)));
    placements.leave(run, third);
    assert_eq!(placements.overlaps_since(run), Some(at(2000)));
    assert_eq!(placements.end(run, third), Some(at(2000)));
    assert_eq!(placements.overlaps_since(run), Some(at(3000)));
    assert_eq!(placements.end(run, first), Some(at(3000)));
    assert_eq!(placements.end(run, second), None);
}

/// Guards against an engine that is stopped since the one before it may still be at work, rather than the one after it.
#[test]
fn successor_is_the_engine_that_began_later() {
    let (run, [first, second, third]) = run_and_engines();
    let mut placements = Placements::default();
    placements.begin(at(1000), run, second);
    placements.begin(at(2000), run, third);
    placements.begin(at(3000), run, first);
    assert_eq!(placements.successor(run, second), Some((third, at(2000))));
    assert_eq!(placements.successor(run, third), Some((first, at(3000))));
    assert_eq!(placements.successor(run, first), None);
}

/// Guards against an engine that a stream has come back to, and that is told to stop since the stream had left it before.
#[test]
fn stream_that_comes_back_to_an_engine_is_there() {
    let (run, [first, ..]) = run_and_engines();
    let mut placements = Placements::default();
    placements.begin(at(1000), run, first);
    placements.leave(run, first);
    assert!(!placements.has_stream(run, first));
    placements.begin(at(2000), run, first);
    assert!(placements.has_stream(run, first));
}
