//! Aggregation of load reports where there are many instances.
//!
//! Reports of every instance to every other one would grow with the square of their number. Instead
//! the first instances of each failure domain by rank act as aggregators: they add up the reports
//! of the members of their domain, exchange the sums with other domains, and answer each report
//! with the total. There is no election:
//!
//! * [`members`]: which instances aggregate, and which links an instance keeps;
//! * [`domains`]: sums of the other failure domains, one for each;
//! * [`table`]: the rows that an aggregator sends to its members, and their changes;
//! * [`view`]: the rows that a member has received.
//!
//! No report is counted twice: an aggregator adds one report for each member of its own domain and
//! one sum for each other domain; a member uses the rows of one aggregator, less its own report.

pub mod domains;
pub mod members;
pub mod table;
pub mod view;

use crate::{
    endpoint::Load,
    load::{PeerLoads, Report},
    prelude::*,
};

/// Time after which a sum no longer counts; most of the reported work has ended by then.
pub const SUM_LIFETIME: Duration = Duration::from_secs(2);

/// Source of the load of the other instances.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Source {
    /// Reports of the instances, and sums of the other failure domains.
    #[default]
    Direct,
    /// Answers of this aggregator.
    Aggregator(String),
}

/// Aggregated load, beside the reports that this instance receives directly.
#[derive(Debug, Default)]
pub struct Sums {
    /// Sums of the other failure domains.
    pub domains: domains::Domains,
    /// Load of this instance at the last publication.
    own: Report,
    /// Rows to send to members.
    pub table: table::Table,
    /// Answers of aggregators.
    pub views: view::Views,
    source: Source,
}

impl Sums {
    /// Selects the source of the load of the other instances and drops expired sums; returns
    /// whether the source has changed.
    ///
    /// An aggregator that does not answer is dropped after [`view::MAX_ROW_AGE`]. Until another one
    /// answers, the instance uses the reports that it receives directly.
    pub fn select_source(&mut self, now: Time, aggregates: bool) -> bool {
        self.domains.expire(now);
        let best = if aggregates {
            None
        } else {
            self.views.best(now)
        };
        if best == self.aggregator() {
            return false;
        }
        let best = best.map(ToString::to_string);
        self.source = best.map_or(Source::Direct, Source::Aggregator);
        true
    }

    /// The aggregator whose rows are used, unless it is this instance.
    #[must_use]
    pub fn aggregator(&self) -> Option<&str> {
        match &self.source {
            Source::Direct => None,
            Source::Aggregator(aggregator) => Some(aggregator),
        }
    }

    /// Age of the rows of the aggregator that is used.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.views.age(now, self.aggregator()?)
    }

    /// Load of all other instances at an endpoint; `peer_loads` are the reports received directly.
    #[must_use]
    pub fn others(&self, peer_loads: &PeerLoads, digest: u32) -> Load {
        if let Source::Aggregator(aggregator) = &self.source {
            return self.views.at(aggregator, digest);
        }
        let mut load = peer_loads.at(digest);
        load.add(self.domains.at(digest));
        load
    }

    /// Updates the table for members with the current sums; `own` is the load of this instance.
    pub fn publish(&mut self, now: Time, peer_loads: &PeerLoads, own: Report) {
        self.own = own;
        let mut sums = peer_loads.sums().clone();
        self.domains.add_to(&mut sums);
        add_rows(&mut sums, &self.own);
        self.table.publish(now, &sums);
    }

    /// Applies the report of a member and updates the table at once, since the member subtracts its
    /// report from the answer.
    pub fn report(
        &mut self,
        now: Time,
        peer_loads: &mut PeerLoads,
        member: &str,
        number: u64,
        rows: Report,
    ) {
        let mut digests = peer_loads
            .report(member)
            .iter()
            .map(|(digest, _)| *digest)
            .collect::<Vec<_>>();
        digests.extend(rows.iter().map(|(digest, _)| *digest));
        peer_loads.update(member, now, number, rows);
        for digest in digests {
            let mut load = peer_loads.at(digest);
            load.add(self.domains.at(digest));
            load.add(row_load(&self.own, digest));
            self.table.set(now, digest, load);
        }
    }
}

/// Load at an endpoint, from rows sorted by digest.
pub(crate) fn row_load(rows: &Report, digest: u32) -> Load {
    let index = rows.binary_search_by_key(&digest, |(other, _)| *other);
    index.map_or_else(|_| Load::default(), |index| rows[index].1)
}

/// Adds `rows` to `sums`; both are sorted by digest.
pub fn add_rows(sums: &mut Report, rows: &Report) {
    for (digest, load) in rows {
        match sums.binary_search_by_key(digest, |(other, _)| *other) {
            Ok(index) => sums[index].1.add(*load),
            Err(index) => sums.insert(index, (*digest, *load)),
        }
    }
}

/// Sets the load at an endpoint in rows sorted by digest.
pub(crate) fn set_row(rows: &mut Report, digest: u32, load: Load) {
    match rows.binary_search_by_key(&digest, |(other, _)| *other) {
        Ok(index) if load == Load::default() => {
            rows.remove(index);
        }
        Ok(index) => rows[index].1 = load,
        Err(_) if load == Load::default() => {}
        Err(index) => rows.insert(index, (digest, load)),
    }
}
