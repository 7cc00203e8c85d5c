//! Which instance reads the store, and what the others take from it.
//!
//! Where instances are few the reader tells all others. Where they are many it is one of
//! the aggregators, which tell each other, and each its members.
//!
//! Each read of the store is a call that all instances together have few of, and most of
//! them bring every instance the same records. So one instance reads each topic and
//! passes records on; the others read for themselves only when its word is too old, or
//! when they know that they miss records. Nobody is elected: each instance ranks itself
//! among the fellows it hears, so that two views that differ cost a few calls too many
//! and nothing else.

use crate::{aggregate::members::Role, freshness::Freshness, prelude::*};

/// Topics that are followed.
pub const TOPICS: usize = 3;

/// Time without a word after which a fellow is no longer counted on to read.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time that records may be on their way before they count as missed.
const RELAY_DELAY: Duration = Duration::from_millis(120);

/// The same where they come by way of aggregators, which send them again to a member that
/// reports that it lacks them.
const AGGREGATED_RELAY_DELAY: Duration = Duration::from_millis(500);

/// What an instance says of its knowledge of one topic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Watermark {
    /// How old its knowledge was when it said so; `None` if it knows nothing.
    pub age: Option<Duration>,
    /// Offset after the last record that it has.
    pub position: u64,
}

/// A time of one life of an instance, which its fellows echo.
///
/// The clock of a machine that lost its power starts anew, while fellows go on echoing what
/// they heard before. Taken for a time of the present life it may lie far ahead, and the
/// instance, and all that hear from it, take their knowledge for new for ever: keys that
/// were taken away and routes that were moved stay in use. So a time counts only within
/// the life that gave it out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EchoTimestamp {
    /// Time on the instance's own clock.
    pub at: Time,
    /// Drawn at the start of the process; zero is no life.
    pub incarnation: u64,
}

impl Watermark {
    /// Since when this instance's knowledge is proved by the word, if it has all the records
    /// that its sender had: the sender said so after it had heard of the time `echo`.
    ///
    /// When the word arrives proves nothing. It may have waited in a buffer through a
    /// freeze, and a key that was taken away meanwhile would be used on.
    #[must_use]
    pub fn confirms(self, echo: EchoTimestamp, incarnation: u64, position: u64) -> Option<Time> {
        let age = self.age?;
        (echo.incarnation == incarnation && position >= self.position).then(|| echo.at.before(age))
    }
}

/// Age of knowledge up to which a fellow's word is enough. The reader's own age swings up
/// to 1 s and a word takes up to half a second, so it is hardly ever passed while the
/// reader follows the store; and a change that only others can read yet is known here
/// within the two seconds that it may take.
pub const MAX_WATERMARK_AGE: Duration = Duration::from_millis(1700);

/// The same for the list of instances, whose age bounds nothing.
pub const MAX_INSTANCE_LIST_AGE: Duration = Duration::from_secs(30);

/// Time without a word after which an instance's entry is dropped. A partition lasts
/// minutes as a rule; an hour costs two writes.
const ENTRY_TTL: Duration = Duration::from_mins(5);

/// Why an instance reads a topic itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Fellows have records that did not arrive here.
    Missing,
    /// What is known is older than a fellow's word may make it.
    Old,
    /// It is the one to read it.
    Reader,
    /// Nothing is known yet.
    Start,
    /// A request waits for it.
    Wanted,
}

impl Cause {
    /// Word for logs and metrics.
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

/// What an instance knows itself of a topic.
#[derive(Clone, Copy, Debug)]
pub struct LocalTopic<'a> {
    /// Age up to which a fellow's word is enough.
    pub max_age: Duration,
    /// Age of its knowledge.
    pub freshness: Freshness,
    /// Its name.
    pub name: &'a str,
    /// Offset after the last record that it has.
    pub position: u64,
    /// Its part in what instances tell each other.
    pub role: Role,
    /// Number of the topic, below [`TOPICS`].
    pub topic: usize,
}

/// What one fellow said last.
#[derive(Clone, Debug)]
struct PeerStatus {
    /// When it last spoke as an aggregator.
    aggregated_at: Option<Time>,
    at: Time,
    name: String,
    watermarks: [Watermark; TOPICS],
}

impl PeerStatus {
    fn is_aggregator(&self, now: Time) -> bool {
        self.aggregated_at.is_some_and(|at| now.since(at) <= PEER_TIMEOUT)
    }
}

/// What all fellows said last.
#[derive(Debug, Default)]
pub struct Readers {
    peers: Vec<PeerStatus>,
    /// Since when a fellow has been known to be further, for each topic.
    behind_since: [Option<Time>; TOPICS],
}

