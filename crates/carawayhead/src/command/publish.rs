//! Publication of configuration records, and reading them back.

use {
    super::check::text,
    crate::{
        daemon::{
            instance::{CONFIG_STREAM, SNAPSHOTS_STREAM},
            tail,
        },
        prelude::*,
    },
    decision::{
        config::{Applied, Config},
        record::{Body, Domain, Item, Kind},
    },
    streamlog::stream::{Entry, Stream, settled},
};

/// How often a publication whose answer was lost is looked for.
const LOOKS: u32 = 25;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// The configuration stream of the log at `address`.
#[must_use]
pub fn config_stream(address: &str) -> Stream {
    Stream {
        address: address.to_string(),
        client: Client::new(Duration::from_secs(1)),
        name: CONFIG_STREAM,
    }
}

/// Checks a file and publishes it.
///
/// # Errors
///
/// The file has faults, another record came first, or the log cannot be asked.
pub async fn file(stream: &Stream, file: &str, dry: bool) -> Result<u64, Error> {
    let text = text(file)?;
    let record = operator::record::parse(file, &text)?;
    if dry {
        let mut config = replay(stream).await?.config;
        let next = config.next();
        verdict(&config.apply(next, &record))?;
        return Ok(next);
    }
    publish(stream, &text).await
}

/// Takes a failure domain out, or back in.
///
/// # Errors
///
/// Another record came first, or the log cannot be asked.
pub async fn domain(stream: &Stream, name: &str, out: bool) -> Result<u64, Error> {
    let item = Item {
        kind: Kind::Domain,
        name: name.to_string(),
    };
    let version = replay(stream).await?.config.version(&item);
    let body = Body::Domain(Domain { out });
    publish(stream, &operator::record::render(&item, &body, version)).await
}

/// Appends a record and tells whether it came into force.
///
/// # Errors
///
/// Another record came first, or the log cannot be asked.
pub async fn publish(stream: &Stream, text: &str) -> Result<u64, Error> {
    let mark = format!("# publication {}", Uuid::new_v4());
    let text = format!("{}\n{mark}\n", text.trim_end());
    let begun = replay(stream).await?.config.next();
    let result = stream.append(Bytes::from(text)).await;
    match (settled(&result), result) {
        (AppendResult::Refused, Err(error)) => return Err(error.into()),
        (_, Ok(_)) => {}
        (_, Err(error)) => log::warn!(error:%; "the answer was lost; looking for the record"),
    }
    // The answer of the log says nothing of other records, so the outcome is read
    // from the stream in any case.
    for _ in 0..LOOKS {
        let replayed = replay(stream).await?;
        if let Some((offset, applied)) = replayed.find(&mark, begun) {
            verdict(applied)?;
            return Ok(offset);
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(Error::Unsettled(
        "the record is not in the log yet and may still arrive; publishing it again is harmless"
            .to_string(),
    ))
}

/// One record of the stream with what it came to.
#[derive(Debug)]
pub struct Line {
    /// What applying it came to.
    pub applied: Applied,
    /// The record as it stands in the log.
    pub entry: Entry,
}

/// The stream read from its first record to its end.
#[derive(Debug, Default)]
pub struct Replay {
    /// The configuration in force at the end.
    pub config: Config,
    /// The records.
    pub lines: Vec<Line>,
}

impl Replay {
    fn find(&self, mark: &str, from: u64) -> Option<(u64, &Applied)> {
        let mut lines = self.lines.iter().filter(|line| line.entry.offset >= from);
        let line = lines.find(|line| {
            String::from_utf8_lossy(&line.entry.data)
                .trim_end()
                .ends_with(mark)
        })?;
        Some((line.entry.offset, &line.applied))
    }
}

/// Reads the whole stream.
///
/// # Errors
///
/// The log cannot be asked.
pub async fn replay(stream: &Stream) -> Result<Replay, Error> {
    let mut replay = Replay::default();
    let mut next = 0;
    loop {
        let part = stream.read(next, Duration::ZERO).await?;
        if part.first > next {
            let snapshots = Stream {
                name: SNAPSHOTS_STREAM,
                ..stream.clone()
            };
            let snapshot = tail::newest_snapshot(&snapshots).await;
            let Some(snapshot) = snapshot.filter(|snapshot| snapshot.next >= part.first) else {
                return Err(Error::Missing(
                    "records have aged out and no snapshot has them".to_string(),
                ));
            };
            next = snapshot.next;
            replay.config.restore(snapshot);
            continue;
        }
        for entry in part.records {
            next = entry.offset + 1;
            let record = tail::decode_record(entry.offset, &entry.data);
            let applied = replay.config.apply(entry.offset, &record);
            replay.lines.push(Line { applied, entry });
        }
        if next >= part.next {
            return Ok(replay);
        }
    }
}

fn verdict(applied: &Applied) -> Result<(), Error> {
    match applied {
        Applied::Beaten {
            item,
            winner: Some(winner),
        } => Err(Error::Conflict(format!(
            "{item}: beaten by the record at offset {winner}, which changed it first; nothing of this record is in force"
        ))),
        Applied::Beaten { item, winner: None } => Err(Error::Conflict(format!(
            "{item}: 'replaces' names a version, but the item does not exist; nothing of this record is in force"
        ))),
        Applied::InForce | Applied::Old | Applied::Unknown => Ok(()),
    }
}
