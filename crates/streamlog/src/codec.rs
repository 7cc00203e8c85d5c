//! Encoding of snapshots, claim batches and crashes of endpoints as log records.

use {
    crate::prelude::*,
    decision::{
        fingerprint::Fingerprint,
        part::Part,
        part_suspects::{self, Claim},
        snapshot::Snapshot,
        suspects::{Change, Crash},
    },
    serde::Serialize,
};

/// Maximum number of snapshot bytes in one record.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// One chunk of a snapshot; a whole snapshot may exceed the record size limit of the log.
#[derive(Debug, Deserialize, Serialize)]
struct SnapshotChunk {
    count: u32,
    data: Vec<u8>,
    id: u128,
    index: u32,
}

/// Reassembles snapshots from their chunks.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    data: Vec<u8>,
    id: u128,
    next: u32,
}

impl SnapshotAssembler {
    /// Adds the next record of the stream; returns the snapshot that it completes.
    ///
    /// The chunks of a snapshot are in order but may be interleaved with those of another
    /// snapshot, in which case only the one that started last is assembled.
    ///
    /// # Errors
    ///
    /// The record is not a snapshot chunk, or the snapshot cannot be decoded.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Snapshot>, Error> {
        let chunk =
            postcard::from_bytes::<SnapshotChunk>(data).map_err(|error| codec_error(&error))?;
        if chunk.index == 0 {
            *self = Self {
                data: Vec::new(),
                id: chunk.id,
                next: 0,
            };
        }
        if chunk.id != self.id || chunk.index != self.next {
            return Ok(None);
        }
        self.data.extend_from_slice(&chunk.data);
        self.next += 1;
        if self.next < chunk.count {
            return Ok(None);
        }
        let snapshot = postcard::from_bytes(&self.data).map_err(|error| codec_error(&error))?;
        Ok(Some(snapshot))
    }
}

/// Encodes a snapshot as records of bounded size.
///
/// # Errors
///
/// Encoding failed, which indicates a bug.
pub fn encode_snapshot(snapshot: &Snapshot, id: u128) -> Result<Vec<Bytes>, Error> {
    let data = postcard::to_stdvec(snapshot).map_err(|error| codec_error(&error))?;
    let count = u32::try_from(data.len().div_ceil(SNAPSHOT_CHUNK_BYTES)).unwrap_or(u32::MAX);
    let mut records = Vec::new();
    for (index, data) in (0..count).zip(data.chunks(SNAPSHOT_CHUNK_BYTES)) {
        let chunk = SnapshotChunk {
            count,
            data: data.to_vec(),
            id,
            index,
        };
        let chunk = postcard::to_stdvec(&chunk).map_err(|error| codec_error(&error))?;
        records.push(chunk.into());
    }
    Ok(records)
}

fn codec_error(error: &postcard::Error) -> Error {
    Error::Record(error.to_string())
}

/// Encodes a batch of claim entries.
///
/// # Errors
///
/// Encoding failed, which indicates a bug.
pub fn encode_batch(batch: &Batch) -> Result<Bytes, Error> {
    let encoded = postcard::to_stdvec(batch);
    encoded
        .map(Bytes::from)
        .map_err(|error| codec_error(&error))
}

/// Decodes a batch of claim entries.
///
/// # Errors
///
/// The record was not written by [`encode_batch`].
pub fn decode_batch(data: &[u8]) -> Result<Batch, Error> {
    postcard::from_bytes(data).map_err(|error| codec_error(&error))
}

/// A change of the requests that crash endpoints.
#[derive(Deserialize, Serialize)]
struct RawCrash {
    cleared: bool,
    endpoint: String,
    #[serde(default)]
    events: u32,
    fingerprint: String,
}

/// Encodes a change of the requests that crash endpoints.
#[must_use]
pub fn encode_crash(change: &Change) -> Bytes {
    let (crash, cleared) = match change {
        Change::Cleared(crash) => (crash, true),
        Change::Crashed(crash) => (crash, false),
    };
    let raw = RawCrash {
        cleared,
        endpoint: crash.endpoint.clone(),
        events: crash.events,
        fingerprint: crash.fingerprint.to_string(),
    };
    serde_json::json!(raw).to_string().into()
}

/// A change of the parts of prompts that crash engines.
#[derive(Deserialize, Serialize)]
struct RawPart {
    /// Of a crash; a claim has none.
    #[serde(default)]
    endpoint: Option<String>,
    #[serde(default)]
    instance: u64,
    /// Of a moment or a trial; zero if the change clears it.
    number: u32,
    part: String,
}

/// Encodes a change of the parts of prompts that crash engines.
#[must_use]
pub fn encode_part_change(change: &part_suspects::Change) -> Bytes {
    let (part, endpoint, number, instance) = match change {
        part_suspects::Change::Claimed(claim) => (claim.part, None, claim.number, claim.instance),
        part_suspects::Change::ClaimsCleared(part) => (*part, None, 0, 0),
        part_suspects::Change::Cleared(crash) => (crash.part, Some(&crash.endpoint), 0, 0),
        part_suspects::Change::Crashed(crash) => {
            (crash.part, Some(&crash.endpoint), crash.moment, 0)
        }
    };
    let raw = RawPart {
        endpoint: endpoint.cloned(),
        instance,
        number,
        part: part.to_string(),
    };
    serde_json::json!(raw).to_string().into()
}

/// A record of the stream of crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashRecord {
    /// Of a part of prompts.
    Part(part_suspects::Change),
    /// Of a whole request.
    Request(Change),
}

/// Decodes a record of the stream of crashes.
///
/// # Errors
///
/// The record is not JSON of the expected shape, or names neither a request nor a part.
pub fn decode_crash_record(data: &[u8]) -> Result<CrashRecord, Error> {
    let Ok(raw) = serde_json::from_slice::<RawPart>(data) else {
        return decode_crash(data).map(CrashRecord::Request);
    };
    let part = Part::new(&raw.part);
    let change = match (raw.endpoint, raw.number) {
        (None, 0) => part_suspects::Change::ClaimsCleared(part),
        (None, number) => part_suspects::Change::Claimed(Claim {
            instance: raw.instance,
            number,
            part,
        }),
        (Some(endpoint), moment) => {
            let crash = part_suspects::Crash {
                endpoint,
                moment,
                part,
            };
            if moment == 0 {
                part_suspects::Change::Cleared(crash)
            } else {
                part_suspects::Change::Crashed(crash)
            }
        }
    };
    Ok(CrashRecord::Part(change))
}

/// Decodes a change of the requests that crash endpoints.
///
/// # Errors
///
/// The record is not JSON of the expected shape, or names no request.
pub fn decode_crash(data: &[u8]) -> Result<Change, Error> {
    let raw = serde_json::from_slice::<RawCrash>(data)?;
    let fingerprint = Fingerprint::parse(&raw.fingerprint);
    let crash = Crash {
        endpoint: raw.endpoint,
        events: raw.events,
        fingerprint: fingerprint.ok_or_else(|| Error::Record("fingerprint".to_string()))?,
    };
    Ok(if raw.cleared {
        Change::Cleared(crash)
    } else {
        Change::Crashed(crash)
    })
}
