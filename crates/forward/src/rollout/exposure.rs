//! Requests that this instance sends to a version before it is judged.
//!
//! The limit holds over all instances together, and is far below one request for each of many
//! instances. So it is divided into slots, which instances claim through the store: the first
//! claim of a slot in the store's order owns it, and nobody sends without one. Part of the limit is
//! a share of all requests, of which those count that have been published as evidence.

use {super::record::Claim, crate::prelude::*};

/// Requests that the owner of a slot may send. At hundreds of instances, owners of larger slots get too
/// few requests to use them up.
pub const SLOT_REQUESTS: u32 = 2;

/// Share of the allowed requests that slots use; the rest is for requests in transit when the
/// version is rolled back.
const SLOT_SHARE: f64 = 0.9;

/// Limit of the requests to a version before it is judged, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests beyond the share.
    pub requests: f64,
    /// Share of all requests to the service.
    pub share: f64,
}

/// Number of slots after `answers` requests to the service, and `other` requests to the version without
/// a slot.
#[must_use]
pub fn slots(limit: Limit, answers: u32, other: u32) -> u32 {
    let allowed = limit.requests + limit.share * f64::from(answers);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number of requests; a cast saturates"
    )]
    let requests = (allowed * SLOT_SHARE) as u32;
    requests.saturating_sub(other) / SLOT_REQUESTS
}

/// Requests that this instance has sent to a version before its judgement.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    next_at: Time,
    /// Requests by route, sorted by route.
    routes: Vec<(String, u32)>,
    sent: u32,
}

impl Exposure {
    /// Requests that may still be sent with these slots.
    #[must_use]
    pub fn left(&self, claims: &[Claim], holder: &str) -> u32 {
        let mut owned = 0_u32;
        for (index, claim) in claims.iter().enumerate() {
            let is_first = index == 0 || claims[index - 1].slot != claim.slot;
            owned += u32::from(is_first && claim.holder == holder);
        }
        owned
            .saturating_mul(SLOT_REQUESTS)
            .saturating_sub(self.sent)
    }

    /// Number of requests sent.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether a request of this route may be sent now. Routes take turns, since some versions are
    /// bad on one of them only.
    #[must_use]
    pub fn is_due(&self, now: Time, route: &str, routes: &[&str]) -> bool {
        let fewest = routes.iter().map(|route| self.sent_on(route)).min();
        now >= self.next_at && fewest.is_none_or(|fewest| self.sent_on(route) <= fewest + 1)
    }

    /// Records a request. The next one follows so that those that are left are spread over the first
    /// half of the time until the judgement: an instance of many may get no other request in the second.
    pub fn record(&mut self, now: Time, route: &str, left: u32, until_judgement: Duration) {
        self.sent += 1;
        self.next_at = now.after(until_judgement / (2 * left.max(1)));
        match self.find(route) {
            Ok(index) => self.routes[index].1 += 1,
            Err(index) => self.routes.insert(index, (route.to_string(), 1)),
        }
    }

    fn sent_on(&self, route: &str) -> u32 {
        self.find(route).map_or(0, |index| self.routes[index].1)
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|(other, _)| other.as_str().cmp(route))
    }
}
