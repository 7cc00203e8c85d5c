//! What customers ask other instances for, from their reports.
//!
//! Nothing is counted twice: an aggregator adds one report for each member of its failure domain and one sum
//! for each other domain; a member uses the total of one aggregator, less its own report in it.

use {
    super::rates::{Row, add_rows, subtract_rows},
    crate::{
        aggregate::{domains::covers_enough_members, members::Rank},
        prelude::*,
    },
    std::collections::VecDeque,
};

/// Time after which a report no longer counts; longer than the window that it covers.
pub const LIFETIME: Duration = Duration::from_secs(3);

/// Number of own reports that are kept until they are answered.
const MAX_PENDING_REPORTS: usize = 16;

/// What a report covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The requests of the sender.
    Instance,
    /// Those of all instances of its failure domain.
    Domain,
    /// Those of all instances, the recipient included, as of its report with this number.
    All(u64),
}

/// A report of another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Number of instances that it covers.
    pub members: u32,
    /// Orders the reports of a sender.
    pub number: u64,
    /// Rank of the sender.
    pub rank: Rank,
    /// Sorted by key.
    pub rows: Vec<Row>,
    /// What it covers.
    pub scope: Scope,
}

/// The last report of a sender.
#[derive(Clone, Debug)]
struct Known {
    at: Time,
    /// Failure domain of the sender.
    domain: String,
    report: Report,
    sender: String,
}

/// Reports of other instances.
#[derive(Debug, Default)]
pub struct Sums {
    /// Own reports by number, the oldest first.
    own: VecDeque<(u64, Vec<Row>)>,
    /// Of other failure domains, sorted by domain, then by rank.
    domains: Vec<Known>,
    /// Of single instances, sorted like those of domains.
    instances: Vec<Known>,
    /// Answers of aggregators, sorted like those of domains.
    totals: Vec<Known>,
}

impl Sums {
    /// Records a report of this instance that is sent to aggregators.
    pub fn record_report(&mut self, number: u64, rows: Vec<Row>) {
        if self.own.len() >= MAX_PENDING_REPORTS {
            self.own.pop_front();
        }
        self.own.push_back((number, rows));
    }

    /// Takes the report of another instance, unless a later one was taken.
    pub fn update(&mut self, now: Time, domain: &str, sender: &str, report: Report) {
        let list = match report.scope {
            Scope::Instance => &mut self.instances,
            Scope::Domain => &mut self.domains,
            Scope::All(number) => {
                if !self.own.iter().any(|(other, _)| *other == number) {
                    return;
                }
                &mut self.totals
            }
        };
        if let Some(known) = list.iter().position(|known| known.sender == sender) {
            if list[known].report.number > report.number {
                return;
            }
            list.remove(known);
        }
        let known = Known {
            at: now,
            domain: domain.to_string(),
            report,
            sender: sender.to_string(),
        };
        let order = |known: &Known| (known.domain.clone(), known.report.rank);
        let position = list.partition_point(|other| order(other) < order(&known));
        list.insert(position, known);
    }

    /// Forgets the reports of a sender that has restarted.
    pub fn forget(&mut self, sender: &str) {
        for list in [&mut self.domains, &mut self.instances, &mut self.totals] {
            list.retain(|known| known.sender != sender);
        }
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Time) {
        for list in [&mut self.domains, &mut self.instances, &mut self.totals] {
            list.retain(|known| now.since(known.at) <= LIFETIME);
        }
    }

    /// What the instances of a failure domain, this one included, are asked for, and their number.
    #[must_use]
    pub fn domain(&self, now: Time, domain: &str, own: &[Row]) -> (Vec<Row>, u32) {
        self.instances(now, own, |other| other == domain)
    }

    /// What this instance and those in failure domains that are `included` are asked for, and their
    /// number.
    fn instances(
        &self,
        now: Time,
        own: &[Row],
        included: impl Fn(&str) -> bool,
    ) -> (Vec<Row>, u32) {
        let mut sum = own.to_vec();
        let mut members = 1;
        for known in fresh(&self.instances, now).filter(|known| included(&known.domain)) {
            add_rows(&mut sum, &known.report.rows);
            members += 1;
        }
        (sum, members)
    }

    /// What all instances are asked for, and the number of instances that this covers.
    ///
    /// The total of an aggregator is used if it covers more than what this instance adds up itself.
    #[must_use]
    pub fn whole(&self, now: Time, own: &[Row]) -> (Vec<Row>, u32) {
        let is_summed = |domain: &str| fresh(&self.domains, now).any(|sum| sum.domain == domain);
        let (mut sum, mut members) = self.instances(now, own, |domain| !is_summed(domain));
        for domain in self
            .domains
            .chunk_by(|one, other| one.domain == other.domain)
        {
            if let Some(known) = widest(domain, now) {
                add_rows(&mut sum, &known.report.rows);
                members += known.report.members;
            }
        }
        let Some(known) = widest(&self.totals, now) else {
            return (sum, members);
        };
        if known.report.members <= members {
            return (sum, members);
        }
        let mut total = known.report.rows.clone();
        let answered = self
            .own
            .iter()
            .find(|(number, _)| known.report.scope == Scope::All(*number));
        if let Some((_, rows)) = answered {
            subtract_rows(&mut total, rows);
        }
        add_rows(&mut total, own);
        (total, known.report.members)
    }
}

fn fresh(list: &[Known], now: Time) -> impl Iterator<Item = &Known> {
    let fresh = move |known: &&Known| now.since(known.at) <= LIFETIME;
    list.iter().filter(fresh)
}

/// The first report by rank, unless it covers far fewer instances than another.
fn widest(list: &[Known], now: Time) -> Option<&Known> {
    let most = fresh(list, now).map(|known| known.report.members).max()?;
    fresh(list, now).find(|known| covers_enough_members(known.report.members, most))
}
