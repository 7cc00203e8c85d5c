//! Orders, which are non-idempotent calls with an idempotency key.

use crate::prelude::*;

/// An order key: the caller's `UUIDv7` and a digest of the customer.
///
/// The UUID comes first, so that keys sort by creation time and the oldest expire first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The UUID; its highest 48 bits are the creation time in milliseconds.
    pub uuid: u128,
    /// First eight bytes of the hash of the customer's name.
    pub customer: u64,
}

impl Key {
    /// Creation time of the key, from its UUID.
    #[must_use]
    pub fn created_at(self) -> Wall {
        let millis = self.uuid >> 80;
        Wall(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

/// An order as identified by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Digest of method, path and body.
    pub body: u128,
    /// The UUID of the idempotency key.
    pub uuid: u128,
}
