//! Intervals between the events of one stream at one engine.

use crate::{prelude::*, silence::CHECK_AFTER};

/// Number of intervals from which the undisturbed time of an event is taken.
const WINDOW: usize = 4;

/// Maximum number of events read at once that still show their intervals. More of them have waited together, in the
/// network or for this instance.
const MAX_EVENTS_AT_ONCE: u32 = 2;

/// Time that passing an event on may take. A caller that reads more slowly holds up the engine.
const MAX_PASS_TIME: Duration = Duration::from_millis(2);

/// An interval between events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Number of events that it was followed by.
    pub events: u32,
    /// The interval.
    pub longest: Duration,
    /// Time of an event without disturbance, once enough intervals have been seen.
    pub undisturbed: Option<Duration>,
}

/// The last intervals of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    intervals: [Duration; WINDOW],
    last_at: Option<Time>,
    len: usize,
}

impl Window {
    /// Records that events were read at `now` and passed on by `passed_at`.
    ///
    /// Returns no interval for the first events after a start, nor after a silence, for which engines that are paused or
    /// cut off are to blame, nor after a delay at this instance or its caller.
    pub fn record(&mut self, now: Time, passed_at: Time, events: u32) -> Option<Interval> {
        let last_at = self.last_at.replace(passed_at);
        if passed_at.since(now) > MAX_PASS_TIME {
            self.restart();
        }
        let interval = now.since(last_at?);
        if events == 0 || interval >= CHECK_AFTER {
            return None;
        }
        let undisturbed = self.undisturbed(interval, events);
        Some(Interval {
            events,
            longest: interval,
            undisturbed,
        })
    }

    /// Forgets the intervals so far, as the stream goes on at another engine.
    pub const fn restart(&mut self) {
        self.last_at = None;
        self.len = 0;
    }

    /// The lower quartile of a full window: most prefills and slow spells leave it as it is, and a single event
    /// that catches up with a late one does not lower it.
    fn undisturbed(&mut self, interval: Duration, events: u32) -> Option<Duration> {
        if events > MAX_EVENTS_AT_ONCE {
            self.len = 0;
            return None;
        }
        self.intervals[self.len] = interval / events;
        self.len += 1;
        if self.len < WINDOW {
            return None;
        }
        self.len = 0;
        self.intervals.sort_unstable();
        Some(self.intervals[1])
    }
}
