//! Order keys of non-idempotent requests.

use crate::prelude::*;

/// An order key: the caller's `UUIDv7`, and a digest of the customer.
///
/// The UUID comes first, so keys sort by their time of birth and those that
/// leave the window leave from the front.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The UUID as a number, the time of birth in its highest 48 bits.
    pub uuid: u128,
    /// First eight bytes of the hash of the customer's name.
    pub customer: u64,
}

impl Key {
    /// The time of birth that the key carries.
    #[must_use]
    pub fn birth(self) -> Wall {
        let millis = self.uuid >> 80;
        Wall(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// An order as the caller names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Digest of method, path and body.
    pub body: u128,
    /// The UUID of the idempotency key.
    pub uuid: u128,
}
