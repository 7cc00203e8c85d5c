//! Calls of plain services, including orders, which must run at most once.

use crate::{
    claim::{KeyState, Kind, StoredAnswer},
    prelude::*,
};

/// `Retry-After` of orders refused on arrival because the claim stream was not read recently.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);

impl State {
    /// Starts an order: checks its key and claims it if it is free.
    pub(crate) fn begin_order(
        &mut self,
        now: Time,
        wall: Wall,
        key: request::Key,
        order: order::Order,
        out: &mut Vec<Action>,
    ) {
        let order_key = self.order_key(key, order);
        let created_at = order_key.created_at();
        if created_at > wall.plus(self.limits.skew) {
            self.refuse(key, Refusal::KeyFromFuture, None, out);
            return;
        }
        if created_at < wall.before(self.limits.order_window) {
            self.refuse(key, Refusal::KeyExpired, None, out);
            return;
        }
        let readable = self.claims.covers(order_key, self.limits.skew) && self.claims_fresh(now);
        if self.claims.get(order_key).is_none() && !readable {
            self.refuse(key, Refusal::LogUnavailable, Some(LOG_RETRY_AFTER), out);
            return;
        }
        self.register_order(key, order_key);
        self.resolve_order(now, order_key, out);
    }

    /// Advances all requests of this instance that use an order key, after its state changed.
    pub(crate) fn resolve_order(
        &mut self,
        now: Time,
        order_key: order::Key,
        out: &mut Vec<Action>,
    ) {
        for key in self.requests_with_order(order_key) {
            self.resolve_request(now, order_key, key, out);
        }
    }

    /// Handles the complete answer of a service.
    pub(crate) fn handle_answer(
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
        self.record_completion(now, attempt.request);
        self.record_served(endpoint, attempt.generation);
        if let Some(claim) = claim {
            self.append_claim_entry(
                attempt.request,
                claim,
                Kind::Answered(StoredAnswer::of(&answer)),
            );
        }
        self.finish(attempt.request, Outcome::Answered(Some(answer)), out);
        self.dispatch(now, out);
    }

    /// Handles a failed call.
    pub(crate) fn handle_call_failure(
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
        // Evidence that this attempt did not run says nothing about an earlier attempt,
        // which may have run.
        let sent_once = request.sends <= 1;
        if let Failure::NotRun(evidence) = failure
            && (idempotent || sent_once)
        {
            self.retry(now, attempt, Some(evidence), out);
            return;
        }
        if idempotent {
            self.retry(now, attempt, None, out);
            return;
        }
        if sent_once && self.endpoint_deduplicates(attempt) && self.retry_budget.try_withdraw() {
            self.retry_same_endpoint(now, attempt, out);
            return;
        }
        self.finish_unknown(attempt.request, MayHaveRun::ConnectionLost, out);
        self.dispatch(now, out);
    }

