//! Intervals between the events of one stream at one engine.

use crate::{prelude::*, silence::CHECK_AFTER};

/// Shortest time of an event: what arrives together was made before.
const MIN_INTERVAL: Duration = Duration::from_micros(1);

/// Number of intervals from which the undisturbed time of an event is taken.
const WINDOW: usize = 4;

/// Maximum number of events read at once that still show their intervals. More of them have waited together, in the
/// network or for this instance.
const MAX_EVENTS_AT_ONCE: u32 = 2;

/// Time that passing an event on may take. A caller that reads more slowly holds up the engine.
const MAX_PASS_TIME: Duration = Duration::from_millis(2);

/// How much a window counts in which the engine read a prompt. Where it always does, this shows how it compares.
const READING_WEIGHT: f64 = 0.1;

/// An interval between events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// How much [`Self::undisturbed`] counts, from 0 to 1.
    pub certainty: f64,
    /// Number of events that it was followed by.
    pub events: u32,
    /// Whether the engine read a prompt meanwhile, as far as is known.
    pub is_reading: bool,
    /// The interval.
    pub length: Duration,
    /// Time of an event without disturbance, once enough intervals have been seen.
    pub undisturbed: Option<Duration>,
}

/// The last intervals of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    intervals: [Duration; WINDOW],
    /// Whether the engine read a prompt in one of them.
    is_reading: bool,
    last_at: Option<Time>,
    len: usize,
}

impl Window {
    /// Records that events were read at `now` and passed on by `passed_at`.
    ///
    /// Returns no interval for the first events after a start, nor after a silence, for which engines that are paused or
    /// cut off are to blame, nor after a delay at this instance or its caller.
    pub fn record(
        &mut self,
        now: Time,
        passed_at: Time,
        events: u32,
        is_reading: bool,
    ) -> Option<Interval> {
        // A part of an event: the interval ends with the whole one.
        if events == 0 {
            return None;
        }
        let last_at = self.last_at.replace(passed_at);
        if passed_at.since(now) > MAX_PASS_TIME {
            self.restart();
        }
        let interval = now.since(last_at?);
        if interval >= CHECK_AFTER {
            return None;
        }
        self.is_reading |= is_reading;
        let was_reading = self.is_reading;
        let undisturbed = self.undisturbed(interval, events);
        Some(Interval {
            certainty: if was_reading { READING_WEIGHT } else { 1.0 },
            events,
            is_reading,
            length: interval,
            undisturbed,
        })
    }

    /// Forgets the intervals so far, as the stream goes on at another engine.
    pub const fn restart(&mut self) {
        self.last_at = None;
        self.start_window();
    }

    const fn start_window(&mut self) {
        self.is_reading = false;
        self.len = 0;
    }

    /// The lower quartile of a full window: most prefills and slow spells leave it as it is, and a single event
    /// that catches up with a late one does not lower it.
    fn undisturbed(&mut self, interval: Duration, events: u32) -> Option<Duration> {
        if events > MAX_EVENTS_AT_ONCE {
            self.start_window();
            return None;
        }
        self.intervals[self.len] = (interval / events).max(MIN_INTERVAL);
        self.len += 1;
        if self.len < WINDOW {
            return None;
        }
        self.start_window();
        self.intervals.sort_unstable();
        Some(self.intervals[1])
    }
}
