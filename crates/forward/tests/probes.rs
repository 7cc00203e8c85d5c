//! Probes of engines while the store is unreachable.

mod common;

use common::*;

/// While the list is outdated, engines with runs of this instance are probed, and no others.
#[test]
fn engines_with_runs_are_probed_while_list_is_old() {
    let engines = [listing("m1", "model", "a"), listing("m2", "model", "b")];
    let mut state = instance(&engines);
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let run = begin_run(&mut state, first, None);
    state.confirm_list(at(1000), at(990));
    assert!(state.due_probes(at(2000)).is_empty());
    let asked_at = (2000..2600).find(|now| !state.due_probes(at(*now)).is_empty());
    let asked_at = asked_at.expect("a probe before the notice of an engine ends");
    assert!(state.due_probes(at(asked_at + 100)).is_empty());
    assert_eq!(state.due_probes(at(asked_at + 600)), [first]);
    assert!(!state.must_move(at(asked_at + 611), run));
    let endpoint = state.endpoint(first).expect("a listed engine");
    let incarnation = endpoint.incarnation;
    assert!(state.record_leaving(at(asked_at + 610), incarnation));
    assert!(state.must_move(at(asked_at + 611), run));
    assert!(state.due_probes(at(asked_at + 2000)).is_empty());
}

/// Each probe of an unreachable engine opens a connection, so there must be few.
#[test]
fn unanswered_probes_back_off() {
    let mut state = instance(&[listing("m1", "model", "a")]);
    let (first, _) = picked(state.pick(at(10), "model", LONG, &[]));
    begin_run(&mut state, first, None);
    let mut asked = 0;
    for now in (3000..9000).step_by(100) {
        for key in state.due_probes(at(now)) {
            asked += 1;
            state.record_unanswered_probe(at(now + 50), key);
        }
    }
    assert!(asked <= 3, "{asked} questions in six seconds");
}