    /// Whether the endpoint deduplicates orders by their idempotency key.
    fn endpoint_deduplicates(&mut self, attempt: Attempt) -> bool {
        let has_order_key = self.requests[attempt.request].order().is_some();
        let Some(run) = self.run(attempt) else {
            return false;
        };
        let endpoint = run.endpoint;
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return false;
        };
        has_order_key && self.config.facts(&endpoint.member.name).deduplicates
    }

    /// Retries an order at the same endpoint, which deduplicates it.
    ///
    /// Another endpoint would not know the key and could run the order again.
    fn retry_same_endpoint(&mut self, now: Time, attempt: Attempt, out: &mut Vec<Action>) {
        let generation = generation::Id(self.rng.random());
        let request = &mut self.requests[attempt.request];
        request.sends += 1;
        let wait = request.deadline.since(now);
        let Some(run) = self.run(attempt) else {
            return;
        };
        run.generation = generation;
        run.last_progress = now;
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

    /// Finishes a request that was sent and whose result is unknown.
    pub(crate) fn finish_unknown(
        &mut self,
        key: request::Key,
        why: MayHaveRun,
        out: &mut Vec<Action>,
    ) {
        if let Phase::Running(run) = &self.requests[key].phase
            && let Some(claim) = run.claim
        {
            self.append_claim_entry(key, claim, Kind::Lost);
        }
        self.finish(key, Outcome::MayHaveRun(why), out);
    }

    /// Releases a claim under which nothing was sent.
    pub(crate) fn void_claim(&mut self, key: request::Key, claim: claim::Id) {
        if !self.appends.withdraw(claim) {
            self.append_claim_entry(key, claim, Kind::Void);
        }
    }

    /// Finishes requests that wait for an order whose holder is no longer listed.
    ///
    /// The holder may or may not have sent the order, and no entry will say which.
    pub(crate) fn finish_orphaned_orders(&mut self, out: &mut Vec<Action>) {
        let orders = self
            .orders
            .iter()
            .map(|(order_key, key)| (*order_key, *key))
            .collect::<Vec<_>>();
        for (order_key, key) in orders {
            let Some(KeyState::Held { holder, .. }) =
                self.claims.get(order_key).map(|slot| &slot.state)
            else {
                continue;
            };
            if !self.is_live(*holder) && matches!(self.requests[key].phase, Phase::Coalesced(_)) {
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
        }
    }

    fn resolve_request(
        &mut self,
        now: Time,
        order_key: order::Key,
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
            .get(order_key)
            .filter(|slot| slot.state != KeyState::Free);
        let Some(slot) = slot else {
            self.claim_unless_pending(key, order_key, order);
            return;
        };
        if slot.body != order.body {
            self.abandon_claim(key);
            self.refuse(key, Refusal::KeyReused, None, out);
            return;
        }
        match slot.state.clone() {
            KeyState::Answered(Some(stored)) => {
                self.abandon_claim(key);
                self.finish(key, Outcome::Answered(Some(stored.answer())), out);
            }
            KeyState::Answered(None) | KeyState::Lost => {
                self.abandon_claim(key);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            KeyState::Free => {}
            // Records of the log were missed since the order arrived. They may contain an
            // earlier claim of the key, so this claim may not be the first one.
            KeyState::Held { .. } if !self.claims.covers(order_key, self.limits.skew) => {
                self.abandon_claim(key);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            KeyState::Held { claim, .. } => self.handle_held_key(now, key, claim, out),
        }
    }

    /// Handles a key that is held by the claim of this request or by another one.
    fn handle_held_key(
        &mut self,
        now: Time,
        key: request::Key,
        holder: claim::Id,
        out: &mut Vec<Action>,
    ) {
        let request = &mut self.requests[key];
        match std::mem::replace(&mut request.phase, Phase::Transition) {
            Phase::Claiming { claim, proof } if claim == holder => {
                request.phase = Phase::Waiting {
                    claim: Some(claim),
                    proof: Some(proof),
                };
                self.backlog.push(key);
                self.dispatch(now, out);
            }
            Phase::Claiming { claim, proof } => {
                request.phase = Phase::Coalesced(proof);
                self.stats.claims_lost += 1;
                self.void_claim(key, claim);
            }
            Phase::Waiting {
                proof: Some(proof), ..
            } => request.phase = Phase::Coalesced(proof),
            phase => request.phase = phase,
        }
    }

    /// Claims a free key for a request, unless another request of this instance does so.
    fn claim_unless_pending(
        &mut self,
        key: request::Key,
        order_key: order::Key,
        order: order::Order,
    ) {
        let pending = self
            .requests_with_order(order_key)
            .into_iter()
            .any(|other| {
                matches!(
                    self.requests[other].phase,
                    Phase::Claiming { .. }
                        | Phase::Waiting { claim: Some(_), .. }
                        | Phase::Running(_)
                )
            });
        let claim = claim::Id(self.rng.random());
        let request = &mut self.requests[key];
        let proof = match std::mem::replace(&mut request.phase, Phase::Transition) {
            Phase::Coalesced(proof)
            | Phase::Waiting {
                proof: Some(proof), ..
            } => proof,
            phase => {
                request.phase = phase;
                return;
            }
        };
        if pending {
            request.phase = Phase::Coalesced(proof);
            return;
        }
        request.phase = Phase::Claiming { claim, proof };
        self.append_claim_entry(key, claim, Kind::Claim(order.body));
    }

    /// Voids the pending claim of a request that will not use it.
    fn abandon_claim(&mut self, key: request::Key) {
        if let Phase::Claiming { claim, .. } = self.requests[key].phase {
            self.void_claim(key, claim);
        }
    }

    /// Queues an entry about the claim of a request.
    fn append_claim_entry(&mut self, key: request::Key, claim: claim::Id, kind: Kind) {
        let Some(order) = self.requests[key].order() else {
            return;
        };
        let order_key = self.order_key(key, order);
        self.appends.push(batch::Entry::Claim(claim::Entry {
            claim,
            customer: order_key.customer,
            kind,
            uuid: order_key.uuid,
        }));
    }
}
