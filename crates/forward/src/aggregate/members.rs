//! Who adds the load of a failure domain up, and whom an instance talks to.
//!
//! Every instance ranks the instances of a failure domain alike, the strongest first, and
//! passes over those that do not answer it. Two views that differ cost a few words and a
//! sum that lacks some members; they never make one count twice.

use {crate::prelude::*, slotmap::SlotMap};

/// Instances of a failure domain that add up its load; the second one takes over when the
/// first falls silent.
pub const AGGREGATORS_PER_DOMAIN: usize = 2;

/// Other instances up to which words to all cost less than sums.
const MAX_MESH_PEERS: usize = 16;

/// Time without an answer after which an instance is passed over.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a connection to open. An instance that has just started is known to the other
/// side only once its entry was read there.
const CONNECT_GRACE: Duration = Duration::from_millis(1500);

/// First pause before an instance that was passed over is tried again; it doubles.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(1500);

/// Most doublings of [`INITIAL_RETRY_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

slotmap::new_key_type! {
    /// Key of an instance in [`Members`].
    pub struct MemberKey;
}

/// Part of an instance in what instances tell each other.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// One of many that adds up reports of its failure domain.
    Aggregator,
    /// One of few, which all tell each other.
    #[default]
    Mesh,
    /// One of many that reports to aggregators.
    Member,
}

/// Place in a failure domain: processor share, the largest first, then a hash.
pub type Rank = (std::cmp::Reverse<u32>, u64);

/// An instance as it published itself.
#[derive(Clone, Debug)]
struct Member {
    domain: String,
    failures: u32,
    name: String,
    rank: Rank,
    /// When one that was passed over is tried again.
    retry_at: Option<Time>,
    /// Since when it has been talked to without an answer.
    unanswered_since: Option<Time>,
}

impl Member {
    const fn is_responsive(&self) -> bool {
        self.retry_at.is_none()
    }

    fn is_retry_due(&self, now: Time) -> bool {
        self.retry_at.is_some_and(|retry| now >= retry)
    }
}

/// An instance to keep a connection to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    /// The instance.
    pub key: MemberKey,
    /// Whether the other one is expected to keep a connection to this one as well.
    pub mutual: bool,
    /// Whether it stands in the own failure domain.
    pub same_domain: bool,
}

/// All instances that have published themselves, the own one included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    arena: SlotMap<MemberKey, Member>,
    /// Sorted by name.
    names: Vec<(String, MemberKey)>,
    /// Sorted by failure domain, then rank.
    ranks: Vec<(String, Rank, MemberKey)>,
}

impl Members {
    /// Takes the entry of an instance in; `processor` is its share of a core in thousandths.
    /// One that has started anew is tried at once.
    pub fn set(&mut self, name: &str, domain: &str, processor: u32) {
        self.remove(name);
        let rank = rank(name, processor);
        let key = self.arena.insert(Member {
            domain: domain.to_string(),
            failures: 0,
            name: name.to_string(),
            rank,
            retry_at: None,
            unanswered_since: None,
        });
        let index = self
            .names
            .partition_point(|(other, _)| other.as_str() < name);
        self.names.insert(index, (name.to_string(), key));
        let entry = (domain.to_string(), rank, key);
        let index = self.ranks.partition_point(|(other, other_rank, _)| {
            (other.as_str(), other_rank) < (domain, &rank)
        });
        self.ranks.insert(index, entry);
    }

    /// Forgets an instance whose entry is gone.
    pub fn remove(&mut self, name: &str) {
        let Some(key) = self.find(name) else {
            return;
        };
        self.arena.remove(key);
        self.names.retain(|(_, other)| *other != key);
        self.ranks.retain(|(_, _, other)| *other != key);
    }

