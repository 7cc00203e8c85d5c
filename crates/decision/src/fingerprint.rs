//! Recognition of equal requests that arrive under different ids.

use std::fmt::{self, Display, Formatter};

/// Digest of a request's content. Two requests of a customer for the same target with the same
/// body have the same fingerprint, whatever their ids and at whichever instance they arrive.
///
/// Long enough that nobody finds two requests with the same one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u128);

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
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        Self(u128::from_be_bytes(hash))
    }

    /// The value as a number.
    #[must_use]
    pub const fn value(self) -> u128 {
        self.0
    }

    /// Parses the text form; `None` if it is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let value = u128::from_str_radix(text, 16).ok()?;
        (text.len() == 32).then_some(Self(value))
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
