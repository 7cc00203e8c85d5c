//! Whether the endpoints of a service can be reached directly.
//!
//! A single endpoint that cannot be connected to has failed, or its links have. Where several cannot
//! be and none can, the links of this instance are cut, and requests go through peers instead. The
//! evidence is kept by service, since a cut may concern the endpoints of one service only.

use {
    crate::{prelude::*, state::State},
    rand::RngExt as _,
};

/// Endpoints that cannot be reached, with none that can, from which on a service counts as
/// partitioned. With fewer, crashes of two endpoints would send all requests on a detour.
const MIN_UNREACHED: usize = 3;

/// Time for which a failed connection counts, so that single failures minutes apart do not add up.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

/// Interval between two checks of a service; it bounds how long requests take a detour after a
/// partition has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time since the last answer of a service after which a silent endpoint is checked. Crowded
/// endpoints answer late, but not all of them at once.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Change of a service's reachability, to be logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Its endpoints cannot be reached any more.
    Partitioned,
    /// They can be reached again.
    Healed,
}

/// What is known of the links to the endpoints of one service.
#[derive(Clone, Debug, Default)]
struct Links {
    /// When an endpoint last answered directly.
    answered_at: Option<Time>,
    /// Position of the last endpoint that was checked. It starts at random, so that instances do not all
    /// check the same one at the same time.
    cursor: usize,
    is_partitioned: bool,
    next_check_at: Time,
    service: String,
    /// Endpoint to check, since it does not answer.
    suspect: Option<EndpointKey>,
    /// Endpoints to which new connections have failed since one has succeeded, and when.
    unreached: Vec<(EndpointKey, Time)>,
}

/// Links to the endpoints of all services, sorted by service.
#[derive(Clone, Debug, Default)]
pub struct Paths(Vec<Links>);

impl Paths {
    fn links(&self, service: &str) -> Option<&Links> {
        let index = self
            .0
            .binary_search_by(|links| links.service.as_str().cmp(service));
        index.ok().map(|index| &self.0[index])
    }

    fn links_mut(&mut self, service: &str) -> &mut Links {
        let index = self
            .0
            .binary_search_by(|links| links.service.as_str().cmp(service));
        let index = index.unwrap_or_else(|index| {
            let links = Links {
                service: service.to_string(),
                ..Links::default()
            };
            self.0.insert(index, links);
            index
        });
        &mut self.0[index]
    }

    /// Whether the endpoints of a service cannot be reached directly.
    #[must_use]
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.links(service)
            .is_some_and(|links| links.is_partitioned)
    }
}

impl State {
    /// Records an answer on a connection to an endpoint that was open before. It shows nothing of new
    /// connections, which may be refused while open ones work.
    pub fn record_answer_on_open_connection(&mut self, now: Time, key: EndpointKey) {
        if let Some(service) = self.service_of(key) {
            self.paths.links_mut(&service).answered_at = Some(now);
        }
    }

    /// Records an answer on a new direct connection to an endpoint. Where the service was partitioned,
    /// endpoints that could not be reached are used again at once.
    pub fn record_reached(&mut self, now: Time, key: EndpointKey) -> Option<Change> {
        let service = self.service_of(key)?;
        let links = self.paths.links_mut(&service);
        links.answered_at = Some(now);
        links.unreached.clear();
        links.suspect = None;
        if !std::mem::take(&mut links.is_partitioned) {
            return None;
        }
        self.reset_backoff(now, &service);
        self.losses.check_now(now);
        Some(Change::Healed)
    }

