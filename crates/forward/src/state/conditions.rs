//! What endpoints state of themselves, and whether requests are sent to them.

use {
    super::State,
    crate::{
        condition::Conditions, cooldown::Permit, departed::Statement, prelude::*,
        rollout::access::Access,
    },
    rand::RngExt as _,
};

/// Time between the first requests of two instances after a cooldown, on average. An endpoint turns instances away at about
/// the same moment, for the same time, and would be overloaded again if they all came back at once.
const RESUME_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time from the end of a cooldown to the first request of an instance.
const MAX_RESUME_DELAY: Duration = Duration::from_secs(2);

/// An answer of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// What it states.
    pub conditions: Conditions,
    /// Digest of the incarnation to which the request was sent.
    pub incarnation: u32,
    /// Whether it rejects the request without running it.
    pub rejected: bool,
    /// When the request was sent.
    pub sent_at: Time,
}

/// What a request may wait for that finds no endpoint now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlook {
    /// The endpoints that could serve it are in their cooldowns, the first one for this time.
    CoolingDown(Duration),
    /// The endpoints that could serve it name limits or are in their cooldowns; the first one takes requests after this
    /// time.
    Limited(Duration),
    /// No endpoint is left that could serve it.
    Nothing,
    /// An endpoint may have room soon.
    Room,
}

impl State {
    /// Records what an answer states of its endpoint. Returns whether it is the first to state that the endpoint leaves.
    pub fn record_statement(&mut self, now: Time, key: EndpointKey, answer: &Answer) -> bool {
        let delay = self.resume_delay();
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return false;
        };
        if endpoint.incarnation != answer.incarnation {
            return false;
        }
        let statement = &mut endpoint.statement;
        match answer.conditions.cooldown {
            Some(cooldown) => statement.cooldown.begin(now, cooldown, delay),
            None if !answer.rejected => statement.cooldown.record_acceptance(answer.sent_at),
            None => {}
        }
        let is_leaving = answer.conditions.leaving && statement.leaving_at.is_none();
        is_leaving && self.record_leaving(now, answer.incarnation)
    }

    /// Random time from the end of a cooldown to this instance's first request.
    fn resume_delay(&mut self) -> Duration {
        let longest = RESUME_INTERVAL.saturating_mul(self.instances);
        let longest = longest.min(MAX_RESUME_DELAY);
        longest.mul_f64(self.random.random_range(0.0..=1.0))
    }

    /// Records that an endpoint states that it leaves; returns whether that is new. It holds for this start of it,
    /// whatever the list says.
    pub fn record_leaving(&mut self, now: Time, incarnation: u32) -> bool {
        let Some(key) = self.find_incarnation(incarnation) else {
            let mut statement = self.departed.take(incarnation).unwrap_or_default();
            statement.leaving_at.get_or_insert(now);
            self.departed.insert(now, incarnation, statement);
            return false;
        };
        let endpoint = &mut self.endpoints[key];
        if endpoint.statement.leaving_at.is_some() {
            return false;
        }
        let is_notice = endpoint.leaving_since.is_none();
        endpoint.state_leaving(now);
        if is_notice {
            let service = endpoint.listing.service.clone();
            self.reserve.record_notice(now, &service);
        }
        true
    }

    /// The endpoint with an incarnation, by its digest.
    #[must_use]
    pub fn find_incarnation(&self, incarnation: u32) -> Option<EndpointKey> {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.find(|(_, endpoint)| endpoint.incarnation == incarnation);
        found.map(|(key, _)| key)
    }

    /// Applies what an endpoint stated before its entry was last removed.
    pub(super) fn restore_statement(&mut self, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        let Some(statement) = self.departed.take(endpoint.incarnation) else {
            return;
        };
        endpoint.statement = statement;
        if let Some(leaving_at) = statement.leaving_at {
            endpoint.leaving_since.get_or_insert(leaving_at);
        }
    }

    /// Permits a request to an endpoint, if its cooldown allows it; [`Self::end_send`] takes the permit back.
    pub fn permit_send(&mut self, now: Time, key: EndpointKey, urgent: bool) -> Option<Permit> {
        let endpoint = self.endpoints.get_mut(key)?;
        if endpoint.statement.leaving_at.is_some() && !urgent {
            return None;
        }
        endpoint.statement.cooldown.permit(now, urgent)
    }

    /// Whether a request that was permitted may still be written, now that there is a connection for it.
    #[must_use]
    pub fn may_write(&self, now: Time, key: EndpointKey, incarnation: u32, urgent: bool) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| {
            let Statement {
                cooldown,
                leaving_at,
            } = endpoint.statement;
            let takes_new = cooldown.is_over(now) && leaving_at.is_none();
            endpoint.incarnation == incarnation && (urgent || takes_new)
        })
    }

    /// Records that a request was answered or given up.
    pub fn end_send(&mut self, key: EndpointKey, permit: Permit) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.statement.cooldown.give_back(permit);
        }
    }

    /// Time until a stream in progress may go on at an endpoint, if its cooldown does not allow that now.
    #[must_use]
    pub fn takeover_delay(&self, now: Time, key: EndpointKey) -> Option<Duration> {
        let endpoint = self.endpoints.get(key)?;
        endpoint.statement.cooldown.urgent_left(now)
    }

    /// Time until the end of an endpoint's cooldown, if it is in one.
    #[must_use]
    pub fn cooldown_left(&self, now: Time, key: EndpointKey) -> Option<Duration> {
        let cooldown = self.endpoints.get(key)?.statement.cooldown;
        (!cooldown.is_over(now)).then(|| cooldown.time_left(now))
    }

    /// What a request may wait for that finds no endpoint of a service beside those that were tried.
    #[must_use]
    pub fn outlook(&self, now: Time, service: &str, tried: &[EndpointKey]) -> Outlook {
        let gate = self.gate(now, service);
        let (mut soonest, mut is_limited) = (None::<Duration>, false);
        let (mut is_known, mut may_return) = (false, false);
        for (key, endpoint) in &self.endpoints {
            if endpoint.listing.service != service
                || self.is_disabled(&endpoint.listing.domain)
                || gate.access(endpoint) != Access::Open
            {
                continue;
            }
            is_known = true;
            if endpoint.has_given_notice() {
                continue;
            }
            if endpoint.leaving_since.is_some() {
                may_return = true;
                continue;
            }
            let limited = self.limits.held_for(now, endpoint.incarnation);
            let held = limited.max(endpoint.statement.cooldown.left(now));
            match held {
                Some(held) => {
                    is_limited |= limited.is_some();
                    soonest = Some(soonest.map_or(held, |soonest| soonest.min(held)));
                }
                None if tried.contains(&key) => may_return |= endpoint.has_failed(),
                None if endpoint.is_unreachable(now) => may_return = true,
                None => return Outlook::Room,
            }
        }
        match soonest {
            Some(held) if is_limited => Outlook::Limited(held),
            Some(held) => Outlook::CoolingDown(held),
            None if is_known && !may_return => Outlook::Nothing,
            None => Outlook::Room,
        }
    }
}
