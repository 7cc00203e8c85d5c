//! Messages between instances and their encoding.

pub mod customers;
pub mod limits;
pub mod statements;

use {
    crate::prelude::*,
    forward::{
        endpoint::Load,
        profile::{News, Pace, Shape},
        reader::TOPICS,
    },
    serde::{Deserialize, Serialize},
};

/// Topics whose watermarks are part of the messages themselves; those of the others are in the
/// [`Trailer`].
pub const BASE_TOPICS: usize = 4;

/// Compression level for records, 0 to 10. The lowest one that finds repetitions reduces a
/// configuration to a fifth; higher levels cost more time than they save on the network.
const DEFLATE_LEVEL: u8 = 1;

/// Size limit of a decompressed batch; a read returns a megabyte at most.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// A message between instances.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// An aggregator's answer to a report of a member of its failure domain.
    Answer(Answer),
    /// A compressed [`Batch`]. Uncompressed, a configuration of 20 kB that is relayed to 28 peers
    /// holds a link of 10 Mbit/s for half a second, which delays events of streams.
    Records(Vec<u8>),
    /// Load and watermarks of an instance.
    Report(Report),
    /// Load of a failure domain, from its aggregator to those of other domains.
    Sum(Sum),
    /// What engines do.
    Paces(Paces),
    /// What customers ask for.
    Customers(customers::Customers),
    /// Limits that endpoints name, and requests to them.
    Limits(limits::Limits),
    /// What endpoints have stated of themselves.
    Statements(statements::Statements),
}

/// What follows a message.
///
/// Instances of other versions skip what they do not know here, and miss nothing that is not sent,
/// while a changed message could not be decoded by them at all. New fields go to the end.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trailer {
    /// Watermarks of the topics after the first [`BASE_TOPICS`].
    pub watermarks: Vec<RawWatermark>,
}

/// Digest of the endpoint's id, then tokens, tokens of backup copies among them, tokens in
/// prefill, and requests.
pub type Row = (u32, u32, u32, u32, u32);

/// Age in milliseconds (`None` if nothing is known) and position.
pub type RawWatermark = (Option<u32>, u64);

/// Load and watermarks of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Incarnation and number last received from the recipient. The watermarks were taken
    /// after that number was issued, however long this message is in transit.
    pub echo: (u64, u64),
    /// Random number drawn when the sender's process started.
    pub incarnation: u64,
    /// Load that it has at endpoints.
    pub loads: Vec<Row>,
    /// Name of the sender.
    pub name: String,
    /// Sender's clock in microseconds; orders its reports.
    pub number: u64,
    /// Incarnation of the aggregator and version of its sums that the sender holds, if it
    /// requests the rows that have changed since.
    pub held_version: Option<(u64, u64)>,
    /// Watermark of each topic.
    pub watermarks: [RawWatermark; BASE_TOPICS],
}

/// The load that instances of a failure domain have at endpoints, or some rows of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sum {
    /// First and last digest that it covers; `None` if it holds changed rows only.
    pub covers: Option<(u32, u32)>,
    /// As in a [`Report`].
    pub echo: (u64, u64),
    /// As in a [`Report`].
    pub incarnation: u64,
    /// Load of the domain, the sender's own included.
    pub loads: Vec<Row>,
    /// Number of instances in the sum.
    pub members: u32,
    /// As in a [`Report`].
    pub name: String,
    /// As in a [`Report`].
    pub number: u64,
    /// As in a [`Report`].
    pub watermarks: [RawWatermark; BASE_TOPICS],
}

/// Whose observations a message of paces holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// What the sender has observed since its last message.
    Instance,
    /// What the instances of the sender's failure domain have observed since then.
    Domain,
    /// What the sender knows, from all instances.
    Known,
}

/// What engines do, as observed in streams.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Paces {
    /// Name of the sender.
    pub name: String,
    /// Whose observations these are.
    pub scope: Scope,
    /// The observations.
    pub services: Vec<ServicePaces>,
}

/// What the engines of a service do.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServicePaces {
    /// Digest of the engine's incarnation, number of windows in quarters, and microseconds for an event.
    pub rows: Vec<(u32, u32, u32)>,
    /// Digest of the service.
    pub service: u32,
    /// Sum of the lengths of the intervals' streams, then for engines without and with a prompt to read the number of
    /// intervals and that in each class, all in quarters.
    pub shape: Vec<u32>,
}

/// Parts of one in the number of windows and intervals of [`ServicePaces`].
const EVIDENCE_PARTS: f64 = 4.0;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// Rounds to a whole number that fits.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast saturates"
)]
fn rounded(value: f64) -> u32 {
    value.round() as u32
}

impl ServicePaces {
    /// The intervals of a service, without engines.
    #[must_use]
    pub fn new(service: u32, shape: &Shape) -> Self {
        let mut counts = vec![shape.expected_events];
        for part in [shape.calm, shape.reading] {
            counts.push(part.events);
            counts.extend(part.classes);
        }
        let counts = counts
            .into_iter()
            .map(|count| rounded(count * EVIDENCE_PARTS));
        let mut shape = counts.collect::<Vec<_>>();
        while shape.last() == Some(&0) {
            shape.pop();
        }
        Self {
            rows: Vec::new(),
            service,
            shape,
        }
    }

    /// Adds an engine.
    pub fn add(&mut self, row: Pace) {
        let windows = rounded(row.windows * EVIDENCE_PARTS);
        self.rows
            .push((row.digest, windows, rounded(row.pace_ms * MICROS_PER_MS)));
    }

