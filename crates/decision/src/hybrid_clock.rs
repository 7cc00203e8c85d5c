//! Hybrid logical clock, which orders the events of all processes consistently.
//!
//! Wall clocks of instances differ, so sorting by them can show an effect before its cause.
//! The hybrid clock follows the wall clock but never falls behind a received timestamp
//! (Kulkarni et al., 2014).

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// A timestamp of the hybrid clock.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders events of the same millisecond.
    pub counter: u32,
}

impl Timestamp {
    /// The timestamp of an event at wall time `wall` that follows `self`.
    #[must_use]
    pub const fn next(self, wall: Wall) -> Self {
        if wall.0 > self.millis {
            return Self {
                millis: wall.0,
                counter: 0,
            };
        }
        Self {
            millis: self.millis,
            counter: self.counter + 1,
        }
    }

    /// The timestamp of receiving a message that carries `other`.
    #[must_use]
    pub fn receive(self, other: Self, wall: Wall) -> Self {
        self.max(other).next(wall)
    }
}

impl Display for Timestamp {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{:04}", self.millis, self.counter)
    }
}
