//! The one place where clocks are read.

use crate::prelude::*;

/// Monotonic time since the process started, and wall time for labels.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present.
    #[must_use]
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// A point in time as decisions know it.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Time {
        let since = instant.saturating_duration_since(self.start);
        Time::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }

    /// Wall time.
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
