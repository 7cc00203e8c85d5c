//! The order of a stream's events across engines.

use forward::sequence::Sequence;

/// A run goes on at another engine while the one before still writes. Events arrive from
/// both, and the caller must see each once and in order.
#[test]
fn events_that_were_passed_on_are_dropped() {
    let mut sequence = Sequence::default();
    let passed = ["1", "2", "3", "2", "3", "4"]
        .map(|id| sequence.accept(Some(id)))
        .to_vec();
    assert_eq!(passed, [true, true, true, false, false, true]);
    assert!(!sequence.has_gap());
    assert_eq!(sequence.last(), Some("4"));
    assert_eq!(sequence.count(), 4);
}

/// An engine goes on behind the place it was asked for. Joining the pieces would hand the
/// caller a report with a hole that looks whole.
#[test]
fn a_gap_breaks_the_stream() {
    let mut sequence = Sequence::default();
    for id in ["1", "2", "4"] {
        sequence.accept(Some(id));
    }
    assert!(sequence.has_gap());
}

/// Ids may count in steps other than one.
#[test]
fn the_step_is_learnt() {
    let mut sequence = Sequence::default();
    for id in ["4", "8", "12"] {
        assert!(sequence.accept(Some(id)));
    }
    assert!(!sequence.has_gap());
    sequence.accept(Some("20"));
    assert!(sequence.has_gap());
}
