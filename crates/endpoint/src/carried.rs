//! Which requests a connection has carried.

/// Number of requests after which a connection is not used again, which bounds what is kept of them.
const MAX_REQUESTS: usize = 512;

/// Digests of the ids of the requests that a connection has carried, sorted. Equal digests of two ids only keep a connection from
/// being used.
#[derive(Debug, Default)]
pub struct Carried(Vec<u64>);

impl Carried {
    /// Adds a request.
    pub fn insert(&mut self, digest: u64) {
        if let Err(index) = self.0.binary_search(&digest) {
            self.0.insert(index, digest);
        }
    }

    /// Whether the connection has carried a request.
    pub fn contains(&self, digest: u64) -> bool {
        self.0.binary_search(&digest).is_ok()
    }

    /// Whether the connection may carry no more requests.
    pub const fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
