//! Probes of engines that may be leaving while the store is unreachable.
//!
//! The endpoint list normally shows that an engine is leaving. Without the store, the runs of an
//! engine that leaves with one or two seconds of notice would be lost. An instance therefore probes
//! the engines that have runs of its own.

use crate::{prelude::*, state::State};

/// Age of the endpoint list above which engines are probed. The list is read or relayed about once
/// per second while the store is reachable.
const MAX_LIST_AGE: Duration = Duration::from_millis(1200);

/// Interval between two probes of an engine; a third of the shortest notice.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Backoff after an unanswered probe, since each probe of an unreachable engine opens a connection.
const UNANSWERED_PROBE_BACKOFF: Duration = Duration::from_secs(2);

impl State {
    /// Engines to probe now; schedules their next probes.
    pub fn due_probes(&mut self, now: Time) -> Vec<EndpointKey> {
        if self.list_freshness.within(now, MAX_LIST_AGE) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for run in self.runs.values() {
            let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
                continue;
            };
            if endpoint.leaving_since.is_none() && now >= endpoint.next_probe_at {
                endpoint.next_probe_at = now.after(PROBE_INTERVAL);
                due.push(run.endpoint);
            }
        }
        due
    }

    /// Records that an engine did not answer a probe.
    pub fn record_unanswered_probe(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.next_probe_at = now.after(UNANSWERED_PROBE_BACKOFF);
        }
    }
}
