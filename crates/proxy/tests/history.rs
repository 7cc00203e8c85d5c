//! What an aggregator keeps of the records that it passes on.

use {
    bytes::Bytes,
    decision::time::Time,
    platform::store::KeyedRecord,
    proxy::gossip::history::{History, MOST_KEPT},
    std::time::Duration,
};

fn record(offset: u64, bytes: usize) -> KeyedRecord {
    KeyedRecord {
        key: format!("k{offset}"),
        offset,
        value: Some(Bytes::from(vec![0; bytes])),
    }
}

fn records(from: u64, to: u64) -> Vec<KeyedRecord> {
    (from..to).map(|offset| record(offset, 10)).collect()
}

fn offsets(records: Option<Vec<KeyedRecord>>) -> Option<Vec<u64>> {
    records.map(|records| records.iter().map(|record| record.offset).collect())
}

/// A member that lacks some records gets just these. With one left out it would use a route
/// that was moved, and take its knowledge for complete.
#[test]
fn a_member_gets_all_records_that_it_lacks() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(8, &records(8, 10));
    assert_eq!(offsets(history.since(7)), Some(vec![7, 8, 9]));
    assert_eq!(offsets(history.since(10)), None);
    assert_eq!(offsets(history.since(4)), None);
}

/// Records come twice, from a read and from a fellow. Kept twice they would push out those
/// that members still lack.
#[test]
fn records_that_come_twice_are_kept_once() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(5, &records(5, 9));
    assert_eq!(offsets(history.since(5)), Some(vec![5, 6, 7, 8]));
}

/// The store has dropped its history, and what came meanwhile was read as newest records. A
/// member that was sent what lies on both sides of the gap would never learn of the rest.
#[test]
fn nothing_is_sent_across_a_gap() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(20, &records(20, 22));
    assert_eq!(offsets(history.since(6)), None);
    assert_eq!(offsets(history.since(20)), Some(vec![20, 21]));
}

/// Configurations come in quick succession and are large. What is kept of them must not fill
/// the memory of a small machine.
#[test]
fn what_is_kept_is_bounded() {
    let mut history = History::default();
    for offset in 0..100 {
        history.add(offset, &[record(offset, MOST_KEPT / 10)]);
    }
    assert!(history.since(50).is_none());
    let kept = history.since(95).expect("the last records");
    assert_eq!(kept.len(), 5);
}

/// A member reports several times before the records that it lacks arrive. Sent each time,
/// they would fill its link.
#[test]
fn a_member_is_not_sent_the_same_again_at_once() {
    let mut history = History::default();
    let at = |millis| Time::default().after(Duration::from_millis(millis));
    assert!(history.due("e1", at(1000)));
    assert!(!history.due("e1", at(1200)));
    assert!(history.due("e2", at(1200)));
    assert!(history.due("e1", at(1400)));
}
