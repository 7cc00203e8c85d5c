//! Points in time, always passed in as arguments.

use crate::prelude::*;

/// Monotonic time in microseconds since the process started.
///
/// Durations and deadlines come from this clock only, so a jump of the wall
/// clock moves none of them.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The latest representable time, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `duration` later, saturating at [`Self::MAX`].
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time `duration` earlier, saturating at the start.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Builds a time from microseconds since the process started.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the process started.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, zero if `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It labels records and gives the age of order keys, whose birth is wall time
/// by their format; nothing else is decided by it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Wall(pub u64);

impl Wall {
    /// Returns the wall time `duration` earlier, saturating at the epoch.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(millis(duration)))
    }

    /// Returns the wall time `duration` later.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
