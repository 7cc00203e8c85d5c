//! Resume handles: a caller's position in a stream, kept by the caller.
//!
//! The handle in each event id names the endpoint and the generation, and how far the caller
//! has read, so that any instance can resume a stream whose instance crashed, without shared
//! state. It is signed and bound to the caller's key; otherwise a caller could forge handles
//! and read the generations of others.

use crate::prelude::*;

/// Version of the handle format, its first component.
const VERSION: &str = "1";

/// Length of the truncated signature, in hexadecimal digits.
const SIGNATURE_HEX_DIGITS: usize = 16;

/// A verified resume handle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handle {
    /// Name of the endpoint that runs the generation.
    pub endpoint: String,
    /// The generation.
    pub generation: generation::Id,
    /// Index of the event that carries the handle.
    pub index: u32,
}

impl Handle {
    /// Returns the part of the handle that all events of a stream share.
    #[must_use]
    pub fn prefix(
        secret: &[u8; 32],
        credential: &[u8; 32],
        endpoint: &str,
        generation: generation::Id,
    ) -> String {
        let signature = sign(secret, credential, endpoint, generation);
        format!("{VERSION}:{endpoint}:{generation}:{signature}:")
    }

    /// Parses a handle; `None` if it is malformed or its signature does not match.
    #[must_use]
    pub fn parse(secret: &[u8; 32], credential: &[u8; 32], text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let (version, endpoint, generation) = (parts.next()?, parts.next()?, parts.next()?);
        let (signature, index) = (parts.next()?, parts.next()?);
        if version != VERSION || parts.next().is_some() {
            return None;
        }
        let handle = Self {
            endpoint: endpoint.to_string(),
            generation: generation::Id::parse(generation)?,
            index: index.parse().ok()?,
        };
        let expected = sign(secret, credential, endpoint, handle.generation);
        (expected == signature).then_some(handle)
    }
}

fn sign(
    secret: &[u8; 32],
    credential: &[u8; 32],
    endpoint: &str,
    generation: generation::Id,
) -> String {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(credential);
    hasher.update(&generation.0.to_le_bytes());
    hasher.update(endpoint.as_bytes());
    hasher.finalize().to_hex()[..SIGNATURE_HEX_DIGITS].to_string()
}
