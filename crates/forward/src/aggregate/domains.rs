//! Sums of the other failure domains.
//!
//! Both aggregators of a domain may send sums at the same time. Only one sum counts: the first by
//! rank, unless it covers far fewer members than another, as after a freeze of its aggregator.

use {
    super::{SUM_LIFETIME, add_rows, members::Rank, row_load, set_row},
    crate::{endpoint::Load, load::Report, prelude::*},
};

/// Part of the sum of a failure domain, as sent in one message.
#[derive(Clone, Debug, Default)]
pub struct SumPart {
    /// First and last digest of the range that it replaces, in which a digest without a row has no
    /// load; `None` for an update of single rows.
    pub covers: Option<(u32, u32)>,
    /// Number of instances in the sum.
    pub members: u32,
    /// Orders the messages of one incarnation of the sender.
    pub number: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Load by digest of the endpoint, sorted.
    pub rows: Report,
}

/// Last sum of one aggregator.
#[derive(Debug)]
struct Sum {
    at: Time,
    incarnation: u64,
    members: u32,
    number: u64,
    rank: Rank,
    rows: Report,
    sender: String,
}

/// Sums of the aggregators of one domain.
#[derive(Debug)]
struct Domain {
    name: String,
    /// Sorted by rank.
    sums: Vec<Sum>,
}

impl Domain {
    fn chosen(&self) -> Option<&Sum> {
        let max_members = self.sums.iter().map(|sum| sum.members).max()?;
        self.sums
            .iter()
            .find(|sum| covers_enough_members(sum.members, max_members))
    }
}

/// Whether an aggregator covers nearly as many members as the one with the most.
pub(crate) const fn covers_enough_members(members: u32, max_members: u32) -> bool {
    members.saturating_mul(5) >= max_members.saturating_mul(4)
}

/// Sums of the other failure domains.
#[derive(Debug, Default)]
pub struct Domains {
    /// Sorted by name.
    domains: Vec<Domain>,
}

impl Domains {
    /// Applies a part of the sum of a domain, unless a later one was applied already; `rank` is the
    /// rank of the sender.
    pub fn update(&mut self, now: Time, name: &str, sender: &str, rank: Rank, part: &SumPart) {
        let domain = match self
            .domains
            .binary_search_by(|other| other.name.as_str().cmp(name))
        {
            Ok(found) => &mut self.domains[found],
            Err(found) => {
                let name = name.to_string();
                let sums = Vec::new();
                self.domains.insert(found, Domain { name, sums });
                &mut self.domains[found]
            }
        };
        let known = domain.sums.iter().position(|sum| sum.sender == sender);
        if let Some(known) = known
            && domain.sums[known].incarnation != part.incarnation
        {
            domain.sums.remove(known);
        }
        let known = domain.sums.iter().position(|sum| sum.sender == sender);
        let known = known.unwrap_or_else(|| {
            let found = domain.sums.partition_point(|sum| sum.rank < rank);
            let sum = Sum {
                at: now,
                incarnation: part.incarnation,
                members: 0,
                number: 0,
                rank,
                rows: Vec::new(),
                sender: sender.to_string(),
            };
            domain.sums.insert(found, sum);
            found
        });
        let sum = &mut domain.sums[known];
        if sum.number > part.number {
            return;
        }
        sum.at = now;
        sum.members = part.members;
        sum.number = part.number;
        if let Some((from, to)) = part.covers {
            sum.rows
                .retain(|(digest, _)| *digest < from || *digest > to);
        }
        for (digest, load) in &part.rows {
            set_row(&mut sum.rows, *digest, *load);
        }
    }

    /// Drops expired sums.
    pub fn expire(&mut self, now: Time) {
        for domain in &mut self.domains {
            domain.sums.retain(|sum| now.since(sum.at) <= SUM_LIFETIME);
        }
    }

    /// Aggregators that sent a sum recently.
    #[must_use]
    pub fn senders(&self) -> Vec<String> {
        let sums = self.domains.iter().flat_map(|domain| &domain.sums);
        sums.map(|sum| sum.sender.clone()).collect()
    }

    /// Load of the other domains at an endpoint.
    #[must_use]
    pub fn at(&self, digest: u32) -> Load {
        let mut load = Load::default();
        for sum in self.chosen() {
            load.add(row_load(&sum.rows, digest));
        }
        load
    }

    /// Adds the sums of all domains to `sums`.
    pub fn add_to(&self, sums: &mut Report) {
        for sum in self.chosen() {
            add_rows(sums, &sum.rows);
        }
    }

    /// Number of instances in the sums that count.
    #[must_use]
    pub fn members(&self) -> u32 {
        let members = self.chosen().map(|sum| sum.members);
        members.fold(0, u32::saturating_add)
    }

    fn chosen(&self) -> impl Iterator<Item = &Sum> {
        self.domains.iter().filter_map(Domain::chosen)
    }
}
