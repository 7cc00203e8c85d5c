//! A generation in progress.

use crate::{endpoint::Load, prelude::*};

/// Part of the output still to come that counts as KV memory needed.
///
/// The runs of an engine end one after the other, and each gives its whole memory back,
/// so together they never need what each of them needs at its end. Counted in full, room
/// that is there is refused to prompts and to runs whose engine leaves.
const GROWTH_SHARE: f64 = 0.25;

/// KV memory to count for a run that holds `held` tokens and makes `remaining` more.
#[must_use]
pub fn kv_demand(held: u32, remaining: u32) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a count that fits"
    )]
    let growth = (f64::from(remaining) * GROWTH_SHARE) as u32;
    held.saturating_add(growth)
}

/// A generation in progress at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Engine that holds a copy of its KV memory.
    pub backup: Option<EndpointKey>,
    /// Engine that it runs at.
    pub endpoint: EndpointKey,
    /// Events that went to the caller.
    pub events: u32,
    /// Output tokens it is expected to make.
    pub expected: u32,
    /// Engine that a copy for its move is being made at.
    pub target: Option<EndpointKey>,
    /// Most output tokens, by the caller's bound.
    pub max_output_tokens: u32,
    /// Tokens in its prompt.
    pub prompt: u32,
    /// Service that it belongs to.
    pub service: String,
    /// Tokens in an event.
    pub tokens_per_event: u32,
}

impl Run {
    /// Tokens made so far.
    #[must_use]
    pub const fn generated(&self) -> u32 {
        self.events.saturating_mul(self.tokens_per_event)
    }

    /// KV memory that it holds, in tokens.
    #[must_use]
    pub const fn held(&self) -> u32 {
        self.prompt.saturating_add(self.generated())
    }

    /// KV memory to count for it, in tokens.
    #[must_use]
    pub fn need(&self) -> u32 {
        kv_demand(self.held(), self.remaining())
    }

    /// Output tokens still expected.
    ///
    /// A run that has outlived its expectation is taken to go on for an eighth of what
    /// it made: lengths are spread widely, so the longer it ran, the longer it will.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        let generated = self.generated();
        self.expected.saturating_sub(generated).max(generated / 8)
    }

    /// Output tokens that it may still make by the caller's bound.
    #[must_use]
    pub fn max_remaining(&self) -> u32 {
        self.max_output_tokens.saturating_sub(self.generated())
    }

    /// What it asks of its engine.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            copies: 0,
            prefill_tokens: if self.events == 0 { self.prompt } else { 0 },
            requests: 1,
            tokens: self.need(),
        }
    }

    /// What its copy takes at the backup.
    #[must_use]
    pub fn copy_load(&self) -> Load {
        Load {
            copies: self.need(),
            prefill_tokens: 0,
            requests: 0,
            tokens: self.need(),
        }
    }
}
