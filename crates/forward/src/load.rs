//! Load of endpoints over all instances.
//!
//! Every request to an endpoint passes through some instance, so what the instances
//! have in progress tells more than a load report, which is late and costs a call.

use crate::{endpoint::Load, prelude::*};

/// After this long without a word, a fellow's load no longer counts. Several exchanges
/// fit into it, and what it had in progress then is mostly done.
const LIFE: Duration = Duration::from_secs(2);

/// Load that one instance has at endpoints, sorted by the endpoint's id.
pub type Report = Vec<(String, Load)>;

/// What the other instances have in progress.
#[derive(Debug, Default)]
pub struct Fellows {
    /// Name, time of the report's question, report; sorted by name.
    reports: Vec<(String, Time, Report)>,
}

impl Fellows {
    /// Takes the report of a fellow in; an older one changes nothing.
    pub fn hear(&mut self, name: &str, at: Time, mut report: Report) {
        report.sort_by(|a, b| a.0.cmp(&b.0));
        match self
            .reports
            .binary_search_by(|(other, _, _)| other.as_str().cmp(name))
        {
            Ok(place) if self.reports[place].1 <= at => {
                self.reports[place] = (name.to_string(), at, report);
            }
            Ok(_) => {}
            Err(place) => self.reports.insert(place, (name.to_string(), at, report)),
        }
    }

    /// Load of all fellows at an endpoint.
    #[must_use]
    pub fn at(&self, id: &str, now: Time) -> Load {
        let mut sum = Load::default();
        for (_, at, report) in &self.reports {
            if now.since(*at) > LIFE {
                continue;
            }
            if let Ok(place) = report.binary_search_by(|(other, _)| other.as_str().cmp(id)) {
                sum.add(report[place].1);
            }
        }
        sum
    }

    /// Fellows heard of within [`LIFE`].
    #[must_use]
    pub fn alive(&self, now: Time) -> usize {
        let alive = self
            .reports
            .iter()
            .filter(|(_, at, _)| now.since(*at) <= LIFE);
        alive.count()
    }
}
