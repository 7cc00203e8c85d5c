//! What instances say to each other, and its encoding.

use {
    crate::prelude::*,
    forward::{endpoint::Load, reader::TOPICS},
    serde::{Deserialize, Serialize},
};

/// Effort of packing records, 0 to 10. The least that finds repetitions makes a fifth of a
/// configuration; more effort takes longer than it saves on the link.
const DEFLATE_LEVEL: u8 = 1;

/// Most bytes of a batch of records once unpacked; a read brings a megabyte at most.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// What instances say to each other.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// An aggregator's answer to a report of a member of its failure domain.
    Answer(Answer),
    /// A [`Batch`], packed. A configuration of twenty kilobytes to 28 fellows held a link
    /// of 10 Mbit/s for half a second, in which events of streams came late to callers.
    Records(Vec<u8>),
    /// What an instance has in progress and knows.
    Report(Report),
    /// What an aggregator tells those of other failure domains.
    Sum(Sum),
}

/// Digest of the endpoint's id, then tokens, tokens of copies among them, tokens being
/// read, requests.
pub type Row = (u32, u32, u32, u32, u32);

/// Age in milliseconds, if anything is known, and position.
pub type RawWatermark = (Option<u32>, u64);

/// What an instance has in progress and knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Life and number last heard from the instance that this is sent to. What is said here
    /// was true after that number was given out, however long this message is on its way.
    pub echo: (u64, u64),
    /// Drawn at the start of the sender's process.
    pub incarnation: u64,
    /// What it has in progress at endpoints.
    pub loads: Vec<Row>,
    /// Its name.
    pub name: String,
    /// Time of the sender's clock in microseconds; orders its reports.
    pub number: u64,
    /// Life of the aggregator and version of its sums that the sender holds, if it wants the
    /// rows that have changed since.
    pub held_version: Option<(u64, u64)>,
    /// What it knows of each topic.
    pub watermarks: [RawWatermark; TOPICS],
}

/// The load that instances of a failure domain have at endpoints, or a part of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sum {
    /// First and last digest that it covers; none if it holds changed rows only.
    pub covers: Option<(u32, u32)>,
    /// As in a [`Report`].
    pub echo: (u64, u64),
    /// As in a [`Report`].
    pub incarnation: u64,
    /// Load of the domain, the sender's own included.
    pub loads: Vec<Row>,
    /// Instances that it is made of.
    pub members: u32,
    /// As in a [`Report`].
    pub name: String,
    /// As in a [`Report`].
    pub number: u64,
    /// As in a [`Report`].
    pub watermarks: [RawWatermark; TOPICS],
}

/// An aggregator's answer to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Rows of the load of all instances that have changed, if they were asked for.
    pub changes: Option<RawChanges>,
    /// Life and number of the report.
    pub echo: (u64, u64),
    /// As in a [`Report`].
    pub incarnation: u64,
    /// Instances that report to the aggregator, itself included.
    pub members: u32,
    /// As in a [`Report`].
    pub name: String,
    /// As in a [`Report`].
    pub number: u64,
    /// As in a [`Report`].
    pub watermarks: [RawWatermark; TOPICS],
}

/// Rows of an aggregator's table that have changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RawChanges {
    /// Whether what was held before is to be forgotten.
    pub reset: bool,
    /// The rows.
    pub loads: Vec<Row>,
    /// Version with these rows.
    pub version: u64,
}

/// Records of a topic, in order.
#[derive(Debug, Deserialize, Serialize)]
pub struct Batch {
    /// Offset of the first one.
    pub from: u64,
    /// The records.
    pub records: Vec<RawRecord>,
    /// Name of the instance that passes them on.
    pub sender: String,
    /// Place in [`crate::topic::ALL`].
    pub topic: u8,
}

/// A record as it stands in the store.
#[derive(Debug, Deserialize, Serialize)]
pub struct RawRecord {
    /// Key.
    pub key: String,
    /// Place in the topic.
    pub offset: u64,
    /// Value; none if the key was dropped.
    pub value: Option<Vec<u8>>,
}

/// A row as it goes over the wire.
#[must_use]
pub const fn row((digest, load): (u32, Load)) -> Row {
    (
        digest,
        load.tokens,
        load.copies,
        load.reading,
        load.requests,
    )
}

/// A row as decisions know it.
#[must_use]
pub const fn load((digest, tokens, copies, reading, requests): Row) -> (u32, Load) {
    let load = Load {
        copies,
        reading,
        requests,
        tokens,
    };
    (digest, load)
}

impl Message {
    /// Encodes it; `None`, with a line in the log, if that cannot be done.
    #[must_use]
    pub fn encode(&self) -> Option<Bytes> {
        encode(self).map(Bytes::from)
    }
}

impl Batch {
    /// Packs it for the way to fellows.
    #[must_use]
    pub fn compress(&self) -> Option<Message> {
        let data = encode(self)?;
        let packed = miniz_oxide::deflate::compress_to_vec(&data, DEFLATE_LEVEL);
        Some(Message::Records(packed))
    }

    /// Reads what a fellow packed.
    ///
    /// # Errors
    ///
    /// The data is no batch, or too large once unpacked.
    pub fn decompress(data: &[u8]) -> Result<Self, String> {
        let data = miniz_oxide::inflate::decompress_to_vec_with_limit(data, MAX_BATCH_BYTES);
        let data = data.map_err(|error| error.to_string())?;
        postcard::from_bytes(&data).map_err(|error| error.to_string())
    }
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_stdvec(value)
        .inspect_err(|error| log::error!(error:%; "message to fellow instances cannot be encoded"))
        .ok()
}
