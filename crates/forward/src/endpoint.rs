//! State of one endpoint, as seen by this instance.

use crate::{
    brittleness::Exposure, departed::Statement, load::digest, prelude::*, rate_limit::RateLimiter,
    silence::Liveness,
};

/// Backoff after the first failed connection; it doubles with each failure.
///
/// It is short because a replaced engine is back within seconds and a reset connection may be a
/// single event.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff before an unreachable endpoint is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Failed connections in a row whose backoff is too short for an endpoint to be back.
const UNSPREAD_FAILURES: u32 = 2;

/// Backoff after an endpoint rejected a request because it is full; about the time in which a slot
/// becomes free.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Weight of the latest answer in the moving average of the failure rate; about the last ten answers
/// count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// An endpoint as registered in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// IP address and port.
    pub address: SocketAddr,
    /// Start time by the endpoint's own clock; a new value for the same id means a restart.
    pub started_at: Option<u64>,
    /// Remaining time for which it is cold.
    pub cold: Duration,
    /// Failure domain.
    pub domain: String,
    /// Id; the endpoint rejects requests that name another id.
    pub id: String,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// Name of its service.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Version of its software, if it states one.
    pub version: Option<String>,
}

impl Listing {
    /// Identifies one run of the endpoint's process: its id, and its start time if it states one.
    #[must_use]
    pub fn incarnation(&self) -> String {
        self.started_at.map_or_else(
            || self.id.clone(),
            |started_at| format!("{}@{started_at}", self.id),
        )
    }
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Part of [`Self::tokens`] that is for copies of runs at other engines.
    pub copies: u32,
    /// Expected KV-cache demand of its requests, in tokens.
    pub tokens: u32,
    /// Prompt tokens of requests that have not produced a token yet.
    pub prefill_tokens: u32,
    /// Number of requests.
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

    /// Subtracts a load that was added before.
    pub const fn subtract(&mut self, other: Self) {
        self.copies = self.copies.saturating_sub(other.copies);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

/// An endpoint with the observations of this instance.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// When it may next be probed.
    pub(crate) next_probe_at: Time,
    avoid_until: Time,
    /// Sends that may be rejected.
    pub exposure: Exposure,
    /// Digest of its id, which identifies it in load reports.
    pub digest: u32,
    /// Digest of its incarnation, which identifies this start of it in profiles.
    pub incarnation: u32,
    /// Until when it is cold.
    pub cold_until: Time,
    /// End of the grace period after its entry was removed; the endpoint stays usable until then.
    pub grace_until: Option<Time>,
    failures: u32,
    /// Share of a longer backoff after failed connections that this instance waits, from 0.5 to 1. All
    /// instances lose an endpoint at the same moment, and would come back together.
    pub(crate) backoff_share: f64,
    /// Moving average of the share of failed answers, from 0 to 1.
    pub failure_rate: f64,
    /// Requests of this instance in progress there, without runs.
    pub in_flight: u32,
    /// Its entry, as last read.
    pub listing: Listing,
    /// When it was heard, and asked whether it lives on.
    pub liveness: Liveness,
    /// Limits the requests per second that this instance sends there.
    pub rate_limiter: RateLimiter,
    /// When it was lost, if nothing has been heard of it since.
    pub(crate) lost_at: Option<Time>,
    /// When this instance learned that it is leaving.
    pub leaving_since: Option<Time>,
    /// What this start of it has stated of itself.
    pub(crate) statement: Statement,
    /// Since when its version has been known, if an order for that version may be unknown yet.
    pub unverified_since: Option<Time>,
}

impl Endpoint {
    /// An endpoint without observations.
    #[must_use]
    pub fn new(listing: Listing, now: Time) -> Self {
        Self {
            next_probe_at: Time::default(),
            avoid_until: Time::default(),
            backoff_share: 1.0,
            exposure: Exposure::default(),
            cold_until: now.after(listing.cold),
            digest: digest(&listing.id),
            incarnation: digest(&listing.incarnation()),
            grace_until: None,
            failures: 0,
            failure_rate: 0.0,
            in_flight: 0,
            leaving_since: listing.leaving.then_some(now),
            listing,
            liveness: Liveness::default(),
            lost_at: None,
            rate_limiter: RateLimiter::default(),
            statement: Statement::default(),
            unverified_since: None,
        }
    }

    /// Applies an updated entry; a restart resets backoff and failure rate. Returns whether the
    /// endpoint has restarted.
    pub fn update(&mut self, listing: Listing, now: Time) -> bool {
        let restarted = listing.started_at != self.listing.started_at
            || listing.address != self.listing.address;
        if restarted {
            self.avoid_until = Time::default();
            self.failures = 0;
            self.failure_rate = 0.0;
            self.liveness = Liveness::default();
            self.statement = Statement::default();
            self.incarnation = digest(&listing.incarnation());
        }
        self.cold_until = now.after(listing.cold);
        self.grace_until = None;
        self.lost_at = None;
        match (listing.leaving, self.leaving_since) {
            (true, None) => self.leaving_since = Some(now),
            (false, _) => self.leaving_since = self.statement.leaving_at,
            (true, Some(_)) => {}
        }
        self.listing = listing;
        restarted
    }

    /// Version of its software; empty if it states none.
    #[must_use]
    pub fn version(&self) -> &str {
        self.listing.version.as_deref().unwrap_or_default()
    }

    /// Whether it may get new work.
    #[must_use]
    pub fn usable(&self, now: Time) -> bool {
        self.leaving_since.is_none()
            && now >= self.avoid_until
            && self.statement.cooldown.admits(now)
    }

    /// Whether it has given no answer since a connection or request failed. It may restart under another id.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Whether it is not used because it could not be reached.
    #[must_use]
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.failures > 0 && now < self.avoid_until
    }

    /// Ends the backoff after failed connections, since they were no fault of the endpoint.
    pub fn reset_backoff(&mut self, now: Time) {
        if self.is_unreachable(now) {
            self.avoid_until = now;
        }
        self.failures = 0;
    }

    /// Whether it has said itself that it is leaving, in its entry or in an answer.
    #[must_use]
    pub const fn has_given_notice(&self) -> bool {
        self.listing.leaving || self.statement.leaving_at.is_some()
    }

    /// Records that it states in an answer that it is leaving, which its entry may not say.
    pub(crate) fn state_leaving(&mut self, now: Time) {
        self.leaving_since.get_or_insert(now);
        self.statement.leaving_at.get_or_insert(now);
    }

    /// Records an answer, successful or failed.
    pub fn record_answer(&mut self, failed: bool) {
        self.failures = 0;
        self.failure_rate +=
            FAILURE_RATE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// Records that it rejected a request because it is full.
    pub fn mark_full(&mut self, now: Time) {
        self.avoid_until = self.avoid_until.max(now.after(FULL_BACKOFF));
    }

    /// Records that it could not be connected to, timed out, or answered under another id.
    pub fn mark_unreachable(&mut self, now: Time) {
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let mut backoff = backoff.min(MAX_BACKOFF);
        if self.failures > UNSPREAD_FAILURES {
            backoff = backoff.mul_f64(self.backoff_share);
        }
        self.avoid_until = self.avoid_until.max(now.after(backoff));
    }
}
