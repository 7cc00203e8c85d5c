//! Selection of the instance that reads the store, and relaying to the others.
//!
//! The store limits the total call rate of all instances. For each topic one instance reads and
//! relays the records: to all others where there are few instances, else as one of the aggregators
//! to the other aggregators, which relay to their members. The others read only if the reader's
//! watermark is too old or if they lack records. There is no election: each instance ranks itself
//! among the peers it receives reports from. Where these views differ, the only harm is a few extra
//! calls.

use crate::{aggregate::members::Role, freshness::Freshness, prelude::*};

/// Number of topics in the store.
pub const TOPICS: usize = 5;

/// Time without a report after which a peer no longer counts as a reader.
const PEER_TTL: Duration = Duration::from_millis(1500);

/// Time that relayed records may take before they count as missing.
const RELAY_DELAY: Duration = Duration::from_millis(120);

/// The same for records that are relayed by aggregators, which also resend them to a member that
/// reports a lower position.
const AGGREGATED_RELAY_DELAY: Duration = Duration::from_millis(500);

/// Position in a topic that an instance reports to peers, and the age of its data.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// Age of its knowledge when it sent the report; `None` if it has none.
    pub age: Option<Duration>,
    /// Offset after the last record that it has.
    pub position: u64,
}

/// A timestamp of an instance that peers echo back, valid in one incarnation only.
///
/// The clock of a machine restarts after a power loss, while peers still echo timestamps of the
/// previous incarnation. These may be far in the future of the new clock, and knowledge confirmed
/// by them would never expire: revoked keys and old routes would stay in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EchoTimestamp {
    /// Time by the clock of the instance.
    pub at: Time,
    /// Random number drawn at the start of the process; zero is never valid.
    pub incarnation: u64,
}

impl Watermark {
    /// Time for which the watermark confirms this instance's knowledge: the sender reported it
    /// after it received `echo`, and this instance has all the records that the sender had.
    ///
    /// The arrival time of the report is not used, since the report may have waited in a buffer
    /// while the process was frozen.
    #[must_use]
    pub fn confirms(self, echo: EchoTimestamp, incarnation: u64, position: u64) -> Option<Time> {
        let age = self.age?;
        (echo.incarnation == incarnation && position >= self.position).then(|| echo.at.before(age))
    }
}

/// Maximum age of a peer's watermark before an instance reads by itself. The reader's own age is at
/// most about 1 s and a report takes up to 0.5 s, so it is rarely exceeded while the reader works.
/// Changes that only other instances can read are still applied within the required 2 s.
pub const MAX_WATERMARK_AGE: Duration = Duration::from_millis(1700);

/// The same for the list of instances, on which no deadline depends.
pub const MAX_INSTANCE_LIST_AGE: Duration = Duration::from_secs(30);

/// Maximum age of a watermark for crashes of endpoints. Longer than for the configuration, since an
/// instance that publishes a crash makes sure that its peers learn of it.
pub const MAX_CRASHES_AGE: Duration = Duration::from_secs(15);

/// Time without a report after which the entry of an instance is removed. A partition usually lasts
/// minutes; an instance whose entry was removed writes it again.
const ENTRY_TTL: Duration = Duration::from_mins(5);

/// Why an instance reads a topic itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Peers have records that did not arrive here.
    Missing,
    /// The knowledge is older than allowed.
    Old,
    /// It is the reader of the topic.
    Reader,
    /// Nothing is known yet.
    Start,
    /// A request waits for a read.
    Wanted,
}

impl Cause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Old => "old",
            Self::Reader => "reader",
            Self::Start => "start",
            Self::Wanted => "wanted",
        }
    }
}

/// State of a topic at this instance.
#[derive(Clone, Copy, Debug)]
pub struct LocalTopic<'a> {
    /// Maximum age of a peer's watermark before this instance reads by itself.
    pub max_age: Duration,
    /// Age of its knowledge.
    pub freshness: Freshness,
    /// Name of the instance.
    pub name: &'a str,
    /// Offset after the last record that it has.
    pub position: u64,
    /// Role of the instance.
    pub role: Role,
    /// Index of the topic, below [`TOPICS`].
    pub topic: usize,
}

/// Last report of one peer.
#[derive(Clone, Debug)]
struct PeerStatus {
    /// When it last reported as an aggregator.
    aggregated_at: Option<Time>,
    at: Time,
    name: String,
    watermarks: [Watermark; TOPICS],
}

impl PeerStatus {
    fn is_aggregator(&self, now: Time) -> bool {
        self.aggregated_at
            .is_some_and(|at| now.since(at) <= PEER_TTL)
    }
}

/// Last reports of all peers.
#[derive(Debug, Default)]
pub struct Readers {
    peers: Vec<PeerStatus>,
    /// Since when a peer has been ahead, for each topic.
    behind_since: [Option<Time>; TOPICS],
}

