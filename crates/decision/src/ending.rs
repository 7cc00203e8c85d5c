//! How requests end.

use crate::{prelude::*, state::ROOM_RETRY};

impl State {
    /// Past its deadline a request gets its final answer.
    pub(crate) fn expire(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        match &self.requests[key].phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                if self.appends.withdraw(claim) {
                    self.refuse(key, Refusal::LogUnavailable, Some(ROOM_RETRY), out);
                    return;
                }
                self.void(key, claim);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::ClaimUnsettled), out);
            }
            Phase::Moving => {}
            Phase::Running(run) => {
                let attempt = Attempt {
                    generation: run.generation,
                    request: key,
                };
                let next = run.next;
                if matches!(self.requests[key].work, Work::Call { .. }) {
                    self.lose(key, MayHaveRun::DeadlinePassed, out);
                } else {
                    self.cancel(attempt, false, out);
                    self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(next)), out);
                }
                self.dispatch(now, out);
            }
            Phase::Sharing(_) => {
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            Phase::Waiting { .. } => {
                self.give_up(key, Refusal::DeadlinePassed, Some(ROOM_RETRY), out);
            }
        }
    }

    pub(crate) fn failed(
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
        match self.requests[attempt.request].work {
            Work::Call { .. } => self.call_failed(now, attempt, failure, out),
            Work::Generation { .. } | Work::Resume { .. } => {
                self.stream_failed(now, attempt, failure, out);
            }
        }
    }

    /// Ends a request with its outcome.
    pub(crate) fn finish(&mut self, key: request::Key, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match &request.phase {
            Phase::Running(run) => self.release(run),
            Phase::Waiting { .. } => self.backlog.remove(key),
            Phase::Claiming { .. } | Phase::Moving | Phase::Sharing(_) => {}
        }
        self.orders.retain(|(_, other)| *other != key);
        match &outcome {
            Outcome::Answered(_) => self.stats.answered += 1,
            Outcome::MayHaveRun(_) => self.stats.may_have_run += 1,
            Outcome::NotRun(_) => self.stats.not_run += 1,
        }
        out.push(Action::Finish(key, outcome));
    }

    /// Refuses a waiting request, giving up its claim if it holds one.
    pub(crate) fn give_up(
        &mut self,
        key: request::Key,
        refusal: Refusal,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        // Without the proof something was sent, and the key must not be freed.
        if let Phase::Waiting {
            claim: Some(claim),
            proof: Some(_),
        } = self.requests[key].phase
        {
            self.void(key, claim);
        }
        self.refuse(key, refusal, retry_after, out);
    }

    /// The caller left. A sent order runs on, so that its answer is kept; a
    /// generation is kept for a while, since the caller may come back for the rest.
    pub(crate) fn gone(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match &mut request.phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                self.void(key, claim);
                self.refuse(key, Refusal::CallerGone, None, out);
            }
            Phase::Moving => {}
            Phase::Running(run) => {
                if run.left.is_some() {
                    return;
                }
                run.left = Some(now);
                if !matches!(request.work, Work::Call { .. }) {
                    out.push(Action::Detach(key));
                }
            }
            Phase::Sharing(_) => self.refuse(key, Refusal::CallerGone, None, out),
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
        let phase = std::mem::replace(&mut self.requests[key].phase, Phase::Moving);
        let proof = match phase {
            Phase::Claiming { proof, .. } | Phase::Sharing(proof) => proof,
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

    /// Watches one request: deadline, silence, a caller who left.
    pub(crate) fn watch(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let claiming = matches!(request.phase, Phase::Claiming { .. });
        let unsettled = claiming && now.since(request.arrived) >= self.limits.claim_wait;
        if request.deadline <= now || unsettled {
            self.expire(now, key, out);
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
        if call {
            return;
        }
        if let Some(left) = run.left {
            if now.since(left) >= self.limits.grace {
                self.cancel(attempt, true, out);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(0)), out);
                self.dispatch(now, out);
            }
            return;
        }
        if now.since(run.progress) >= self.limits.silence {
            self.resume(now, attempt, out);
        }
    }
}
