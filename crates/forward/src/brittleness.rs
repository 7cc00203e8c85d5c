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

/// Standard deviations by which the expected rejections per second stay below the limit, so that chance
/// does not exceed it.
const MARGIN_DEVIATIONS: f64 = 3.0;

/// Minimum share of the limit that may be expected as rejections, for limits within the margin.
const MIN_EXPECTED_SHARE: f64 = 0.0625;

/// Minimum probability of a rejection. The load of an endpoint is known late, so that an idle one may be
/// about to receive a request of each instance.
const MIN_PROBABILITY: f64 = 0.001;

/// Time constant of the moving average of an endpoint's load while it falls. Single reports show a
/// handful of requests, and vary by as much.
const LOAD_MEMORY: Duration = Duration::from_secs(1);

/// The same while the load rises, so that a surge is seen before many requests are rejected.
const RISE_MEMORY: Duration = Duration::from_millis(100);

/// Iterations from the load in progress to the load that is offered.
const OFFERED_ITERATIONS: usize = 3;

/// Bound on the share of lost requests, which an overloaded endpoint approaches.
const MAX_LOST: f64 = 0.9;

/// Paces the sends of this instance to an endpoint by their probability of being rejected.
///
/// Where there are more instances than rejections per second, none of them sees enough rejections to keep
/// to a share of them. The load of the endpoint over all instances shows how likely the next one is, and so
/// how often each may send. Sends are spaced at random: all instances know the same load, and would send at
/// the same moment.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Expected number of sends until the next one, exponentially distributed with a mean of one.
    due: f64,
    /// Moving average of the requests at the endpoint.
    load: f64,
    /// Number of sends that were allowed since the last one.
    passed: f64,
    updated_at: Time,
}

/// Expected rejections per second of each instance, for endpoints that bear `limit` of them.
#[must_use]
pub fn expected_share(limit: u32, instances: u32) -> f64 {
    let limit = f64::from(limit);
    let expected = limit - MARGIN_DEVIATIONS * limit.sqrt();
    expected.max(limit * MIN_EXPECTED_SHARE) / f64::from(instances.max(1))
}

/// Probability that an endpoint with this many slots rejects a request, for a mean number of requests in
/// progress (Erlang's loss formula). Waiting places are not counted, since brittle endpoints may have none.
fn rejection_probability(slots: u32, load: f64) -> f64 {
    let mut lost = 0.0;
    // The formula takes the requests that are offered, of which the lost ones never are in progress.
    for _ in 0..OFFERED_ITERATIONS {
        let offered = load / (1.0 - lost);
        let mut blocked = 1.0;
        for slot in 1..=slots.max(1) {
            blocked = offered * blocked / (f64::from(slot) + offered * blocked);
        }
        lost = blocked.min(MAX_LOST);
    }
    lost
}

/// Sends of this instance to one endpoint that may be rejected, or have been within the window.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    pace: Option<Pace>,
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

    /// Whether the next send is due by its pace.
    #[must_use]
    pub fn is_due(&self) -> bool {
        let pace = self.pace.as_ref();
        pace.is_none_or(|pace| pace.passed >= pace.due)
    }

    /// Paces sends to an endpoint with this many slots and this load over all instances, so that `share`
    /// rejections per second are expected. `random` from 0 to 1 spaces them.
    pub fn pace(&mut self, now: Time, load: f64, slots: u32, share: f64, random: f64) {
        let pace = self.pace.get_or_insert(Pace {
            due: 0.0,
            load,
            passed: 0.0,
            updated_at: now,
        });
        let elapsed = now.since(pace.updated_at).as_secs_f64();
        let memory = if load > pace.load {
            RISE_MEMORY
        } else {
            LOAD_MEMORY
        };
        let weight = 1.0 - (-elapsed / memory.as_secs_f64()).exp();
        pace.load += weight * (load - pace.load);
        pace.passed +=
            elapsed * share / rejection_probability(slots, pace.load).max(MIN_PROBABILITY);
        pace.updated_at = now;
        if pace.due <= 0.0 {
            pace.passed = 0.0;
            pace.due = -random.max(f64::MIN_POSITIVE).ln();
        }
    }

    /// Records a send.
    pub const fn record_send(&mut self) {
        if let Some(pace) = &mut self.pace {
            pace.due = 0.0;
        }
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
