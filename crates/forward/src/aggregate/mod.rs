//! Load of endpoints over hundreds of instances.
//!
//! Words of each instance to all others cost instances times instances. So a few
//! instances of each failure domain, the first by rank that answer, add the reports of its
//! members up, tell each other the sums of their domains, and answer each report with the
//! sum over all domains. Nobody is elected and none is set aside:
//!
//! * [`members`]: who adds up, and whom an instance talks to;
//! * [`domains`]: sums of the other failure domains, of which each counts once;
//! * [`table`]: what an aggregator has told its members, and which rows have changed;
//! * [`view`]: what a member holds of that.
//!
//! A sum never counts the report of one instance twice: an aggregator takes reports of its
//! own domain only, one for each member, and one sum for each other domain; a member takes
//! the word of one aggregator, less what it reported itself.

pub mod domains;
pub mod members;
pub mod table;
pub mod view;

use crate::{
    endpoint::Load,
    load::{PeerLoads, Report},
    prelude::*,
};

/// After this long a sum no longer counts; what it speaks of is mostly done by then.
pub const SUM_LIFETIME: Duration = Duration::from_secs(2);

/// Where the load of the other instances is taken from.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Source {
    /// Reports of the instances themselves, and sums of other failure domains.
    #[default]
    Direct,
    /// The answers of this aggregator.
    Aggregator(String),
}

/// Sums of load beside the reports that this instance hears itself.
#[derive(Debug, Default)]
pub struct Sums {
    /// Sums of the other failure domains.
    pub domains: domains::Domains,
    /// Load of this instance, as of the last publication.
    own: Report,
    /// What members have been told.
    pub table: table::Table,
    /// Answers of aggregators.
    pub views: view::Views,
    source: Source,
}

impl Sums {
    /// Settles where the load of the other instances is taken from, and drops what has
    /// outlived its time.
    ///
    /// An aggregator that is cut off, frozen or gone is left within [`view::MAX_ROW_AGE`]; until
    /// another one answers, an instance chooses by what it knows itself.
    ///
    /// Returns whether that has changed.
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

    /// The aggregator whose sums are used, if it is not this instance.
    #[must_use]
    pub fn aggregator(&self) -> Option<&str> {
        match &self.source {
            Source::Direct => None,
            Source::Aggregator(aggregator) => Some(aggregator),
        }
    }

    /// Age of the sums of another aggregator that are used.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.views.age(now, self.aggregator()?)
    }

    /// Load of all other instances at an endpoint; `peer_loads` are the reports that were
    /// heard directly.
    #[must_use]
    pub fn others(&self, peer_loads: &PeerLoads, digest: u32) -> Load {
        if let Source::Aggregator(aggregator) = &self.source {
            return self.views.at(aggregator, digest);
        }
        let mut load = peer_loads.at(digest);
        load.add(self.domains.at(digest));
        load
    }

    /// Takes the present sums into the table that members are told from; `own` is this
    /// instance's own load.
    pub fn publish(&mut self, now: Time, peer_loads: &PeerLoads, own: Report) {
        self.own = own;
        let mut sums = peer_loads.sums().clone();
        self.domains.add_to(&mut sums);
        add_rows(&mut sums, &self.own);
        self.table.publish(now, &sums);
    }

    /// Takes the report of a member in. The table counts it at once, since the member takes
    /// what it reported off the answer.
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

/// Load at an endpoint by rows that are sorted by digest.
pub(crate) fn row_load(rows: &Report, digest: u32) -> Load {
    let index = rows.binary_search_by_key(&digest, |(other, _)| *other);
    index.map_or_else(|_| Load::default(), |index| rows[index].1)
}

/// Adds rows to rows; both are sorted by digest.
pub fn add_rows(sums: &mut Report, rows: &Report) {
    for (digest, load) in rows {
        match sums.binary_search_by_key(digest, |(other, _)| *other) {
            Ok(index) => sums[index].1.add(*load),
            Err(index) => sums.insert(index, (*digest, *load)),
        }
    }
}

/// Sets the load at an endpoint in rows that are sorted by digest.
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
