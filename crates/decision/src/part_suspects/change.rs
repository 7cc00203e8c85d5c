//! Changes of the suspects, as instances publish them.

use crate::part::Part;

/// An engine that was lost before it had begun to answer a prompt with a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The engine's run of its process.
    pub endpoint: String,
    /// Number of the moment, from 1. It is part of the record since instances that learn of all crashes at once
    /// could not tell.
    pub moment: u32,
    /// The part.
    pub part: Part,
}

/// An instance's claim to let one request with a refused part through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Random number of the instance's process.
    pub instance: u64,
    /// Number of the trial of this part, from 1. The first claim of each number in the log holds.
    pub number: u32,
    /// The part.
    pub part: Part,
}

/// A change that other instances have to learn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A trial is claimed.
    Claimed(Claim),
    /// The claims of a part are void, as it is no suspect any more.
    ClaimsCleared(Part),
    /// A prompt with the part was answered after all, the engine lives on, or the crash has expired.
    Cleared(Crash),
    /// An engine was lost.
    Crashed(Crash),
}

impl Change {
    /// Whether a record of either makes the other one needless.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Cleared(a) | Self::Crashed(a), Self::Cleared(b) | Self::Crashed(b)) => {
                a.part == b.part && a.endpoint == b.endpoint
            }
            (Self::Claimed(a), Self::Claimed(b)) => a.part == b.part && a.number >= b.number,
            (Self::ClaimsCleared(a), Self::ClaimsCleared(b)) => a == b,
            (Self::ClaimsCleared(a), Self::Claimed(b)) => *a == b.part,
            _ => false,
        }
    }

    /// Whether a record of `other` in the store makes this change known to all instances.
    pub(super) fn is_confirmed_by(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other) && other.supersedes(self)
    }
}
