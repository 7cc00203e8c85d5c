//! Configuration: routes, services, customers, and limits.

use crate::{load, prelude::*};

/// Whether requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each id.
    NonIdempotent,
    /// A stream of events; non-idempotent unless [`Route::resumable`].
    Stream,
}

/// A route: requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
    /// Longest interval between two events of a stream that counts as on time.
    pub gap: Option<Duration>,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Name, for logs.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Whether a stream may be resumed after any of its events, at any engine.
    pub resumable: bool,
    /// Services with their weights; one entry if traffic is not split.
    pub split: Vec<(String, u32)>,
    /// Target time to the answer, or to the first event of a stream.
    pub target: Duration,
    /// Longest time that a caller is kept waiting.
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

/// Capabilities and capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Whether the KV cache of a run can be copied to a second engine while it grows.
    pub backups: bool,
    /// How long an engine keeps a finished copy that is not used.
    pub handle_ttl: Duration,
    /// KV-cache capacity, in tokens.
    pub kv_tokens: u32,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Time for which an endpoint is cold after its start.
    pub cold: Duration,
    /// Requests per second that a cold endpoint can handle, over all instances; zero if it is never
    /// cold.
    pub cold_rate: f64,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections to one endpoint, over all instances.
    pub max_connections: u32,
    /// Name.
    pub name: String,
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Keys, sorted.
    pub keys: Vec<String>,
    /// Name.
    pub name: String,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a request head, in bytes.
    pub header: usize,
    /// Timeout for reading a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            header: 16 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    customers: Vec<Customer>,
    /// API key and index of its customer, sorted by key.
    keys: Vec<(String, usize)>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// Version; a configuration is only replaced by one with a higher version.
    pub version: u64,
}

impl Config {
    /// Builds the indexes.
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

    /// Whether requests need an API key, which is the case if there is any customer.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The route of a host with the longest prefix that matches the path.
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

    /// Routes that send requests to a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter();
        routes.filter(move |route| {
            let mut split = route.split.iter();
            split.any(|(name, weight)| name == service && *weight > 0)
        })
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Name of the customer whose name has this digest.
    #[must_use]
    pub fn customer_by_digest(&self, digest: u32) -> Option<&str> {
        let mut customers = self.customers.iter();
        let found = customers.find(|customer| load::digest(&customer.name) == digest);
        found.map(|customer| customer.name.as_str())
    }

    /// Name of the service whose name has this digest.
    #[must_use]
    pub fn service_by_digest(&self, digest: u32) -> Option<&str> {
        let mut services = self.services.iter();
        let found = services.find(|service| load::digest(&service.name) == digest);
        found.map(|service| service.name.as_str())
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
