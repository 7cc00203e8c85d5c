//! The failure domains that a request may be sent to: its own, or the others.

use {
    super::{Knowledge, Need, Promise},
    crate::{
        feature::Feature,
        overflow::{Side, Sides, Strain},
        prelude::*,
        request::Ticket,
        reserve::Demand,
        state::State,
    },
};

/// Bytes of a request for each token of its prompt.
const BYTES_PER_PROMPT_TOKEN: f64 = 1.0;

/// Bytes of a stream for each output token, with the framing of events of a few tokens.
const BYTES_PER_OUTPUT_TOKEN: f64 = 100.0;

/// Bytes of a plain request and its answer.
const PLAIN_BYTES: f64 = 2000.0;

impl State {
    /// The side to send a request to; `None` if all endpoints are open to it, as to one that is late or
    /// repeated: it is to be answered wherever there is room.
    pub(super) fn side(
        &mut self,
        now: Time,
        ticket: &Ticket,
        need: Need,
        tried: &[EndpointKey],
    ) -> Option<Side> {
        let is_on = self.settings.features.has(Feature::DomainOverflow);
        if !is_on || now >= ticket.due || !tried.is_empty() {
            return None;
        }
        let demand = self.demand(now, &ticket.service, need);
        let sides = self.strain(now, ticket, need, demand)?;
        let (service, route) = (&ticket.service, &ticket.route.name);
        let sides = self.overflow.average(now, service, route, sides);
        sides.choose(&mut self.random)
    }

    /// Whether an endpoint is on a side.
    pub(super) fn is_on(&self, side: Option<Side>, endpoint: &Endpoint) -> bool {
        let is_home = endpoint.listing.domain == self.settings.domain;
        side.is_none_or(|side| is_home == (side == Side::Home))
    }

    /// Strain on both sides for a request.
    fn strain(&self, now: Time, ticket: &Ticket, need: Need, demand: Demand) -> Option<Sides> {
        let service = self.service(&ticket.service)?;
        let loads = self.loads();
        let promise = Promise::of(&ticket.route);
        let known = self.knowledge(now, service, need, promise, &loads);
        let left = ticket.due.since(now);
        let strain = |side| {
            let gate = self.gate(now, &service.name);
            let endpoints = self.endpoints.iter().filter(|(_, endpoint)| {
                self.is_on(Some(side), endpoint) && self.eligible(now, endpoint, service, &gate)
            });
            let endpoints = endpoints.collect::<Vec<_>>();
            if endpoints.is_empty() {
                return None;
            }
            if service.engine.is_none() {
                return Some(self.slot_strain(&endpoints, &known));
            }
            Some(self.wait_strain(&endpoints, service, demand, &known, left))
        };
        let wait_per_megabyte = self.settings.transfer_wait_per_megabyte;
        let away = strain(Side::Away);
        Some(Sides {
            away: away.map(|away| away.with_transfer(bytes(need), wait_per_megabyte, left)),
            home: strain(Side::Home),
        })
    }

    /// Strain on plain endpoints: the share of their slots that are taken.
    fn slot_strain(&self, endpoints: &[(EndpointKey, &Endpoint)], known: &Knowledge<'_>) -> Strain {
        let mut taken = 0_u32;
        let mut slots = 0_u32;
        for (key, endpoint) in endpoints {
            let load = self.load(*key, endpoint, known.loads);
            taken = taken.saturating_add(load.requests.min(endpoint.listing.slots));
            slots = slots.saturating_add(endpoint.listing.slots);
        }
        Strain::of_slots(taken, slots)
    }

    /// Strain on engines: the waiting at the cheapest one, with what its pauses are worth.
    fn wait_strain(
        &self,
        endpoints: &[(EndpointKey, &Endpoint)],
        service: &Service,
        demand: Demand,
        known: &Knowledge<'_>,
        left: Duration,
    ) -> Strain {
        let costs = endpoints.iter().filter_map(|(key, endpoint)| {
            let cost = self.cost(*key, endpoint, service, demand, known.loads)?;
            let cost = cost + self.pace_cost(*key, endpoint, service, known);
            Some(cost - self.domain_cost(endpoint))
        });
        let least = costs.min_by(f64::total_cmp);
        least.map_or(Strain::FULL, |cost_ms| {
            Strain::of_wait(Duration::from_secs_f64(cost_ms.max(0.0) / 1000.0), left)
        })
    }
}

/// Expected bytes of a request and its answer.
fn bytes(need: Need) -> f64 {
    if need == Need::default() {
        return PLAIN_BYTES;
    }
    f64::from(need.prompt) * BYTES_PER_PROMPT_TOKEN
        + f64::from(need.output) * BYTES_PER_OUTPUT_TOKEN
}
