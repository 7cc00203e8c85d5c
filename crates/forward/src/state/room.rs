//! Room for runs that have to move, in the view of one instance.

use {
    super::State,
    crate::{
        choice::{MAX_KV_FILL, MAX_TOKEN_TIME, Need, PREFILL_TOKENS_PER_MS},
        endpoint::Load,
        feature::Feature,
        prelude::*,
        reserve::{self, Kept, Occupancy},
    },
    slotmap::SecondaryMap,
};

impl State {
    /// Whether new work leaves room free for runs that have to move.
    #[must_use]
    pub fn keeps_move_room(&self) -> bool {
        self.settings.features.has(Feature::MoveRoom)
    }

    /// Room that a new request leaves free for runs that have to move.
    pub(crate) fn kept_room(&mut self, now: Time, service: &str, need: Need) -> Kept {
        if !self.keeps_move_room() || need == Need::default() {
            return Kept::default();
        }
        if self.reserve.is_outdated(now, service) {
            let occupancy = self.occupancy(now, service);
            self.reserve.update(now, service, occupancy);
        }
        let busy = reserve::busy_time(need, PREFILL_TOKENS_PER_MS, MAX_TOKEN_TIME);
        self.reserve.kept(now, service, busy)
    }

    /// Number of moves from an engine that a longer one delays: they are queued on its link.
    pub(crate) fn queued_moves(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> f64 {
        if !self.keeps_move_room() {
            return 1.0;
        }
        f64::from(self.load(key, endpoint, loads).requests.max(1))
    }

    /// What the engines of a service hold.
    fn occupancy(&self, now: Time, service: &str) -> Occupancy {
        let loads = self.loads();
        let mut occupancy = Occupancy::default();
        let mut free = Vec::new();
        let engine = self.service(service).and_then(|service| service.engine);
        let capacity = engine.map_or(0.0, |engine| f64::from(engine.kv_tokens) * MAX_KV_FILL);
        for (key, endpoint) in &self.endpoints {
            if endpoint.listing.service != service {
                continue;
            }
            let load = self.load(key, endpoint, &loads);
            let runs = u64::from(load.tokens.saturating_sub(load.copies));
            if endpoint.leaving_since.is_some() {
                occupancy.leaving += runs;
                occupancy.runs = occupancy.runs.saturating_add(load.requests);
                continue;
            }
            if endpoint.usable(now) && !self.is_disabled(&endpoint.listing.domain) {
                occupancy.copies += u64::from(load.copies);
                occupancy.engines += 1;
                occupancy.staying += runs;
                occupancy.runs = occupancy.runs.saturating_add(load.requests);
                free.push((capacity - f64::from(load.tokens)).max(0.0));
            }
        }
        let unit = occupancy.tokens_per_run().max(1.0);
        let places = free.iter().map(|free| (free / unit).floor());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count of tokens"
        )]
        let free = (places.sum::<f64>() * unit) as u64;
        occupancy.free = free;
        occupancy
    }
}
