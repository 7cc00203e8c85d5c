//! Timeline of the recent events of an instance.

use {
    crate::prelude::*,
    decision::hybrid_clock::Timestamp,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of entries kept.
const MAX_ENTRIES: usize = 20_000;

/// An event at an instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TimelineEntry {
    /// Timestamp of the hybrid logical clock.
    pub stamp: Timestamp,
    /// Name of the instance.
    pub instance: String,
    /// Kind of event.
    pub what: String,
    /// Request id, if the event concerns a request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// Name of the endpoint, if the event concerns one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub endpoint: String,
    /// Failure domain of the endpoint.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub domain: String,
    /// Further details.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Display for TimelineEntry {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Self {
            detail,
            domain,
            endpoint,
            instance,
            request,
            stamp,
            what,
        } = self;
        write!(f, "{stamp} {instance:<10} {what:<10}")?;
        for (name, value) in [
            ("request", request),
            ("endpoint", endpoint),
            ("domain", domain),
            ("", detail),
        ] {
            match (name, value.as_str()) {
                (_, "") => {}
                ("", value) => write!(f, " {value}")?,
                (name, value) => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// The most recent entries of an instance, and its hybrid logical clock.
#[derive(Debug, Default)]
pub struct Timeline {
    dropped: u64,
    entries: VecDeque<TimelineEntry>,
    stamp: Timestamp,
}

impl Timeline {
    /// Appends an entry and sets its timestamp.
    pub fn record(&mut self, wall: Wall, entry: TimelineEntry) {
        self.stamp = self.stamp.next(wall);
        self.entries.push_back(TimelineEntry {
            stamp: self.stamp,
            ..entry
        });
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// Merges the clock of a received message.
    pub fn receive(&mut self, wall: Wall, other: Timestamp) {
        self.stamp = self.stamp.receive(other, wall);
    }

    /// Advances the clock and returns the timestamp for a message to send.
    pub const fn send(&mut self, wall: Wall) -> Timestamp {
        self.stamp = self.stamp.next(wall);
        self.stamp
    }

    /// Returns the entries; if older ones were dropped, the first entry says how many.
    #[must_use]
    pub fn entries(&self) -> Vec<TimelineEntry> {
        let mut entries = Vec::with_capacity(self.entries.len() + 1);
        if self.dropped > 0 {
            entries.push(TimelineEntry {
                stamp: self
                    .entries
                    .front()
                    .map(|entry| entry.stamp)
                    .unwrap_or_default(),
                what: "gap".to_string(),
                detail: format!("{} earlier entries were dropped", self.dropped),
                ..TimelineEntry::default()
            });
        }
        entries.extend(self.entries.iter().cloned());
        entries
    }
}
