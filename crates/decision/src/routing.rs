//! Selection of an endpoint.

use crate::{endpoint::Kind, prelude::*};

/// Percentage of an engine's KV-cache capacity that may be used or reserved.
const MAX_RESERVED_MEMORY_PERCENT: i64 = 92;

/// Longest time from the end of a cooldown to the first request of this instance. All instances are turned away at about
/// the same moment, for the same time, and would come back together.
const MAX_RESUME_DELAY: Duration = Duration::from_millis(200);

/// Result of selecting an endpoint for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to an endpoint.
    Send {
        /// The endpoint.
        endpoint: endpoint::Key,
        /// The model version, for a generation.
        model: Option<String>,
        /// KV-cache memory to reserve, in tokens.
        required_tokens: u64,
    },
    /// Wait: usable endpoints exist, but none has capacity.
    Wait,
    /// Reject: no usable endpoint serves it.
    Reject,
}

impl State {
    /// Selects an endpoint for a request.
    pub(crate) fn choose(&mut self, now: Time, request: request::Key) -> Choice {
        let request = &self.requests[request];
        match &request.work {
            Work::Call { service, .. } => self.choose_service(now, service, request.last_endpoint),
            Work::Generation {
                limit,
                model,
                prompt,
            } => {
                let (limit, prompt, model, last_endpoint) =
                    (*limit, *prompt, model.clone(), request.last_endpoint);
                self.choose_engine(now, &model, limit, prompt, last_endpoint)
            }
            Work::Resume { .. } => Choice::Reject,
        }
    }

    /// Whether an endpoint may get new requests, regardless of its load.
    ///
    /// While the configuration is stale, only endpoints in the own failure domain are used:
    /// another domain may have been disabled without this instance knowing, and requests
    /// would go to endpoints that are about to be switched off.
    pub(crate) fn usable(&self, now: Time, endpoint: &Endpoint) -> bool {
        if !endpoint.in_subset
            || endpoint.leaving()
            || now < endpoint.cooldown_until
            || self.config.domain_disabled(&endpoint.member.domain)
        {
            return false;
        }
        self.config_fresh(now) || endpoint.member.domain == self.domain
    }

