//! Relay of the configuration between instances.
//!
//! An instance that is cut off from the log, or meets a log that is down, still
//! has to learn within seconds that a failure domain was taken out. Instances
//! tell a few fixed fellows how far they have read and how fresh that is; the
//! others hand over what is lacking. Each has a constant number of fellows, so
//! the cost does not grow with the number of instances.

use crate::{event::Peer, prelude::*, routing::rendezvous};

/// Bytes of records kept to hand on.
const MAX_HISTORY_BYTES: usize = 8 << 20;

/// Bytes of records handed over at once.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Fellows in other failure domains that are asked in turn.
const MAX_REMOTE_PEERS: usize = 4;

/// How far an instance has read the configuration.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// Time since that was known to be all.
    pub age: Option<Duration>,
    /// Offset of the first record it lacks.
    pub next: u64,
}

/// A record with its text.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRecord {
    /// The text as it stands in the log.
    pub data: Bytes,
    /// Offset.
    pub offset: u64,
    /// The record.
    pub record: Record,
}

/// What a fellow instance said.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// When it was asked.
    pub asked: Time,
    /// What it knows.
    pub watermark: Watermark,
    /// Records that were lacking here, in order.
    pub records: Vec<ConfigRecord>,
    /// The whole configuration, if the records lacking are not kept any more.
    pub snapshot: Option<Snapshot>,
}

/// Records kept to hand on, in order without gaps.
#[derive(Debug, Default)]
pub struct History {
    bytes: usize,
    records: VecDeque<(u64, Bytes)>,
}

impl History {
    /// Keeps a record, letting go of the oldest ones over the bound.
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

    /// Forgets everything, after a start from a snapshot.
    pub fn clear(&mut self) {
        self.bytes = 0;
        self.records.clear();
    }

    /// Whether `next` lies before everything kept, so that only a snapshot helps.
    #[must_use]
    pub fn needs_snapshot(&self, next: u64, own: u64) -> bool {
        let first = self.records.front().map_or(own, |(offset, _)| *offset);
        next < first
    }

    /// Records from `next` on, as many as fit into a message; none if `next` is not kept.
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
    /// What this instance knows.
    #[must_use]
    pub fn watermark(&self, now: Time) -> Watermark {
        Watermark {
            age: self.staleness(now),
            next: self.config.next(),
        }
    }

    /// Takes in what a fellow instance said.
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
        // The fellow knew all there was `age` before it answered; once this
        // instance has as much, it knew all there was at that time, too.
        if self.config.next() >= update.watermark.next {
            self.mark_config_current(update.asked.before(age));
        }
    }

    /// The fellows to ask now.
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

    /// The next instance of the own failure domain, in a ring by name.
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
