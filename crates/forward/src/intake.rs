//! Which new connections of callers an instance accepts.
//!
//! A load balancer may send most new connections to one instance. What it cannot carry it closes before it reads
//! a request, so that callers go to another instance at once; a request that is read is to be served.

use crate::prelude::*;

/// Memory of a connection with a stream in progress, in bytes.
const CONNECTION_BYTES: u64 = 68 << 10;

/// Share of the memory that connections may take. The rest is for everything else, and for callers that read
/// slowly.
const CONNECTION_MEMORY_SHARE: f64 = 0.6;

/// File descriptors that are kept for files, peers, the store and listeners.
const RESERVED_FILES: u32 = 400;

/// File descriptors of a connection: its own, and that to an endpoint.
const FILES_PER_CONNECTION: u32 = 2;

/// Lateness of the event loop from which on the processor counts as overloaded. An allotment of processor time that
/// is used up delays the loop by a tenth of a second at most.
const OVERLOAD_LATENESS: Duration = Duration::from_millis(120);

/// Number of late measurements in a row that limit the rate of connections. One may be due to a single slow step.
const MIN_LATE: u32 = 2;

/// Factors by which the rate of connections changes with each measurement under overload, and without.
const DECREASE: f64 = 0.6;
const INCREASE: f64 = 1.3;

/// Minimum rate of connections per second. An instance that accepts none for seconds looks dead to callers.
const MIN_RATE: f64 = 5.0;

/// Rate per second from which on connections are not limited any more.
const MAX_RATE: f64 = 2000.0;

/// Time for which unused connections add up.
const BURST: Duration = Duration::from_millis(250);

/// Resources of an instance; zero where there is no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Maximum number of file descriptors.
    pub files: u32,
    /// Maximum memory in mebibytes.
    pub memory_mb: u32,
}

/// What an instance carries, and how fast it may take on more.
#[derive(Clone, Debug)]
pub struct Intake {
    /// Connections accepted since the last measurement.
    accepted: u32,
    late: u32,
    max_connections: usize,
    measured_at: Time,
    /// Connections per second; `None` if they are not limited.
    rate: Option<f64>,
    tokens: f64,
    updated_at: Time,
}

impl Intake {
    /// An instance with these resources that is not overloaded.
    #[must_use]
    pub fn new(resources: Resources) -> Self {
        Self {
            accepted: 0,
            late: 0,
            max_connections: resources.max_connections(),
            measured_at: Time::default(),
            rate: None,
            tokens: 0.0,
            updated_at: Time::default(),
        }
    }

    /// Whether to accept a new connection with `open` others; counts it if so.
    pub fn accepts(&mut self, now: Time, open: usize) -> bool {
        if open >= self.max_connections || !self.takes_token(now) {
            return false;
        }
        self.accepted += 1;
        true
    }

    /// Records how late the event loop was; returns whether connections are limited from now on, or no longer.
    pub fn record_lateness(&mut self, now: Time, late: Duration) -> Option<bool> {
        let is_late = late >= OVERLOAD_LATENESS;
        self.late = if is_late { self.late + 1 } else { 0 };
        let elapsed = now.since(self.measured_at).as_secs_f64().max(0.001);
        let accepted = f64::from(std::mem::take(&mut self.accepted)) / elapsed;
        self.measured_at = now;
        let was_limited = self.rate.is_some();
        if self.late >= MIN_LATE {
            let current = self
                .rate
                .map_or(accepted, |rate| rate.min(accepted.max(MIN_RATE)));
            self.rate = Some((current * DECREASE).max(MIN_RATE));
        } else if !is_late {
            self.rate = self
                .rate
                .map(|rate| rate * INCREASE)
                .filter(|rate| *rate < MAX_RATE);
        }
        (self.rate.is_some() != was_limited).then_some(self.rate.is_some())
    }

    fn takes_token(&mut self, now: Time) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let limit = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(limit);
        let is_accepted = self.tokens >= 1.0;
        if is_accepted {
            self.tokens -= 1.0;
        }
        is_accepted
    }
}

impl Resources {
    /// Connections that may be open at the same time.
    fn max_connections(self) -> usize {
        let by_files = match self.files {
            0 => usize::MAX,
            files => to_usize(u64::from(
                files.saturating_sub(RESERVED_FILES) / FILES_PER_CONNECTION,
            )),
        };
        let by_memory = match self.memory_mb {
            0 => usize::MAX,
            megabytes => {
                let bytes = f64::from(megabytes) * f64::from(1 << 20) * CONNECTION_MEMORY_SHARE;
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a part of a count that fits"
                )]
                let bytes = bytes as u64;
                to_usize(bytes / CONNECTION_BYTES)
            }
        };
        by_files.min(by_memory).max(1)
    }
}

fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