impl Readers {
    /// Takes a fellow's words in.
    pub fn update(&mut self, name: &str, at: Time, is_aggregator: bool, watermarks: [Watermark; TOPICS]) {
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
                // An aggregator also reports to the other one of its domain.
                peer.aggregated_at = peer.aggregated_at.or(self.peers[index].aggregated_at);
                self.peers[index] = peer;
            }
            Err(index) => self.peers.insert(index, peer),
        }
    }

    /// Why this instance has to read a topic itself, if it has to.
    ///
    /// Knowledge of the configuration and of endpoints that leave has to be acted on
    /// within two seconds by every instance that reaches the store, also when the reader
    /// does not reach it; callers of a route that was moved would be served by the old
    /// service otherwise.
    pub fn must_read(&mut self, own: LocalTopic<'_>, now: Time) -> Option<Cause> {
        if self.is_reader(own, now) {
            return Some(Cause::Reader);
        }
        if !own.freshness.within(now, own.max_age) {
            return Some(Cause::Old);
        }
        let max_delay = match own.role {
            Role::Mesh => RELAY_DELAY,
            Role::Aggregator | Role::Member => AGGREGATED_RELAY_DELAY,
        };
        self.is_missing_records(own.topic, own.position, now, max_delay)
            .then_some(Cause::Missing)
    }

    /// Whether the instance is the one to read a topic: the first by rank among those who
    /// were heard of late and follow the store; where there are many, among the aggregators
    /// of all failure domains.
    ///
    /// While nobody follows the store, the first of all reads, and the others ask rarely; calls
    /// of an absent store count, and those of one instance tell as much as those of all.
    #[must_use]
    pub fn is_reader(&self, own: LocalTopic<'_>, now: Time) -> bool {
        if own.role == Role::Member {
            return false;
        }
        let candidates = self.peers.iter().filter(|peer| {
            now.since(peer.at) <= PEER_TIMEOUT && (own.role == Role::Mesh || peer.is_aggregator(now))
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
            // A fellow that has lost the store itself is no help, nor is this instance.
            Some(first_rank) => own_rank < first_rank && own.freshness.within(now, own.max_age),
            None => candidates.map(rank_of).all(|other| own_rank < other),
        }
    }

    /// Whether records that a read for `cause` has brought are passed on to fellows.
    ///
    /// The reader passes on what it reads, and so does whoever found that its knowledge had
    /// grown old: the store has turned the reader away then, and perhaps others, who get
    /// them in no other way. One would notice a route that was moved, or a key that was
    /// taken away, still in use there three seconds later.
    #[must_use]
    pub fn should_relay(&self, cause: Cause, own: LocalTopic<'_>, now: Time) -> bool {
        cause == Cause::Old || self.is_reader(own, now)
    }

    /// Whether the entry of a fellow that has been listed since `listed` is to be dropped:
    /// its holder has not been heard of for long.
    ///
    /// Instances are replaced under new names all the time. Their entries would pile up
    /// without end, each with a connection that is tried again and a part of every joint
    /// limit; one would notice limits that shrink day by day. A holder that lives behind a
    /// partition finds its entry gone and writes it again.
    #[must_use]
    pub fn is_dead(&self, name: &str, listed: Time, now: Time) -> bool {
        let index = self
            .peers
            .binary_search_by(|other| other.name.as_str().cmp(name));
        let last_seen = index.map_or(listed, |index| self.peers[index].at.max(listed));
        now.since(last_seen) > ENTRY_TTL
    }

    /// Forgets a fellow whose entry is gone.
    pub fn forget(&mut self, name: &str) {
        self.peers.retain(|peer| peer.name != name);
    }

    /// Whether no fellow was heard of late.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        !self.peers.iter().any(|peer| now.since(peer.at) <= PEER_TIMEOUT)
    }

    /// Whether an aggregator was heard of late.
    #[must_use]
    pub fn has_aggregator(&self, now: Time) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|peer| peer.is_aggregator(now))
    }

    /// Whether records at `position` and beyond are known to a fellow and have not arrived
    /// here within the time that they may be on their way.
    fn is_missing_records(&mut self, topic: usize, position: u64, now: Time, max_delay: Duration) -> bool {
        let peer_is_ahead = self
            .peers
            .iter()
            .any(|peer| now.since(peer.at) <= PEER_TIMEOUT && peer.watermarks[topic].position > position);
        if !peer_is_ahead {
            self.behind_since[topic] = None;
            return false;
        }
        let since = *self.behind_since[topic].get_or_insert(now);
        now.since(since) >= max_delay
    }
}

/// Place of an instance in the order of readers; each topic has an order of its own, so
/// that the work is spread.
fn rank(name: &str, topic: usize) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::try_from(topic).unwrap_or(u8::MAX)]);
    hasher.update(name.as_bytes());
    let hash = *hasher.finalize().as_bytes();
    u64::from_le_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
}
