//! Rollouts of new versions, with what the state knows of their services.

use {
    super::State,
    crate::{
        prelude::*,
        rollout::{
            Rollout, Rollouts,
            order::Order,
            record::{Record, Stage},
            step::{Action, Surroundings},
            tally::Outcome,
        },
    },
};

impl State {
    /// Takes an order to move a service to another version; returns whether it is new.
    pub fn set_order(&mut self, now: Time, order: Order) -> bool {
        self.rollouts.set_order(now, order)
    }

    /// Takes a record of a rollout.
    pub fn apply_rollout(&mut self, now: Time, record: Record) {
        let service = record.service.clone();
        let stage = |rollouts: &Rollouts| rollouts.rollout(&service).and_then(Rollout::stage);
        let before = stage(&self.rollouts);
        self.rollouts.apply(now, record);
        if before != Some(Stage::Completed) && stage(&self.rollouts) == Some(Stage::Completed) {
            let replaced = self.other_versions(&service);
            self.rollouts.set_replaced(&service, replaced);
        }
    }

    /// Versions of a service's endpoints other than the target of its order.
    fn other_versions(&self, service: &str) -> Vec<String> {
        let order = self.rollouts.rollout(service).and_then(Rollout::order);
        let target = order.map(|order| order.target.as_str());
        let versions = self.endpoints.values().filter_map(|endpoint| {
            let version = endpoint.listing.version.as_deref()?;
            (endpoint.listing.service == service && Some(version) != target).then_some(version)
        });
        let mut versions = versions.map(str::to_string).collect::<Vec<_>>();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// What this instance, named `own`, has to do next for a rollout.
    pub fn next_rollout_action(&mut self, now: Time, own: &str) -> Option<Action> {
        let services = self.rollouts.services().map(str::to_string);
        for service in services.collect::<Vec<_>>() {
            if self.service(&service).is_none() {
                continue;
            }
            let surroundings = self.surroundings(now, own, &service);
            let action = self.rollouts.next_action(now, &service, surroundings);
            if action.is_some() {
                return action;
            }
        }
        None
    }

    fn surroundings(&self, now: Time, own: &str, service: &str) -> Surroundings {
        let gate = self.rollouts.gate(now, service);
        let target = gate.target.map(|(target, _)| target).unwrap_or_default();
        let loads = self.loads();
        let elsewhere = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.listing.service == service && endpoint.version() != target
        });
        let runs = elsewhere.map(|(key, endpoint)| self.load(key, endpoint, &loads).requests);
        Surroundings {
            alternatives: self.alternatives(&gate, service),
            instances: self.members.count(),
            position: self.members.position(own),
            runs_elsewhere: runs.fold(0, u32::saturating_add),
            targets: self.targets(target, service),
        }
    }

    /// Takes the outcome of a request at an endpoint.
    pub fn observe(&mut self, now: Time, key: EndpointKey, route: &str, outcome: Outcome) {
        if let Some(endpoint) = self.endpoints.get(key) {
            self.rollouts.observe(now, endpoint, route, outcome);
        }
    }
}
