//! Relay of the configuration between instances.
//!
//! An instance that cannot reach the log must still learn within seconds that a failure
//! domain was disabled. Instances send their watermark to a few fixed peers, which answer
//! with the records that the sender lacks. The number of peers is constant, so the cost per
//! instance does not grow with the number of instances.

use crate::{event::Peer, prelude::*, routing::rendezvous};

/// Total size of the records kept for peers.
const MAX_HISTORY_BYTES: usize = 8 << 20;

/// Total size of the records in one answer.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Number of peers in other failure domains that are queried in turn.
const MAX_REMOTE_PEERS: usize = 4;

/// How far an instance has read the configuration stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// Time since this was known to be the end of the stream.
    pub age: Option<Duration>,
    /// Offset of the first record that was not read.
    pub next: u64,
}

/// A configuration record as read and as decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRecord {
    /// The record as stored in the log.
    pub data: Bytes,
    /// Offset.
    pub offset: u64,
    /// The decoded record.
    pub record: Record,
}

/// Answer of a peer.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// When the request was sent.
    pub sent_at: Time,
    /// Watermark of the peer.
    pub watermark: Watermark,
    /// Records that this instance lacks, in order.
    pub records: Vec<ConfigRecord>,
    /// The whole configuration, if the peer no longer keeps those records.
    pub snapshot: Option<Snapshot>,
}

/// Records kept for peers, in order and without gaps.
#[derive(Debug, Default)]
pub struct History {
    bytes: usize,
    records: VecDeque<(u64, Bytes)>,
}

impl History {
    /// Appends a record and evicts the oldest ones beyond `MAX_HISTORY_BYTES`.
    pub fn push(&mut self, offset: u64, data: Bytes) {
        self.bytes += data.len();
        self.records.push_back((offset, data));
        while self.bytes > MAX_HISTORY_BYTES {
            let Some((_, data)) = self.records.pop_front() else {
                return;
            };
            self.bytes -= data.len();
        }
    }

    /// Removes all records, which a snapshot has made discontiguous.
    pub fn clear(&mut self) {
        self.bytes = 0;
        self.records.clear();
    }

    /// Whether records from `next` on are no longer kept, so that a snapshot is needed.
    ///
    /// `own` is the offset after the last record that this instance has read.
    #[must_use]
    pub fn needs_snapshot(&self, next: u64, own: u64) -> bool {
        let first = self.records.front().map_or(own, |(offset, _)| *offset);
        next < first
    }

    /// Records from `next` on, as many as fit into one answer; none if `next` is not kept.
    #[must_use]
    pub fn records_from(&self, next: u64) -> Vec<(u64, Bytes)> {
        let first = self.records.partition_point(|(offset, _)| *offset < next);
        let available = self
            .records
            .get(first)
            .is_some_and(|(offset, _)| *offset == next);
        if !available {
            return Vec::new();
        }
        let mut bytes = 0;
        let records = self.records.iter().skip(first);
        records
            .take_while(|(_, data)| {
                bytes += data.len();
                bytes <= MAX_REPLY_BYTES
            })
            .cloned()
            .collect()
    }
}

impl State {
    /// How far this instance has read the configuration stream.
    #[must_use]
    pub fn watermark(&self, now: Time) -> Watermark {
        Watermark {
            age: self.staleness(now),
            next: self.config.next(),
        }
    }

    /// Applies the answer of a peer.
    pub(crate) fn apply_peer_update(
        &mut self,
        now: Time,
        update: PeerUpdate,
        out: &mut Vec<Action>,
    ) {
        if let Some(snapshot) = update.snapshot {
            self.restore(now, snapshot, out);
        }
        for record in update.records {
            self.apply_config_record(now, record, out);
        }
        let Some(age) = update.watermark.age else {
            return;
        };
        // The peer had read to the end of the stream `age` before it answered, so this
        // instance, having read as far, is as fresh. The time of the request is a lower bound
        // of the time of the answer.
        if self.config.next() >= update.watermark.next {
            self.mark_config_current(update.sent_at.before(age));
        }
    }

    /// The peers to query in this round: one in the own failure domain, one in another.
    pub(crate) fn gossip_peers(&self, round: u64) -> Vec<&Peer> {
        let mut selected = Vec::new();
        selected.extend(self.next_local_peer());
        let mut remote_peers = self
            .peers
            .iter()
            .filter(|peer| peer.domain != self.domain)
            .collect::<Vec<_>>();
        remote_peers.sort_by_cached_key(|peer| rendezvous(&self.name, &peer.name));
        remote_peers.truncate(MAX_REMOTE_PEERS);
        if !remote_peers.is_empty() {
            let index = usize::try_from(round % remote_peers.len() as u64).unwrap_or(0);
            selected.push(remote_peers[index]);
        }
        selected
    }

    /// The next instance in the own failure domain, on a ring sorted by name.
    fn next_local_peer(&self) -> Option<&Peer> {
        let own = || {
            let peers = self.peers.iter();
            peers.filter(|peer| peer.domain == self.domain && peer.name != self.name)
        };
        own()
            .find(|peer| peer.name > self.name)
            .or_else(|| own().next())
    }
}
