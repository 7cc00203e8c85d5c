//! Counters exposed as metrics.

/// Counters since the start of the instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Requests answered completely.
    pub answered: u64,
    /// Claims that lost to an earlier claim of the same key.
    pub claims_lost: u64,
    /// Events of attempts that were no longer current, and duplicate tokens.
    pub late: u64,
    /// Requests whose result is unknown.
    pub may_have_run: u64,
    /// Requests refused without running.
    pub not_run: u64,
    /// Streams resumed on a new connection.
    pub resumed: u64,
    /// Retries.
    pub retried: u64,
    /// Requests sent to an endpoint, except retries at the same endpoint.
    pub sent: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Requests and load reports that went through a peer.
    pub tunnels: u64,
}
