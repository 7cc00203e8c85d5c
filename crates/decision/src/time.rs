//! Points in time, which are always passed in as arguments.

use crate::prelude::*;

/// Monotonic time in microseconds since the process started.
///
/// Durations and deadlines use only this clock, so that steps of the wall clock do not
/// affect them.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The latest representable time, which stands for "never".
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

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It is used for the age of order keys and log records, which carry wall time, and for
/// hybrid timestamps.
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
