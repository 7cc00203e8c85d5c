//! What is done about requests that may crash endpoints: they are counted, cleared, refused, stopped and tried.

use {
    crate::{clock, crashes, exchange::Original, prelude::*},
    forward::{part, part_suspects::RESULT_TIMEOUT},
};

/// How long a request waits for the result of a claim of a trial. An answer of the store takes a few
/// milliseconds.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

impl Shared {
    /// Records that the connection to an endpoint broke after a request was sent there at
    /// `sent_at` and produced `events` events.
    pub fn record_break(&self, original: &Original, key: EndpointKey, sent_at: Time, events: u32) {
        let (now, fingerprint) = (clock::now(), original.fingerprint);
        let mut state = self.state.borrow_mut();
        if state.was_lost_before(sent_at, key) {
            let endpoint = state.endpoint(key);
            let endpoint = endpoint.map_or("", |endpoint| &endpoint.listing.id);
            log::info!(id = original.inbound.id, endpoint; "endpoint had been lost before");
            return;
        }
        let counts = state.record_break(now, fingerprint, key, events);
        let parts = if original.is_proven.get() {
            Vec::new()
        } else {
            state.record_prompt_break(now, &original.inbound.parts, key, sent_at)
        };
        // A trial is over once its endpoint is lost; it is not repeated elsewhere.
        original.is_trial.set(false);
        let Some(endpoint) = state.endpoint(key) else {
            return;
        };
        let load = state.load_at(key);
        log::info!(
            id = original.inbound.id, fingerprint:%, endpoint = endpoint.listing.id,
            leaving = endpoint.leaving_since.is_some(), counts,
            parts = part::join(&original.inbound.parts),
            ms = now.since(sent_at).as_millis(), events, requests = load.requests,
            tokens = load.tokens; "connection to endpoint broke"
        );
        self.metrics.record_break(&endpoint.listing.service);
        for part in &parts {
            crashes::log_part_suspicion(&state.part_suspects, *part, &endpoint.listing.id);
            self.metrics.record_part("crashed");
        }
        if counts {
            let crashes = state.suspects.crashes(fingerprint);
            let refused = state.suspects.refuses(now, fingerprint);
            crashes::log_suspicion(fingerprint, &endpoint.listing.id, crashes, refused);
            self.metrics.record_suspicion("crashed");
        }
        if counts || !parts.is_empty() {
            self.suspects_changed.notify_one();
            self.refusals_changed.notify_waiters();
        }
    }

    /// Records that an endpoint has begun to answer a request and lives on, which clears the parts of its prompt.
    pub fn record_proof(&self, original: &Original) {
        if original.is_proven.replace(true) {
            return;
        }
        let mut state = self.state.borrow_mut();
        let suspects = &mut state.part_suspects;
        let cleared = suspects.record_proof(clock::now(), &original.inbound.parts);
        for part in &cleared {
            log::info!(id = original.inbound.id, part:%; "part of prompts is cleared");
            self.metrics.record_part("cleared");
        }
        if !cleared.is_empty() {
            self.suspects_changed.notify_one();
            self.refusals_changed.notify_waiters();
        }
    }

    /// Records that a request completed, so that it does not crash endpoints.
    pub fn record_completion(&self, original: &Original) {
        self.record_proof(original);
        let fingerprint = original.fingerprint;
        let mut state = self.state.borrow_mut();
        let cleared = state.suspects.record_completion(clock::now(), fingerprint);
        state.part_suspects.clear_request_trial(fingerprint);
        if cleared > 0 {
            log::info!(id = original.inbound.id, fingerprint:%, cleared; "request is cleared");
            self.metrics.record_suspicion("cleared");
            self.suspects_changed.notify_one();
            self.refusals_changed.notify_waiters();
        }
    }

    /// Records that an endpoint whose connections broke lives on, so that its loss counts against no
    /// request.
    pub fn record_alive(&self, key: EndpointKey, started_at: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let retracted = state.record_alive(key, started_at);
        if retracted > 0 {
            let endpoint = state.endpoint(key);
            let endpoint = endpoint.map_or("", |endpoint| &endpoint.listing.id);
            log::info!(endpoint, retracted; "endpoint has not crashed");
            self.metrics.record_suspicion("retracted");
            self.suspects_changed.notify_one();
        }
    }

