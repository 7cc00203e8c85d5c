//! Counts for the metrics page.

/// Counters of decisions since the instance started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Requests answered whole.
    pub answered: u64,
    /// Claims lost to an earlier claim of the same key.
    pub claims_lost: u64,
    /// Events of attempts that were no longer current.
    pub late: u64,
    /// Requests whose result is unknown.
    pub may_have_run: u64,
    /// Requests refused without being run.
    pub not_run: u64,
    /// Second connections opened because a stream was silent or broke.
    pub resumed: u64,
    /// Second tries at another endpoint.
    pub retried: u64,
    /// Requests sent to an endpoint, second tries included.
    pub sent: u64,
    /// Tokens delivered.
    pub tokens: u64,
}
