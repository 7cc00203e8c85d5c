//! Registered instances, their roles, and the links between them.
//!
//! Every instance ranks the instances of a failure domain in the same order and skips those that do
//! not answer it. Where these views differ, there are a few extra messages and a sum that lacks
//! some members, but nothing is counted twice.

use {crate::prelude::*, slotmap::SlotMap};

/// Number of aggregators in a failure domain; the second one replaces the first if that fails.
pub const AGGREGATORS_PER_DOMAIN: usize = 2;

/// Maximum number of other instances for which each instance reports to all others.
const MAX_MESH_PEERS: usize = 16;

/// Time without an answer after which an instance is skipped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Additional time for opening a connection, since the other side accepts it only once it has read
/// the entry of this instance.
const CONNECT_GRACE: Duration = Duration::from_millis(1500);

/// Backoff before a skipped instance is tried again; it doubles with each failure.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(1500);

/// Maximum number of doublings of [`INITIAL_RETRY_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Odd multiplier that mixes the low bits of a hash into the high ones (Knuth).
const ORDER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

slotmap::new_key_type! {
    /// Key of an instance in [`Members`].
    pub struct MemberKey;
}

/// Role of an instance in the exchange of reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Where there are many instances: adds up the reports of its failure domain.
    Aggregator,
    /// Where there are few instances: reports to all others.
    #[default]
    Equal,
    /// Where there are many instances: reports to the aggregators of its failure domain.
    Member,
}

/// Rank in a failure domain: largest processor share first, then by hash.
pub type Rank = (std::cmp::Reverse<u32>, u64);

/// A registered instance.
#[derive(Clone, Debug)]
struct Member {
    domain: String,
    failures: u32,
    name: String,
    rank: Rank,
    /// When it is tried again, if it is skipped.
    retry_at: Option<Time>,
    /// When the oldest unanswered message was sent to it; [`CONNECT_GRACE`] later if there was no
    /// open connection.
    unanswered_since: Option<Time>,
}

impl Member {
    const fn is_responsive(&self) -> bool {
        self.retry_at.is_none()
    }

    fn due(&self, now: Time) -> bool {
        self.retry_at.is_some_and(|retry| now >= retry)
    }
}

/// An instance to keep a connection to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Link {
    /// The instance.
    pub key: MemberKey,
    /// Whether the other instance also keeps a connection to this one.
    pub mutual: bool,
    /// Whether it is in the same failure domain as this instance.
    pub same_domain: bool,
}

/// All registered instances, this one included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    arena: SlotMap<MemberKey, Member>,
    /// Sorted by name.
    names: Vec<(String, MemberKey)>,
    /// Sorted by failure domain, then rank.
    ranks: Vec<(String, Rank, MemberKey)>,
}

impl Members {
    /// Adds or replaces an instance; `processor` is its share of a core in thousandths. A replaced
    /// one is no longer skipped.
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

    /// Removes an instance whose entry was removed.
    pub fn remove(&mut self, name: &str) {
        let Some(key) = self.find(name) else {
            return;
        };
        self.arena.remove(key);
        self.names.retain(|(_, other)| *other != key);
        self.ranks.retain(|(_, _, other)| *other != key);
    }

    /// Number of instances, this one included.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.names.len()
    }

    /// Whether there are so many instances that load is aggregated.
    #[must_use]
    pub const fn is_aggregated(&self) -> bool {
        self.names.len() > MAX_MESH_PEERS + 1
    }

    /// Name of an instance.
    #[must_use]
    pub fn name(&self, key: MemberKey) -> &str {
        self.arena.get(key).map_or("", |member| &member.name)
    }

    /// Name and failure domain of all instances but `own`, each with a number by which `own` orders
    /// them unlike others do.
    #[must_use]
    pub fn others(&self, own: &str) -> Vec<(&str, &str, u64)> {
        let seed = self.rank(own).map_or(0, |(_, hash)| hash);
        let others = self.arena.values().filter(|member| member.name != own);
        let others = others.map(|member| {
            let order = (member.rank.1 ^ seed).wrapping_mul(ORDER_MULTIPLIER);
            (member.name.as_str(), member.domain.as_str(), order)
        });
        others.collect()
    }

    /// Failure domain of an instance.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<&str> {
        let member = self.arena.get(self.find(name)?)?;
        Some(&member.domain)
    }

    /// Rank of an instance in its failure domain; lower ones come first.
    #[must_use]
    pub fn rank(&self, name: &str) -> Option<Rank> {
        let member = self.arena.get(self.find(name)?)?;
        Some(member.rank)
    }

    /// Number of instances of all failure domains with a lower rank.
    #[must_use]
    pub fn position(&self, name: &str) -> usize {
        let Some(own) = self.rank(name) else {
            return usize::MAX;
        };
        self.ranks.iter().filter(|(_, rank, _)| *rank < own).count()
    }

    /// Records that a message was sent to an instance, which has to answer in time. Without an open
    /// connection it gets `CONNECT_GRACE` more.
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

    /// Records that a message was received from an instance.
    pub fn mark_responsive(&mut self, name: &str) {
        let Some(member) = self.find(name).and_then(|key| self.arena.get_mut(key)) else {
            return;
        };
        member.failures = 0;
        member.retry_at = None;
        member.unanswered_since = None;
    }

    /// Skips instances that did not answer in time; returns them, so that the caller can reconnect.
    pub fn skip_unresponsive(&mut self, now: Time) -> Vec<MemberKey> {
        let mut silent = Vec::new();
        for (key, member) in &mut self.arena {
            let since = member.unanswered_since;
            if since.is_some_and(|since| now.since(since) > ANSWER_TIMEOUT) {
                let backoff =
                    INITIAL_RETRY_BACKOFF * 2_u32.pow(member.failures.min(MAX_BACKOFF_DOUBLINGS));
                member.failures = member.failures.saturating_add(1);
                member.retry_at = Some(now.after(backoff));
                member.unanswered_since = None;
                silent.push(key);
            }
        }
        silent
    }

    /// Role of this instance; [`Role::Member`] until its own entry is known, since the number of
    /// instances is unknown before.
    #[must_use]
    pub fn role(&self, own: &str) -> Role {
        let Some(key) = self.find(own) else {
            return Role::Member;
        };
        if !self.is_aggregated() {
            return Role::Equal;
        }
        let domain = &self.arena[key].domain;
        if self.aggregators(domain, key).contains(&key) {
            return Role::Aggregator;
        }
        Role::Member
    }

    /// Instances to keep a connection to: all others where there are few; else the aggregators of
    /// the own failure domain, and for an aggregator also those of the other domains.
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

    /// The first responsive instance of a failure domain by rank, `own` included; else the first one of all.
    /// `is_heard` tells whether an instance has been heard just now.
    #[must_use]
    pub fn first_responsive(
        &self,
        domain: &str,
        own: &str,
        is_heard: impl Fn(&str) -> bool,
    ) -> Option<&str> {
        let all = self.ranks.iter().map(|(_, _, key)| *key);
        let mut names = self.ranked(domain).chain(all).filter_map(|key| {
            let member = self.arena.get(key)?;
            let is_responsive = member.is_responsive() && is_heard(&member.name);
            (member.name == own || is_responsive).then_some(member.name.as_str())
        });
        names.next()
    }

    /// The first skipped instance that is due for another try.
    fn due_for_retry(&self, domain: &str, now: Time) -> Option<MemberKey> {
        let mut ranked = self.ranked(domain);
        ranked.find(|key| self.arena.get(*key).is_some_and(|member| member.due(now)))
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
