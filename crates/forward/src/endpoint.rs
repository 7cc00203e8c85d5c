//! What is known of one endpoint.

use crate::{load::digest, rate_limit::RateLimiter, prelude::*};

/// First pause after an endpoint could not be reached.
///
/// An engine that is replaced is back after some seconds, and a reset connection says
/// nothing about the next one, so the pause starts short and doubles.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest pause before an unreachable endpoint is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Pause after an endpoint said that it is full; about the time in which a place frees up.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Weight of one answer in the running share of failures; about the last ten count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// An endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// IP address and port.
    pub address: SocketAddr,
    /// When it started, in its own wall time; tells two lives under one id apart.
    pub started_at: Option<u64>,
    /// How much longer it is cold.
    pub cold: Duration,
    /// Failure domain.
    pub domain: String,
    /// Id; the endpoint refuses requests that are meant for another id.
    pub id: String,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// Name of its service.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Work at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Part of [`Self::tokens`] that copies of runs at other engines need.
    pub copies: u32,
    /// KV memory that its requests are expected to need together, in tokens.
    pub tokens: u32,
    /// Prompt tokens of requests that have made no token yet.
    pub prefill_tokens: u32,
    /// Requests.
    pub requests: u32,
}

impl Load {
    /// Adds another load.
    pub const fn add(&mut self, other: Self) {
        self.copies = self.copies.saturating_add(other.copies);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.requests = self.requests.saturating_add(other.requests);
    }

    /// Takes away a load that was added before.
    pub const fn subtract(&mut self, other: Self) {
        self.copies = self.copies.saturating_sub(other.copies);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// An endpoint with what this instance has seen of it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// From when on it may be asked whether it leaves.
    pub(crate) next_probe_at: Time,
    avoid_until: Time,
    /// Digest of its id, by which reports name it.
    pub digest: u32,
    /// Until when a lapsed entry may still come back; the endpoint stays usable until then.
    pub grace_until: Option<Time>,
    failures: u32,
    /// Running share of answers that were failures, 0 to 1.
    pub failure_rate: f64,
    /// Plain requests of this instance in progress there.
    pub in_flight: u32,
    /// Its entry, as last read.
    pub listing: Listing,
    /// Sends of the last second.
    pub rate_limiter: RateLimiter,
    /// Since when it takes no new work.
    pub leaving_since: Option<Time>,
}

impl Endpoint {
    /// An endpoint of which nothing but its entry is known.
    #[must_use]
    pub fn new(listing: Listing, now: Time) -> Self {
        Self {
            next_probe_at: Time::default(),
            avoid_until: Time::default(),
            digest: digest(&listing.id),
            grace_until: None,
            failures: 0,
            failure_rate: 0.0,
            in_flight: 0,
            leaving_since: listing.leaving.then_some(now),
            listing,
            rate_limiter: RateLimiter::default(),
        }
    }

    /// Takes a newer entry in; a new life under the same id starts with a clean record.
    pub fn update(&mut self, listing: Listing, now: Time) {
        if listing.started_at != self.listing.started_at || listing.address != self.listing.address {
            self.avoid_until = Time::default();
            self.failures = 0;
            self.failure_rate = 0.0;
        }
        self.grace_until = None;
        match (listing.leaving, self.leaving_since) {
            (true, None) => self.leaving_since = Some(now),
            (false, _) => self.leaving_since = None,
            (true, Some(_)) => {}
        }
        self.listing = listing;
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn usable(&self, now: Time) -> bool {
        self.leaving_since.is_none() && now >= self.avoid_until
    }

    /// It said that it leaves.
    pub fn mark_leaving(&mut self, now: Time) {
        self.leaving_since.get_or_insert(now);
    }

    /// It answered, well or with a failure of its own.
    pub fn record_answer(&mut self, failed: bool) {
        self.failures = 0;
        self.failure_rate += FAILURE_RATE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// It said that it is full.
    pub fn mark_full(&mut self, now: Time) {
        self.avoid_until = self.avoid_until.max(now.after(FULL_BACKOFF));
    }

    /// It could not be reached, fell silent, or is another one than expected.
    pub fn mark_unreachable(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = self.avoid_until.max(now.after(backoff.min(MAX_BACKOFF)));
    }
}
