//! Token streams: each token is delivered once, in order, from one generation.

use crate::{invariant::Rule, prelude::*, request::Run};

/// Number of resumes without a token in between after which a request is retried elsewhere that has not produced one.
const MAX_RESUMES: u32 = 5;

/// Number of failed connections without a token in between after which a stream is cut. A connection that is only
/// silent is no reason to end it, since the engine may be paused.
const MAX_FAILURES: u32 = 5;

impl State {
    /// Handles a token.
    pub(crate) fn handle_token(
        &mut self,
        now: Time,
        attempt: Attempt,
        index: u32,
        payload: Bytes,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.run(attempt) else {
            self.stats.late += 1;
            return;
        };
        if run.disconnected_at.is_some() {
            return;
        }
        run.last_progress = now;
        run.failures = 0;
        run.resumes = 0;
        // After a resume, the old connection may still deliver tokens that the new one
        // repeats. Only the next index is passed on.
        if index < run.next {
            self.stats.late += 1;
            return;
        }
        if index > run.next {
            self.resume(now, attempt, out);
            return;
        }
        run.next += 1;
        run.began_at.get_or_insert(now);
        if run.is_proof(now) {
            self.record_proof(now, attempt.request);
        }
        self.invariants.check(
            Rule::TokenOrder,
            self.requests[attempt.request].next() == index + 1,
        );
        self.stats.tokens += 1;
        self.count_served_token(attempt.request);
        out.push(Action::Deliver(attempt.request, index, payload));
    }

    /// Handles the end of a stream after `tokens` tokens.
    pub(crate) fn handle_stream_end(
        &mut self,
        now: Time,
        attempt: Attempt,
        tokens: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.run(attempt) else {
            self.stats.late += 1;
            return;
        };
        // The end can overtake tokens on another connection; finishing here would silently
        // drop them.
        if tokens != run.next {
            self.resume(now, attempt, out);
            return;
        }
        let endpoint = run.endpoint;
        if tokens > 0 {
            // An engine that is lost before its first token may end its stream as if complete.
            self.record_completion(now, attempt.request);
        }
        if let Work::Generation { model, .. } = &self.requests[attempt.request].work {
            self.output_lengths.learn(model, tokens);
        }
        self.record_served(endpoint, attempt.generation);
        self.finish(attempt.request, Outcome::Answered(None), out);
        self.dispatch(now, out);
    }

    /// Handles a failed connection of a generation.
    pub(crate) fn handle_stream_failure(
        &mut self,
        now: Time,
        attempt: Attempt,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.run(attempt) else {
            return;
        };
        let (next, resumes, disconnected_at) = (run.next, run.resumes, run.disconnected_at);
        if disconnected_at.is_some() {
            return;
        }
        run.failures += 1;
        match failure {
            Failure::NotRun(evidence) if next == 0 => {
                self.retry(now, attempt, Some(evidence), out);
            }
            Failure::Forgotten if next == 0 => self.retry(now, attempt, None, out),
            Failure::Broken | Failure::Invalid | Failure::PeerLost if next == 0 => {
                self.cancel(attempt, false, out);
                self.retry(now, attempt, None, out);
            }
            Failure::Forgotten => {
                self.finish(
                    attempt.request,
                    Outcome::MayHaveRun(MayHaveRun::StreamCut(next)),
                    out,
                );
                self.dispatch(now, out);
            }
            // A refusal after the first token belongs to an abandoned connection.
            Failure::Broken
            | Failure::Invalid
            | Failure::NotRun(_)
            | Failure::PeerLost
            | Failure::Unreachable => {
                // The first failure is followed by an immediate resume, later ones only after
                // `Limits::silence`, so that a failed endpoint is not polled in a tight loop.
                if resumes == 0 {
                    self.resume(now, attempt, out);
                }
            }
        }
    }

    /// Resumes a generation on a new connection, from the next index.
    ///
    /// A connection can be dropped silently by a middlebox, so that tokens stop arriving
    /// although the engine is still decoding and new connections work.
    pub(crate) fn resume(&mut self, now: Time, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(run) = self.run(attempt) else {
            return;
        };
        let (next, endpoint) = (run.next, run.endpoint);
        let is_given_up = if next == 0 {
            run.resumes >= MAX_RESUMES
        } else {
            run.failures > MAX_FAILURES
        };
        if is_given_up {
            self.cancel(attempt, false, out);
            if next == 0 {
                self.retry(now, attempt, None, out);
            } else {
                self.finish(
                    attempt.request,
                    Outcome::MayHaveRun(MayHaveRun::StreamCut(next)),
                    out,
                );
            }
            return;
        }
        run.resumes += 1;
        run.last_progress = now;
        self.stats.resumed += 1;
        out.push(Action::Resume {
            attempt,
            endpoint,
            next,
        });
    }

    /// Attaches a request to a generation that was started on another connection.
    pub(crate) fn attach_to_generation(
        &mut self,
        now: Time,
        key: request::Key,
        out: &mut Vec<Action>,
    ) {
        let Work::Resume {
            endpoint,
            generation,
            next,
        } = &self.requests[key].work
        else {
            return;
        };
        let (generation, next) = (*generation, *next);
        let Some(endpoint) = self.endpoint_by_name(endpoint) else {
            self.refuse(key, Refusal::NotResumable, None, out);
            return;
        };
        let attempt = Attempt {
            generation,
            request: key,
        };
        let request = &mut self.requests[key];
        if let Phase::Waiting {
            proof: Some(proof), ..
        } = std::mem::replace(&mut request.phase, Phase::Transition)
        {
            proof.consume();
        }
        request.phase = Phase::Running(Run {
            claim: None,
            endpoint,
            generation,
            began_at: None,
            disconnected_at: None,
            failures: 0,
            next,
            last_progress: now,
            reserved_tokens: 0,
            resumes: 0,
        });
        self.endpoints[endpoint].running += 1;
        out.push(Action::Resume {
            attempt,
            endpoint,
            next,
        });
    }

    /// Cancels a generation at its endpoint.
    pub(crate) fn cancel(&mut self, attempt: Attempt, unattached: bool, out: &mut Vec<Action>) {
        let Some(run) = self.run(attempt) else {
            return;
        };
        let endpoint = run.endpoint;
        out.push(Action::Cancel {
            endpoint,
            generation: attempt.generation,
            unattached,
        });
    }

    /// Charges a token to the customer.
    fn count_served_token(&mut self, key: request::Key) {
        let customer = self.requests[key].customer;
        if let Some(customer) = self.config.customers.get_mut(customer) {
            customer.served += 1.0;
        }
    }
}
