//! Decisions that a deployment switches on in its settings.

/// A decision that is off unless a deployment asks for it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feature {
    /// Customers are held to their share of a service that is short of room.
    CustomerShares,
    /// How much work leaves the failure domain follows from what that costs and saves.
    DomainOverflow,
    /// Engines are chosen by the speed that was observed of them.
    EngineProfiles,
    /// Room is kept for runs that have to move.
    MoveRoom,
}

impl Feature {
    /// All features, with their names in settings.
    pub const ALL: [(Self, &str); 4] = [
        (Self::CustomerShares, "customer_shares"),
        (Self::DomainOverflow, "domain_overflow"),
        (Self::EngineProfiles, "engine_profiles"),
        (Self::MoveRoom, "move_room"),
    ];

    /// The feature with this name in settings.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let mut features = Self::ALL.iter();
        let found = features.find(|(_, other)| *other == name);
        found.map(|(feature, _)| *feature)
    }
}

/// The features that are on, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Features(Vec<Feature>);

impl Features {
    /// The given features.
    #[must_use]
    pub fn new(mut features: Vec<Feature>) -> Self {
        features.sort_unstable();
        features.dedup();
        Self(features)
    }

    /// Whether a feature is on.
    #[must_use]
    pub fn has(&self, feature: Feature) -> bool {
        self.0.binary_search(&feature).is_ok()
    }
}