    /// Instances, the own one included.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.names.len()
    }

    /// Whether there are so many that load is told by sums.
    #[must_use]
    pub const fn is_aggregated(&self) -> bool {
        self.names.len() > MAX_MESH_PEERS + 1
    }

    /// Name of an instance.
    #[must_use]
    pub fn name(&self, key: MemberKey) -> &str {
        self.arena.get(key).map_or("", |member| &member.name)
    }

    /// Failure domain of an instance.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&str> {
        let member = self.arena.get(self.find(name)?)?;
        Some(&member.domain)
    }

    /// Place of an instance in its failure domain; lower ones come first.
    #[must_use]
    pub fn rank(&self, name: &str) -> Option<Rank> {
        let member = self.arena.get(self.find(name)?)?;
        Some(member.rank)
    }

    /// An instance is talked to and owes an answer; one to which no connection is open yet
    /// has some more time.
    pub fn expect_answer(&mut self, key: MemberKey, now: Time, connected: bool) {
        if let Some(member) = self.arena.get_mut(key) {
            let since = if connected {
                now
            } else {
                now.after(CONNECT_GRACE)
            };
            member.unanswered_since.get_or_insert(since);
        }
    }

    /// An instance was heard of.
    pub fn mark_responsive(&mut self, name: &str) {
        let Some(member) = self.find(name).and_then(|key| self.arena.get_mut(key)) else {
            return;
        };
        member.failures = 0;
        member.retry_at = None;
        member.unanswered_since = None;
    }

    /// Passes over instances that have been silent for too long; returns them, so that
    /// their connections are opened anew.
    pub fn skip_unresponsive(&mut self, now: Time) -> Vec<MemberKey> {
        let mut silent = Vec::new();
        for (key, member) in &mut self.arena {
            let since = member.unanswered_since;
            if since.is_some_and(|since| now.since(since) > ANSWER_TIMEOUT) {
                let backoff = INITIAL_RETRY_BACKOFF * 2_u32.pow(member.failures.min(MAX_BACKOFF_DOUBLINGS));
                member.failures = member.failures.saturating_add(1);
                member.retry_at = Some(now.after(backoff));
                member.unanswered_since = None;
                silent.push(key);
            }
        }
        silent
    }

    /// Part of the own instance; a member until its own entry is known, since nobody can say
    /// before how many there are.
    #[must_use]
    pub fn role(&self, own: &str) -> Role {
        let Some(key) = self.find(own) else {
            return Role::Member;
        };
        if !self.is_aggregated() {
            return Role::Mesh;
        }
        let domain = &self.arena[key].domain;
        if self.aggregators(domain, key).contains(&key) {
            return Role::Aggregator;
        }
        Role::Member
    }

    /// Instances to keep a connection to: all others if they are few; else the aggregators
    /// of the own failure domain, and for an aggregator those of the other domains.
    #[must_use]
    pub fn links(&self, own: &str, now: Time) -> Vec<Link> {
        let Some(key) = self.find(own) else {
            return Vec::new();
        };
        let domain = self.arena[key].domain.as_str();
        if !self.is_aggregated() {
            let others = self.arena.iter().filter(|(other, _)| *other != key);
            let links = others.map(|(key, other)| Link {
                key,
                mutual: true,
                same_domain: other.domain == domain,
            });
            return links.collect();
        }
        let aggregates = self.role(own) == Role::Aggregator;
        let mut links = Vec::new();
        let mut last = "";
        for (other, _, _) in &self.ranks {
            let same_domain = other == domain;
            if other == last || !(same_domain || aggregates) {
                continue;
            }
            last = other;
            let chosen = self.aggregators(other, key);
            let chosen = chosen.into_iter().chain(self.due_for_retry(other, now));
            links.extend(chosen.filter(|other| *other != key).map(|key| Link {
                key,
                mutual: aggregates,
                same_domain,
            }));
        }
        links
    }

    /// The aggregators of a failure domain as this instance sees them.
    fn aggregators(&self, domain: &str, own: MemberKey) -> Vec<MemberKey> {
        let responsive = self.ranked(domain).filter(|key| {
            let member = self.arena.get(*key);
            *key == own || member.is_some_and(Member::is_responsive)
        });
        responsive.take(AGGREGATORS_PER_DOMAIN).collect()
    }

    /// One that was passed over and is to be tried again.
    fn due_for_retry(&self, domain: &str, now: Time) -> Option<MemberKey> {
        let mut ranked = self.ranked(domain);
        ranked.find(|key| self.arena.get(*key).is_some_and(|member| member.is_retry_due(now)))
    }

    fn ranked(&self, domain: &str) -> impl Iterator<Item = MemberKey> {
        let from = self
            .ranks
            .partition_point(|(other, _, _)| other.as_str() < domain);
        let to = self
            .ranks
            .partition_point(|(other, _, _)| other.as_str() <= domain);
        self.ranks[from..to].iter().map(|(_, _, key)| *key)
    }

    fn find(&self, name: &str) -> Option<MemberKey> {
        let index = self
            .names
            .binary_search_by(|(other, _)| other.as_str().cmp(name));
        index.ok().map(|index| self.names[index].1)
    }
}

fn rank(name: &str, processor: u32) -> Rank {
    let hash = *blake3::hash(name.as_bytes()).as_bytes();
    let hash = u64::from_le_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ]);
    (std::cmp::Reverse(processor), hash)
}
