//! The prefix cache of an engine; its events are published with a delay and with gaps.

use crate::prelude::*;

/// Maximum number of cached prefixes; the least recently used is evicted.
const MAX_PREFIXES: usize = 256;

/// Length of a prefix, in characters.
const PREFIX_CHARS: usize = 64;

/// One in this many events is lost.
const EVENT_LOSS_INTERVAL: u64 = 10;

/// A change of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Truncated BLAKE3 hash of the prefix, in hexadecimal.
    pub prefix: String,
    /// Sequence number; a gap marks a lost event.
    pub sequence: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// A prefix cache with least-recently-used eviction.
#[derive(Debug, Default)]
pub struct Cache {
    events: VecDeque<(Instant, Event)>,
    prefixes: VecDeque<String>,
    sequence: u64,
}

impl Cache {
    /// Marks the prompt's prefix as used, storing it if needed; returns whether it was cached.
    pub fn touch(&mut self, prompt: &str, now: Instant) -> bool {
        let prefix = prompt.chars().take(PREFIX_CHARS).collect::<String>();
        let prefix = blake3::hash(prefix.as_bytes()).to_hex()[..16].to_string();
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.publish(&prefix, true, now);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(&evicted, false, now);
        }
        false
    }

    /// Returns the events from sequence number `from` on that are at least `lag` old.
    #[must_use]
    pub fn events(&self, from: u64, lag: Duration, now: Instant) -> Vec<Event> {
        let events = self.events.iter();
        let visible =
            events.filter(|(at, event)| event.sequence >= from && now.duration_since(*at) >= lag);
        visible.map(|(_, event)| event.clone()).collect()
    }

    fn publish(&mut self, prefix: &str, stored: bool, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        if sequence % EVENT_LOSS_INTERVAL == EVENT_LOSS_INTERVAL - 1 {
            return;
        }
        let event = Event {
            prefix: prefix.to_string(),
            sequence,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_PREFIXES * 4 {
            self.events.pop_front();
        }
    }
}
