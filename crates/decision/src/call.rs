//! Calls of plain services, and orders that must run at most once.

use crate::{
    claim::{Kind, Standing, Stored},
    prelude::*,
};

/// When to come back if the log cannot be reached.
const LOG_RETRY: Duration = Duration::from_secs(2);

impl State {
    /// Begins an order: looks its key up and claims it if it is free.
    pub(crate) fn begin_order(
        &mut self,
        now: Time,
        wall: Wall,
        key: request::Key,
        order: order::Order,
        out: &mut Vec<Action>,
    ) {
        let name = self.order_key(key, order);
        let birth = name.birth();
        if birth > wall.plus(self.limits.skew) {
            self.refuse(key, Refusal::KeyFromFuture, None, out);
            return;
        }
        if birth < wall.before(self.limits.order_window) {
            self.refuse(key, Refusal::KeyExpired, None, out);
            return;
        }
        let readable = self.claims.covers(name, self.limits.skew) && self.claims_fresh(now);
        if self.claims.get(name).is_none() && !readable {
            self.refuse(key, Refusal::LogUnavailable, Some(LOG_RETRY), out);
            return;
        }
        self.join_order(key, name);
        self.settle(now, name, out);
    }

    /// Looks again at all requests here that use an order key.
    pub(crate) fn settle(&mut self, now: Time, name: order::Key, out: &mut Vec<Action>) {
        for key in self.with_order(name) {
            self.settle_one(now, name, key, out);
        }
    }

