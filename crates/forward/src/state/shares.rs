//! Shares of customers: what a request costs, and the room of services.

use {
    super::State,
    crate::{
        choice::Need,
        fairness::{Capacity, Change, Key, cost},
        feature::Feature,
        load::digest,
        prelude::*,
        request::Ticket,
    },
    rand::RngExt as _,
};

/// Share of an engine that runs may take without others having to wait.
const ENGINE_ROOM: f64 = 0.75;

/// Share of the slots of a plain endpoint that requests may take without others having to wait. Requests are
/// shorter than the age of what is known of an endpoint's load, so that they are spread by chance.
const SLOT_ROOM: f64 = 0.5;

impl State {
    /// Whether customers are held to their share of a service that is short of room.
    #[must_use]
    pub fn shares_room(&self) -> bool {
        self.settings.features.has(Feature::CustomerShares)
    }

    /// Records what a request asks for, and refuses it if its customer is over its share.
    ///
    /// # Errors
    ///
    /// The customer is over its share; nothing has been sent to an endpoint.
    pub fn check_share(&mut self, now: Time, ticket: &Ticket, need: Need) -> Result<(), Refusal> {
        if !self.shares_room() {
            return Ok(());
        }
        let key = Key::new(&ticket.service, ticket.customer.as_deref());
        let cost = self.share_cost(key, &ticket.service, need);
        self.shares.offer(now, key, cost);
        let (chance, spread) = (self.random.random(), self.random.random());
        let admitted = self.shares.admit(key, chance, spread);
        admitted.map_err(Refusal::OverShare)
    }

    /// Room that a request takes, times how long.
    fn share_cost(&self, key: Key, service: &str, need: Need) -> f64 {
        let engine = self.service(service).and_then(|service| service.engine);
        let Some(engine) = engine else {
            return self.shares.durations.seconds(key.service, 1.0, false);
        };
        let expected = cost::expected_seconds(need.prompt, need.output);
        let seconds = self.shares.durations.seconds(key.service, expected, true);
        cost::engine_share(engine, need.prompt, need.output) * seconds
    }

    /// Records how long a request held its room.
    pub fn record_duration(&mut self, service: &str, need: Option<Need>, took: Duration) {
        if !self.shares_room() {
            return;
        }
        let expected = need.map_or(1.0, |need| cost::expected_seconds(need.prompt, need.output));
        self.shares
            .durations
            .record(digest(service), expected, took);
    }

    /// Computes anew which customers are held back; returns what has changed.
    pub fn update_shares(&mut self, now: Time) -> Vec<Change> {
        let capacities = self.share_capacities(now);
        let instances = u32::try_from(self.members.count().max(1)).unwrap_or(u32::MAX);
        self.shares.update(now, &capacities, instances)
    }

    /// Room of all services: their usable engines, or slots of plain endpoints. Sorted by service.
    fn share_capacities(&self, now: Time) -> Vec<Capacity> {
        let mut rooms = Vec::<(&str, f64)>::new();
        for endpoint in self.endpoints.values() {
            let listing = &endpoint.listing;
            if !endpoint.usable(now) || self.is_disabled(&listing.domain) {
                continue;
            }
            let service = listing.service.as_str();
            let is_engine = self
                .service(service)
                .is_some_and(|service| service.engine.is_some());
            let room = if is_engine {
                ENGINE_ROOM
            } else {
                f64::from(listing.slots) * SLOT_ROOM
            };
            match rooms.binary_search_by(|(other, _)| (*other).cmp(service)) {
                Ok(index) => rooms[index].1 += room,
                Err(index) => rooms.insert(index, (service, room)),
            }
        }
        let rooms = rooms.into_iter();
        let rooms = rooms.map(|(service, room)| Capacity {
            room,
            service: digest(service),
        });
        rooms.collect()
    }
}
