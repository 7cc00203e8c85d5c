//! Recent records of a topic, for members that lack some.

use {crate::prelude::*, platform::store::KeyedRecord, std::collections::VecDeque};

/// Maximum total size of the keys and values retained for each topic.
pub const MAX_HISTORY_BYTES: usize = 128 << 10;

/// Delay before missing records are sent to the same member again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Recent records of a topic without a gap.
#[derive(Debug, Default)]
pub struct History {
    bytes: usize,
    records: VecDeque<KeyedRecord>,
    /// Offset after the last record.
    next: u64,
    /// When missing records were last sent to each member, sorted by name.
    sent: Vec<(String, Time)>,
}

impl History {
    /// Adds records that start at an offset; drops all earlier ones if some in between are
    /// missing.
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
        while self.bytes > MAX_HISTORY_BYTES {
            let Some(dropped) = self.records.pop_front() else {
                return;
            };
            self.bytes -= size(&dropped);
        }
    }

    /// The records from an offset on; `None` if some of them are not retained, or there are
    /// none.
    #[must_use]
    pub fn since(&self, from: u64) -> Option<Vec<KeyedRecord>> {
        let first = self.records.front()?.offset;
        if from < first || from >= self.next {
            return None;
        }
        let since = self.records.iter().filter(|record| record.offset >= from);
        Some(since.cloned().collect())
    }

    /// Whether records may be sent to a member now; if so, counts them as sent.
    pub fn due(&mut self, member: &str, now: Time) -> bool {
        self.sent
            .retain(|(_, sent)| now.since(*sent) < RESEND_DELAY);
        let index = self
            .sent
            .binary_search_by(|(other, _)| other.as_str().cmp(member));
        let Err(index) = index else {
            return false;
        };
        self.sent.insert(index, (member.to_string(), now));
        true
    }
}

fn size(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len)
}
