//! Incoming requests.

use crate::{fingerprint::Fingerprint, part::Part, prelude::*};

/// An incoming request, without its body, which stays with the adapter that sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// BLAKE3 hash of the caller's API key.
    pub credential: [u8; 32],
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Time,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<Part>,
    /// The requested work.
    pub work: Work,
}

/// The work that a caller requests.
#[derive(Clone, Debug)]
pub enum Work {
    /// A call of a plain service.
    Call {
        /// Whether it may be run more than once.
        idempotent: bool,
        /// The order, if the caller gave an idempotency key.
        order: Option<order::Order>,
        /// Name of the service.
        service: String,
    },
    /// A new generation.
    Generation {
        /// Largest number of tokens the caller accepts.
        limit: u32,
        /// The public model name.
        model: String,
        /// Estimated length of the prompt in tokens.
        prompt: u32,
    },
    /// The rest of a generation that was started on another connection.
    Resume {
        /// Name of the endpoint that runs the generation.
        endpoint: String,
        /// The generation.
        generation: generation::Id,
        /// Index of the first token to deliver.
        next: u32,
    },
}
