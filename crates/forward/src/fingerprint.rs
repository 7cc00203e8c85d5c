//! Recognition of equal requests that arrive under different ids.

use std::fmt::{self, Display, Formatter};

/// Digest of a request's content. Two requests of a customer for the same target with the same
/// body have the same fingerprint, whatever their ids and at whichever instance they arrive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request.
    ///
    /// `target` is the path with the query. The customer is included, so that nobody can choose a
    /// request that equals one of another customer.
    #[must_use]
    pub fn new(customer: Option<&str>, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [customer.unwrap_or_default(), host, target] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let hash = *hasher.finalize().as_bytes();
        Self(u64::from_le_bytes([
            hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
        ]))
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
