//! Endpoints and their load as known to this instance.

use crate::{prelude::*, state::digest};

slotmap::new_key_type! {
  /// Key of an endpoint in [`State::endpoints`].
  pub struct Key;
}

/// Kind of an endpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service with this name.
    Service(String),
}

/// An endpoint in the platform's instance list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Kind.
    pub kind: Kind,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// KV-cache capacity, in tokens.
    pub capacity: u64,
    /// Whether the engine reports that it is shutting down.
    pub leaving: bool,
    /// Models and adapters that it can serve now.
    pub models: Vec<String>,
    /// Number of generations being decoded.
    pub running: u32,
    /// Changes with each restart of the engine.
    pub incarnation: u64,
    /// KV-cache memory in use, in tokens.
    pub used: u64,
    /// Number of generations queued inside the engine.
    pub waiting: u32,
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Until when it wants no requests from this instance.
    pub cooldown_until: Time,
    /// Digest of the name.
    pub digest: u64,
    /// Whether it is in this instance's subset.
    pub in_subset: bool,
    /// Its entry in the instance list.
    pub member: Member,
    /// When to request the next load report.
    pub next_poll: Time,
    /// KV-cache memory, in tokens, reserved for requests sent since the last report.
    pub reserved_tokens: u64,
    /// The last report; `None` after the endpoint failed or was unreachable.
    pub report: Option<Report>,
    /// When that report was received.
    pub reported_at: Time,
    /// Number of this instance's requests running at the endpoint.
    pub running: u32,
    /// Incarnation in the last report, kept when the report is discarded.
    pub last_incarnation: Option<u64>,
    /// When the current incarnation was first seen.
    pub incarnation_seen_at: Time,
    /// When this instance last proposed a slow-start entry for the current incarnation.
    pub proposed_at: Option<Time>,
    /// Whether this instance has proposed to transfer quota, until that entry is read.
    pub quota_transferred: bool,
}

impl Endpoint {
    /// A newly listed endpoint.
    #[must_use]
    pub fn new(member: Member, now: Time) -> Self {
        Self {
            cooldown_until: Time::default(),
            digest: digest(&member.name),
            in_subset: true,
            member,
            next_poll: Time::from_micros(0),
            reserved_tokens: 0,
            report: None,
            reported_at: Time::from_micros(0),
            running: 0,
            last_incarnation: None,
            incarnation_seen_at: now,
            proposed_at: None,
            quota_transferred: false,
        }
    }

    /// The current incarnation, if known.
    ///
    /// Plain services report none; a new address counts as a new incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        match self.member.kind {
            Kind::Engine => self.report.as_ref().map(|report| report.incarnation),
            Kind::Service(_) => Some(digest(&self.member.address)),
        }
    }

    /// Whether it is shutting down, by the instance list or its last report.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.member.leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Unreserved KV-cache memory, in tokens; zero without a report.
    #[must_use]
    pub fn free_tokens(&self) -> i64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let free = report.capacity.saturating_sub(report.used);
        i64::try_from(free).unwrap_or(i64::MAX)
            - i64::try_from(self.reserved_tokens).unwrap_or(i64::MAX)
    }

    /// Whether its last report lists `model`.
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        report.models.iter().any(|served| served == model)
    }

    /// Stores a load report, and resets the slow-start state if the endpoint has restarted.
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
        let known = self.last_incarnation;
        if known.is_some_and(|known| known != report.incarnation) {
            self.cooldown_until = Time::default();
        }
        self.reserved_tokens = 0;
        self.last_incarnation = Some(report.incarnation);
        self.report = Some(report);
        self.reported_at = now;
    }
}
