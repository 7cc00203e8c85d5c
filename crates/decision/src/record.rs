//! Configuration records published by operators.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Newest record schema that this version supports.
pub const SCHEMA: u32 = 1;

/// A transaction: all of its changes are applied, or none.
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
    /// The item.
    pub item: Item,
    /// Offset of the record that must have last changed the item; `None` if it must be new.
    pub replaces: Option<u64>,
}

/// Identifies an item of the configuration.
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
    /// Priority of its requests in the queue; higher is served first.
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

/// Facts about an endpoint that its load report does not contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Facts {
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Concurrent requests allowed while it is cold, over all instances.
    pub cold_limit: u32,
    /// Minimum time after a start before it may be declared warm.
    pub cold_time: Duration,
    /// Whether it runs only the first order with an idempotency key.
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
    /// Expected output length, in tokens, until a generation has completed.
    pub expected_tokens: u32,
    /// Model versions; their shares need not add up to a fixed sum.
    pub versions: Vec<Version>,
}

/// A model version of a route.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Version {
    /// Name under which engines serve it, including the adapter.
    pub model: String,
    /// Share of new requests relative to the other versions.
    pub share: u32,
}

/// A plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Path prefixes whose `POST` calls are idempotent.
    pub idempotent: Vec<String>,
}
