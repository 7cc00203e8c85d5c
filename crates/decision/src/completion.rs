//! Completion of requests: failures, deadlines, disconnects and refusals.

use crate::{fingerprint::Fingerprint, prelude::*, state::RETRY_AFTER};

impl State {
    /// Finishes a request whose deadline has passed or whose claim was not settled in time.
    pub(crate) fn handle_deadline(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        match &self.requests[key].phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                if self.appends.withdraw(claim) {
                    self.refuse(key, Refusal::LogUnavailable, Some(RETRY_AFTER), out);
                    return;
                }
                self.void_claim(key, claim);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::ClaimUnsettled), out);
            }
            Phase::Transition => {}
            Phase::Running(run) => {
                let attempt = Attempt {
                    generation: run.generation,
                    request: key,
                };
                let next = run.next;
                if matches!(self.requests[key].work, Work::Call { .. }) {
                    self.finish_unknown(key, MayHaveRun::DeadlinePassed, out);
                } else {
                    self.cancel(attempt, false, out);
                    self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(next)), out);
                }
                self.dispatch(now, out);
            }
            Phase::Coalesced(_) => {
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            Phase::Waiting { .. } => {
                self.give_up(key, Refusal::DeadlinePassed, Some(RETRY_AFTER), out);
            }
        }
    }

    pub(crate) fn handle_failure(
        &mut self,
        now: Time,
        attempt: Attempt,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        if self.run(attempt).is_none() {
            self.stats.late += 1;
            return;
        }
        let fingerprint = self.requests[attempt.request].fingerprint;
        if failure == Failure::Broken {
            self.record_break(now, attempt);
        }
        if failure == Failure::NotRun(Evidence::NothingWritten)
            && let Some(endpoint) = self.run(attempt).map(|run| run.endpoint)
        {
            self.record_unreached(now, endpoint, out);
        }
        match self.requests[attempt.request].work {
            Work::Call { .. } => self.handle_call_failure(now, attempt, failure, out),
            Work::Generation { .. } | Work::Resume { .. } => {
                self.handle_stream_failure(now, attempt, failure, out);
            }
        }
        if failure == Failure::Broken {
            self.stop_refused(now, fingerprint, out);
            self.stop_refused_prompts(now, out);
        }
    }

    /// Ends the requests equal to one that is refused now. Those that wait are not sent, and those that
    /// run are stopped before they crash their endpoints as well.
    pub(crate) fn stop_refused(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        out: &mut Vec<Action>,
    ) {
        if !self.suspects.refuses(now, fingerprint) {
            return;
        }
        let requests = self.requests.iter();
        let equal = requests.filter(|(_, request)| {
            request.fingerprint == fingerprint && !matches!(request.work, Work::Resume { .. })
        });
        let equal = equal.map(|(key, _)| key).collect::<Vec<_>>();
        for key in equal {
            self.stop(now, key, out);
        }
        self.dispatch(now, out);
    }

    /// Ends the requests that are refused for a part of their prompts, in the same way.
    pub(crate) fn stop_refused_prompts(&mut self, now: Time, out: &mut Vec<Action>) {
        let keys = self.requests.iter();
        let keys = keys.filter(|(_, request)| !request.parts.is_empty());
        let keys = keys.map(|(key, _)| key).collect::<Vec<_>>();
        for key in keys {
            let is_waiting = matches!(self.requests[key].phase, Phase::Waiting { .. });
            let awaits_trial = if is_waiting {
                self.awaits_trial(now, key)
            } else {
                self.awaits_claim(now, key)
            };
            if self.is_refused(now, key) && !awaits_trial {
                self.stop(now, key, out);
            }
        }
        self.dispatch(now, out);
    }

    /// Stops a refused request, unless it or one that lost its endpoint has produced a token.
    fn stop(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let Phase::Running(run) = &request.phase else {
            if matches!(request.phase, Phase::Waiting { .. }) {
                self.give_up(key, Refusal::CrashesEndpoints, None, out);
            }
            return;
        };
        let (generation, next) = (run.generation, run.next);
        if !self.stops(now, key, next) {
            return;
        }
        let attempt = Attempt {
            generation,
            request: key,
        };
        let is_generation = matches!(request.work, Work::Generation { .. });
        if is_generation {
            self.cancel(attempt, false, out);
        }
        self.finish_unknown(key, MayHaveRun::Stopped, out);
    }

    /// Removes a request and delivers its outcome.
    pub(crate) fn finish(&mut self, key: request::Key, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match &request.phase {
            Phase::Running(run) => self.release(run),
            Phase::Waiting { .. } => self.backlog.remove(key),
            Phase::Claiming { .. } | Phase::Transition | Phase::Coalesced(_) => {}
        }
        self.orders.retain(|(_, other)| *other != key);
        match &outcome {
            Outcome::Answered(_) => self.stats.answered += 1,
            Outcome::MayHaveRun(_) => self.stats.may_have_run += 1,
            Outcome::NotRun(_) => self.stats.not_run += 1,
        }
        out.push(Action::Finish(key, outcome));
    }

    /// Refuses a waiting request and voids its claim if it holds one.
    pub(crate) fn give_up(
        &mut self,
        key: request::Key,
        refusal: Refusal,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        // Without the proof the order may have been sent, and its key must stay held.
        if let Phase::Waiting {
            claim: Some(claim),
            proof: Some(_),
        } = self.requests[key].phase
        {
            self.void_claim(key, claim);
        }
        self.refuse(key, refusal, retry_after, out);
    }

    /// Handles a caller that disconnected.
    ///
    /// A call that was sent runs on, so that the answer of an order is stored. A generation
    /// is kept for [`Limits::grace`], since the caller may resume it.
    pub(crate) fn handle_disconnect(
        &mut self,
        now: Time,
        key: request::Key,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match &mut request.phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                self.void_claim(key, claim);
                self.refuse(key, Refusal::CallerGone, None, out);
            }
            Phase::Transition => {}
            Phase::Running(run) => {
                if run.disconnected_at.is_some() {
                    return;
                }
                run.disconnected_at = Some(now);
                if !matches!(request.work, Work::Call { .. }) {
                    out.push(Action::Detach(key));
                }
            }
            Phase::Coalesced(_) => self.refuse(key, Refusal::CallerGone, None, out),
            Phase::Waiting { .. } => self.give_up(key, Refusal::CallerGone, None, out),
        }
    }

    /// Refuses a request that was not sent.
    pub(crate) fn refuse(
        &mut self,
        key: request::Key,
        refusal: Refusal,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let phase = std::mem::replace(&mut self.requests[key].phase, Phase::Transition);
        let proof = match phase {
            Phase::Claiming { proof, .. } | Phase::Coalesced(proof) => proof,
            Phase::Waiting {
                proof: Some(proof), ..
            } => {
                self.backlog.remove(key);
                proof
            }
            phase => {
                self.requests[key].phase = phase;
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::ConnectionLost), out);
                return;
            }
        };
        let refused = NotRun::new(proof, refusal, retry_after);
        self.finish(key, Outcome::NotRun(refused), out);
    }

    /// Applies the timeouts of one request: deadline, claim, silence and disconnected caller.
    pub(crate) fn check_timeouts(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let claiming = matches!(request.phase, Phase::Claiming { .. });
        let unsettled = claiming && now.since(request.arrived_at) >= self.limits.claim_wait;
        if request.deadline <= now || unsettled {
            self.handle_deadline(now, key, out);
            return;
        }
        let call = matches!(request.work, Work::Call { .. });
        let Phase::Running(run) = &request.phase else {
            return;
        };
        let attempt = Attempt {
            generation: run.generation,
            request: key,
        };
        let is_silent = now.since(run.last_progress) >= self.limits.silence;
        if call {
            if is_silent {
                let endpoint = run.endpoint;
                self.record_silence(endpoint);
            }
            return;
        }
        if let Some(disconnected_at) = run.disconnected_at {
            if now.since(disconnected_at) >= self.limits.grace {
                self.cancel(attempt, true, out);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(0)), out);
                self.dispatch(now, out);
            }
            return;
        }
        if is_silent {
            self.resume(now, attempt, out);
        }
    }
}