    /// Whether requests equal to this one, or with a part of its prompt, have crashed too many endpoints.
    #[must_use]
    pub fn refuses(&self, original: &Original) -> bool {
        let state = self.state.borrow();
        let now = clock::now();
        if original.is_trial.get() {
            return false;
        }
        state.suspects.refuses(now, original.fingerprint)
            || (!original.is_proven.get()
                && state.blamed_part(now, &original.inbound.parts).is_some())
    }

    /// Whether a refused request is let through after all: it is the first one, over all instances, to claim the next
    /// trial of the parts of its prompt, or of itself, for which it is refused.
    pub async fn wins_trial(&self, original: &Original) -> bool {
        let now = clock::now();
        let claims = {
            let mut state = self.state.borrow_mut();
            let parts = &original.inbound.parts;
            state.claim_trial(now, original.fingerprint, parts, self.incarnation)
        };
        if claims.is_empty() {
            return false;
        }
        self.suspects_changed.notify_one();
        let deadline = now.after(CLAIM_TIMEOUT);
        let won = loop {
            let changed = self.refusals_changed.notified();
            let won = self.state.borrow().part_suspects.has_won(&claims);
            let left = deadline.since(clock::now());
            if won.is_some() || timeout(left, changed).await.is_err() {
                break won == Some(true);
            }
        };
        original.is_trial.set(won);
        let parts = claims.iter().map(|claim| claim.part).collect::<Vec<_>>();
        log::info!(
            id = original.inbound.id, parts = part::join(&parts), number = claims[0].number, won;
            "trial of a refused request"
        );
        self.metrics
            .record_part(if won { "tried" } else { "not_tried" });
        won
    }

    /// Whether the trial of another request clears a refused one, at whatever instance it takes place.
    pub async fn is_cleared_by_trial(&self, original: &Original) -> bool {
        let deadline = clock::now().after(RESULT_TIMEOUT);
        loop {
            let changed = self.refusals_changed.notified();
            if !self.refuses(original) {
                log::info!(id = original.inbound.id; "request is cleared by the trial of another one");
                return true;
            }
            let now = clock::now();
            let due =
                self.state
                    .borrow()
                    .trial_due(now, original.fingerprint, &original.inbound.parts);
            let left = due.map_or(Duration::ZERO, |due| due.min(deadline.since(now)));
            if left.is_zero() {
                return false;
            }
            let _changed = timeout(left, changed).await;
        }
    }

    /// Logs what speaks against a request that is refused, or is stopped.
    pub fn log_refusal(&self, original: &Original) {
        let now = clock::now();
        let state = self.state.borrow();
        let Some(part) = state.blamed_part(now, &original.inbound.parts) else {
            return;
        };
        let evidence = state.part_suspects.evidence(now, part);
        log::info!(
            id = original.inbound.id, part:%, crashes = evidence.crashes, moments = evidence.moments,
            age_ms = evidence.age.as_millis(), trials = evidence.trials;
            "part of the prompt has crashed endpoints"
        );
        self.metrics.record_part("refused");
    }

    /// Waits until a run of this request that has produced `events` events is to be stopped, since equal
    /// requests, or those with a part of its prompt, have crashed too many endpoints.
    pub async fn stopped(&self, original: &Original, events: u32) {
        loop {
            let changed = self.refusals_changed.notified();
            if self.stops(original, events) {
                log::info!(
                    id = original.inbound.id, fingerprint:% = original.fingerprint, events;
                    "request is stopped before it crashes an endpoint"
                );
                self.log_refusal(original);
                self.metrics.record_suspicion("stopped");
                return;
            }
            changed.await;
        }
    }

    fn stops(&self, original: &Original, events: u32) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        if original.is_trial.get() {
            return false;
        }
        let has_begun = events > 0 || original.is_proven.get();
        state.suspects.stops(now, original.fingerprint, events)
            || (!has_begun && state.stops_prompt(now, &original.inbound.parts))
    }
}
