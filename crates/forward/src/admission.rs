//! Whether a request may be served, and what the truthful answer is if not.

use {
    crate::{
        choice::{PREFILL_TOKENS_PER_MS, MAX_TOKEN_TIME},
        prelude::*,
        request::Ticket,
        state::State,
    },
    rand::{RngExt as _, rngs::SmallRng},
};

/// Margin below the revocation bound, for the way from here to an endpoint.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Age of the configuration up to which a missing route or key is believed missing; a
/// little below the two seconds in which every instance in touch has a new version.
/// Beyond it the caller is sent elsewhere, since the newer configuration may have it.
const MAX_AGE_FOR_NOT_FOUND: Duration = Duration::from_millis(1950);

/// Time for the way, the queue, and everything else that an answer takes.
const ANSWER_OVERHEAD: Duration = Duration::from_millis(400);

impl State {
    /// Whether a request may be served, and how.
    ///
    /// # Errors
    ///
    /// The truthful refusal; nothing has been sent.
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
        if self
            .stops_at
            .is_some_and(|stops_at| now.after(max_duration(route, inbound)) > stops_at)
        {
            return Err(Refusal::Stopping);
        }
        Ok(Ticket {
            customer: customer.map(|customer| customer.name.clone()),
            expires,
            priority: customer
                .and_then(|customer| customer.priority)
                .unwrap_or(route.priority),
            service: weighted_service(&route.split, &mut self.random),
            route: route.clone(),
            version: config.version,
        })
    }

    /// Admits a request again, by what is known now. It stays with the service that was
    /// drawn for it as long as its route still goes there; a new draw would send it to an
    /// endpoint that was chosen for another service.
    ///
    /// # Errors
    ///
    /// The truthful refusal.
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

    /// Whether callers may be sent here: everything that is needed to serve them is known
    /// and recent enough.
    #[must_use]
    pub fn ready(&self, now: Time) -> bool {
        let bound = self.settings.revocation.saturating_sub(REVOCATION_MARGIN);
        self.config.is_some()
            && self.list_freshness.age(now).is_some()
            && self.config_freshness.within(now, bound)
    }

    /// The instance ends at `stops_at`. Requests that would not be answered by then are
    /// refused: their callers are served by another instance, while an answer that is cut
    /// off is lost, and a generation cannot be repeated.
    pub const fn stop(&mut self, stops_at: Time) {
        self.stops_at = Some(stops_at);
    }
}

/// How long the answer to a request is likely to take, on the safe side.
fn max_duration(route: &Route, inbound: &Inbound) -> Duration {
    if route.kind != Kind::Stream {
        return ANSWER_OVERHEAD.min(route.timeout);
    }
    let prefill = Duration::from_secs_f64(f64::from(inbound.prompt) / PREFILL_TOKENS_PER_MS / 1000.0);
    // The caller's own estimate is right at the median only; its bound is sure.
    let output = if inbound.max_output_tokens == 0 {
        u32::MAX
    } else {
        inbound.max_output_tokens
    };
    prefill + MAX_TOKEN_TIME.saturating_mul(output) + ANSWER_OVERHEAD
}

/// A service by weight.
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
