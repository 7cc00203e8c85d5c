//! Which endpoints may get a request, whatever it costs there.

use {
    crate::{
        brittleness,
        endpoint::Load,
        prelude::*,
        rollout::access::{Access, Gate},
        state::State,
    },
    rand::RngExt as _,
};

impl State {
    pub(super) fn eligible(
        &self,
        now: Time,
        endpoint: &Endpoint,
        service: &Service,
        gate: &Gate<'_>,
    ) -> bool {
        self.takes_requests(now, endpoint, service)
            && gate.access(endpoint) == Access::Open
            && !self.is_unverified(endpoint)
    }

    /// Whether an endpoint may get a request, whatever its version.
    pub(super) fn takes_requests(&self, now: Time, endpoint: &Endpoint, service: &Service) -> bool {
        endpoint.listing.service == service.name
            && endpoint.usable(now)
            && !self.is_disabled(&endpoint.listing.domain)
            && self.limits.may_ask(now, endpoint.incarnation)
            && endpoint.rate_limiter.allows(now, self.send_quota(service))
            && self.may_be_rejected(now, endpoint)
    }

    /// Whether a rejection of one more request is within what a brittle endpoint bears.
    fn may_be_rejected(&self, now: Time, endpoint: &Endpoint) -> bool {
        let limit = self.brittleness.limit(now, &endpoint.listing.service);
        limit.is_none_or(|limit| {
            endpoint.exposure.allows(now, limit, self.instances) && endpoint.exposure.is_due()
        })
    }

    /// Paces sends to the endpoints of a brittle service that bear less than one rejection per second for
    /// each instance.
    pub(super) fn pace_brittle(&mut self, now: Time, service: &str) {
        let limit = self.brittleness.limit(now, service);
        let Some(limit) = limit.filter(|limit| *limit < self.instances) else {
            return;
        };
        let share = brittleness::expected_share(limit, self.instances);
        let engine = self.service(service).and_then(|service| service.engine);
        let loads = self.loads();
        let listed = self.endpoints.iter();
        let listed = listed.filter(|(_, endpoint)| endpoint.listing.service == service);
        let occupied = listed.map(|(key, endpoint)| {
            let load = self.load(key, endpoint, &loads);
            (key, occupied_slots(load, endpoint.listing.slots, engine))
        });
        for (key, occupied) in occupied.collect::<Vec<_>>() {
            let random = self.random.random();
            let endpoint = &mut self.endpoints[key];
            let slots = endpoint.listing.slots;
            endpoint.exposure.pace(now, occupied, slots, share, random);
        }
    }

    /// This instance's share of the requests per second to one cold endpoint of a service; at least
    /// one, and unlimited for a service that is never cold.
    fn send_quota(&self, service: &Service) -> usize {
        if service.cold_rate <= 0.0 {
            return usize::MAX;
        }
        let quota = service.cold_rate / f64::from(self.instances);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of requests a second is small and positive here"
        )]
        let quota = quota.floor() as usize;
        quota.max(1)
    }
}

/// Slots of an endpoint that are in use, or the same share of them as of an engine's KV cache, if that is
/// larger.
fn occupied_slots(load: Load, slots: u32, engine: Option<Engine>) -> f64 {
    let requests = f64::from(load.requests);
    let Some(engine) = engine else {
        return requests;
    };
    let fill = f64::from(load.tokens) / f64::from(engine.kv_tokens.max(1));
    requests.max(fill * f64::from(slots))
}
