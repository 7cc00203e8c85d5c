//! Endpoints as this instance knows them.

use crate::{prelude::*, state::digest};

slotmap::new_key_type! {
  /// Names an endpoint in the arena of the state.
  pub struct Key;
}

/// What an endpoint is.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service of this name.
    Service(String),
}

/// An endpoint as the platform's instance list names it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// What it is.
    pub kind: Kind,
    /// Whether it has begun to leave.
    pub leaving: bool,
}

/// Load that an engine reports about itself, some time late.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// KV-cache memory in tokens.
    pub capacity: u64,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Models, adapters included, that it can serve now.
    pub models: Vec<String>,
    /// Generations in the batch.
    pub running: u32,
    /// Changes whenever the engine starts anew.
    pub incarnation: u64,
    /// KV-cache memory in use, in tokens.
    pub used: u64,
    /// Generations that wait inside the engine.
    pub waiting: u32,
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Digest of the name.
    pub digest: u64,
    /// Whether it lies in this instance's windows.
    pub in_subset: bool,
    /// What the instance list says.
    pub member: Member,
    /// When the next load report is to be asked for.
    pub next_poll: Time,
    /// Memory promised to own dispatches that the report cannot know yet.
    pub reserved_tokens: u64,
    /// The last report, if one came since the endpoint was last reachable.
    pub report: Option<Report>,
    /// When that report came.
    pub reported_at: Time,
    /// Own requests that are at the endpoint now.
    pub running: u32,
    /// When the start now known was first seen.
    pub incarnation_seen_at: Time,
    /// When this instance last tried to take that start.
    pub proposed_at: Option<Time>,
    /// Whether this instance has given its part away.
    pub quota_transferred: bool,
}

impl Endpoint {
    /// An endpoint seen for the first time, which counts as cold.
    #[must_use]
    pub fn new(member: Member, now: Time) -> Self {
        Self {
            digest: digest(&member.name),
            in_subset: true,
            member,
            next_poll: Time::from_micros(0),
            reserved_tokens: 0,
            report: None,
            reported_at: Time::from_micros(0),
            running: 0,
            incarnation_seen_at: now,
            proposed_at: None,
            quota_transferred: false,
        }
    }

    /// Which start of the endpoint this instance knows, if it knows one.
    ///
    /// Plain services report none; another address is taken for another start.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        match self.member.kind {
            Kind::Engine => self.report.as_ref().map(|report| report.incarnation),
            Kind::Service(_) => Some(digest(&self.member.address)),
        }
    }

    /// Whether it has begun to leave, by the list or by its own word.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.member.leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// KV memory left as far as is known, in tokens.
    #[must_use]
    pub fn free_tokens(&self) -> i64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let free = report.capacity.saturating_sub(report.used);
        i64::try_from(free).unwrap_or(i64::MAX)
            - i64::try_from(self.reserved_tokens).unwrap_or(i64::MAX)
    }

    /// Whether it serves `model`, by its last report.
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        report.models.iter().any(|served| served == model)
    }

    /// Takes a report in.
    pub fn apply_report(&mut self, now: Time, report: Report) {
        let restarted = self
            .report
            .as_ref()
            .is_none_or(|old| old.incarnation != report.incarnation);
        if restarted {
            self.proposed_at = None;
            self.incarnation_seen_at = now;
            self.quota_transferred = false;
        }
        self.reserved_tokens = 0;
        self.report = Some(report);
        self.reported_at = now;
    }
}
