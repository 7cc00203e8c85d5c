//! Publishes configuration records and reads them back.

use {
    super::check::read_file,
    crate::{
        daemon::{
            instance::{CONFIG_STREAM, SNAPSHOTS_STREAM},
            tail,
        },
        prelude::*,
    },
    decision::{
        config::{ApplyResult, Config},
        record::{Body, Domain, Item, Kind},
    },
    streamlog::stream::{LogRecord, Stream, append_result},
};

/// How often the stream is read to find a published record.
const MAX_LOOKUPS: u32 = 25;

/// Delay between two lookups.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the configuration stream of the log at `address`.
#[must_use]
pub fn config_stream(address: &str) -> Stream {
    Stream {
        address: address.to_string(),
        client: Client::new(Duration::from_secs(1)),
        name: CONFIG_STREAM,
    }
}

/// Validates a record file and publishes it, or only validates it against the log if `dry`.
/// Returns the offset of the record.
///
/// # Errors
///
/// Returns an error if the file has faults, the record conflicts with an earlier one, or the log
/// cannot be read or written.
pub async fn file(stream: &Stream, file: &str, dry: bool) -> Result<u64, Error> {
    let text = read_file(file)?;
    let record = operator::record::parse(file, &text)?;
    if dry {
        let mut config = replay(stream).await?.config;
        let next = config.next();
        check_applied(&config.apply(next, &record))?;
        return Ok(next);
    }
    publish(stream, &text).await
}

/// Drains a failure domain, or restores it.
///
/// # Errors
///
/// Returns an error if the record conflicts with an earlier one, or the log cannot be read or
/// written.
pub async fn set_domain(stream: &Stream, name: &str, out: bool) -> Result<u64, Error> {
    let item = Item {
        kind: Kind::Domain,
        name: name.to_string(),
    };
    let version = replay(stream).await?.config.version(&item);
    let body = Body::Domain(Domain { out });
    publish(stream, &operator::record::render(&item, &body, version)).await
}

/// Appends a record and returns its offset once it is in force.
///
/// # Errors
///
/// Returns an error if the record conflicts with an earlier one, or the log cannot be read or
/// written.
pub async fn publish(stream: &Stream, text: &str) -> Result<u64, Error> {
    let marker = format!("# publication {}", Uuid::new_v4());
    let text = format!("{}\n{marker}\n", text.trim_end());
    let start = replay(stream).await?.config.next();
    let result = stream.append(Bytes::from(text)).await;
    match (append_result(&result), result) {
        (AppendResult::Refused, Err(error)) => return Err(error.into()),
        (_, Ok(_)) => {}
        (_, Err(error)) => log::warn!(error:%; "append result unknown; searching the log"),
    }
    // An accepted append can still conflict with an earlier record, so the result is always
    // read back from the stream.
    for _ in 0..MAX_LOOKUPS {
        let replayed = replay(stream).await?;
        if let Some((offset, applied)) = replayed.find(&marker, start) {
            check_applied(applied)?;
            return Ok(offset);
        }
        tokio::time::sleep(LOOKUP_INTERVAL).await;
    }
    Err(Error::Unsettled(
        "the record is not in the log yet and may still arrive; it is safe to publish it again"
            .to_string(),
    ))
}

/// A record of the stream and the result of applying it.
#[derive(Debug)]
pub struct AppliedRecord {
    /// Result of applying the record.
    pub applied: ApplyResult,
    /// The record as stored in the log.
    pub stored: LogRecord,
}

/// The result of reading the stream from its first available record to its end.
#[derive(Debug, Default)]
pub struct Replay {
    /// The configuration after the last record.
    pub config: Config,
    /// The records, in order.
    pub records: Vec<AppliedRecord>,
}

impl Replay {
    fn find(&self, marker: &str, from: u64) -> Option<(u64, &ApplyResult)> {
        let mut records = self
            .records
            .iter()
            .filter(|record| record.stored.offset >= from);
        let record = records.find(|record| {
            String::from_utf8_lossy(&record.stored.data)
                .trim_end()
                .ends_with(marker)
        })?;
        Some((record.stored.offset, &record.applied))
    }
}

/// Reads the whole stream, starting from a snapshot if older records have expired.
///
/// # Errors
///
/// Returns an error if the log cannot be read, or records have expired and no snapshot covers
/// them.
pub async fn replay(stream: &Stream) -> Result<Replay, Error> {
    let mut replay = Replay::default();
    let mut next = 0;
    loop {
        let batch = stream.read(next, Duration::ZERO).await?;
        if batch.first > next {
            let snapshots = Stream {
                name: SNAPSHOTS_STREAM,
                ..stream.clone()
            };
            let snapshot = tail::newest_snapshot(&snapshots).await;
            let Some(snapshot) = snapshot.filter(|snapshot| snapshot.next >= batch.first) else {
                return Err(Error::Missing(
                    "records have expired and no snapshot covers them".to_string(),
                ));
            };
            next = snapshot.next;
            replay.config.restore(snapshot);
            continue;
        }
        for stored in batch.records {
            next = stored.offset + 1;
            let record = tail::decode_record(stored.offset, &stored.data);
            let applied = replay.config.apply(stored.offset, &record);
            replay.records.push(AppliedRecord { applied, stored });
        }
        if next >= batch.next {
            return Ok(replay);
        }
    }
}

fn check_applied(applied: &ApplyResult) -> Result<(), Error> {
    match applied {
        ApplyResult::Conflict {
            item,
            winner: Some(winner),
        } => Err(Error::Conflict(format!(
            "{item}: beaten by the record at offset {winner}, which changed it first; nothing of this record is in force"
        ))),
        ApplyResult::Conflict { item, winner: None } => Err(Error::Conflict(format!(
            "{item}: 'replaces' names a version, but the item does not exist; nothing of this record is in force"
        ))),
        ApplyResult::InForce | ApplyResult::AlreadyApplied | ApplyResult::UnknownSchema => Ok(()),
    }
}