    /// The whole answer of a service came.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        attempt: Attempt,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.run(attempt) else {
            self.stats.late += 1;
            return;
        };
        let (endpoint, claim) = (run.endpoint, run.claim);
        self.record_served(endpoint, attempt.generation);
        if let Some(claim) = claim {
            self.note(attempt.request, claim, Kind::Answered(Stored::of(&answer)));
        }
        self.finish(attempt.request, Outcome::Answered(Some(answer)), out);
        self.dispatch(now, out);
    }

    /// A call failed.
    pub(crate) fn call_failed(
        &mut self,
        now: Time,
        attempt: Attempt,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let request = &self.requests[attempt.request];
        let Work::Call { idempotent, .. } = request.work else {
            return;
        };
        // That this send reached nobody says nothing of one before it, which may have
        // run at the endpoint that knows its key.
        let only = request.sends <= 1;
        if let Failure::NotRun(evidence) = failure
            && (idempotent || only)
        {
            self.retry(now, attempt, Some(evidence), out);
            return;
        }
        if idempotent {
            self.retry(now, attempt, None, out);
            return;
        }
        if only && self.knows_repeats(attempt) && self.budget.spend() {
            self.send_again(now, attempt, out);
            return;
        }
        self.lose(attempt.request, MayHaveRun::ConnectionLost, out);
        self.dispatch(now, out);
    }

    /// Whether the endpoint itself refuses to run an order with this key twice.
    fn knows_repeats(&mut self, attempt: Attempt) -> bool {
        let keyed = self.requests[attempt.request].order().is_some();
        let Some(run) = self.run(attempt) else {
            return false;
        };
        let endpoint = run.endpoint;
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return false;
        };
        keyed && self.config.facts(&endpoint.member.name).deduplicates
    }

    /// Sends an order once more to the same endpoint, which knows its key.
    ///
    /// Only that endpoint is known to have it; another one would run it again.
    fn send_again(&mut self, now: Time, attempt: Attempt, out: &mut Vec<Action>) {
        let generation = generation::Id(self.rng.random());
        let request = &mut self.requests[attempt.request];
        request.sends += 1;
        let wait = request.deadline.since(now);
        let Some(run) = self.run(attempt) else {
            return;
        };
        run.generation = generation;
        run.progress = now;
        let endpoint = run.endpoint;
        self.stats.retried += 1;
        out.push(Action::Send {
            attempt: Attempt {
                generation,
                request: attempt.request,
            },
            endpoint,
            model: None,
            wait,
        });
    }

    /// Ends a request that was sent and whose result is unknown.
    pub(crate) fn lose(&mut self, key: request::Key, why: MayHaveRun, out: &mut Vec<Action>) {
        if let Phase::Running(run) = &self.requests[key].phase
            && let Some(claim) = run.claim
        {
            self.note(key, claim, Kind::Lost);
        }
        self.finish(key, Outcome::MayHaveRun(why), out);
    }

    /// Gives a claim up that was never used to send.
    pub(crate) fn void(&mut self, key: request::Key, claim: claim::Id) {
        if !self.appends.withdraw(claim) {
            self.note(key, claim, Kind::Void);
        }
    }

    /// Requests sharing a key whose holder left for good get their answer now.
    ///
    /// A holder that died after its claim may or may not have sent the order;
    /// nobody can tell any more, and waiting would not change that.
    pub(crate) fn settle_orphans(&mut self, out: &mut Vec<Action>) {
        let names = self
            .orders
            .iter()
            .map(|(name, key)| (*name, *key))
            .collect::<Vec<_>>();
        for (name, key) in names {
            let Some(Standing::Held { holder, .. }) =
                self.claims.get(name).map(|slot| &slot.standing)
            else {
                continue;
            };
            if !self.alive(*holder) && matches!(self.requests[key].phase, Phase::Sharing(_)) {
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
        }
    }

    fn settle_one(
        &mut self,
        now: Time,
        name: order::Key,
        key: request::Key,
        out: &mut Vec<Action>,
    ) {
        let Some(order) = self.requests[key].order() else {
            return;
        };
        if matches!(
            self.requests[key].phase,
            Phase::Running(_) | Phase::Waiting { claim: Some(_), .. }
        ) {
            return;
        }
        let slot = self
            .claims
            .get(name)
            .filter(|slot| slot.standing != Standing::Free);
        let Some(slot) = slot else {
            self.claim_unless_pending(key, name, order);
            return;
        };
        if slot.body != order.body {
            self.drop_claim(key);
            self.refuse(key, Refusal::KeyReused, None, out);
            return;
        }
        match slot.standing.clone() {
            Standing::Answered(Some(stored)) => {
                self.drop_claim(key);
                self.finish(key, Outcome::Answered(Some(stored.answer())), out);
            }
            Standing::Answered(None) | Standing::Lost => {
                self.drop_claim(key);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            Standing::Free => {}
            // A part of the log was missed since the order arrived: an earlier claim of
            // the key may stand there, and what looks like a won claim may have lost.
            Standing::Held { .. } if !self.claims.covers(name, self.limits.skew) => {
                self.drop_claim(key);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            Standing::Held { claim, .. } => self.held(now, key, claim, out),
        }
    }

    /// The key is held, by this request's claim or by another one.
    fn held(&mut self, now: Time, key: request::Key, holder: claim::Id, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        match std::mem::replace(&mut request.phase, Phase::Moving) {
            Phase::Claiming { claim, proof } if claim == holder => {
                request.phase = Phase::Waiting {
                    claim: Some(claim),
                    proof: Some(proof),
                };
                self.backlog.push(key);
                self.dispatch(now, out);
            }
            Phase::Claiming { claim, proof } => {
                request.phase = Phase::Sharing(proof);
                self.stats.claims_lost += 1;
                self.void(key, claim);
            }
            Phase::Waiting {
                proof: Some(proof), ..
            } => request.phase = Phase::Sharing(proof),
            phase => request.phase = phase,
        }
    }

    /// Claims a free key for a request, unless another one here is at it.
    fn claim_unless_pending(&mut self, key: request::Key, name: order::Key, order: order::Order) {
        let pending = self.with_order(name).into_iter().any(|other| {
            matches!(
                self.requests[other].phase,
                Phase::Claiming { .. } | Phase::Waiting { claim: Some(_), .. } | Phase::Running(_)
            )
        });
        let claim = claim::Id(self.rng.random());
        let request = &mut self.requests[key];
        let proof = match std::mem::replace(&mut request.phase, Phase::Moving) {
            Phase::Sharing(proof)
            | Phase::Waiting {
                proof: Some(proof), ..
            } => proof,
            phase => {
                request.phase = phase;
                return;
            }
        };
        if pending {
            request.phase = Phase::Sharing(proof);
            return;
        }
        request.phase = Phase::Claiming { claim, proof };
        self.note(key, claim, Kind::Claim(order.body));
    }

    /// Gives up the claim of a request that will not use it.
    fn drop_claim(&mut self, key: request::Key) {
        if let Phase::Claiming { claim, .. } = self.requests[key].phase {
            self.void(key, claim);
        }
    }

    /// Puts an entry about a request's claim into the next append.
    fn note(&mut self, key: request::Key, claim: claim::Id, kind: Kind) {
        let Some(order) = self.requests[key].order() else {
            return;
        };
        let name = self.order_key(key, order);
        self.appends.push(batch::Entry::Claim(claim::Entry {
            claim,
            customer: name.customer,
            kind,
            uuid: name.uuid,
        }));
    }
}
