//! Endpoints that fall over when they reject too many requests within a second.
//!
//! The endpoints of a service say so in their answers, with the number of rejections per second that
//! one of them bears. It is a limit over all instances, each of which keeps to its share.

use {crate::prelude::*, std::collections::VecDeque};

/// Window over which an endpoint counts its rejections.
const WINDOW: Duration = Duration::from_secs(1);

/// Margin for rejections that are closer together at the endpoint than at this instance.
const ARRIVAL_JITTER: Duration = Duration::from_millis(100);

/// Time for which a service counts as brittle after the last answer that said so.
const MEMORY: Duration = Duration::from_secs(10);

/// A brittle service.
#[derive(Clone, Debug)]
struct Entry {
    limit: u32,
    seen_at: Time,
    service: String,
}

/// Brittle services, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Brittleness(Vec<Entry>);

impl Brittleness {
    /// Records an answer of a service: the rejections per second that its endpoints bear, or `None` if
    /// it states no limit. Returns whether that is new.
    pub fn record(&mut self, now: Time, service: &str, limit: Option<u32>) -> bool {
        let index = self
            .0
            .binary_search_by(|entry| entry.service.as_str().cmp(service));
        match (index, limit) {
            (Ok(index), Some(limit)) => {
                let entry = &mut self.0[index];
                entry.seen_at = now;
                std::mem::replace(&mut entry.limit, limit) != limit
            }
            (Ok(index), None) => {
                self.0.remove(index);
                true
            }
            (Err(index), Some(limit)) => {
                let entry = Entry {
                    limit,
                    seen_at: now,
                    service: service.to_string(),
                };
                self.0.insert(index, entry);
                true
            }
            (Err(_), None) => false,
        }
    }

    /// Rejections per second that each endpoint of a service bears, if it is brittle.
    #[must_use]
    pub fn limit(&self, now: Time, service: &str) -> Option<u32> {
        let index = self
            .0
            .binary_search_by(|entry| entry.service.as_str().cmp(service));
        let entry = &self.0[index.ok()?];
        (now.since(entry.seen_at) <= MEMORY).then_some(entry.limit)
    }
}

/// Sends of this instance to one endpoint that may be rejected, or have been within the window.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    rejected: VecDeque<Time>,
    /// Sends that are not answered yet.
    unanswered: u32,
}

impl Exposure {
    /// Whether one more send keeps to this instance's share of `limit` rejections per second, even if
    /// it and all that are unanswered are rejected.
    ///
    /// A share of less than one is one rejection in a longer time.
    #[must_use]
    pub fn allows(&self, now: Time, limit: u32, instances: u32) -> bool {
        let share = limit / instances.max(1);
        let window = if share == 0 {
            WINDOW.mul_f64(f64::from(instances) / f64::from(limit.max(1)))
        } else {
            WINDOW
        };
        let since = now.before(window + ARRIVAL_JITTER);
        let recent = self.rejected.iter().rev().take_while(|at| **at > since);
        let recent = u32::try_from(recent.count()).unwrap_or(u32::MAX);
        recent.saturating_add(self.unanswered) < share.max(1)
    }

    /// Records a send.
    pub const fn record_send(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Records that a send was answered or given up.
    pub const fn record_end(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Records a rejection for want of room.
    pub fn record_rejection(&mut self, now: Time) {
        if self.rejected.len() >= MAX_REJECTIONS {
            self.rejected.pop_front();
        }
        self.rejected.push_back(now);
    }
}

/// Rejections that are remembered; more than a share in any window ever holds in use.
const MAX_REJECTIONS: usize = 64;
