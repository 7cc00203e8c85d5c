//! Which engines are asked whether they leave, while the store does not say so.
//!
//! The list tells when an engine leaves. While the store is away it is silent, and engines
//! still leave with a second or two of notice; their runs would be lost with them. An
//! instance then asks those engines that have runs of its own, so the cost grows with its
//! runs and not with all engines.

use crate::{prelude::*, state::State};

/// Age of the endpoint list from which on engines are asked. It is read or relayed about
/// once a second while the store is well.
const MAX_LIST_AGE: Duration = Duration::from_millis(1200);

/// Pause between two questions to an engine; a third of the shortest notice.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after an engine did not answer. It may be out of reach for long, and each further
/// question opens a connection.
const UNANSWERED_PROBE_BACKOFF: Duration = Duration::from_secs(2);

impl State {
    /// Engines to ask now; they are taken as asked.
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

    /// An engine did not answer the question.
    pub fn record_unanswered_probe(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.next_probe_at = now.after(UNANSWERED_PROBE_BACKOFF);
        }
    }
}
