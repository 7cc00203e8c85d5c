//! The last records of a topic, for members that lack some.

use {crate::prelude::*, platform::store::KeyedRecord, std::collections::VecDeque};

/// Bytes of records of a topic that are kept for members which lack some.
pub const MOST_KEPT: usize = 128 << 10;

/// Pause before a member gets the records that it lacks again.
const SEND_AGAIN: Duration = Duration::from_millis(300);

/// The last records of a topic without a gap, for members that lack some.
#[derive(Debug, Default)]
pub struct History {
    bytes: usize,
    records: VecDeque<KeyedRecord>,
    /// Offset after the last record.
    next: u64,
    /// When each member was sent what it lacks, sorted by name.
    sent: Vec<(String, Time)>,
}

impl History {
    /// Takes records in that begin at an offset; those before it are dropped if some are
    /// missing between.
    pub fn add(&mut self, from: u64, records: &[KeyedRecord]) {
        if from > self.next {
            self.records.clear();
            self.bytes = 0;
        }
        for record in records.iter().filter(|record| record.offset >= self.next) {
            self.bytes += size(record);
            self.records.push_back(record.clone());
        }
        let after = records.last().map_or(from, |record| record.offset + 1);
        self.next = self.next.max(after);
        while self.bytes > MOST_KEPT {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size(&dropped);
        }
    }

    /// The records from an offset on, unless some of them are not kept.
    #[must_use]
    pub fn since(&self, from: u64) -> Option<Vec<KeyedRecord>> {
        let first = self.records.front()?.offset;
        if from < first || from >= self.next {
            return None;
        }
        let since = self.records.iter().filter(|record| record.offset >= from);
        Some(since.cloned().collect())
    }

    /// Whether a member may be sent records now; it is taken as sent.
    pub fn due(&mut self, member: &str, now: Time) -> bool {
        self.sent.retain(|(_, sent)| now.since(*sent) < SEND_AGAIN);
        let place = self
            .sent
            .binary_search_by(|(other, _)| other.as_str().cmp(member));
        let Err(place) = place else {
            return false;
        };
        self.sent.insert(place, (member.to_string(), now));
        true
    }
}

fn size(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}
