//! What the loss of an endpoint says of the requests that ran there.

use crate::{
    part::Part,
    part_suspects::{self, RESULT_TIMEOUT},
    prelude::*,
    suspects::{Change, Crash},
};

/// Time after which a change of the suspects that has not come back from the log is published
/// again.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a request waits for the result of a claim of a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

impl State {
    /// Whether requests equal to this one have crashed too many endpoints.
    pub(crate) fn is_refused(&self, now: Time, key: request::Key) -> bool {
        let request = &self.requests[key];
        let resumes = matches!(request.work, Work::Resume { .. });
        if resumes || self.is_trial(key) {
            return false;
        }
        self.suspects.refuses(now, request.fingerprint)
            || (!request.is_proven && self.blamed_part(now, key).is_some())
    }

    /// The part for which a prompt is refused, if any.
    fn blamed_part(&self, now: Time, key: request::Key) -> Option<Part> {
        let parts = &self.requests[key].parts;
        self.part_suspects.blamed(now, parts, &self.suspects)
    }

    /// Records that a request completed, so that it does not crash endpoints.
    pub(crate) fn record_completion(&mut self, now: Time, key: request::Key) {
        let fingerprint = self.requests[key].fingerprint;
        self.suspects.record_completion(now, fingerprint);
        self.part_suspects.clear_request_trial(fingerprint);
        self.record_proof(now, key);
    }

    /// Whether a request is let through as a trial although it is refused.
    fn is_trial(&self, key: request::Key) -> bool {
        let trial = &self.requests[key].trial;
        !trial.is_empty() && self.part_suspects.has_won(trial) == Some(true)
    }

    /// Claims a trial of the parts for which a prompt is refused, or of the request itself; returns whether the
    /// request is to wait for the result.
    pub(crate) fn claim_trial(&mut self, now: Time, key: request::Key) -> bool {
        let request = &mut self.requests[key];
        let (suspects, instance) = (&mut self.part_suspects, self.instance);
        let blamed = suspects.blamed(now, &request.parts, &self.suspects);
        let is_refused = self.suspects.refuses(now, request.fingerprint);
        request.trial = match (is_refused, blamed) {
            (false, _) => suspects.claim_trial(now, &request.parts, &self.suspects, instance),
            (true, Some(_)) => Vec::new(),
            (true, None) => {
                let fingerprint = request.fingerprint;
                let claim =
                    suspects.claim_request_trial(now, fingerprint, &self.suspects, instance);
                claim.into_iter().collect()
            }
        };
        !request.trial.is_empty()
    }

    /// Whether a refused request waits until the log tells whether its claim of a trial was the first one.
    pub(crate) fn awaits_claim(&self, now: Time, key: request::Key) -> bool {
        let request = &self.requests[key];
        let is_pending = self.part_suspects.has_won(&request.trial).is_none();
        is_pending && now.since(request.arrived_at) < CLAIM_TIMEOUT
    }

    /// Whether a refused request waits for its claim of a trial, or for the result of another one's trial, which may
    /// clear the parts for which it is refused.
    pub(crate) fn awaits_trial(&self, now: Time, key: request::Key) -> bool {
        let request = &self.requests[key];
        let (fingerprint, parts) = (request.fingerprint, &request.parts);
        let awaits_result = || {
            let due = self
                .part_suspects
                .result_due(now, fingerprint, parts, &self.suspects);
            due.is_some() && now.since(request.arrived_at) < RESULT_TIMEOUT
        };
        self.awaits_claim(now, key) || awaits_result()
    }

    /// Whether a run that has produced `next` tokens is to be stopped before it crashes its endpoint.
    pub(crate) fn stops(&self, now: Time, key: request::Key, next: u32) -> bool {
        if self.is_trial(key) {
            return false;
        }
        let request = &self.requests[key];
        let has_begun = next > 0 || request.is_proven;
        let stops_part = self
            .part_suspects
            .stops(now, &request.parts, &self.suspects);
        self.suspects.stops(now, request.fingerprint, next) || (!has_begun && stops_part)
    }

    /// Records that an engine answers a request and lives on, which clears the parts of its prompt.
    pub(crate) fn record_proof(&mut self, now: Time, key: request::Key) {
        let request = &mut self.requests[key];
        if !std::mem::replace(&mut request.is_proven, true) {
            self.part_suspects.record_proof(now, &request.parts);
        }
    }

    /// Records that the connection to an endpoint broke while it ran a request. An endpoint that is
    /// shutting down has ended by itself.
    pub(crate) fn record_break(&mut self, now: Time, attempt: Attempt) {
        let Some(run) = self.run(attempt) else {
            return;
        };
        let (endpoint, events, last_progress) = (run.endpoint, run.next, run.last_progress);
        let request = &self.requests[attempt.request];
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return;
        };
        if endpoint.member.leaving || matches!(request.work, Work::Resume { .. }) {
            return;
        }
        // All requests at an engine break together, which is one crash. Plain services do not report
        // restarts, so that their crashes can only be told apart by attempts.
        let life = endpoint.last_incarnation.map_or_else(
            || attempt.generation.to_string(),
            |incarnation| incarnation.to_string(),
        );
        let crash = Crash {
            endpoint: format!("{}/{life}", endpoint.member.name),
            events,
            fingerprint: request.fingerprint,
        };
        for part in request.parts.iter().filter(|_| !request.is_proven) {
            let suspects = &mut self.part_suspects;
            suspects.record_crash(now, *part, &crash.endpoint, last_progress);
        }
        self.suspects.record_crash(now, crash);
        self.requests[attempt.request].trial.clear();
    }

    /// Publishes changes of the suspects, again until they have come back from the log.
    pub(crate) fn publish_suspects(&mut self, now: Time, out: &mut Vec<Action>) {
        let (changes, parts) = (
            self.suspects.unpublished(),
            self.part_suspects.unpublished(),
        );
        let count = changes.len() + parts.len();
        let (next, published) = self.next_publication;
        if count == 0 || (now < next && count <= published) {
            self.next_publication.1 = count;
            return;
        }
        self.next_publication = (now.after(PUBLICATION_INTERVAL), count);
        out.extend(parts.iter().cloned().map(Action::PublishPartCrash));
        out.extend(changes.iter().cloned().map(Action::PublishCrash));
        // Records of the log expire by themselves.
        self.suspects.expire(now);
        self.part_suspects.expire(now);
    }

    /// Applies a change of the parts of prompts that crash engines, and ends the requests that are refused for it.
    pub(crate) fn apply_part_change(
        &mut self,
        now: Time,
        change: &part_suspects::Change,
        out: &mut Vec<Action>,
    ) {
        self.part_suspects.apply(now, change);
        self.stop_refused_prompts(now, out);
    }

    pub(crate) fn apply_crash(&mut self, now: Time, change: Change, out: &mut Vec<Action>) {
        match change {
            Change::Cleared(crash) => self.suspects.apply_removal(crash),
            Change::Crashed(crash) => {
                let fingerprint = crash.fingerprint;
                self.suspects.apply_crash(now, crash);
                self.stop_refused(now, fingerprint, out);
            }
        }
    }
}
