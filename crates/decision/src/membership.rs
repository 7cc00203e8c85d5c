//! Endpoints and instances that come and go.

use crate::{
    endpoint::{Kind, Member},
    event::Peer,
    prelude::*,
    request::Run,
    state::digest,
};

impl State {
    /// Whether the instance with this digest of its name is in the list, or is this one.
    pub(crate) fn alive(&self, instance: u64) -> bool {
        instance == self.digest || self.live.binary_search(&instance).is_ok()
    }

    pub(crate) fn listed(
        &mut self,
        now: Time,
        mut members: Vec<Member>,
        mut peers: Vec<Peer>,
        out: &mut Vec<Action>,
    ) {
        members.sort();
        peers.sort();
        let mut names = Vec::with_capacity(members.len());
        for member in members {
            let old = self.named(&member.name);
            let key = match old {
                Some(key) if self.endpoints[key].member.address == member.address => {
                    self.endpoints[key].member = member.clone();
                    key
                }
                _ => self.endpoints.insert(Endpoint::new(member.clone(), now)),
            };
            names.push((member.name, key));
        }
        let mut kept = names.iter().map(|(_, key)| *key).collect::<Vec<_>>();
        kept.sort_unstable();
        self.names = names;
        // An endpoint that is no longer listed gets no new work, but the requests that
        // are there still belong to it.
        for (key, endpoint) in &mut self.endpoints {
            endpoint.member.leaving |= kept.binary_search(&key).is_err();
        }
        self.endpoints
            .retain(|key, endpoint| kept.binary_search(&key).is_ok() || endpoint.running > 0);
        self.live = peers.iter().map(|peer| digest(&peer.name)).collect();
        self.live.sort_unstable();
        self.peers = peers;
        self.lay_windows();
        self.settle_orphans(out);
        self.dispatch(now, out);
    }

    /// The endpoint of this name.
    pub(crate) fn named(&self, name: &str) -> Option<endpoint::Key> {
        let place = self
            .names
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
            .ok()?;
        Some(self.names[place].1)
    }

    pub(crate) fn poll(&mut self, now: Time, out: &mut Vec<Action>) {
        for (key, endpoint) in &mut self.endpoints {
            let polled = endpoint.mine && endpoint.member.kind == Kind::Engine;
            if !polled || endpoint.poll > now {
                continue;
            }
            endpoint.poll = now.after(self.limits.poll_interval);
            out.push(Action::Poll(key));
        }
    }

    pub(crate) fn release(&mut self, run: &Run) {
        let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.promised = endpoint.promised.saturating_sub(run.promised);
    }

    pub(crate) fn reported(
        &mut self,
        now: Time,
        key: endpoint::Key,
        report: crate::endpoint::Report,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.take(now, report);
        }
        self.dispatch(now, out);
    }
}