    /// Records that the endpoint of an attempt wants no requests for a time. A shorter time than an earlier one changes
    /// nothing.
    pub(crate) fn cool_down(&mut self, now: Time, attempt: Attempt, cooldown: Duration) {
        let spread = MAX_RESUME_DELAY.mul_f64(self.rng.random_range(0.0..=1.0));
        let Some(key) = self.run(attempt).map(|run| run.endpoint) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let until = now.after(cooldown);
            if until > endpoint.cooldown_until {
                endpoint.cooldown_until = until.after(spread);
            }
        }
    }

    /// Time until the first endpoint in its cooldown that could serve a request wants requests again; `None` if there is no
    /// such endpoint.
    pub(crate) fn cooldown_left(&self, now: Time, request: request::Key) -> Option<Duration> {
        let service = match &self.requests[request].work {
            Work::Call { service, .. } => Some(service),
            Work::Generation { .. } | Work::Resume { .. } => None,
        };
        let serving = self.endpoints.values().filter(|endpoint| {
            let serves = match &endpoint.member.kind {
                Kind::Engine => service.is_none(),
                Kind::Service(name) => service == Some(name),
            };
            serves && endpoint.in_subset && !endpoint.leaving()
        });
        let left = serving.map(|endpoint| endpoint.cooldown_until.since(now));
        left.filter(|left| !left.is_zero()).min()
    }

    /// Whether slow start allows another request of this instance at an endpoint.
    ///
    /// A warm endpoint has no limit; a cold one is limited to the quota of this instance.
    pub(crate) fn slow_start_allows(&self, endpoint: &Endpoint) -> bool {
        let Some(slot) = self.slow_start.get(endpoint.digest) else {
            return false;
        };
        let current = endpoint.incarnation() == Some(slot.holder.incarnation);
        let quota = if endpoint.quota_transferred {
            0
        } else {
            slot.quota(self.digest)
        };
        current && (slot.warm || endpoint.running < quota)
    }

    /// Number of endpoints to which this instance could send a request now.
    #[must_use]
    pub fn available_endpoints(&self, now: Time) -> usize {
        let listed = self.endpoints.values();
        listed
            .filter(|endpoint| self.usable(now, endpoint) && self.slow_start_allows(endpoint))
            .count()
    }

    /// Number of engines whose load is known from a report. Nothing is sent to the others.
    #[must_use]
    pub fn load_reports(&self) -> usize {
        let listed = self.endpoints.values();
        listed.filter(|endpoint| endpoint.report.is_some()).count()
    }

    fn choose_engine(
        &mut self,
        now: Time,
        model: &str,
        limit: u32,
        prompt: u32,
        last_endpoint: Option<endpoint::Key>,
    ) -> Choice {
        let Some(version) = self.choose_version(model) else {
            return Choice::Reject;
        };
        let required_tokens = self.required_tokens(model, limit, prompt);
        let mut best = None;
        let mut any_usable = false;
        for (key, endpoint) in &self.endpoints {
            if !self.usable(now, endpoint)
                || !endpoint.serves(&version)
                || last_endpoint == Some(key)
            {
                continue;
            }
            any_usable = true;
            let capacity = endpoint.report.as_ref().map_or(0, |report| report.capacity);
            let free = available_tokens(endpoint.free_tokens(), capacity);
            if !self.slow_start_allows(endpoint)
                || free < i64::try_from(required_tokens).unwrap_or(i64::MAX)
            {
                continue;
            }
            if best.is_none_or(|(most, _)| free > most) {
                best = Some((free, key));
            }
        }
        match (best, any_usable) {
            (Some((_, endpoint)), _) => Choice::Send {
                endpoint,
                model: Some(version),
                required_tokens,
            },
            (None, true) => Choice::Wait,
            (None, false) => Choice::Reject,
        }
    }

    fn choose_service(
        &self,
        now: Time,
        service: &str,
        last_endpoint: Option<endpoint::Key>,
    ) -> Choice {
        let mut best = None;
        let mut any_usable = false;
        for (key, endpoint) in &self.endpoints {
            let Kind::Service(name) = &endpoint.member.kind else {
                continue;
            };
            if name != service || !self.usable(now, endpoint) || last_endpoint == Some(key) {
                continue;
            }
            any_usable = true;
            if !self.slow_start_allows(endpoint) {
                continue;
            }
            if best.is_none_or(|(least, _)| endpoint.running < least) {
                best = Some((endpoint.running, key));
            }
        }
        match (best, any_usable) {
            (Some((_, endpoint)), _) => Choice::Send {
                endpoint,
                model: None,
                required_tokens: 0,
            },
            (None, true) => Choice::Wait,
            (None, false) => Choice::Reject,
        }
    }

    /// Selects a model version of a route at random, weighted by the published shares.
    fn choose_version(&mut self, model: &str) -> Option<String> {
        let route = self.config.route(model)?;
        let total = route
            .versions
            .iter()
            .map(|version| version.share)
            .sum::<u32>();
        let mut draw = self.rng.random_range(0..total.max(1));
        for version in &route.versions {
            if draw < version.share {
                return Some(version.model.clone());
            }
            draw -= version.share;
        }
        None
    }
}

/// Rendezvous hash (highest random weight) of a name for an item.
///
/// # Panics
///
/// Never, since a hash has 32 bytes.
#[must_use]
pub fn rendezvous(name: &str, item: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(item.as_bytes());
    let hash = hasher.finalize();
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}

fn available_tokens(free: i64, capacity: u64) -> i64 {
    let capacity = i64::try_from(capacity).unwrap_or(i64::MAX / 100);
    free - capacity.saturating_mul(100 - MAX_RESERVED_MEMORY_PERCENT) / 100
}
