//! The one place where the clock is read.

use {crate::prelude::*, rustix::time::ClockId};

/// The present, on a clock that goes on while the machine is suspended.
///
/// The usual monotonic clock stands still then, and knowledge would look fresh after a
/// sleep in which a key was taken away.
#[must_use]
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + nanos / 1000)
}
