//! Engines that were asked to take runs over.

use {super::State, crate::prelude::*};

/// Time within which an engine begins to copy a run, as it does several times a second.
const MIN_COPY_TIME: Duration = Duration::from_millis(200);

/// A run whose events are read while its engine copies it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Copying {
    /// When the last event was read.
    heard_at: Time,
    /// When the first event of this engine was read.
    since: Time,
}

impl State {
    /// Records that an engine is asked to take a run over. Until it refuses, it may be running it, also
    /// without an answer, and would run it again if it were asked again: backup copies can be used
    /// more than once.
    pub fn record_takeover(&mut self, run: RunKey, engine: EndpointKey) {
        if !self.runs.contains_key(run) {
            return;
        }
        let Some(asked) = self.asked.entry(run) else {
            return;
        };
        let asked = asked.or_default();
        if let Err(index) = asked.binary_search(&engine) {
            asked.insert(index, engine);
        }
    }

    /// Records that an engine does not run what it was asked to take over, or runs it as the run's own
    /// engine.
    pub fn settle_takeover(&mut self, run: RunKey, engine: EndpointKey) {
        if let Some(asked) = self.asked.get_mut(run) {
            asked.retain(|other| *other != engine);
        }
    }

    /// Engines that were asked to take a run over and may be running it.
    pub(crate) fn asked(&self, run: RunKey) -> &[EndpointKey] {
        self.asked.get(run).map_or(&[], Vec::as_slice)
    }

    /// Whether an engine was asked to take a run over and may be running it.
    #[must_use]
    pub fn may_be_running(&self, run: RunKey, engine: EndpointKey) -> bool {
        self.asked(run).binary_search(&engine).is_ok()
    }

    /// Where an engine is told to copy a run that it is to stop: to the engine that has it now, or to any other one if
    /// there is none. `None` if it cannot stop runs.
    #[must_use]
    pub fn stop_target(&self, run: RunKey, engine: EndpointKey) -> Option<EndpointKey> {
        let service = &self.endpoints.get(engine)?.listing.service;
        let can_move = |service: &Service| service.engine.is_some_and(|engine| engine.moves);
        self.service(service).filter(|service| can_move(service))?;
        let current = self.runs.get(run).map(|run| run.endpoint);
        let mut others = self
            .endpoints
            .iter()
            .filter(|(key, other)| *key != engine && other.listing.service == *service);
        let other = others.next().map(|(key, _)| key);
        current.filter(|key| *key != engine).or(other)
    }

    /// Records that events of a run have been read from its engine, which copies it to its backup as it goes on.
    pub fn record_events(&mut self, now: Time, run: RunKey) {
        if !self.runs.contains_key(run) {
            return;
        }
        let Some(copying) = self.copying.entry(run) else {
            return;
        };
        let copying = copying.or_insert(Copying {
            heard_at: now,
            since: now,
        });
        copying.heard_at = now;
    }

    /// Records that a run goes on at another engine, which copies it to a backup of its own.
    pub fn restart_copy(&mut self, run: RunKey) {
        self.copying.remove(run);
    }

    /// Records that a peer has reported.
    pub fn record_peer_report(&mut self, now: Time, name: &str) {
        if let Some(domain) = self.members.domain(name) {
            self.cuts.record_report(now, domain);
        }
    }

    /// Records that a connection to an endpoint was neither accepted nor refused.
    pub fn record_hang(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get(key) {
            self.cuts.record_hang(now, &endpoint.listing.domain);
        }
    }

    /// Whether the backup copy of a run has been begun: its engine was at work for long enough, and the failure domain of the backup
    /// was not cut off meanwhile, after which engines do not go on copying. An engine without a copy might run the request anew.
    fn has_copy(&self, now: Time, run: RunKey, backup: EndpointKey) -> bool {
        let copying = self.copying.get(run);
        let Some((copying, endpoint)) = copying.zip(self.endpoints.get(backup)) else {
            return false;
        };
        let domain = &endpoint.listing.domain;
        let is_reachable = self.cuts.is_reachable_since(now, domain, copying.since);
        is_reachable && copying.heard_at.since(copying.since) >= MIN_COPY_TIME
    }

    /// The engine that holds the backup copy of a run, if it may be asked to continue it.
    #[must_use]
    pub fn backup(&self, now: Time, run: RunKey) -> Option<EndpointKey> {
        let backup = self.runs.get(run)?.backup?;
        let is_free = self.may_continue_at(now, backup) && !self.may_be_running(run, backup);
        (is_free && self.has_copy(now, run, backup)).then_some(backup)
    }
}
