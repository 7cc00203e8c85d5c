//! Records of rollouts that instances share through the store.

use super::tally::Tallies;

/// How far a version has got.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Gets a limited number of requests.
    Canary,
    /// Gets a small share of all new requests.
    Ramp,
    /// Gets all new requests; runs at other versions move to it.
    Shift,
    /// Has replaced all other versions. Final.
    Completed,
    /// Gets nothing. Final.
    RolledBack,
}

impl Stage {
    /// Whether no other stage follows.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Name in logs and in records.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Ramp => "ramp",
            Self::Shift => "shift",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// The stage with this name.
    #[must_use]
    pub fn parse(label: &str) -> Option<Self> {
        let stages = [
            Self::Canary,
            Self::Ramp,
            Self::Shift,
            Self::Completed,
            Self::RolledBack,
        ];
        stages.into_iter().find(|stage| stage.label() == label)
    }
}

/// The stage of one version of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionStage {
    /// [`Order::id`](super::order::Order::id) of the order that the stage belongs to.
    pub order: u64,
    /// The stage.
    pub stage: Stage,
    /// The version.
    pub version: String,
}

/// A claim of a slot of the requests that a version may get before it is judged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Offset of its record; the first claim of a slot owns it. Zero until it is appended.
    pub at: u64,
    /// Incarnation of the instance that owns the slot.
    pub holder: String,
    /// Order under which it was claimed.
    pub order: u64,
    /// Number of the slot.
    pub slot: u32,
}

/// Outcomes of requests as seen by one instance since an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Incarnation of the instance.
    pub holder: String,
    /// The order.
    pub order: u64,
    /// Answers by route.
    pub tallies: Tallies,
    /// Version that was ordered.
    pub target: String,
}

/// The stage that operators have been told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Published {
    /// The order.
    pub order: u64,
    /// The stage.
    pub stage: Stage,
}

/// What a record holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Content {
    /// A slot was claimed.
    Claim(Claim),
    /// An instance has published its evidence.
    Evidence(Evidence),
    /// Operators have been told of a stage.
    Published(Published),
    /// A version has reached a stage.
    Version(VersionStage),
}

/// A record of a service's rollouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// What it holds.
    pub content: Content,
    /// The service.
    pub service: String,
}