impl Readers {
    /// Applies a report of a peer.
    pub fn update(
        &mut self,
        name: &str,
        at: Time,
        is_aggregator: bool,
        watermarks: [Watermark; TOPICS],
    ) {
        let mut peer = PeerStatus {
            aggregated_at: is_aggregator.then_some(at),
            at,
            name: name.to_string(),
            watermarks,
        };
        match self
            .peers
            .binary_search_by(|other| other.name.as_str().cmp(name))
        {
            Ok(index) => {
                // An aggregator also sends reports as a member to the other aggregator of its
                // domain.
                peer.aggregated_at = peer.aggregated_at.or(self.peers[index].aggregated_at);
                self.peers[index] = peer;
            }
            Err(index) => self.peers.insert(index, peer),
        }
    }

    /// Why this instance has to read a topic itself; `None` if it does not.
    ///
    /// Every instance that reaches the store has to apply configuration changes and leaving
    /// endpoints within 2 s, even if the reader does not reach the store; otherwise callers would
    /// be served by the old configuration.
    pub fn read_cause(&mut self, own: LocalTopic<'_>, now: Time) -> Option<Cause> {
        if self.is_reader(own, now) {
            return Some(Cause::Reader);
        }
        if !own.freshness.within(now, own.max_age) {
            return Some(Cause::Old);
        }
        let max_delay = match own.role {
            Role::Equal => RELAY_DELAY,
            Role::Aggregator | Role::Member => AGGREGATED_RELAY_DELAY,
        };
        self.is_missing_records(own.topic, own.position, now, max_delay)
            .then_some(Cause::Missing)
    }

    /// Whether this instance is the reader: the first by rank among the active instances whose
    /// knowledge is recent. Where there are many instances only aggregators, of all failure
    /// domains, are candidates.
    ///
    /// While nobody reaches the store, the first by rank of all candidates keeps trying and the
    /// others rarely do, since failed calls count against the rate limit too, and those of one
    /// instance tell as much as those of all.
    #[must_use]
    pub fn is_reader(&self, own: LocalTopic<'_>, now: Time) -> bool {
        if own.role == Role::Member {
            return false;
        }
        let candidates = self.peers.iter().filter(|peer| {
            now.since(peer.at) <= PEER_TTL && (own.role == Role::Equal || peer.is_aggregator(now))
        });
        let is_current = |peer: &&PeerStatus| {
            peer.watermarks[own.topic]
                .age
                .is_some_and(|age| age <= own.max_age)
        };
        let rank_of = |peer: &PeerStatus| rank(&peer.name, own.topic);
        let first_rank = candidates.clone().filter(is_current).map(rank_of).min();
        let own_rank = rank(own.name, own.topic);
        match first_rank {
            // An instance whose knowledge is too old probably does not reach the store.
            Some(first_rank) => own_rank < first_rank && own.freshness.within(now, own.max_age),
            None => candidates.map(rank_of).all(|other| own_rank < other),
        }
    }

    /// Whether records that were read for `cause` are relayed to peers.
    ///
    /// The reader relays what it reads. So does an instance whose knowledge was too old: the store
    /// is then unreachable for the reader and perhaps for others, which would keep using outdated
    /// routes and revoked keys.
    #[must_use]
    pub fn should_relay(&self, cause: Cause, own: LocalTopic<'_>, now: Time) -> bool {
        cause == Cause::Old || self.is_reader(own, now)
    }

    /// Whether the entry of a peer, listed since `listed`, is to be removed because nothing was
    /// received from the peer for `ENTRY_TTL`.
    ///
    /// Replaced instances get new names. Without removal their entries would accumulate, and each
    /// costs connection attempts and a share of every shared limit, so that the shares would shrink
    /// day by day.
    #[must_use]
    pub fn is_dead(&self, name: &str, listed: Time, now: Time) -> bool {
        let index = self
            .peers
            .binary_search_by(|other| other.name.as_str().cmp(name));
        let last_seen = index.map_or(listed, |index| self.peers[index].at.max(listed));
        now.since(last_seen) > ENTRY_TTL
    }

    /// Forgets a peer whose entry was removed.
    pub fn forget(&mut self, name: &str) {
        self.peers.retain(|peer| peer.name != name);
    }

    /// Whether no peer has reported recently.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        !self.peers.iter().any(|peer| now.since(peer.at) <= PEER_TTL)
    }

    /// Whether an aggregator has reported recently.
    #[must_use]
    pub fn has_aggregator(&self, now: Time) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|peer| peer.is_aggregator(now))
    }

    /// Whether a peer has had records at `from` or later for longer than `max_delay`, and they
    /// have not arrived here.
    fn is_missing_records(
        &mut self,
        topic: usize,
        from: u64,
        now: Time,
        max_delay: Duration,
    ) -> bool {
        let peer_is_ahead = self
            .peers
            .iter()
            .any(|peer| now.since(peer.at) <= PEER_TTL && peer.watermarks[topic].position > from);
        if !peer_is_ahead {
            self.behind_since[topic] = None;
            return false;
        }
        let since = *self.behind_since[topic].get_or_insert(now);
        now.since(since) >= max_delay
    }
}

/// Rank of an instance as reader of a topic; it differs between topics to spread the work.
fn rank(name: &str, topic: usize) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::try_from(topic).unwrap_or(u8::MAX)]);
    hasher.update(name.as_bytes());
    let hash = *hasher.finalize().as_bytes();
    u64::from_le_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
}
