//! Which requests a connection has carried.

/// Digests of the ids of the requests that a connection has carried, sorted.
#[derive(Debug, Default)]
pub struct Carried(Vec<u64>);

impl Carried {
    /// Adds a request; returns whether the connection has carried it before.
    pub fn insert(&mut self, digest: u64) -> bool {
        match self.0.binary_search(&digest) {
            Ok(_) => true,
            Err(index) => {
                self.0.insert(index, digest);
                false
            }
        }
    }
}
