//! Observation of the time between events.

use {
    super::Relay,
    crate::prelude::*,
    forward::{feature::Feature, load::digest, profile::Observation},
};

impl Relay {
    /// Records that events were read from the engine at `read_at` and passed on by `passed_at`.
    pub(super) fn observe_pace(&mut self, read_at: Time, passed_at: Time, events: u32) {
        let mut state = self.shared.state.borrow_mut();
        if !state.settings().features.has(Feature::EngineProfiles) {
            return;
        }
        let is_reading = state.is_reading(self.source.key);
        let interval = self.window.record(read_at, passed_at, events, is_reading);
        let Some(interval) = interval else {
            return;
        };
        let Some(endpoint) = state.endpoint(self.source.key) else {
            return;
        };
        if read_at < endpoint.cold_until {
            return;
        }
        let digest_of_engine = endpoint.incarnation;
        let run = state.run(self.running.key);
        let expected_events = run.map_or(0, |run| run.expected / run.tokens_per_event.max(1));
        let seen = Observation {
            digest: digest_of_engine,
            expected_events,
            interval,
            service: digest(&self.ticket.service),
        };
        state.profiles.observe(read_at, &seen);
    }
}