    fn shape(&self) -> Shape {
        let mut counts = self.shape.iter();
        let mut next = || {
            counts
                .next()
                .map_or(0.0, |count| f64::from(*count) / EVIDENCE_PARTS)
        };
        let mut shape = Shape {
            expected_events: next(),
            ..Shape::default()
        };
        for part in [&mut shape.calm, &mut shape.reading] {
            part.events = next();
            part.classes.fill_with(&mut next);
        }
        shape
    }

    fn engines(&self) -> impl Iterator<Item = Pace> {
        self.rows.iter().map(|(digest, windows, micros)| Pace {
            digest: *digest,
            pace_ms: f64::from((*micros).max(1)) / MICROS_PER_MS,
            service: self.service,
            windows: f64::from(*windows) / EVIDENCE_PARTS,
        })
    }
}

impl Paces {
    /// The observations in the message.
    #[must_use]
    pub fn news(&self) -> News {
        let mut news = News::default();
        for service in &self.services {
            news.add_shape(service.service, &service.shape());
            for row in service.engines() {
                news.add(row);
            }
        }
        news
    }
}

/// An aggregator's answer to a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Changed rows of the load of all instances, if they were requested.
    pub changes: Option<RawChanges>,
    /// Incarnation and number of the report.
    pub echo: (u64, u64),
    /// As in a [`Report`].
    pub incarnation: u64,
    /// Number of instances that report to the aggregator, itself included.
    pub members: u32,
    /// As in a [`Report`].
    pub name: String,
    /// As in a [`Report`].
    pub number: u64,
    /// As in a [`Report`].
    pub watermarks: [RawWatermark; BASE_TOPICS],
}

/// Changed rows of an aggregator's table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RawChanges {
    /// Whether the rows held before are to be dropped.
    pub reset: bool,
    /// The rows.
    pub loads: Vec<Row>,
    /// Version of the table after these changes.
    pub version: u64,
}

/// Records of a topic, in order.
#[derive(Debug, Deserialize, Serialize)]
pub struct Batch {
    /// Offset of the first one.
    pub from: u64,
    /// The records.
    pub records: Vec<RawRecord>,
    /// Name of the instance that relays them.
    pub sender: String,
    /// Index in [`crate::topic::ALL`].
    pub topic: u8,
}

/// A record of the store.
#[derive(Debug, Deserialize, Serialize)]
pub struct RawRecord {
    /// Key.
    pub key: String,
    /// Offset in the topic.
    pub offset: u64,
    /// Value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// The watermarks of a message and its trailer, in the order of [`crate::topic::ALL`].
#[must_use]
pub fn all_watermarks(
    base: [RawWatermark; BASE_TOPICS],
    trailer: &Trailer,
) -> [RawWatermark; TOPICS] {
    let mut all = [RawWatermark::default(); TOPICS];
    let watermarks = base.iter().chain(&trailer.watermarks);
    for (known, watermark) in all.iter_mut().zip(watermarks) {
        *known = *watermark;
    }
    all
}

/// Converts a row to its encoding.
#[must_use]
pub const fn row((digest, load): (u32, Load)) -> Row {
    (
        digest,
        load.tokens,
        load.copies,
        load.prefill_tokens,
        load.requests,
    )
}

/// Converts a row from its encoding.
#[must_use]
pub const fn load((digest, tokens, copies, prefill_tokens, requests): Row) -> (u32, Load) {
    let load = Load {
        copies,
        prefill_tokens,
        requests,
        tokens,
    };
    (digest, load)
}

impl Message {
    /// Encodes the message and its trailer, which takes no bytes if it is empty; logs an error and
    /// returns `None` if that fails.
    #[must_use]
    pub fn encode(&self, trailer: &Trailer) -> Option<Bytes> {
        let mut data = encode(self)?;
        if *trailer != Trailer::default() {
            data.extend(encode(trailer)?);
        }
        Some(data.into())
    }

    /// Decodes a message and its trailer. A trailer that is missing or unknown is empty.
    ///
    /// # Errors
    ///
    /// The data does not start with a message.
    pub fn decode(data: &[u8]) -> Result<(Self, Trailer), postcard::Error> {
        let (message, rest) = postcard::take_from_bytes::<Self>(data)?;
        if rest.is_empty() {
            return Ok((message, Trailer::default()));
        }
        let trailer = postcard::from_bytes::<Trailer>(rest).unwrap_or_else(|error| {
            log::debug!(error:%; "unknown trailer of a message from peer instance");
            Trailer::default()
        });
        Ok((message, trailer))
    }
}

impl Batch {
    /// Encodes and compresses the batch; logs an error and returns `None` if that fails.
    #[must_use]
    pub fn compress(&self) -> Option<Message> {
        let data = encode(self)?;
        let compressed = miniz_oxide::deflate::compress_to_vec(&data, DEFLATE_LEVEL);
        Some(Message::Records(compressed))
    }

    /// Decompresses and decodes a batch.
    ///
    /// # Errors
    ///
    /// The data is not a batch, or exceeds 4 MiB once decompressed.
    pub fn decompress(data: &[u8]) -> Result<Self, String> {
        let data = miniz_oxide::inflate::decompress_to_vec_with_limit(data, MAX_BATCH_BYTES);
        let data = data.map_err(|error| error.to_string())?;
        postcard::from_bytes(&data).map_err(|error| error.to_string())
    }
}

fn encode(value: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_stdvec(value)
        .inspect_err(|error| log::error!(error:%; "cannot encode message to peer instances"))
        .ok()
}
