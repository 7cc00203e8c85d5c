//! Limits and intervals.

use crate::prelude::*;

/// Limits of an instance, from its settings.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Minimum time between two appends of this instance to the claim stream.
    pub append_interval: Duration,
    /// Maximum time that an order waits for its claim to be settled.
    pub claim_wait: Duration,
    /// Maximum, and default, time until the deadline of a request.
    pub deadline: Duration,
    /// Time between two rounds of gossip with peers.
    pub gossip_interval: Duration,
    /// Time after which a generation whose caller disconnected is cancelled.
    pub grace: Duration,
    /// Maximum age of an order key.
    pub order_window: Duration,
    /// Time between two requests for an endpoint's load report.
    pub poll_interval: Duration,
    /// Maximum number of waiting requests.
    pub queue: usize,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Time without a token after which a stream is resumed on a new connection.
    pub silence: Duration,
    /// Maximum clock skew between callers, instances and the log.
    pub skew: Duration,
    /// Time between two snapshots of the configuration.
    pub snapshot_interval: Duration,
    /// Age of the configuration beyond which only the own failure domain gets new work.
    pub staleness: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_interval: Duration::from_millis(25),
            claim_wait: Duration::from_secs(5),
            deadline: Duration::from_mins(10),
            gossip_interval: Duration::from_millis(500),
            grace: Duration::from_secs(5),
            order_window: Duration::from_mins(15),
            poll_interval: Duration::from_millis(200),
            queue: 1024,
            retry_percent: 10,
            silence: Duration::from_millis(1500),
            skew: Duration::from_secs(30),
            snapshot_interval: Duration::from_hours(6),
            staleness: Duration::from_secs(3),
        }
    }
}
