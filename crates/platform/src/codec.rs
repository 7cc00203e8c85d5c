//! Encoding of the system's own records.

use crate::prelude::*;

/// Encodes a batch of claim entries.
///
/// # Errors
///
/// The codec failed, which only a bug can cause.
pub fn encode(batch: &Batch) -> Result<Bytes, Error> {
    let encoded = postcard::to_stdvec(batch);
    encoded
        .map(Bytes::from)
        .map_err(|error| Error::Record(error.to_string()))
}

/// Decodes a batch of claim entries.
///
/// # Errors
///
/// The record was not written by [`encode`].
pub fn decode(data: &[u8]) -> Result<Batch, Error> {
    postcard::from_bytes(data).map_err(|error| Error::Record(error.to_string()))
}
