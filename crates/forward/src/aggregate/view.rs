//! Rows that a member has received from its aggregators.

use {
    super::{domains::covers_enough_members, members::Rank, row_load, set_row, table::Changes},
    crate::{endpoint::Load, load::Report, prelude::*},
    std::collections::VecDeque,
};

/// Maximum age of the rows of an aggregator, counted from the report that they answer. The arrival
/// time is not used, since a message may wait in a buffer while the process is frozen.
pub const MAX_ROW_AGE: Duration = Duration::from_millis(1200);

/// Time without an answer after which rows are requested from the next aggregator; long enough for
/// two answers. Rows already received stay in use.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of unanswered reports that are kept.
const MAX_PENDING_REPORTS: usize = 16;

/// An aggregator's answer to a report.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Changed rows, if they were requested.
    pub changes: Option<Changes>,
    /// Number of the answered report, which the sum includes.
    pub echo: u64,
    /// Incarnation of the aggregator.
    pub incarnation: u64,
    /// Number of members that report to the aggregator.
    pub members: u32,
}

/// Rows of one aggregator.
#[derive(Debug)]
struct View {
    aggregator: String,
    /// When the last answered report was sent.
    reported_at: Time,
    incarnation: u64,
    members: u32,
    /// Report of this instance that the rows include.
    own: Report,
    rank: Rank,
    /// Sorted by digest.
    rows: Report,
    /// When the last report was sent that was answered with rows.
    rows_reported_at: Option<Time>,
    version: u64,
}

impl View {
    /// Applies changed rows, unless later ones were applied already.
    fn apply(&mut self, changes: Changes) {
        if changes.version < self.version {
            return;
        }
        if changes.snapshot {
            self.rows.clear();
        }
        self.version = changes.version;
        for (digest, load) in changes.rows {
            set_row(&mut self.rows, digest, load);
        }
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.rows_reported_at
            .is_some_and(|reported_at| now.since(reported_at) <= MAX_ROW_AGE)
    }
}

/// Rows of all aggregators, from their answers to the reports of this instance.
#[derive(Debug, Default)]
pub struct Views {
    /// Unanswered reports, the oldest first.
    reports: VecDeque<(u64, Report)>,
    /// Sorted by rank.
    views: Vec<View>,
}

impl Views {
    /// Records a report that is sent; its number is the sending time in microseconds.
    pub fn record_report(&mut self, number: u64, mut rows: Report) {
        rows.sort_unstable_by_key(|(digest, _)| *digest);
        if self.reports.len() >= MAX_PENDING_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((number, rows));
    }

    /// Applies the answer of an aggregator of rank `rank`; returns `false` for one that is outdated
    /// or answers no kept report.
    pub fn update(&mut self, aggregator: &str, rank: Rank, answer: Answer) -> bool {
        let Some((number, own)) = self
            .reports
            .iter()
            .find(|(number, _)| *number == answer.echo)
        else {
            return false;
        };
        let (reported_at, own) = (Time::from_micros(*number), own.clone());
        let found = self
            .views
            .iter()
            .position(|view| view.aggregator == aggregator);
        let found = found.unwrap_or_else(|| {
            let found = self.views.partition_point(|view| view.rank < rank);
            let view = View {
                aggregator: aggregator.to_string(),
                reported_at,
                incarnation: answer.incarnation,
                members: 0,
                own: Vec::new(),
                rank,
                rows: Vec::new(),
                rows_reported_at: None,
                version: 0,
            };
            self.views.insert(found, view);
            found
        });
        let view = &mut self.views[found];
        if view.incarnation != answer.incarnation {
            view.incarnation = answer.incarnation;
            view.rows.clear();
            view.rows_reported_at = None;
            view.version = 0;
        } else if view.reported_at > reported_at {
            return false;
        }
        view.reported_at = reported_at;
        view.members = answer.members;
        if let Some(changes) = answer.changes {
            view.own = own;
            view.rows_reported_at = Some(reported_at);
            view.apply(changes);
        }
        true
    }

    /// Incarnation and version of the rows of an aggregator.
    #[must_use]
    pub fn version(&self, aggregator: &str) -> (u64, u64) {
        let mut views = self.views.iter();
        let view = views.find(|view| view.aggregator == aggregator);
        view.map_or((0, 0), |view| (view.incarnation, view.version))
    }

    /// The aggregator to request rows from: the first by rank among those that answer, unless it
    /// covers far fewer members than another.
    #[must_use]
    pub fn preferred(&self, now: Time) -> Option<&str> {
        first_by_rank(
            self.views
                .iter()
                .filter(|view| now.since(view.reported_at) <= ANSWER_TIMEOUT),
        )
    }

    /// The aggregator whose rows are used.
    #[must_use]
    pub fn best(&self, now: Time) -> Option<&str> {
        first_by_rank(self.views.iter().filter(|view| view.is_fresh(now)))
    }

    /// Whether the rows of the preferred aggregator are at most `age` old, or there is no preferred
    /// aggregator.
    #[must_use]
    pub fn is_recent(&self, now: Time, age: Duration) -> bool {
        let preferred = self.preferred(now);
        let mut views = self.views.iter();
        let view = views.find(|view| Some(view.aggregator.as_str()) == preferred);
        view.is_none_or(|view| view.rows_reported_at.is_some_and(|at| now.since(at) <= age))
    }

    /// Age of the rows of an aggregator.
    #[must_use]
    pub fn age(&self, now: Time, aggregator: &str) -> Option<Duration> {
        let mut views = self.views.iter();
        let view = views.find(|view| view.aggregator == aggregator)?;
        Some(now.since(view.rows_reported_at?))
    }

    /// Load of all other instances at an endpoint, by the rows of an aggregator.
    #[must_use]
    pub fn at(&self, aggregator: &str, digest: u32) -> Load {
        let mut views = self.views.iter();
        let Some(view) = views.find(|view| view.aggregator == aggregator) else {
            return Load::default();
        };
        let mut load = row_load(&view.rows, digest);
        load.subtract(row_load(&view.own, digest));
        load
    }

    /// Removes an aggregator whose entry was removed.
    pub fn forget(&mut self, aggregator: &str) {
        self.views.retain(|view| view.aggregator != aggregator);
    }
}

fn first_by_rank<'a>(views: impl Iterator<Item = &'a View> + Clone) -> Option<&'a str> {
    let max_members = views.clone().map(|view| view.members).max()?;
    let mut views = views;
    let first = views.find(|view| covers_enough_members(view.members, max_members));
    first.map(|view| view.aggregator.as_str())
}
