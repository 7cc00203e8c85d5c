//! Configuration records as operators publish them.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Newest schema that this version understands.
pub const SCHEMA: u32 = 1;

/// One publication: all of its changes take effect, or none.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The changes.
    pub changes: Vec<Change>,
    /// Version of the record's schema.
    pub schema: u32,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The new content; `None` removes the item.
    pub body: Option<Body>,
    /// Which item.
    pub item: Item,
    /// Offset of the record that last changed the item; `None` if it must be new.
    pub replaces: Option<u64>,
}

/// Names an item of the configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Item {
    /// Kind of the item.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Display for Item {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.kind.label(), self.name)
    }
}

/// Kinds of items.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Kind {
    /// A customer.
    Customer,
    /// A failure domain.
    Domain,
    /// Facts about an endpoint.
    Endpoint,
    /// A route from a public model name to model versions.
    Route,
    /// A plain service.
    Service,
}

impl Kind {
    /// Every kind, sorted by label.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::Domain,
        Self::Endpoint,
        Self::Route,
        Self::Service,
    ];

    /// The table name in a record.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Domain => "domain",
            Self::Endpoint => "endpoint",
            Self::Route => "route",
            Self::Service => "service",
        }
    }
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// A customer.
    Customer(Customer),
    /// A failure domain.
    Domain(Domain),
    /// Facts about an endpoint.
    Endpoint(Facts),
    /// A route.
    Route(Route),
    /// A plain service.
    Service(Service),
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Customer {
    /// BLAKE3 hashes of API keys.
    pub credentials: Vec<[u8; 32]>,
    /// Higher goes first while requests wait.
    pub priority: u8,
    /// Share of service relative to other customers.
    pub weight: u32,
}

/// A failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Domain {
    /// Whether its endpoints get no new work.
    pub out: bool,
}

/// Facts about an endpoint that it does not report itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Requests that it bears at once while cold, over all instances together.
    pub cold_limit: u32,
    /// How long it is cold after a start, at the most.
    pub cold_time: Duration,
    /// Whether it refuses to run a second order with the same idempotency key.
    pub deduplicates: bool,
}

impl Default for Facts {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            cold_limit: 8,
            cold_time: Duration::from_secs(10),
            deduplicates: false,
        }
    }
}

/// A route from a public model name.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Output length in tokens assumed until lengths were seen.
    pub expected_tokens: u32,
    /// Versions with their shares, any sum.
    pub versions: Vec<Version>,
}

/// A model version of a route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Version {
    /// Name under which engines serve it, adapter included.
    pub model: String,
    /// Share of new requests relative to the other versions.
    pub share: u32,
}

/// A plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Path prefixes whose `POST` calls may be repeated.
    pub idempotent: Vec<String>,
}
