//! Changes of the endpoint list.

use {
    super::{Change, KnownVersion, State},
    crate::{freshness::Freshness, prelude::*},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
};

/// Age of the endpoint list at which the store counts as having been unreachable.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_secs(3);

/// Time that endpoints get to register again after the store was unreachable.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Minimum share of the backoff after failed connections that an instance waits.
const MIN_BACKOFF_SHARE: f64 = 0.5;

impl State {
    /// Records that the endpoint list was complete at `sent_at`, when the store was queried.
    pub fn confirm_list(&mut self, now: Time, sent_at: Time) {
        // The first read after a start is not a recovery: an entry that is removed then has left.
        let age = self.list_freshness.age(now);
        if age.is_some_and(|age| age > STORE_OUTAGE_THRESHOLD) {
            self.store_recovered_at = Some(now);
        }
        self.list_freshness.confirm(sent_at);
    }

    /// Applies a change of the endpoint list.
    pub fn change(&mut self, now: Time, change: Change) {
        match change {
            Change::Removed(id) => self.remove_listing(now, &id),
            Change::Set(listing) => {
                self.record_notice(now, &listing);
                let unverified_since = self.unverified_since(now, &listing);
                let (key, is_new_version) = match self.find(&listing.id) {
                    Some(key) => {
                        let is_new_version = self.endpoints[key].listing.version != listing.version;
                        if self.endpoints[key].update(listing, now) {
                            self.forget_copies_at(key);
                        }
                        (key, is_new_version)
                    }
                    None => (self.insert_endpoint(now, listing), true),
                };
                if is_new_version {
                    self.endpoints[key].unverified_since = unverified_since;
                }
            }
        }
    }

    /// Records that an endpoint has given notice, if the entry is the first to say so.
    fn record_notice(&mut self, now: Time, listing: &Listing) {
        let known = self
            .find(&listing.id)
            .and_then(|key| self.endpoints.get(key));
        let is_new = known.is_some_and(|known| !known.has_given_notice());
        if listing.leaving && is_new {
            self.reserve.record_notice(now, &listing.service);
        }
    }

    fn insert_endpoint(&mut self, now: Time, listing: Listing) -> EndpointKey {
        let mut endpoint = Endpoint::new(listing, now);
        let seed = self.backoff_seed ^ u64::from(endpoint.digest);
        let mut random = SmallRng::seed_from_u64(seed);
        endpoint.backoff_share = random.random_range(MIN_BACKOFF_SHARE..=1.0);
        let key = self.endpoints.insert(endpoint);
        self.restore_statement(key);
        key
    }

    /// Since when the version of an endpoint has been known, if an order for it may be unknown yet:
    /// sending there would not count as part of its rollout. Versions of the first list are in use.
    ///
    /// Does not look at other endpoints, of which thousands are listed at a start.
    fn unverified_since(&mut self, now: Time, listing: &Listing) -> Option<Time> {
        let version = listing.version.as_deref()?;
        let key = (listing.service.as_str(), version);
        let found = self
            .known_versions
            .binary_search_by(|known| (known.service.as_str(), known.version.as_str()).cmp(&key));
        let index = found.unwrap_or_else(|index| {
            let is_first_list = self.list_freshness == Freshness::default();
            let known = KnownVersion {
                seen_at: (!is_first_list).then_some(now),
                service: listing.service.clone(),
                version: version.to_string(),
            };
            self.known_versions.insert(index, known);
            index
        });
        let seen_at = self.known_versions[index].seen_at;
        seen_at.filter(|seen_at| !self.config_freshness.covers(*seen_at))
    }

    /// Whether an order for the endpoint's version may be unknown.
    pub(crate) fn is_unverified(&self, endpoint: &Endpoint) -> bool {
        let since = endpoint.unverified_since;
        since.is_some_and(|since| !self.config_freshness.covers(since))
    }

    /// Forgets the copies that an endpoint lost in a restart.
    fn forget_copies_at(&mut self, key: EndpointKey) {
        for run in self.runs.values_mut() {
            run.backup = run.backup.filter(|backup| *backup != key);
        }
    }

    /// Handles a removed entry. If the store was unreachable the removal is delayed, since entries
    /// of live endpoints expire in such an outage.
    fn remove_listing(&mut self, now: Time, id: &str) {
        let store_unreachable = !self.list_freshness.within(now, STORE_OUTAGE_THRESHOLD);
        let recovered_at = self
            .store_recovered_at
            .filter(|recovered_at| now.since(*recovered_at) < REREGISTRATION_GRACE);
        let Some(key) = self.find(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        if endpoint.leaving_since.is_none() {
            if store_unreachable {
                endpoint.grace_until = Some(now.after(REREGISTRATION_GRACE));
                return;
            }
            if let Some(recovered_at) = recovered_at {
                endpoint.grace_until = Some(recovered_at.after(REREGISTRATION_GRACE));
                return;
            }
        }
        endpoint.leaving_since.get_or_insert(now);
    }
}
