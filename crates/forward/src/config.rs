//! The configuration in force: routes, services, customers, limits.

use crate::prelude::*;

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each id.
    NonIdempotent,
    /// A stream of events; non-idempotent unless [`Route::resumable`].
    Stream,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Longest pause between two events that still counts as on time.
    pub gap: Option<Duration>,
    /// Host, in lower case, without a port.
    pub host: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Name, for logs.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Whether a stream may begin again behind any of its events, at any engine.
    pub resumable: bool,
    /// Services with the weight of each; one entry if traffic is not split.
    pub split: Vec<(String, u32)>,
    /// Time to the answer, or to a stream's first event, that callers hope for.
    pub target: Duration,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn idempotent(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// What a model engine can do, as far as choices depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Whether a run's KV memory can be copied to a second engine while it grows.
    pub backups: bool,
    /// How long a finished copy is kept without being used.
    pub handle_ttl: Duration,
    /// KV memory, in tokens.
    pub kv_tokens: u32,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// A group of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// How long an endpoint is cold after its start.
    pub cold: Duration,
    /// Requests a second that a cold endpoint bears; zero if it is never cold.
    pub cold_rate: f64,
    /// Present for model engines.
    pub engine: Option<Engine>,
    /// Connections that an endpoint accepts from all instances together.
    pub max_connections: u32,
    /// Name.
    pub name: String,
}

/// A customer and the keys that speak for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Keys, sorted.
    pub keys: Vec<String>,
    /// Name.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body: usize,
    /// Largest head, in bytes.
    pub header: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// How long a connection may lie idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds for the time before any configuration is known.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            header: 16 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    customers: Vec<Customer>,
    /// Key and place of its customer, sorted by key.
    keys: Vec<(String, usize)>,
    /// Bounds for callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// Version; a greater one replaces a smaller one.
    pub version: u64,
}

impl Config {
    /// Sorts the parts for lookups.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        customers: Vec<Customer>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys = Vec::new();
        for (index, customer) in customers.iter().enumerate() {
            keys.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        keys.sort();
        Self {
            customers,
            keys,
            limits,
            routes,
            services,
            version,
        }
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let index = self
            .keys
            .binary_search_by(|(other, _)| other.as_str().cmp(key))
            .ok()?;
        self.customers.get(self.keys[index].1)
    }

    /// Whether requests need keys at all.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The route with the longest prefix of a path, tried from the longest one down.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            if let Ok(index) = found {
                return self.routes.get(index);
            }
            end = slash;
        }
        None
    }

    /// Number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name))
            .ok()?;
        self.services.get(index)
    }
}
