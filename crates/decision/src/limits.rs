//! Bounds and times that decisions use.

use crate::prelude::*;

/// Bounds of one instance, from its settings.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Shortest time between two appends of this instance to one stream.
    pub append_interval: Duration,
    /// Longest time that an order waits for its claim to be settled.
    pub claim_wait: Duration,
    /// Longest a request without a deadline of its own may take.
    pub deadline: Duration,
    /// How often fellow instances are asked what they know.
    pub gossip_interval: Duration,
    /// How long a generation is kept after its caller left, before it is cancelled.
    pub grace: Duration,
    /// Age up to which order keys are taken.
    pub order_window: Duration,
    /// How often the steward of an endpoint asks for its load.
    pub poll_interval: Duration,
    /// Requests that may wait here.
    pub queue: usize,
    /// Second tries allowed per hundred first ones.
    pub retry_percent: u32,
    /// Silence on a stream after which a second connection is opened.
    pub silence: Duration,
    /// Difference allowed between the clocks of callers, instances and the log.
    pub skew: Duration,
    /// Time between two snapshots of the configuration.
    pub snapshot_interval: Duration,
    /// Age of knowledge past which only the own failure domain gets new work.
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
