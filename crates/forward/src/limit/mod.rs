//! Limits that endpoints name: the requests per second that one takes from all instances together.
//!
//! Shares of a limit for each instance would be below one request a second where there are many of them, and would
//! lie idle at those that have nothing to send. Instead one instance coordinates each endpoint, and the others ask it
//! for each request:
//!
//! * [`notice`]: what is known of the limit;
//! * [`bucket`]: grants requests, at the coordinator;
//! * [`hold`]: until when this instance sends nothing to the endpoint.
//!
//! [`crate::state`] decides which instance coordinates an endpoint.

pub mod bucket;
pub mod hold;
pub mod notice;

use {
    self::{
        bucket::Bucket,
        hold::Hold,
        notice::{Answer, Notice, Row},
    },
    crate::prelude::*,
};

/// Share of a limit that is granted. Two instances may both coordinate an endpoint for a moment, when one replaces the
/// other.
const GRANTED_SHARE: f64 = 0.9;

/// Time after which the limit of an endpoint that is not listed is dropped. A peer may tell of an endpoint before this
/// instance has read its entry.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(30);

/// A change of what is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The endpoint names no limit any more.
    Ended,
    /// The endpoint names this limit, in requests per second.
    Named(f64),
}

/// The limit of one start of an endpoint.
#[derive(Clone, Debug)]
struct Limit {
    bucket: Bucket,
    hold: Hold,
    /// Digest of the endpoint's incarnation.
    incarnation: u32,
    /// When this instance last heard of it.
    heard_at: Time,
    notice: Notice,
}

impl Limit {
    /// What has changed. Once the limit has ended, nobody has to wait for what was refused before.
    fn change_since(&mut self, now: Time, before: &Notice) -> Option<Change> {
        let change = self.notice.change_since(before);
        if change == Some(Change::Ended) {
            self.bucket.end_pauses(now);
            self.hold.release(now);
        }
        change
    }
}

/// Limits of endpoints, sorted by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Limits(Vec<Limit>);

impl Limits {
    /// Whether no endpoint names a limit.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records what an answer of an endpoint says of its limit. Returns what has changed.
    pub fn record(&mut self, now: Time, incarnation: u32, answer: Answer) -> Option<Change> {
        let index = match (self.find(incarnation), answer.limit) {
            (Ok(index), _) => index,
            (Err(_), None) => return None,
            (Err(index), Some(rate)) => {
                self.insert(index, incarnation, now, Notice::new(now, rate));
                return Some(Change::Named(self.0[index].notice.rate));
            }
        };
        let limit = &mut self.0[index];
        limit.heard_at = now;
        let before = limit.notice;
        limit.notice.record(now, answer);
        limit.change_since(now, &before)
    }

    /// Applies what a peer knows. Returns the incarnations of endpoints for which that has changed anything.
    pub fn merge(&mut self, now: Time, rows: &[Row]) -> Vec<(u32, Change)> {
        let mut changes = Vec::new();
        for row in rows {
            let told = Notice::from_row(now, row);
            let change = match self.find(row.incarnation) {
                Ok(index) => {
                    let limit = &mut self.0[index];
                    limit.heard_at = now;
                    let before = limit.notice;
                    limit.notice.merge(told);
                    limit.change_since(now, &before)
                }
                Err(_) if !told.is_limited() => None,
                Err(index) => {
                    self.insert(index, row.incarnation, now, told);
                    Some(Change::Named(told.rate))
                }
            };
            changes.extend(change.map(|change| (row.incarnation, change)));
        }
        changes
    }

    /// What is known, to be told to peers.
    #[must_use]
    pub fn rows(&self, now: Time) -> Vec<Row> {
        let rows = self.0.iter();
        let rows = rows.map(|limit| limit.notice.row(now, limit.incarnation));
        rows.collect()
    }

    /// What is known of one endpoint, to be told to peers.
    #[must_use]
    pub fn row(&self, now: Time, incarnation: u32) -> Option<Row> {
        let limit = &self.0[self.find(incarnation).ok()?];
        Some(limit.notice.row(now, incarnation))
    }

    /// Requests per second that an endpoint takes from all instances; `None` if it has no limit.
    #[must_use]
    pub fn rate(&self, now: Time, incarnation: u32) -> Option<f64> {
        self.0[self.find(incarnation).ok()?].notice.rate_at(now)
    }

    /// Grants a request to an endpoint that this instance coordinates. `share` is the share of all instances that may
    /// ask it; `urgent` requests are granted ahead of others.
    ///
    /// # Errors
    ///
    /// The endpoint takes no more now; the time after which to ask again.
    pub fn grant(
        &mut self,
        now: Time,
        incarnation: u32,
        share: f64,
        urgent: bool,
    ) -> Result<(), Duration> {
        let Ok(index) = self.find(incarnation) else {
            return Ok(());
        };
        let limit = &mut self.0[index];
        let Some(rate) = limit.notice.rate_at(now) else {
            return Ok(());
        };
        let rate = rate * GRANTED_SHARE * share;
        limit.bucket.take(now, rate, urgent)
    }

    /// Whether this instance may ask for a request to an endpoint; always if that has no limit.
    #[must_use]
    pub fn may_ask(&self, now: Time, incarnation: u32) -> bool {
        self.find(incarnation).map_or(true, |index| {
            let limit = &self.0[index];
            limit.notice.rate_at(now).is_none() || limit.hold.may_ask(now)
        })
    }

    /// Time until this instance may ask again for a request to an endpoint, if it may not now.
    #[must_use]
    pub fn held_for(&self, now: Time, incarnation: u32) -> Option<Duration> {
        if self.may_ask(now, incarnation) {
            return None;
        }
        let limit = &self.0[self.find(incarnation).ok()?];
        Some(limit.hold.left(now))
    }

    /// Changes when this instance asks for requests to an endpoint, if that has a limit.
    pub fn hold_mut(&mut self, incarnation: u32) -> Option<&mut Hold> {
        let index = self.find(incarnation).ok()?;
        Some(&mut self.0[index].hold)
    }

    /// Drops limits that ended long ago, and those of endpoints that are gone.
    pub fn expire(&mut self, now: Time, is_listed: impl Fn(u32) -> bool) {
        self.0.retain(|limit| {
            let is_unheard = now.since(limit.heard_at) > UNLISTED_LIFETIME;
            !limit.notice.is_forgotten(now) && (!is_unheard || is_listed(limit.incarnation))
        });
    }

    fn find(&self, incarnation: u32) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&incarnation, |limit| limit.incarnation)
    }

    fn insert(&mut self, index: usize, incarnation: u32, now: Time, notice: Notice) {
        let limit = Limit {
            bucket: Bucket::new(now),
            hold: Hold::default(),
            incarnation,
            heard_at: now,
            notice,
        };
        self.0.insert(index, limit);
    }
}
