//! What instances say to each other.

use {
    crate::prelude::*,
    decision::{hybrid::Stamp, snapshot::Snapshot},
};

/// Largest message, in bytes.
pub const MOST: usize = 16 << 20;

/// What an instance knows, sent to ask for what it lacks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Milliseconds since the sender's configuration was known to be complete.
    pub age_ms: Option<u64>,
    /// Name of the sender.
    pub name: String,
    /// Offset of the first configuration record that the sender lacks.
    pub next: u64,
    /// The sender's hybrid clock.
    pub stamp: Stamp,
}

/// A configuration record as it stands in the log.
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
    /// What the answering instance knows.
    pub hello: Hello,
    /// Records that the other one lacks, in order, as many as fit.
    pub records: Vec<Record>,
    /// The whole configuration, if those records are not kept any more.
    pub snapshot: Option<Snapshot>,
}
