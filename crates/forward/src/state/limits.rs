//! Requests to endpoints that name a limit.

use {
    super::State,
    crate::{aggregate::members::Role, prelude::*},
};

/// Maximum number of instances that pass an ask on: an aggregator, and a peer whose view of the coordinator differs.
const MAX_HOPS: u8 = 2;

/// Time after which to ask again where instances disagree on the coordinator.
const DISAGREEMENT_PAUSE: Duration = Duration::from_millis(250);

/// A peer's ask for one request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Failure domain of the endpoint.
    pub domain: &'a str,
    /// Digest of its incarnation.
    pub endpoint: u32,
    /// Number of instances that have passed it on.
    pub hops: u8,
    /// Whether it is for a stream in progress that no other endpoint can continue.
    pub urgent: bool,
}

/// What becomes of an ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// It is answered: granted, or to be repeated after this time.
    Answer(Result<(), Duration>),
    /// It is passed on to this instance.
    PassOn(String),
}

/// What becomes of a request to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// This instance has to be asked, the coordinator of the endpoint or one that knows it.
    Ask(String),
    /// The endpoint has no limit.
    Free,
    /// It may be sent.
    Granted,
    /// The endpoint takes no more now.
    Refused,
}

impl State {
    /// Decides on a request to an endpoint. If a peer has to be asked, [`Self::end_ask`] takes its answer.
    pub fn admit_limited(
        &mut self,
        now: Time,
        own: &str,
        key: EndpointKey,
        urgent: bool,
    ) -> Admission {
        let Some(endpoint) = self.endpoints.get(key) else {
            return Admission::Free;
        };
        let incarnation = endpoint.incarnation;
        if self.limits.rate(now, incarnation).is_none() {
            return Admission::Free;
        }
        if !urgent && !self.limits.may_ask(now, incarnation) {
            return Admission::Refused;
        }
        let coordinator = self.coordinator(now, own, &endpoint.listing.domain);
        if let Some(coordinator) = coordinator.map(ToString::to_string) {
            if let Some(hold) = self.limits.hold_mut(incarnation) {
                hold.begin();
            }
            return Admission::Ask(coordinator);
        }
        match self.grant_limited(now, own, incarnation, urgent) {
            Ok(()) => Admission::Granted,
            Err(pause) => {
                if let Some(hold) = self.limits.hold_mut(incarnation) {
                    hold.refuse(now, pause);
                }
                Admission::Refused
            }
        }
    }

    /// Answers a peer's ask, or passes it on to the coordinator of the endpoint.
    pub fn take_ask(&mut self, now: Time, own: &str, ask: Ask<'_>) -> Response {
        let coordinator = self.coordinator(now, own, ask.domain);
        match coordinator.map(ToString::to_string) {
            None => Response::Answer(self.grant_limited(now, own, ask.endpoint, ask.urgent)),
            Some(_) if ask.hops >= MAX_HOPS => Response::Answer(Err(DISAGREEMENT_PAUSE)),
            Some(coordinator) => Response::PassOn(coordinator),
        }
    }

    /// Grants a request to an endpoint that this instance coordinates.
    fn grant_limited(
        &mut self,
        now: Time,
        own: &str,
        incarnation: u32,
        urgent: bool,
    ) -> Result<(), Duration> {
        let share = self.visible_share(now, own);
        self.limits.grant(now, incarnation, share, urgent)
    }

    /// Takes the answer to an ask; `None` if there was none in time.
    pub fn end_ask(&mut self, now: Time, incarnation: u32, answer: Option<Result<(), Duration>>) {
        if let Some(hold) = self.limits.hold_mut(incarnation) {
            hold.end(now, answer);
        }
    }

    /// The instance to ask for requests to endpoints of a failure domain; `None` if this one grants them.
    ///
    /// It is the first responsive one of that domain by rank, or else of all. Where instances are many, a
    /// member asks the first one of its own domain, which passes the ask on.
    #[must_use]
    pub fn coordinator(&self, now: Time, own: &str, domain: &str) -> Option<&str> {
        let many = self.members.is_aggregated();
        let domain = if self.members.role(own) == Role::Member && many {
            self.members.domain(own).unwrap_or(&self.settings.domain)
        } else {
            domain
        };
        // Where instances are few they do not answer each other's reports, so that silence shows in these.
        let is_responsive = |name: &str| many || self.peer_loads.is_heard(now, name);
        let first = self.members.first_responsive(domain, own, is_responsive)?;
        (first != own).then_some(first)
    }

    /// Share of all instances that this one hears of, in which it may grant requests: the others may ask another one.
    fn visible_share(&self, now: Time, own: &str) -> f64 {
        let is_listed = self.members.domain(own).is_some();
        let listed = u32::try_from(self.members.count()).unwrap_or(u32::MAX);
        let least = if is_listed {
            1
        } else {
            // The list has not been read since this instance started.
            self.settings.min_instances.max(1)
        };
        let listed = listed.max(least);
        let reporting = u32::try_from(self.peer_loads.count(now)).unwrap_or(u32::MAX);
        let visible = reporting
            .saturating_add(1)
            .saturating_add(self.sums.domains.members());
        (f64::from(visible) / f64::from(listed)).min(1.0)
    }
}
