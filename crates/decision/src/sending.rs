//! How requests are sent, and sent again.

use crate::{invariant::Rule, prelude::*, request::Run, routing::Choice, state::ROOM_RETRY};

/// Most searches for an endpoint in one dispatch, so that no turn of the loop is long.
const MOST_SEARCHES: usize = 64;

impl State {
    /// Asserts what must hold of every send.
    pub(crate) fn check_send(&mut self, now: Time, key: request::Key, endpoint: endpoint::Key) {
        let target = &self.endpoints[endpoint];
        let usable = self.usable(now, target);
        let cold = self.bears(target);
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
        self.invariants.check(Rule::ColdLimit, cold);
        self.invariants.check(Rule::SentOnce, once);
        self.invariants.check(Rule::ClaimHeld, held);
    }

    /// Sends what can be sent.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.backlog.is_empty() {
            return;
        }
        let order = self.backlog.ordered(&self.requests, &self.config);
        // A search that found no room is not made again for as much of the same: without
        // this, 64 drafts that wait for one model would hide every check behind them.
        let mut full: Vec<(String, u64)> = Vec::new();
        let mut searches = 0;
        for key in order {
            let (name, need) = self.demand(key);
            let known = full
                .iter()
                .any(|(other, least)| *other == name && *least <= need);
            if known {
                continue;
            }
            searches += 1;
            if searches > MOST_SEARCHES {
                break;
            }
            match self.choose(now, key) {
                Choice::Go {
                    endpoint,
                    model,
                    need,
                } => self.send(now, key, endpoint, model, need, out),
                Choice::Later => full.push((name, need)),
                Choice::Never => self.give_up(key, Refusal::NoEndpoint, Some(ROOM_RETRY), out),
            }
        }
        while self.backlog.len() > self.limits.queue {
            let Some(last) = self.backlog.ordered(&self.requests, &self.config).pop() else {
                return;
            };
            self.give_up(last, Refusal::QueueFull, Some(ROOM_RETRY), out);
        }
    }

    /// What a request needs: the name of its route or service, and memory in tokens.
    fn demand(&self, key: request::Key) -> (String, u64) {
        match &self.requests[key].work {
            Work::Call { service, .. } => (format!("service {service}"), 0),
            Work::Generation {
                limit,
                model,
                prompt,
            } => (model.clone(), self.need(model, *limit, *prompt)),
            Work::Resume { endpoint, .. } => (endpoint.clone(), 0),
        }
    }

    /// KV memory that a generation is expected to need, in tokens.
    pub(crate) fn need(&self, model: &str, limit: u32, prompt: u32) -> u64 {
        let expected = self.lengths.expected(&self.config, model);
        u64::from(prompt) + u64::from(limit.min(expected))
    }

    /// Forgets an engine's report after a failure there, until it reports again.
    ///
    /// It may have started anew and be cold; work sent by the old report in the
    /// meantime would throw it over.
    pub(crate) fn doubt(&mut self, endpoint: endpoint::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.report = None;
            endpoint.poll = Time::default();
        }
    }

    /// Puts a failed attempt back among the waiting, if the budget allows.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        attempt: Attempt,
        evidence: Option<Evidence>,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.request;
        let request = &mut self.requests[key];
        let phase = std::mem::replace(&mut request.phase, Phase::Moving);
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
        request.tried = Some(run.endpoint);
        request.phase = Phase::Waiting {
            claim: run.claim,
            proof,
        };
        self.release(&run);
        self.doubt(run.endpoint);
        self.backlog.push(key);
        if !self.budget.spend() {
            self.give_up(key, Refusal::AllRefused, Some(ROOM_RETRY), out);
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
        need: u64,
        out: &mut Vec<Action>,
    ) {
        self.backlog.remove(key);
        self.check_send(now, key, endpoint);
        let generation = generation::Id(self.rng.random());
        let request = &mut self.requests[key];
        let Phase::Waiting { claim, proof } = std::mem::replace(&mut request.phase, Phase::Moving)
        else {
            return;
        };
        if let Some(proof) = proof {
            proof.send();
            self.budget.earn();
        }
        request.sends += 1;
        let wait = request.deadline.since(now);
        request.phase = Phase::Running(Run {
            claim,
            endpoint,
            generation,
            left: None,
            next: 0,
            progress: now,
            promised: need,
            resumes: 0,
        });
        let target = &mut self.endpoints[endpoint];
        target.running += 1;
        target.promised += need;
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
