//! Dispatch and retry of requests.

use crate::{invariant::Rule, prelude::*, request::Run, routing::Choice, state::RETRY_AFTER};

/// Largest number of endpoint selections in one dispatch, which bounds the time of a step.
const MAX_SEARCHES_PER_DISPATCH: usize = 64;

/// Maximum number of sends that may have run for one request. A request that crashes endpoints
/// would otherwise take down one after another.
const MAX_RUNS: u32 = 3;

impl State {
    /// Checks the invariants of a send.
    pub(crate) fn check_send_invariants(
        &mut self,
        now: Time,
        key: request::Key,
        endpoint: endpoint::Key,
    ) {
        let target = &self.endpoints[endpoint];
        let usable = self.usable(now, target);
        let quota_left = self.slow_start_allows(target);
        let request = &self.requests[key];
        let repeatable = !matches!(
            request.work,
            Work::Call {
                idempotent: false,
                ..
            }
        );
        let once = repeatable || request.sends == 0;
        let held = match (&request.phase, request.order()) {
            (
                Phase::Waiting {
                    claim: Some(claim), ..
                },
                Some(order),
            ) => {
                let slot = self.claims.get(self.order_key(key, order));
                slot.is_some_and(|slot| slot.holds(*claim))
            }
            (_, Some(_)) => repeatable,
            (_, None) => true,
        };
        self.invariants.check(Rule::OutGetsNothing, usable);
        self.invariants.check(Rule::ColdLimit, quota_left);
        self.invariants.check(Rule::SentOnce, once);
        self.invariants.check(Rule::ClaimHeld, held);
    }

    /// Sends waiting requests for which there is an endpoint, and trims the queue.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.backlog.is_empty() {
            return;
        }
        let order = self.backlog.ordered(&self.requests, &self.config);
        // Requests that need at least as much as one that found no capacity are skipped.
        // Otherwise, requests for one saturated model would use up the searches, and requests
        // for other models behind them would never be sent.
        let mut saturated: Vec<(String, u64)> = Vec::new();
        let mut searches = 0;
        for key in order {
            if self.is_refused(now, key) {
                if self.awaits_trial(now, key) {
                    continue;
                }
                self.give_up(key, Refusal::CrashesEndpoints, None, out);
                continue;
            }
            let (name, required_tokens) = self.demand(key);
            let skip = saturated
                .iter()
                .any(|(other, least)| *other == name && *least <= required_tokens);
            if skip {
                continue;
            }
            searches += 1;
            if searches > MAX_SEARCHES_PER_DISPATCH {
                break;
            }
            match self.choose(now, key) {
                Choice::Send {
                    endpoint,
                    model,
                    required_tokens,
                } => self.send(now, key, endpoint, model, required_tokens, out),
                Choice::Wait => saturated.push((name, required_tokens)),
                Choice::Reject => {
                    let retry_after = self.cooldown_left(now, key).unwrap_or(RETRY_AFTER);
                    self.give_up(key, Refusal::NoEndpoint, Some(retry_after), out);
                }
            }
        }
        while self.backlog.len() > self.limits.queue {
            let Some(last) = self.backlog.ordered(&self.requests, &self.config).pop() else {
                return;
            };
            self.give_up(last, Refusal::QueueFull, Some(RETRY_AFTER), out);
        }
    }

    /// The route or service that a request needs, and KV-cache memory in tokens.
    fn demand(&self, key: request::Key) -> (String, u64) {
        match &self.requests[key].work {
            Work::Call { service, .. } => (format!("service {service}"), 0),
            Work::Generation {
                limit,
                model,
                prompt,
            } => (model.clone(), self.required_tokens(model, *limit, *prompt)),
            Work::Resume { endpoint, .. } => (endpoint.clone(), 0),
        }
    }

    /// KV-cache memory that a generation is expected to need, in tokens.
    pub(crate) fn required_tokens(&self, model: &str, limit: u32, prompt: u32) -> u64 {
        let expected = self.output_lengths.expected(&self.config, model);
        u64::from(prompt) + u64::from(limit.min(expected))
    }

    /// Discards the load report of an endpoint after a failure; the next tick requests a new one.
    ///
    /// The engine may have restarted and be cold, and requests sent based on the old report could
    /// overload it.
    pub(crate) fn discard_report(&mut self, endpoint: endpoint::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.report = None;
            endpoint.next_poll = Time::default();
        }
    }

    /// Queues the request of a failed attempt again, if the retry budget allows.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        attempt: Attempt,
        evidence: Option<Evidence>,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.request;
        let is_spent = self.requests[key].sends >= MAX_RUNS || self.is_refused(now, key);
        if evidence.is_none() && is_spent {
            if let Some(run) = self.run(attempt) {
                let endpoint = run.endpoint;
                self.discard_report(endpoint);
            }
            self.finish_unknown(key, MayHaveRun::ConnectionLost, out);
            self.dispatch(now, out);
            return;
        }
        let request = &mut self.requests[key];
        let phase = std::mem::replace(&mut request.phase, Phase::Transition);
        let Phase::Running(run) = phase else {
            request.phase = phase;
            return;
        };
        let proof = evidence
            .map(Evidence::unsent)
            .filter(|_| request.sends == 1);
        if evidence.is_some() {
            request.sends -= 1;
        }
        request.last_endpoint = Some(run.endpoint);
        request.phase = Phase::Waiting {
            claim: run.claim,
            proof,
        };
        self.release(&run);
        self.discard_report(run.endpoint);
        self.backlog.push(key);
        if !self.retry_budget.try_withdraw() {
            self.give_up(key, Refusal::AllRefused, Some(RETRY_AFTER), out);
            return;
        }
        self.stats.retried += 1;
        self.dispatch(now, out);
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        key: request::Key,
        endpoint: endpoint::Key,
        model: Option<String>,
        required_tokens: u64,
        out: &mut Vec<Action>,
    ) {
        self.backlog.remove(key);
        self.check_send_invariants(now, key, endpoint);
        let generation = generation::Id(self.rng.random());
        let request = &mut self.requests[key];
        let Phase::Waiting { claim, proof } =
            std::mem::replace(&mut request.phase, Phase::Transition)
        else {
            return;
        };
        if let Some(proof) = proof {
            proof.consume();
            self.retry_budget.deposit();
        }
        request.sends += 1;
        let wait = request.deadline.since(now);
        request.phase = Phase::Running(Run {
            claim,
            endpoint,
            generation,
            began_at: None,
            disconnected_at: None,
            failures: 0,
            next: 0,
            last_progress: now,
            reserved_tokens: required_tokens,
            resumes: 0,
        });
        let target = &mut self.endpoints[endpoint];
        target.running += 1;
        target.reserved_tokens += required_tokens;
        self.stats.sent += 1;
        out.push(Action::Send {
            attempt: Attempt {
                generation,
                request: key,
            },
            endpoint,
            model,
            wait,
        });
    }
}
