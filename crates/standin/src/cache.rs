//! The prefix cache of an engine, and the events that it publishes late and with gaps.

use crate::prelude::*;

/// Prefixes kept; older ones are evicted.
const MOST: usize = 256;

/// Characters of a prompt that make a prefix.
const PREFIX: usize = 64;

/// Of this many events one is lost.
const LOST_ONE_IN: u64 = 10;

/// One change of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Digest of the prefix.
    pub prefix: String,
    /// Counts events; a number left out was lost.
    pub sequence: u64,
    /// Whether the prefix came in or was evicted.
    pub stored: bool,
}

/// The cache.
#[derive(Debug, Default)]
pub struct Cache {
    events: VecDeque<(Instant, Event)>,
    prefixes: VecDeque<String>,
    sequence: u64,
}

impl Cache {
    /// Looks a prompt up and keeps its prefix; true if it was there.
    pub fn touch(&mut self, prompt: &str, now: Instant) -> bool {
        let prefix = prompt.chars().take(PREFIX).collect::<String>();
        let prefix = blake3::hash(prefix.as_bytes()).to_hex()[..16].to_string();
        let place = self.prefixes.iter().position(|kept| *kept == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.publish(&prefix, true, now);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MOST
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(&evicted, false, now);
        }
        false
    }

    /// Events from `from` on that are older than `lag`.
    #[must_use]
    pub fn events(&self, from: u64, lag: Duration, now: Instant) -> Vec<Event> {
        let events = self.events.iter();
        let seen =
            events.filter(|(at, event)| event.sequence >= from && now.duration_since(*at) >= lag);
        seen.map(|(_, event)| event.clone()).collect()
    }

    fn publish(&mut self, prefix: &str, stored: bool, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        if sequence % LOST_ONE_IN == LOST_ONE_IN - 1 {
            return;
        }
        let event = Event {
            prefix: prefix.to_string(),
            sequence,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > MOST * 4 {
            self.events.pop_front();
        }
    }
}
