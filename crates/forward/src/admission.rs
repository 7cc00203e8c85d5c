//! Admission of requests.

use {
    crate::{prelude::*, request::Ticket, state::State},
    rand::{RngExt as _, rngs::SmallRng},
};

/// Margin below the revocation limit for the time a request takes to reach an endpoint.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Maximum age of the configuration for rejecting an unknown route or key for good. Every connected
/// instance has a new version within 2 s; with an older configuration the caller is asked to retry,
/// since a newer version may have the route or key.
const MAX_AGE_FOR_NOT_FOUND: Duration = Duration::from_millis(1950);

impl State {
    /// Time from its arrival within which the body of a request has to be complete.
    #[must_use]
    pub fn body_timeout(&self, inbound: &Inbound) -> Duration {
        let config = self.config.as_ref();
        let route = config.and_then(|config| config.route(&inbound.host, &inbound.path));
        let idle = config
            .map(|config| config.limits)
            .unwrap_or_default()
            .idle_timeout;
        let limit = route.map_or(idle, |route| route.timeout);
        inbound
            .deadline
            .map_or(limit, |deadline| deadline.min(limit))
    }

    /// Admits a request, or rejects it.
    ///
    /// # Errors
    ///
    /// The reason for the rejection; nothing has been sent to an endpoint.
    pub fn admit(&mut self, now: Time, inbound: &Inbound) -> Result<Ticket, Refusal> {
        let is_recent = self.config_freshness.within(now, MAX_AGE_FOR_NOT_FOUND);
        let not_found = |refusal| if is_recent { refusal } else { Refusal::Stale };
        let config = self.config.as_ref().ok_or(Refusal::Unconfigured)?;
        let route = config
            .route(&inbound.host, &inbound.path)
            .ok_or_else(|| not_found(Refusal::UnknownRoute))?;
        let mut customer = None;
        if config.requires_keys() && !route.anonymous {
            let key = inbound.key.as_deref().unwrap_or_default();
            let holder = config
                .customer(key)
                .ok_or_else(|| not_found(Refusal::UnknownKey))?;
            let bound = self.settings.revocation.saturating_sub(REVOCATION_MARGIN);
            if !self.config_freshness.within(now, bound) {
                return Err(Refusal::Stale);
            }
            customer = Some(holder);
        }
        let expires = inbound.arrived.after(
            inbound
                .deadline
                .map_or(route.timeout, |deadline| deadline.min(route.timeout)),
        );
        if now >= expires {
            return Err(Refusal::Expired);
        }
        if self.stops_before(now, expires) {
            return Err(Refusal::Stopping);
        }
        Ok(Ticket {
            customer: customer.map(|customer| customer.name.clone()),
            due: inbound.arrived.after(route.target),
            expires,
            priority: customer
                .and_then(|customer| customer.priority)
                .unwrap_or(route.priority),
            service: weighted_service(&route.split, &mut self.random),
            route: route.clone(),
            version: config.version,
        })
    }

    /// Admits a queued request again under the current configuration. It stays with the service
    /// drawn for it as long as its route includes that service; another one would not match the
    /// endpoint that was chosen.
    ///
    /// # Errors
    ///
    /// The reason for the rejection.
    pub fn readmit(
        &mut self,
        now: Time,
        inbound: &Inbound,
        ticket: &Ticket,
    ) -> Result<Ticket, Refusal> {
        let mut renewed = self.admit(now, inbound)?;
        let split = &renewed.route.split;
        if split
            .iter()
            .any(|(name, weight)| *name == ticket.service && *weight > 0)
        {
            renewed.service.clone_from(&ticket.service);
        }
        Ok(renewed)
    }

    /// Whether the instance is ready: it has a configuration and an endpoint list, and the
    /// configuration is recent enough to accept keys.
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        let bound = self.settings.revocation.saturating_sub(REVOCATION_MARGIN);
        self.config.is_some()
            && self.list_freshness.age(now).is_some()
            && self.config_freshness.within(now, bound)
    }

    /// Sets the time at which the instance stops. From now on only requests are admitted that have
    /// to end by then, so that callers use another instance for the others.
    pub const fn stop(&mut self, stops_at: Time) {
        self.stops_at = Some(stops_at);
    }

    /// Whether the instance stops before a request has to end that expires at this time. Nothing
    /// else bounds how long a request queues and how long its endpoint works on it. A late event
    /// loop ends it late.
    #[must_use]
    pub fn stops_before(&self, now: Time, expires: Time) -> bool {
        let ends_at = expires.after(self.lateness.worst(now));
        self.stops_at.is_some_and(|stops_at| ends_at > stops_at)
    }
}

/// Draws a service by weight.
fn weighted_service(split: &[(String, u32)], random: &mut SmallRng) -> String {
    let sum = split.iter().map(|(_, weight)| *weight).sum::<u32>();
    let mut point = if sum == 0 {
        0
    } else {
        random.random_range(0..sum)
    };
    for (name, weight) in split {
        if point < *weight {
            return name.clone();
        }
        point -= weight;
    }
    split
        .first()
        .map_or_else(String::new, |(name, _)| name.clone())
}
