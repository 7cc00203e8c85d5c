//! Engines that were asked to take runs over.

use {super::State, crate::prelude::*};

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

    /// The engine that holds the backup copy of a run, if it may be asked to continue it.
    #[must_use]
    pub fn backup(&self, now: Time, run: RunKey) -> Option<EndpointKey> {
        let backup = self.runs.get(run)?.backup?;
        (self.may_continue_at(now, backup) && !self.may_be_running(run, backup)).then_some(backup)
    }
}
