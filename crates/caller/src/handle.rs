//! Resume handles: a caller's place in a stream, kept by the caller.
//!
//! An instance can die with a caller's stream. The handle in each event id says
//! where the generation runs and how far the caller has read, so any instance can
//! take it up without shared state. It is signed and bound to the caller's key,
//! since it would otherwise open other callers' generations.

use crate::prelude::*;

/// Version of the format, first in every handle.
const VERSION: &str = "1";

/// Hexadecimal digits of the signature kept.
const SIGNATURE: usize = 16;

/// What a handle says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handle {
    /// Name of the endpoint.
    pub endpoint: String,
    /// The generation.
    pub generation: generation::Id,
    /// Index of the event that carries the handle.
    pub index: u32,
}

impl Handle {
    /// The part of the handle that is the same for all events of a stream.
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

    /// Reads a handle and checks its signature.
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
        let right = sign(secret, credential, endpoint, handle.generation);
        (right == signature).then_some(handle)
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
    hasher.finalize().to_hex()[..SIGNATURE].to_string()
}
