//! Limits that endpoints name, and requests to them.

use {
    crate::prelude::*,
    forward::limit::notice::Row,
    serde::{Deserialize, Serialize},
};

/// Parts of one request per second in the encoding of a limit.
const RATE_PARTS: f64 = 1000.0;

/// Digest of the endpoint's incarnation, thousandths of a request per second, milliseconds since it was named, and
/// since an answer that named none was asked for.
pub type RawRow = (u32, u32, u32, Option<u32>);

/// What the sender knows of limits, and requests for which it asks or that it grants.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Limits {
    /// Answers to asks.
    pub answers: Vec<Answer>,
    /// Requests that the sender asks for.
    pub asks: Vec<Ask>,
    /// Name of the sender.
    pub name: String,
    /// What it knows.
    pub rows: Vec<RawRow>,
}

/// Which ask of which instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Random number drawn when the process of the asking instance started.
    pub incarnation: u64,
    /// Name of the asking instance.
    pub name: String,
    /// Number of the ask.
    pub number: u64,
}

/// Asks for one request to an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ask {
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Digest of its incarnation.
    pub endpoint: u32,
    /// Number of instances that have passed it on.
    pub hops: u8,
    /// Who asks.
    pub origin: Origin,
    /// Whether it is for a stream that is in progress and that no other endpoint can continue.
    pub urgent: bool,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Who asked.
    pub origin: Origin,
    /// Milliseconds after which to ask again; `None` if the request is granted.
    pub pause_ms: Option<u32>,
}

/// Encodes what is known of a limit. Its age is rounded up: news that peers tell each other must not grow younger.
#[must_use]
pub fn raw_row(row: Row) -> RawRow {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "limits are between 0.25 and a million"
    )]
    let rate = (row.rate * RATE_PARTS).round() as u32;
    let ended_ago = row.ended_ago.map(millis);
    let named_ago = millis(row.named_ago).saturating_add(1);
    (row.incarnation, rate, named_ago, ended_ago)
}

/// Decodes what is known of a limit.
#[must_use]
pub fn row((incarnation, rate, named_ago, ended_ago): RawRow) -> Row {
    let duration = |millis: u32| Duration::from_millis(u64::from(millis));
    Row {
        ended_ago: ended_ago.map(duration),
        incarnation,
        named_ago: duration(named_ago),
        rate: f64::from(rate) / RATE_PARTS,
    }
}

/// Milliseconds, as many as fit.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