    /// Records that a new direct connection to an endpoint failed or was not answered. Where that makes
    /// the service partitioned, its endpoints are used again at once, through peers.
    pub fn record_unreached(&mut self, now: Time, key: EndpointKey) -> Option<Change> {
        let service = self.service_of(key)?;
        let mut links = self.paths.links_mut(&service).clone();
        links.unreached.retain(|(other, at)| {
            let listed = self.endpoints.get(*other);
            *other != key
                && now.since(*at) <= FAILURE_MEMORY
                && listed.is_some_and(|endpoint| endpoint.leaving_since.is_none())
        });
        links.unreached.push((key, now));
        let needed = self.listed(&service).count().clamp(1, MIN_UNREACHED);
        let is_partitioned = links.unreached.len() >= needed;
        let is_doubtful = links.unreached.len() + 1 >= needed;
        if is_partitioned {
            links.suspect = None;
        } else if is_doubtful || links.suspect == Some(key) {
            // Another endpoint shows whether only these have failed.
            links.cursor = usize::from(self.random.random::<u16>());
            links.suspect = self.next_to_check(now, &mut links);
            links.next_check_at = now;
        }
        let is_new = is_partitioned && !links.is_partitioned;
        if is_new {
            links.cursor = usize::from(self.random.random::<u16>());
            links.is_partitioned = true;
            links.next_check_at = now;
        }
        *self.paths.links_mut(&service) = links;
        if !is_new {
            return None;
        }
        self.reset_backoff(now, &service);
        Some(Change::Partitioned)
    }

    /// Records that an endpoint has not answered a request for a while, so that it is checked unless
    /// others of its service answer.
    pub fn record_silence(&mut self, now: Time, key: EndpointKey) {
        let Some(service) = self.service_of(key) else {
            return;
        };
        let links = self.paths.links_mut(&service);
        let answered_at = links.answered_at;
        if answered_at.is_none_or(|at| now.since(at) >= QUIET_TIME) {
            links.suspect.get_or_insert(key);
        }
    }

    /// Endpoints to connect to now, to learn whether they can be reached; schedules the next checks.
    pub fn due_path_checks(&mut self, now: Time) -> Vec<EndpointKey> {
        let mut due = Vec::new();
        let mut paths = std::mem::take(&mut self.paths);
        for links in &mut paths.0 {
            if now < links.next_check_at || !(links.is_partitioned || links.suspect.is_some()) {
                continue;
            }
            let Some(key) = links.suspect.or_else(|| self.next_to_check(now, links)) else {
                continue;
            };
            links.next_check_at = now.after(CHECK_INTERVAL);
            due.push(key);
        }
        self.paths = paths;
        due
    }

    /// The endpoint of a service to check next: all in turn, those of the own failure domain and
    /// those without a failed connection first.
    fn next_to_check(&self, now: Time, links: &mut Links) -> Option<EndpointKey> {
        links
            .unreached
            .retain(|(_, at)| now.since(*at) <= FAILURE_MEMORY);
        let failed = |key| links.unreached.iter().any(|(other, _)| *other == key);
        let mut candidates = self.listed_keys(&links.service).collect::<Vec<_>>();
        if candidates.iter().any(|key| !failed(*key)) {
            candidates.retain(|key| !failed(*key));
            let is_own =
                |key: &EndpointKey| self.endpoints[*key].listing.domain == self.settings.domain;
            if candidates.iter().any(is_own) {
                candidates.retain(is_own);
            }
        }
        links.cursor = links.cursor.wrapping_add(1);
        let index = links.cursor.checked_rem(candidates.len())?;
        Some(candidates[index])
    }

    /// Endpoints of a service that are not leaving.
    fn listed_keys(&self, service: &str) -> impl Iterator<Item = EndpointKey> {
        let listed = self.endpoints.iter().filter(move |(_, endpoint)| {
            endpoint.listing.service == service && endpoint.leaving_since.is_none()
        });
        listed.map(|(key, _)| key)
    }

    fn service_of(&self, key: EndpointKey) -> Option<String> {
        Some(self.endpoints.get(key)?.listing.service.clone())
    }

    fn reset_backoff(&mut self, now: Time, service: &str) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.listing.service == service {
                endpoint.reset_backoff(now);
            }
        }
    }
}
