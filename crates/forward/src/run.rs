//! A generation in progress.

use crate::{endpoint::Load, prelude::*};

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
    pub most: u32,
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
    pub const fn made(&self) -> u32 {
        self.events.saturating_mul(self.tokens_per_event)
    }

    /// KV memory expected at its end, in tokens.
    ///
    /// A run that has outlived its expectation is taken to go on for an eighth of what
    /// it made: lengths are spread widely, so the longer it ran, the longer it will.
    #[must_use]
    pub fn need(&self) -> u32 {
        self.prompt
            .saturating_add(self.made())
            .saturating_add(self.left())
    }

    /// Output tokens still expected; one that has outlived its expectation is taken to go
    /// on for an eighth of what it made.
    #[must_use]
    pub fn left(&self) -> u32 {
        let made = self.made();
        self.expected.saturating_sub(made).max(made / 8)
    }

    /// Output tokens that it may still make by the caller's bound.
    #[must_use]
    pub fn most_left(&self) -> u32 {
        self.most.saturating_sub(self.made())
    }

    /// What it asks of its engine.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            copies: 0,
            reading: if self.events == 0 { self.prompt } else { 0 },
            requests: 1,
            tokens: self.need(),
        }
    }

    /// What its copy takes at the backup.
    #[must_use]
    pub fn copy_load(&self) -> Load {
        Load {
            copies: self.need(),
            reading: 0,
            requests: 0,
            tokens: self.need(),
        }
    }
}
