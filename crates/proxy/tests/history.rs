//! Retention of records that an aggregator relays.

use {
    bytes::Bytes,
    decision::time::Time,
    platform::store::KeyedRecord,
    proxy::gossip::history::{History, MAX_HISTORY_BYTES},
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

/// A member that misses one record would use an outdated route and take its data for complete.
#[test]
fn since_returns_all_missing_records() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(8, &records(8, 10));
    assert_eq!(offsets(history.since(7)), Some(vec![7, 8, 9]));
    assert_eq!(offsets(history.since(10)), None);
    assert_eq!(offsets(history.since(4)), None);
}

/// The same record may arrive from the store and from a peer; a duplicate would evict records
/// that members still lack.
#[test]
fn duplicate_records_are_retained_once() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(5, &records(5, 9));
    assert_eq!(offsets(history.since(5)), Some(vec![5, 6, 7, 8]));
}

/// A member that received records from both sides of a gap would never get those in between.
#[test]
fn no_records_are_returned_across_a_gap() {
    let mut history = History::default();
    history.add(5, &records(5, 8));
    history.add(20, &records(20, 22));
    assert_eq!(offsets(history.since(6)), None);
    assert_eq!(offsets(history.since(20)), Some(vec![20, 21]));
}

/// Guards against unbounded memory when many large configurations arrive.
#[test]
fn history_size_is_bounded() {
    let mut history = History::default();
    for offset in 0..100 {
        history.add(offset, &[record(offset, MAX_HISTORY_BYTES / 10)]);
    }
    assert!(history.since(50).is_none());
    let kept = history.since(95).expect("the last records");
    assert_eq!(kept.len(), 5);
}

/// A member reports several times before missing records arrive; sending them each time would
/// fill its link.
#[test]
fn resend_waits_for_the_delay() {
    let mut history = History::default();
    let at = |millis| Time::default().after(Duration::from_millis(millis));
    assert!(history.due("e1", at(1000)));
    assert!(!history.due("e1", at(1200)));
    assert!(history.due("e2", at(1200)));
    assert!(history.due("e1", at(1400)));
}
