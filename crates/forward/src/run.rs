//! A generation in progress.

use crate::{endpoint::Load, prelude::*};

/// Share of the remaining output that counts as KV-cache demand.
///
/// The runs of an engine end one after the other and free their memory, so together they never need
/// the sum of their final sizes. Counting all of it would reject requests and moves that fit.
const GROWTH_SHARE: f64 = 0.25;

/// KV-cache demand, in tokens, of a run that holds `held` tokens and has `remaining` to generate.
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
    /// Engine with a copy of its KV cache.
    pub backup: Option<EndpointKey>,
    /// Engine that it runs at.
    pub endpoint: EndpointKey,
    /// Events that were sent to the caller.
    pub events: u32,
    /// Expected output tokens.
    pub expected: u32,
    /// Engine that it is being moved to.
    pub target: Option<EndpointKey>,
    /// Maximum output tokens.
    pub max_output_tokens: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Service that it belongs to.
    pub service: String,
    /// Tokens per event.
    pub tokens_per_event: u32,
}

impl Run {
    /// Output tokens generated so far.
    #[must_use]
    pub const fn generated(&self) -> u32 {
        self.events.saturating_mul(self.tokens_per_event)
    }

    /// KV cache that it holds, in tokens.
    #[must_use]
    pub const fn held(&self) -> u32 {
        self.prompt.saturating_add(self.generated())
    }

    /// KV-cache demand, in tokens.
    #[must_use]
    pub fn need(&self) -> u32 {
        kv_demand(self.held(), self.remaining())
    }

    /// Expected remaining output tokens.
    ///
    /// For a run that has exceeded its expected length it is an eighth of the output so far:
    /// lengths vary widely, so the longer a run has taken, the longer it is likely to continue.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        let generated = self.generated();
        self.expected.saturating_sub(generated).max(generated / 8)
    }

    /// Maximum remaining output tokens.
    #[must_use]
    pub fn max_remaining(&self) -> u32 {
        self.max_output_tokens.saturating_sub(self.generated())
    }

    /// Load at its engine.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            copies: 0,
            prefill_tokens: if self.events == 0 { self.prompt } else { 0 },
            requests: 1,
            tokens: self.need(),
        }
    }

    /// Load of its copy at the backup.
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
