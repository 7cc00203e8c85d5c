//! Requests as callers bring them.

use crate::prelude::*;

/// A request that has just come in, reduced to what decisions need.
///
/// The body stays with the adapter that will send it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// BLAKE3 hash of the caller's API key.
    pub credential: [u8; 32],
    /// When the caller stops waiting.
    pub deadline: Time,
    /// What is asked for.
    pub work: Work,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// One call of a plain service.
    Call {
        /// False if running it twice would do harm.
        idempotent: bool,
        /// The order key, if the caller gave one.
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
    /// The rest of a generation that another connection began.
    Resume {
        /// Name of the endpoint that keeps the generation.
        endpoint: String,
        /// The generation.
        generation: generation::Id,
        /// Index of the first token still wanted.
        next: u32,
    },
}
