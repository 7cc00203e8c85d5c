//! Choice of an endpoint.

use crate::{endpoint::Kind, prelude::*};

/// Part of the KV memory that may be promised, in hundredths.
const MEMORY_PERCENT: i64 = 92;

/// Where a request can go now.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this endpoint, as this model version, with this much memory promised.
    Go {
        /// The endpoint.
        endpoint: endpoint::Key,
        /// The model version, for a generation.
        model: Option<String>,
        /// KV memory it is expected to need, in tokens.
        need: u64,
    },
    /// Nowhere before something changes.
    Later,
    /// Nowhere, and no endpoint in sight could take it.
    Never,
}

impl State {
    /// Chooses an endpoint for a request.
    pub(crate) fn choose(&mut self, now: Time, request: request::Key) -> Choice {
        let request = &self.requests[request];
        match &request.work {
            Work::Call { service, .. } => self.choose_service(now, service, request.tried),
            Work::Generation {
                limit,
                model,
                prompt,
            } => {
                let (limit, prompt, model, tried) = (*limit, *prompt, model.clone(), request.tried);
                self.choose_engine(now, &model, limit, prompt, tried)
            }
            Work::Resume { .. } => Choice::Never,
        }
    }

    /// Whether an endpoint may get new work at all.
    ///
    /// With knowledge older than the bound, another failure domain may have been
    /// taken out without this instance having heard of it: work would go to
    /// endpoints that are about to be switched off. Only the own failure domain
    /// is served then, whose operators can be seen from here.
    pub(crate) fn usable(&self, now: Time, endpoint: &Endpoint) -> bool {
        if !endpoint.mine || endpoint.leaving() || self.config.out(&endpoint.member.domain) {
            return false;
        }
        self.fresh(now) || endpoint.member.domain == self.domain
    }

    /// Whether an endpoint bears one more request of this instance.
    ///
    /// Warm by the log: yes. Cold: only up to this instance's part of its limit.
    pub(crate) fn bears(&self, endpoint: &Endpoint) -> bool {
        let Some(slot) = self.slow_start.get(endpoint.digest) else {
            return false;
        };
        let current = endpoint.incarnation() == Some(slot.holder.incarnation);
        let quota = if endpoint.yielding {
            0
        } else {
            slot.quota(self.digest)
        };
        current && (slot.warm || endpoint.running < quota)
    }

    /// Number of endpoints that could take a request of this instance now.
    #[must_use]
    pub fn available_endpoints(&self, now: Time) -> usize {
        let listed = self.endpoints.values();
        listed
            .filter(|endpoint| self.usable(now, endpoint) && self.bears(endpoint))
            .count()
    }

    fn choose_engine(
        &mut self,
        now: Time,
        model: &str,
        limit: u32,
        prompt: u32,
        tried: Option<endpoint::Key>,
    ) -> Choice {
        let Some(version) = self.version(model) else {
            return Choice::Never;
        };
        let need = self.need(model, limit, prompt);
        let mut best = None;
        let mut seen = false;
        for (key, endpoint) in &self.endpoints {
            if !self.usable(now, endpoint) || !endpoint.serves(&version) || tried == Some(key) {
                continue;
            }
            seen = true;
            let capacity = endpoint.report.as_ref().map_or(0, |report| report.capacity);
            let free = room(endpoint.free(), capacity);
            if !self.bears(endpoint) || free < i64::try_from(need).unwrap_or(i64::MAX) {
                continue;
            }
            if best.is_none_or(|(most, _)| free > most) {
                best = Some((free, key));
            }
        }
        match (best, seen) {
            (Some((_, endpoint)), _) => Choice::Go {
                endpoint,
                model: Some(version),
                need,
            },
            (None, true) => Choice::Later,
            (None, false) => Choice::Never,
        }
    }

    fn choose_service(&self, now: Time, service: &str, tried: Option<endpoint::Key>) -> Choice {
        let mut best = None;
        let mut seen = false;
        for (key, endpoint) in &self.endpoints {
            let Kind::Service(name) = &endpoint.member.kind else {
                continue;
            };
            if name != service || !self.usable(now, endpoint) || tried == Some(key) {
                continue;
            }
            seen = true;
            if !self.bears(endpoint) {
                continue;
            }
            if best.is_none_or(|(least, _)| endpoint.running < least) {
                best = Some((endpoint.running, key));
            }
        }
        match (best, seen) {
            (Some((_, endpoint)), _) => Choice::Go {
                endpoint,
                model: None,
                need: 0,
            },
            (None, true) => Choice::Later,
            (None, false) => Choice::Never,
        }
    }

    /// Draws a model version of a route by the published shares.
    fn version(&mut self, model: &str) -> Option<String> {
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

/// Weight of a name for an item; the highest weight is the item's steward.
///
/// # Panics
///
/// Never: a hash has more than eight bytes.
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

fn room(free: i64, capacity: u64) -> i64 {
    let capacity = i64::try_from(capacity).unwrap_or(i64::MAX / 100);
    free - capacity.saturating_mul(100 - MEMORY_PERCENT) / 100
}
