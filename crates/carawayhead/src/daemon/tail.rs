//! Tasks that follow the streams and the instance list of the platform.

use {
    crate::prelude::*,
    decision::{gossip::ConfigRecord, snapshot::Snapshot},
    endpoint::send_event,
    streamlog::{
        codec::{self, CrashRecord},
        list,
        stream::{LONG_POLL_TIMEOUT, RecordBatch, Stream},
    },
};

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the configuration stream and reports its records as events.
pub async fn config(stream: Stream, snapshots: Stream, clock: Clock, events: Sender<Event>) {
    let mut next = 0;
    let mut poll_timeout = Duration::ZERO;
    while !events.is_closed() {
        let Some(batch) = read(&stream, next, poll_timeout).await else {
            continue;
        };
        poll_timeout = LONG_POLL_TIMEOUT;
        if batch.first > next {
            // Records before `batch.first` have expired. Without a snapshot that covers them,
            // the configuration would be incomplete, so no later record is applied.
            match newest_snapshot(&snapshots).await {
                Some(snapshot) if snapshot.next >= batch.first => {
                    next = snapshot.next;
                    send_event(&events, Event::Snapshot(snapshot)).await;
                }
                _ => {
                    log::error!(first = batch.first, next; "configuration records expired before they were read and no snapshot covers them");
                    tokio::time::sleep(READ_RETRY_DELAY * 25).await;
                }
            }
            continue;
        }
        for record in &batch.records {
            next = record.offset + 1;
            send_event(
                &events,
                Event::Configured(config_record(record.offset, &record.data)),
            )
            .await;
        }
        if next >= batch.next {
            send_event(&events, Event::ConfigCaughtUp(clock.at(batch.requested_at))).await;
        }
    }
}

/// Reads the newest complete snapshot; `None` if there is none or the log cannot be read.
pub async fn newest_snapshot(stream: &Stream) -> Option<Snapshot> {
    let mut assembly = codec::SnapshotAssembler::default();
    let mut newest = None;
    let mut next = 0;
    loop {
        let batch = read(stream, next, Duration::ZERO).await?;
        for record in &batch.records {
            next = record.offset + 1;
            match assembly.push(&record.data) {
                Ok(Some(snapshot)) => newest = Some(snapshot),
                Ok(None) => {}
                Err(error) => log::error!(offset = record.offset, error:%; "snapshot part skipped"),
            }
        }
        if next >= batch.next || batch.records.is_empty() {
            return newest;
        }
    }
}

/// Follows the snapshot stream, so that the state knows when the next snapshot is due.
pub async fn snapshots(stream: Stream, events: Sender<Event>) {
    let mut assembly = codec::SnapshotAssembler::default();
    let mut next = 0;
    while !events.is_closed() {
        let Some(batch) = read(&stream, next, LONG_POLL_TIMEOUT).await else {
            continue;
        };
        next = next.max(batch.first);
        for record in &batch.records {
            next = record.offset + 1;
            if matches!(assembly.push(&record.data), Ok(Some(_))) {
                send_event(&events, Event::SnapshotSeen(record.at)).await;
            }
        }
    }
}

/// Follows the claim stream and reports its batches as events.
pub async fn claims(stream: Stream, clock: Clock, events: Sender<Event>) {
    let mut next = 0;
    let mut has_read = false;
    while !events.is_closed() {
        let poll_timeout = if has_read {
            LONG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let Some(batch) = read(&stream, next, poll_timeout).await else {
            continue;
        };
        if !has_read && batch.first == 0 {
            send_event(&events, Event::ClaimsCoveredFrom(Wall(0))).await;
        } else if batch.first > next {
            let from = batch.records.first().map_or(batch.now, |record| record.at);
            log::warn!(first = batch.first, next; "claim records expired before they were read");
            send_event(&events, Event::ClaimsCoveredFrom(from)).await;
            next = batch.first;
        }
        has_read = true;
        let mut batches = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            next = record.offset + 1;
            match codec::decode_batch(&record.data) {
                Ok(claims) => batches.push(claims),
                Err(error) => {
                    log::error!(offset = record.offset, error:%; "skipping a claim record that cannot be decoded");
                }
            }
        }
        if !batches.is_empty() {
            send_event(&events, Event::Claims(batches)).await;
        }
        if next >= batch.next {
            send_event(&events, Event::ClaimsCaughtUp(clock.at(batch.requested_at))).await;
        }
    }
}

/// Follows the stream of crashes of endpoints and reports its records as events.
pub async fn crashes(stream: Stream, events: Sender<Event>) {
    let mut next = 0;
    let mut poll_timeout = Duration::ZERO;
    while !events.is_closed() {
        let Some(batch) = read(&stream, next, poll_timeout).await else {
            continue;
        };
        poll_timeout = LONG_POLL_TIMEOUT;
        next = next.max(batch.first);
        for record in &batch.records {
            next = record.offset + 1;
            match codec::decode_crash_record(&record.data) {
                Ok(CrashRecord::Part(change)) => {
                    log::info!(offset = record.offset, change:?; "change of a part of prompts is read");
                    send_event(&events, Event::PartCrash(change)).await;
                }
                Ok(CrashRecord::Request(change)) => send_event(&events, Event::Crash(change)).await,
                Err(error) => {
                    log::error!(offset = record.offset, error:%; "skipping a crash record that cannot be decoded");
                }
            }
        }
    }
}

/// Reads the instance list, pausing for `interval` after each read, and reports changes as
/// events.
pub async fn list(client: Client, address: String, interval: Duration, events: Sender<Event>) {
    let mut reader = list::Reader::new(client, address);
    while !events.is_closed() {
        match reader.read().await {
            Ok(Some(list)) => send_event(&events, Event::Listed(list.members, list.peers)).await,
            Ok(None) => {}
            Err(error) => log::warn!(error:%; "instance list could not be read"),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Decodes a configuration record and keeps its data.
#[must_use]
pub fn config_record(offset: u64, data: &Bytes) -> ConfigRecord {
    ConfigRecord {
        data: data.clone(),
        offset,
        record: decode_record(offset, data),
    }
}

/// Decodes a configuration record; one with faults is replaced by an empty record.
#[must_use]
pub fn decode_record(offset: u64, data: &[u8]) -> Record {
    let name = format!("offset {offset}");
    let parsed = std::str::from_utf8(data)
        .map_err(|error| error.to_string())
        .and_then(|text| {
            operator::record::parse(&name, text).map_err(|faults| Error::Faults(faults).to_string())
        });
    parsed.unwrap_or_else(|error| {
        log::error!(offset, error; "ignoring a configuration record with faults");
        Record {
            changes: Vec::new(),
            schema: decision::record::SCHEMA,
        }
    })
}

async fn read(stream: &Stream, next: u64, poll_timeout: Duration) -> Option<RecordBatch> {
    match stream.read(next, poll_timeout).await {
        Ok(batch) => Some(batch),
        Err(error) => {
            log::warn!(stream = stream.name, error:%; "log could not be read");
            tokio::time::sleep(READ_RETRY_DELAY).await;
            None
        }
    }
}
