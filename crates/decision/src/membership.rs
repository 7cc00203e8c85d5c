//! Membership of endpoints and instances.

use crate::{
    endpoint::{Kind, Member},
    event::Peer,
    prelude::*,
    request::Run,
    state::digest,
};

impl State {
    /// Whether the instance with this name digest is listed or is this one.
    pub(crate) fn is_live(&self, instance: u64) -> bool {
        instance == self.digest || self.live_instances.binary_search(&instance).is_ok()
    }

    pub(crate) fn apply_instance_list(
        &mut self,
        now: Time,
        mut members: Vec<Member>,
        mut peers: Vec<Peer>,
        out: &mut Vec<Action>,
    ) {
        members.sort();
        peers.sort();
        let mut endpoint_names = Vec::with_capacity(members.len());
        for member in members {
            let old = self.endpoint_by_name(&member.name);
            let key = match old {
                Some(key) if self.endpoints[key].member.address == member.address => {
                    self.endpoints[key].member = member.clone();
                    key
                }
                _ => self.endpoints.insert(Endpoint::new(member.clone(), now)),
            };
            endpoint_names.push((member.name, key));
        }
        let mut kept = endpoint_names
            .iter()
            .map(|(_, key)| *key)
            .collect::<Vec<_>>();
        kept.sort_unstable();
        self.endpoint_names = endpoint_names;
        // An endpoint that is no longer listed gets no new work, but is kept until its
        // running requests have ended.
        for (key, endpoint) in &mut self.endpoints {
            endpoint.member.leaving |= kept.binary_search(&key).is_err();
        }
        self.endpoints
            .retain(|key, endpoint| kept.binary_search(&key).is_ok() || endpoint.running > 0);
        self.live_instances = peers.iter().map(|peer| digest(&peer.name)).collect();
        self.live_instances.sort_unstable();
        self.peers = peers;
        self.update_subset();
        self.finish_orphaned_orders(out);
        self.dispatch(now, out);
    }

    /// The listed endpoint with this name.
    pub(crate) fn endpoint_by_name(&self, name: &str) -> Option<endpoint::Key> {
        let index = self
            .endpoint_names
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
            .ok()?;
        Some(self.endpoint_names[index].1)
    }

    pub(crate) fn poll_endpoints(&mut self, now: Time, out: &mut Vec<Action>) {
        for (key, endpoint) in &mut self.endpoints {
            let is_polled = endpoint.in_subset && endpoint.member.kind == Kind::Engine;
            if !is_polled || endpoint.next_poll > now {
                continue;
            }
            endpoint.next_poll = now.after(self.limits.poll_interval);
            out.push(Action::Poll(key));
        }
    }

    pub(crate) fn release(&mut self, run: &Run) {
        let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.reserved_tokens = endpoint.reserved_tokens.saturating_sub(run.reserved_tokens);
    }

    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        key: endpoint::Key,
        report: crate::endpoint::Report,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.apply_report(now, report);
        }
        self.dispatch(now, out);
    }
}
