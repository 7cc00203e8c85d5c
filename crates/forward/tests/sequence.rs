//! Order of the events of a stream across engines.

use forward::sequence::Sequence;

/// Two engines may send the same events while a run moves.
#[test]
fn repeated_events_are_dropped() {
    let mut sequence = Sequence::default();
    let passed = ["1", "2", "3", "2", "3", "4"]
        .map(|id| sequence.accept(Some(id)))
        .to_vec();
    assert_eq!(passed, [true, true, true, false, false, true]);
    assert!(!sequence.has_gap());
    assert_eq!(sequence.last(), Some("4"));
    assert_eq!(sequence.count(), 4);
}

/// A gap must fail the stream, since the caller could not notice it.
#[test]
fn missing_event_is_a_gap() {
    let mut sequence = Sequence::default();
    for id in ["1", "2", "4"] {
        sequence.accept(Some(id));
    }
    assert!(sequence.has_gap());
}

/// Ids may increase by more than one.
#[test]
fn step_is_taken_from_first_events() {
    let mut sequence = Sequence::default();
    for id in ["4", "8", "12"] {
        assert!(sequence.accept(Some(id)));
    }
    assert!(!sequence.has_gap());
    sequence.accept(Some("20"));
    assert!(sequence.has_gap());
}

/// A run moves, and its engine and the next one both send for a moment: a block without an id would
/// reach the caller twice, unnoticed.
#[test]
fn blocks_without_id_are_not_told_apart() {
    let mut sequence = Sequence::after(Some("3"));
    assert!(sequence.is_numbered());
    sequence.accept(Some("4"));
    sequence.record_unnumbered();
    sequence.accept(Some("5"));
    assert!(!sequence.is_numbered());
    let mut named = Sequence::default();
    assert!(!named.is_numbered());
    named.accept(Some("a"));
    assert!(!named.is_numbered());
}
