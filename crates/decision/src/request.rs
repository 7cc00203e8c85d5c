//! Requests in progress.

use crate::{
    fingerprint::Fingerprint,
    part::Part,
    part_suspects::{Claim, PROOF_DELAY},
    prelude::*,
};

slotmap::new_key_type! {
  /// Key of a request in [`State::requests`].
  pub struct Key;
}

/// A request in progress.
#[derive(Debug)]
pub struct Request {
    /// When it arrived.
    pub arrived_at: Time,
    /// The customer.
    pub customer: customer::Key,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Time,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// Whether an engine has answered it and lived on.
    pub is_proven: bool,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<Part>,
    /// Current phase.
    pub phase: Phase,
    /// Number of sends without evidence that they did not run.
    pub sends: u32,
    /// Endpoint of the last attempt, which a retry avoids.
    pub last_endpoint: Option<endpoint::Key>,
    /// Claims to be let through although parts of its prompt are refused.
    pub trial: Vec<Claim>,
    /// The requested work.
    pub work: Work,
}

impl Request {
    /// The order, for calls with an idempotency key.
    #[must_use]
    pub const fn order(&self) -> Option<order::Order> {
        match &self.work {
            Work::Call { order, .. } => *order,
            Work::Generation { .. } | Work::Resume { .. } => None,
        }
    }
}

/// Phase of a request.
#[derive(Debug)]
pub enum Phase {
    /// Its claim is being appended to the log.
    Claiming {
        /// The claim.
        claim: claim::Id,
        /// Proof that nothing was sent.
        proof: Unsent,
    },
    /// Placeholder while the phase changes; never visible outside a step.
    Transition,
    /// It was sent to an endpoint.
    Running(Run),
    /// It waits for the result of another request with the same key.
    Coalesced(Unsent),
    /// It waits for an endpoint.
    Waiting {
        /// The claim it holds, for an order.
        claim: Option<claim::Id>,
        /// Proof that nothing was sent; `None` if an earlier attempt may have run.
        proof: Option<Unsent>,
    },
}

/// A running request.
#[derive(Debug)]
pub struct Run {
    /// The claim it holds, for an order.
    pub claim: Option<claim::Id>,
    /// The endpoint.
    pub endpoint: endpoint::Key,
    /// The attempt.
    pub generation: generation::Id,
    /// When the first token was received.
    pub began_at: Option<Time>,
    /// When the caller disconnected, if it did.
    pub disconnected_at: Option<Time>,
    /// Index of the next token to deliver.
    pub next: u32,
    /// When the last token was received, or when the request was last sent or resumed.
    pub last_progress: Time,
    /// KV-cache memory, in tokens, reserved for it at the endpoint.
    pub reserved_tokens: u64,
    /// Number of times that its connection failed since the last token.
    pub failures: u32,
    /// Number of times it was resumed since the last token.
    pub resumes: u32,
}

impl Run {
    /// Whether the engine has lived on since it began to answer.
    #[must_use]
    pub fn is_proof(&self, now: Time) -> bool {
        self.began_at.is_some_and(|at| now.since(at) >= PROOF_DELAY)
    }
}

impl Request {
    /// Index of the next token to deliver; zero unless it is running.
    #[must_use]
    pub const fn next(&self) -> u32 {
        match &self.phase {
            Phase::Running(run) => run.next,
            _ => 0,
        }
    }
}
