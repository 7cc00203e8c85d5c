//! Endpoints whose connections broke, and whether they live on.
//!
//! A cut link resets connections as a crash does. An endpoint that answers again as the same run of
//! its process has not crashed, so that its loss must not count against the requests that ran there.

use crate::{prelude::*, state::State};

/// Interval between the first checks of an endpoint; it doubles, since most have crashed indeed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum interval between two checks; instances must serve again within three seconds after a
/// partition.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time after a break for which an engine is checked; it outlasts most partitions.
const ENGINE_CHECK_TIME: Duration = Duration::from_secs(20);

/// The same for other endpoints, which do not say when they started: one that crashed must not be
/// back by then.
const SERVICE_CHECK_TIME: Duration = Duration::from_secs(1);

/// An endpoint whose connections broke.
#[derive(Clone, Debug)]
struct Loss {
    broke_at: Time,
    incarnation: String,
    key: EndpointKey,
    next_check_at: Time,
}

/// Endpoints whose connections broke under requests that this counts against.
#[derive(Clone, Debug, Default)]
pub struct Losses(Vec<Loss>);

impl Losses {
    /// Records that the connection to an endpoint broke.
    pub(crate) fn record(&mut self, now: Time, key: EndpointKey, incarnation: String) {
        match self.0.iter_mut().find(|loss| loss.key == key) {
            Some(loss) => {
                loss.broke_at = now;
                loss.incarnation = incarnation;
            }
            None => self.0.push(Loss {
                broke_at: now,
                incarnation,
                key,
                next_check_at: now,
            }),
        }
    }

    /// Has all endpoints checked at once, since a partition has ended.
    pub(crate) fn check_now(&mut self, now: Time) {
        for loss in &mut self.0 {
            loss.next_check_at = now;
        }
    }
}

impl State {
    /// Endpoints to check now, directly or through a peer; schedules their next checks.
    pub fn due_loss_checks(&mut self, now: Time) -> Vec<EndpointKey> {
        let mut losses = std::mem::take(&mut self.losses);
        losses.0.retain(|loss| {
            let listed = self.endpoints.get(loss.key);
            listed.is_some_and(|endpoint| {
                let service = self.service(&endpoint.listing.service);
                let is_engine = service.is_some_and(|service| service.engine.is_some());
                let limit = if is_engine {
                    ENGINE_CHECK_TIME
                } else {
                    SERVICE_CHECK_TIME
                };
                endpoint.leaving_since.is_none()
                    && endpoint.listing.incarnation() == loss.incarnation
                    && now.since(loss.broke_at) <= limit
            })
        });
        let due = losses.0.iter_mut().filter(|loss| now >= loss.next_check_at);
        let due = due.map(|loss| {
            let interval = now.since(loss.broke_at);
            loss.next_check_at = now.after(interval.clamp(CHECK_INTERVAL, MAX_CHECK_INTERVAL));
            loss.key
        });
        let due = due.collect();
        self.losses = losses;
        due
    }

    /// Records that an endpoint has answered; `started_at` is the start of its process, if it says so.
    /// Returns the number of requests and parts of prompts against which its loss no longer counts.
    pub fn record_alive(&mut self, key: EndpointKey, started_at: Option<u64>) -> usize {
        let Some(endpoint) = self.endpoints.get(key) else {
            return 0;
        };
        let listing = &endpoint.listing;
        let incarnation = listing.incarnation();
        let restarted = started_at.is_some() && started_at != listing.started_at;
        let lost = self.losses.0.iter();
        let lost = lost.filter(|loss| loss.key == key && loss.incarnation == incarnation);
        if lost.count() == 0 {
            return 0;
        }
        self.losses.0.retain(|loss| loss.key != key);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.lost_at = None;
        }
        if restarted {
            return 0;
        }
        self.suspects.retract(&incarnation) + self.part_suspects.retract(&incarnation)
    }
}
