//! Messages between instances.

use {
    crate::prelude::*,
    decision::{hybrid_clock::Timestamp, snapshot::Snapshot},
};

/// Largest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// An instance's progress in the configuration log; sent to request the records that it lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Milliseconds since the sender's configuration was known to be complete.
    pub age_ms: Option<u64>,
    /// Name of the sender.
    pub name: String,
    /// Offset of the first configuration record that the sender lacks.
    pub next: u64,
    /// The sender's hybrid clock.
    pub stamp: Timestamp,
}

/// A configuration record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Content.
    pub data: Vec<u8>,
    /// Offset.
    pub offset: u64,
}

/// The answer to a [`Hello`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Answer {
    /// Progress of the answering instance.
    pub hello: Hello,
    /// Records that the requester lacks, in order, as many as fit.
    pub records: Vec<Record>,
    /// The whole configuration, if some of those records are no longer retained.
    pub snapshot: Option<Snapshot>,
}
