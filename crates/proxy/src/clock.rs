//! The only place where the clock is read.

use {crate::prelude::*, rustix::time::ClockId};

/// The current time, on a clock that keeps running while the machine is suspended.
///
/// `CLOCK_MONOTONIC` stops then, and a key that was revoked meanwhile would still be accepted
/// after the machine resumes.
#[must_use]
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + nanos / 1000)
}
