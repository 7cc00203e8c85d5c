//! How late the event loop runs, by a timer.

use crate::prelude::*;

/// Lateness up to which the loop counts as on time.
const TOLERANCE: Duration = Duration::from_millis(60);

/// How long the worst lateness is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// Lateness of the event loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    interval: Duration,
    /// When the timer last fired; `None` before it is started.
    measured_at: Option<Time>,
    /// The last span in which the loop may not have run at all.
    stall: Option<(Time, Time)>,
    worst: Duration,
    worst_at: Time,
}

impl Lateness {
    /// Starts to measure with a timer of this interval.
    pub const fn start(&mut self, now: Time, interval: Duration) {
        self.interval = interval;
        self.measured_at = Some(now);
    }

    /// Records that the timer has fired, and returns how late it is.
    pub fn record(&mut self, now: Time) -> Duration {
        let before = self.measured_at.replace(now).unwrap_or(now);
        let late = now.since(before).saturating_sub(self.interval);
        if late > TOLERANCE {
            self.stall = Some((before, now));
        }
        if late >= self.worst(now) {
            self.worst = late;
            self.worst_at = now;
        }
        late
    }

    /// The worst recent lateness.
    #[must_use]
    pub fn worst(&self, now: Time) -> Duration {
        if now.since(self.worst_at) > MEMORY {
            return Duration::ZERO;
        }
        self.worst
    }

    /// The earliest time at which something may have arrived that the loop only finds now.
    #[must_use]
    pub fn earliest_arrival(&self, now: Time) -> Time {
        let is_late = |measured_at: &Time| now.since(*measured_at) > self.interval + TOLERANCE;
        if let Some(measured_at) = self.measured_at.filter(is_late) {
            return measured_at;
        }
        // After a stall, the timer may be polled before what has arrived meanwhile.
        let stall = self
            .stall
            .filter(|(_, until)| now.since(*until) <= TOLERANCE);
        stall.map_or(now, |(from, _)| from)
    }
}
