//! Tasks that follow the platform's streams and list.

use {
    crate::prelude::*,
    decision::{gossip::ConfigRecord, snapshot::Snapshot},
    endpoint::send_event,
    streamlog::{
        codec, list,
        stream::{LONG_POLL_TIMEOUT, RecordBatch, Stream},
    },
};

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the configuration stream.
pub async fn config(stream: Stream, snapshots: Stream, clock: Clock, events: Sender<Event>) {
    let mut next = 0;
    let mut hold = Duration::ZERO;
    while !events.is_closed() {
        let Some(part) = read(&stream, next, hold).await else {
            continue;
        };
        hold = LONG_POLL_TIMEOUT;
        if part.first > next {
            // Starting in the middle would put a configuration in force that lacks what
            // the missing records said; it starts from a snapshot, or not at all.
            match newest(&snapshots).await {
                Some(snapshot) if snapshot.next >= part.first => {
                    next = snapshot.next;
                    send_event(&events, Event::Snapshot(snapshot)).await;
                }
                _ => {
                    log::error!(first = part.first, next; "configuration records have aged out unread and no snapshot has them");
                    tokio::time::sleep(PAUSE * 25).await;
                }
            }
            continue;
        }
        for entry in &part.records {
            next = entry.offset + 1;
            send_event(&events, Event::Configured(line(entry.offset, &entry.data))).await;
        }
        if next >= part.next {
            send_event(&events, Event::ConfigCaughtUp(clock.at(part.requested_at))).await;
        }
    }
}

/// Reads the newest whole snapshot.
pub async fn newest(stream: &Stream) -> Option<Snapshot> {
    let mut assembly = codec::SnapshotAssembler::default();
    let mut newest = None;
    let mut next = 0;
    loop {
        let part = read(stream, next, Duration::ZERO).await?;
        for entry in &part.records {
            next = entry.offset + 1;
            match assembly.push(&entry.data) {
                Ok(Some(snapshot)) => newest = Some(snapshot),
                Ok(None) => {}
                Err(error) => log::error!(offset = entry.offset, error:%; "snapshot is skipped"),
            }
        }
        if next >= part.next || part.records.is_empty() {
            return newest;
        }
    }
}

/// Follows the snapshots, to know when the next one is due.
pub async fn snapshots(stream: Stream, events: Sender<Event>) {
    let mut assembly = codec::SnapshotAssembler::default();
    let mut next = 0;
    while !events.is_closed() {
        let Some(part) = read(&stream, next, LONG_POLL_TIMEOUT).await else {
            continue;
        };
        next = next.max(part.first);
        for entry in &part.records {
            next = entry.offset + 1;
            if matches!(assembly.push(&entry.data), Ok(Some(_))) {
                send_event(&events, Event::SnapshotSeen(entry.at)).await;
            }
        }
    }
}

/// Follows the claim stream.
pub async fn claims(stream: Stream, clock: Clock, events: Sender<Event>) {
    let mut next = 0;
    let mut begun = false;
    while !events.is_closed() {
        let hold = if begun {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let Some(part) = read(&stream, next, hold).await else {
            continue;
        };
        if !begun && part.first == 0 {
            send_event(&events, Event::ClaimsCoveredFrom(Wall(0))).await;
        } else if part.first > next {
            let from = part.records.first().map_or(part.now, |entry| entry.at);
            log::warn!(first = part.first, next; "claim records have aged out unread");
            send_event(&events, Event::ClaimsCoveredFrom(from)).await;
            next = part.first;
        }
        begun = true;
        let mut batches = Vec::with_capacity(part.records.len());
        for entry in &part.records {
            next = entry.offset + 1;
            match codec::decode_batch(&entry.data) {
                Ok(batch) => batches.push(batch),
                Err(error) => {
                    log::error!(offset = entry.offset, error:%; "claim record is skipped");
                }
            }
        }
        if !batches.is_empty() {
            send_event(&events, Event::Claims(batches)).await;
        }
        if next >= part.next {
            send_event(&events, Event::ClaimsCaughtUp(clock.at(part.requested_at))).await;
        }
    }
}

/// Follows the instance list.
pub async fn list(client: Client, address: String, every: Duration, events: Sender<Event>) {
    let mut reader = list::Reader::new(client, address);
    while !events.is_closed() {
        match reader.read().await {
            Ok(Some(list)) => send_event(&events, Event::Listed(list.members, list.peers)).await,
            Ok(None) => {}
            Err(error) => log::warn!(error:%; "instance list cannot be read"),
        }
        tokio::time::sleep(every).await;
    }
}

/// A configuration record with its text.
#[must_use]
pub fn line(offset: u64, data: &Bytes) -> ConfigRecord {
    ConfigRecord {
        data: data.clone(),
        offset,
        record: decode_record(offset, data),
    }
}

/// Reads a configuration record of the log; one with faults changes nothing.
#[must_use]
pub fn decode_record(offset: u64, data: &[u8]) -> Record {
    let name = format!("offset {offset}");
    let parsed = std::str::from_utf8(data)
        .map_err(|error| error.to_string())
        .and_then(|text| {
            operator::record::parse(&name, text).map_err(|faults| Error::Faults(faults).to_string())
        });
    parsed.unwrap_or_else(|error| {
        log::error!(offset, error; "configuration record has faults and changes nothing");
        Record {
            changes: Vec::new(),
            schema: decision::record::SCHEMA,
        }
    })
}

async fn read(stream: &Stream, next: u64, hold: Duration) -> Option<RecordBatch> {
    match stream.read(next, hold).await {
        Ok(part) => Some(part),
        Err(error) => {
            log::warn!(stream = stream.name, error:%; "log cannot be read");
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}
