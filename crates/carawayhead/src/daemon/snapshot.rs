//! What the loop shows to operators.

use {
    crate::prelude::*,
    decision::{invariant::Rule, stats::Stats},
};

/// A copy of the loop's figures, renewed at every tick.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Entries on their way into the claim stream.
    pub batch: usize,
    /// Requests that wait.
    pub backlog: usize,
    /// Checks of invariants made.
    pub checks: u64,
    /// Endpoints that could take a request now.
    pub usable: usize,
    /// Order keys known.
    pub claims: usize,
    /// Offset after the last configuration record in force.
    pub config_next: u64,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Longest turn of the loop since the last tick but one, in microseconds.
    pub longest_turn: u64,
    /// Name of the instance.
    pub name: String,
    /// Entry instances in the list.
    pub peers: usize,
    /// Whether the balancer may send requests here.
    pub ready: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Time since the configuration was known to be complete, in milliseconds.
    pub stale_ms: Option<u64>,
    /// Counters of decisions.
    pub stats: Stats,
    /// Violations, in the order of [`Rule::ALL`].
    pub violations: [u64; Rule::ALL.len()],
}

impl Snapshot {
    /// Copies the figures of a state.
    #[must_use]
    pub fn of(state: &State, now: Time, ready: bool, longest_turn: u64) -> Self {
        let age = state.staleness(now).map(|age| age.as_millis());
        Self {
            backlog: state.backlog.len(),
            batch: state.appends.len(),
            checks: state.invariants.checks(),
            claims: state.claims.len(),
            config_next: state.config.next(),
            endpoints: state.endpoints.len(),
            longest_turn,
            name: state.name.clone(),
            peers: state.peers.len(),
            ready,
            requests: state.requests.len(),
            stale_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            stats: state.stats,
            usable: state.available_endpoints(now),
            violations: Rule::ALL.map(|rule| state.invariants.violations(rule)),
        }
    }

    /// As JSON, for `status` and scripts.
    #[must_use]
    pub fn json(&self) -> Value {
        let violations = Rule::ALL.iter().zip(self.violations);
        let violations = violations.map(|(rule, count)| (rule.label().to_string(), json!(count)));
        json!({
          "answered": self.stats.answered,
          "backlog": self.backlog,
          "claims_known": self.claims,
          "claims_lost": self.stats.claims_lost,
          "claims_unsettled": self.batch,
          "config_next_offset": self.config_next,
          "config_stale_ms": self.stale_ms,
          "endpoints": self.endpoints,
          "instance": self.name,
          "invariant_checks": self.checks,
          "invariant_violations": violations.collect::<serde_json::Map<_, _>>(),
          "late_events": self.stats.late,
          "longest_turn_us": self.longest_turn,
          "may_have_run": self.stats.may_have_run,
          "not_run": self.stats.not_run,
          "peers": self.peers,
          "ready": self.ready,
          "requests": self.requests,
          "resumed": self.stats.resumed,
          "retried": self.stats.retried,
          "sent": self.stats.sent,
          "tokens": self.stats.tokens,
            "usable": self.usable,
        })
    }
}
