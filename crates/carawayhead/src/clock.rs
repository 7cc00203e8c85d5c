//! Access to the system clocks.

use crate::prelude::*;

/// Monotonic time since the clock was created, and wall time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current monotonic time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// Converts an `Instant` to the time type of `decision`.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Time {
        let since = instant.saturating_duration_since(self.start);
        Time::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the current wall time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall(&self) -> Wall {
        let since = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
