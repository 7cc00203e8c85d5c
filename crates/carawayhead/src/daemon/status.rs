//! Status of the event loop for operators.

use {
    crate::prelude::*,
    decision::{invariant::Rule, stats::Stats},
};

/// Figures of the event loop, refreshed on every tick.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Entries that are not yet known to be in the claim stream.
    pub pending_appends: usize,
    /// Requests that wait for an endpoint.
    pub backlog: usize,
    /// Number of invariant checks.
    pub checks: u64,
    /// Endpoints that can accept a request now.
    pub usable: usize,
    /// Number of known order keys.
    pub claims: usize,
    /// Offset after the last applied configuration record.
    pub config_next: u64,
    /// Endpoints in the instance list.
    pub endpoints: usize,
    /// Longest time that the event loop spent on a tick or on queued events, from the tick before
    /// last to the last one, in microseconds.
    pub longest_iteration: u64,
    /// Engines whose load is known from a report.
    pub load_reports: usize,
    /// Name of the instance.
    pub name: String,
    /// Kinds of endpoints that cannot be reached directly.
    pub partitioned: usize,
    /// Entry instances in the instance list.
    pub peers: usize,
    /// Whether the load balancer may send requests to this instance.
    pub ready: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Time since the configuration was last known to be complete, in milliseconds.
    pub stale_ms: Option<u64>,
    /// Counters of the state.
    pub stats: Stats,
    /// Number of invariant violations, in the order of [`Rule::ALL`].
    pub violations: [u64; Rule::ALL.len()],
}

impl Status {
    /// Collects the figures of a state.
    #[must_use]
    pub fn of(state: &State, now: Time, ready: bool, longest_iteration: u64) -> Self {
        let age = state.staleness(now).map(|age| age.as_millis());
        Self {
            backlog: state.backlog.len(),
            pending_appends: state.appends.len(),
            checks: state.invariants.checks(),
            claims: state.claims.len(),
            config_next: state.config.next(),
            endpoints: state.endpoints.len(),
            load_reports: state.load_reports(),
            longest_iteration,
            name: state.name.clone(),
            partitioned: state.reachability.partitioned(),
            peers: state.peers.len(),
            ready,
            requests: state.requests.len(),
            stale_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            stats: state.stats,
            usable: state.available_endpoints(now),
            violations: Rule::ALL.map(|rule| state.invariants.violations(rule)),
        }
    }

    /// Returns the body of `/status`.
    #[must_use]
    pub fn json(&self) -> Value {
        let violations = Rule::ALL.iter().zip(self.violations);
        let violations = violations.map(|(rule, count)| (rule.label().to_string(), json!(count)));
        json!({
          "answered": self.stats.answered,
          "backlog": self.backlog,
          "claims_known": self.claims,
          "claims_lost": self.stats.claims_lost,
          "claims_unsettled": self.pending_appends,
          "config_next_offset": self.config_next,
          "config_stale_ms": self.stale_ms,
          "endpoints": self.endpoints,
          "instance": self.name,
          "invariant_checks": self.checks,
          "invariant_violations": violations.collect::<serde_json::Map<_, _>>(),
          "late_events": self.stats.late,
          "load_reports": self.load_reports,
          "longest_turn_us": self.longest_iteration,
          "may_have_run": self.stats.may_have_run,
          "not_run": self.stats.not_run,
          "partitioned": self.partitioned,
          "peers": self.peers,
          "ready": self.ready,
          "requests": self.requests,
          "resumed": self.stats.resumed,
          "retried": self.stats.retried,
          "sent": self.stats.sent,
          "tokens": self.stats.tokens,
          "tunnels": self.stats.tunnels,
          "usable": self.usable,
        })
    }
}
