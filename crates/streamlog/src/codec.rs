//! Encoding of the system's own records.

use {crate::prelude::*, decision::snapshot::Snapshot, serde::Serialize};

/// Bytes of a snapshot put into one record.
const PART: usize = 256 * 1024;

/// A part of a snapshot, which may be larger than the log takes at once.
#[derive(Debug, Deserialize, Serialize)]
struct Part {
    count: u32,
    data: Vec<u8>,
    id: u128,
    index: u32,
}

/// Puts the parts of snapshots together as they are read.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    data: Vec<u8>,
    id: u128,
    next: u32,
}

impl SnapshotAssembler {
    /// Takes the next record of the stream in; returns the snapshot it completes.
    ///
    /// Parts of one snapshot follow each other in order, possibly among those of
    /// another one; the one begun last is put together.
    ///
    /// # Errors
    ///
    /// The record is no part, or the snapshot cannot be decoded.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Snapshot>, Error> {
        let part = postcard::from_bytes::<Part>(data).map_err(|error| record_error(&error))?;
        if part.index == 0 {
            *self = Self {
                data: Vec::new(),
                id: part.id,
                next: 0,
            };
        }
        if part.id != self.id || part.index != self.next {
            return Ok(None);
        }
        self.data.extend_from_slice(&part.data);
        self.next += 1;
        if self.next < part.count {
            return Ok(None);
        }
        let snapshot = postcard::from_bytes(&self.data).map_err(|error| record_error(&error))?;
        Ok(Some(snapshot))
    }
}

/// Encodes a snapshot into records of bounded size.
///
/// # Errors
///
/// The codec failed, which only a bug can cause.
pub fn encode_snapshot(snapshot: &Snapshot, id: u128) -> Result<Vec<Bytes>, Error> {
    let data = postcard::to_stdvec(snapshot).map_err(|error| record_error(&error))?;
    let count = u32::try_from(data.len().div_ceil(PART)).unwrap_or(u32::MAX);
    let mut parts = Vec::new();
    for (index, data) in (0..count).zip(data.chunks(PART)) {
        let part = Part {
            count,
            data: data.to_vec(),
            id,
            index,
        };
        let part = postcard::to_stdvec(&part).map_err(|error| record_error(&error))?;
        parts.push(part.into());
    }
    Ok(parts)
}

fn record_error(error: &postcard::Error) -> Error {
    Error::Record(error.to_string())
}

/// Encodes a batch of claim entries.
///
/// # Errors
///
/// The codec failed, which only a bug can cause.
pub fn encode_batch(batch: &Batch) -> Result<Bytes, Error> {
    let encoded = postcard::to_stdvec(batch);
    encoded
        .map(Bytes::from)
        .map_err(|error| record_error(&error))
}

/// Decodes a batch of claim entries.
///
/// # Errors
///
/// The record was not written by [`encode_batch`].
pub fn decode_batch(data: &[u8]) -> Result<Batch, Error> {
    postcard::from_bytes(data).map_err(|error| record_error(&error))
}
