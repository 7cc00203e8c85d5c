//! Requests in progress.

use crate::prelude::*;

slotmap::new_key_type! {
  /// Names a request in the arena of the state.
  pub struct Key;
}

/// One request in progress.
#[derive(Debug)]
pub struct Request {
    /// When it arrived.
    pub arrived_at: Time,
    /// The customer it is served for.
    pub customer: customer::Key,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Where it stands.
    pub phase: Phase,
    /// Sends that are not proven to have reached nobody.
    pub sends: u32,
    /// Endpoint tried last, avoided by the next try.
    pub last_endpoint: Option<endpoint::Key>,
    /// What is asked for.
    pub work: Work,
}

impl Request {
    /// The order, for calls that carry a key.
    #[must_use]
    pub const fn order(&self) -> Option<order::Order> {
        match &self.work {
            Work::Call { order, .. } => *order,
            Work::Generation { .. } | Work::Resume { .. } => None,
        }
    }
}

/// Where a request stands.
#[derive(Debug)]
pub enum Phase {
    /// Its claim is on the way into the log.
    Claiming {
        /// The claim.
        claim: claim::Id,
        /// Proof that nothing was sent.
        proof: Unsent,
    },
    /// It is between two phases; never seen from outside a step.
    Transition,
    /// It is at an endpoint.
    Running(Run),
    /// Another request with the same key is in progress.
    Coalesced(Unsent),
    /// It waits for an endpoint.
    Waiting {
        /// The claim it holds, for an order.
        claim: Option<claim::Id>,
        /// Proof that nothing was sent; `None` once an idempotent try was.
        proof: Option<Unsent>,
    },
}

/// A request at an endpoint.
#[derive(Debug)]
pub struct Run {
    /// The claim it holds, for an order.
    pub claim: Option<claim::Id>,
    /// The endpoint.
    pub endpoint: endpoint::Key,
    /// The attempt.
    pub generation: generation::Id,
    /// When the caller left, if it did.
    pub disconnected_at: Option<Time>,
    /// Index of the next token to deliver.
    pub next: u32,
    /// When the last token or answer byte came.
    pub last_progress: Time,
    /// Memory promised for it at the endpoint.
    pub reserved_tokens: u64,
    /// Connections opened again without progress in between.
    pub resumes: u32,
}

impl Request {
    /// Index of the next token to deliver, zero unless it is at an endpoint.
    #[must_use]
    pub const fn next(&self) -> u32 {
        match &self.phase {
            Phase::Running(run) => run.next,
            _ => 0,
        }
    }
}
