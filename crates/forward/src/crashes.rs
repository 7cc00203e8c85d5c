//! What the loss of an endpoint says of the requests that ran there.

use crate::{part_suspects::Claim, prelude::*, state::State, suspects::Crash};

impl State {
    /// Records that the connection to an endpoint broke while it ran a request; returns whether that
    /// counts against the request. An endpoint that was known to be leaving has ended by itself.
    pub fn record_break(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        endpoint: EndpointKey,
        events: u32,
    ) -> bool {
        let Some(incarnation) = self.lost_incarnation(endpoint) else {
            return false;
        };
        self.losses.record(now, endpoint, incarnation.clone());
        self.record_loss(now, &incarnation);
        let crash = Crash {
            fingerprint,
            endpoint: incarnation,
            events,
        };
        self.suspects.record_crash(now, crash)
    }

    /// Records that an endpoint was lost in this run of its process, as this instance or another has seen.
    pub fn record_loss(&mut self, now: Time, incarnation: &str) {
        let mut endpoints = self.endpoints.values_mut();
        let lost = endpoints.find(|endpoint| endpoint.listing.incarnation() == incarnation);
        if let Some(endpoint) = lost {
            endpoint.lost_at.get_or_insert(now);
        }
    }

    /// Whether an endpoint had been lost before a request was sent there at `sent_at`, and has not been heard
    /// since, so that its loss says nothing of that request.
    #[must_use]
    pub fn was_lost_before(&self, sent_at: Time, endpoint: EndpointKey) -> bool {
        let lost_at = self
            .endpoints
            .get(endpoint)
            .and_then(|endpoint| endpoint.lost_at);
        lost_at.is_some_and(|lost_at| lost_at < sent_at)
    }

    /// Endpoints of a service that were lost and have not been heard since; none if there are no others.
    #[must_use]
    pub fn lost_endpoints(&self, service: &str) -> Vec<EndpointKey> {
        let listed = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.listing.service == service && endpoint.leaving_since.is_none()
        });
        let (lost, others) = listed.partition::<Vec<_>, _>(|(_, other)| other.lost_at.is_some());
        if others.is_empty() {
            return Vec::new();
        }
        lost.into_iter().map(|(key, _)| key).collect()
    }

    /// Records that the connection to an endpoint broke before it had begun to answer a prompt with these
    /// parts, which it was sent at `sent_at`; returns the parts against which that counts.
    pub fn record_prompt_break(
        &mut self,
        now: Time,
        parts: &[Part],
        endpoint: EndpointKey,
        sent_at: Time,
    ) -> Vec<Part> {
        let Some(incarnation) = self.lost_incarnation(endpoint) else {
            return Vec::new();
        };
        let suspects = &mut self.part_suspects;
        let counted = parts
            .iter()
            .filter(|part| suspects.record_crash(now, **part, &incarnation, sent_at));
        counted.copied().collect()
    }

    /// The part for which a prompt with these parts is refused, if any.
    #[must_use]
    pub fn blamed_part(&self, now: Time, parts: &[Part]) -> Option<Part> {
        self.part_suspects.blamed(now, parts, &self.suspects)
    }

    /// Whether a run of a prompt with these parts that has not begun is to be stopped.
    #[must_use]
    pub fn stops_prompt(&self, now: Time, parts: &[Part]) -> bool {
        self.part_suspects.stops(now, parts, &self.suspects)
    }

    /// Claims a trial of a request that is refused, as a whole or for parts of its prompt; see
    /// [`crate::part_suspects::Suspects::claim_trial`].
    pub fn claim_trial(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        parts: &[Part],
        instance: u64,
    ) -> Vec<Claim> {
        let suspects = &mut self.part_suspects;
        if !self.suspects.refuses(now, fingerprint) {
            return suspects.claim_trial(now, parts, &self.suspects, instance);
        }
        if suspects.blamed(now, parts, &self.suspects).is_some() {
            return Vec::new();
        }
        let claim = suspects.claim_request_trial(now, fingerprint, &self.suspects, instance);
        claim.into_iter().collect()
    }

    /// How long a refused request may wait for the result of a trial that may clear it; see
    /// [`crate::part_suspects::Suspects::result_due`].
    #[must_use]
    pub fn trial_due(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        parts: &[Part],
    ) -> Option<Duration> {
        self.part_suspects
            .result_due(now, fingerprint, parts, &self.suspects)
    }

    /// The run of its process that an endpoint has lost; `None` if it was leaving.
    fn lost_incarnation(&self, endpoint: EndpointKey) -> Option<String> {
        let endpoint = self.endpoints.get(endpoint)?;
        let is_leaving = endpoint.leaving_since.is_some();
        (!is_leaving).then(|| endpoint.listing.incarnation())
    }
}
