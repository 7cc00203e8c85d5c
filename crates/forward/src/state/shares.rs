//! Shares of customers: what a request costs, and the room of services.

use {
    super::State,
    crate::{
        choice::Need,
        endpoint::Load,
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

    /// Room of all services, and how much of it is in use: their usable engines, or slots of plain
    /// endpoints.
    fn share_capacities(&self, now: Time) -> Vec<Capacity> {
        let loads = self.loads();
        let services = self.config.as_ref().map_or(&[][..], Config::services);
        let mut capacities = Vec::new();
        for service in services {
            let (mut used, mut room) = (0.0, 0.0);
            for (key, endpoint) in &self.endpoints {
                let listing = &endpoint.listing;
                let is_listed = listing.service == service.name && endpoint.usable(now);
                if !is_listed || self.is_disabled(&listing.domain) {
                    continue;
                }
                match service.engine {
                    Some(engine) => {
                        used += engine_fill(engine, self.load(key, endpoint, &loads));
                        room += ENGINE_ROOM;
                    }
                    None => room += f64::from(listing.slots) * SLOT_ROOM,
                }
            }
            capacities.push(Capacity {
                fill: if room > 0.0 {
                    used * ENGINE_ROOM / room
                } else {
                    0.0
                },
                room,
                service: digest(&service.name),
            });
        }
        capacities
    }
}

/// Share of an engine that is in use: of its KV cache or of its slots, whichever is larger.
fn engine_fill(engine: Engine, load: Load) -> f64 {
    let memory = f64::from(load.tokens) / f64::from(engine.kv_tokens.max(1));
    memory.max(f64::from(load.requests) / f64::from(engine.slots.max(1)))
}
