//! Everything an instance knows, and how that changes.
//!
//! What is decided on it stands in [`crate::admission`] and [`crate::choice`].

use {
    crate::{
        aggregate::{Sums, members::Members},
        budget::RetryBudget,
        freshness::Freshness,
        load::PeerLoads,
        prelude::*,
        request::Ticket,
    },
    rand::rngs::SmallRng,
    slotmap::SlotMap,
};

/// A list read after this long without proof means that the store had been away.
const STORE_OUTAGE_THRESHOLD: Duration = Duration::from_secs(3);

/// Time in which entries that lapsed while the store was away come back.
const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry of an id is gone.
    Removed(String),
    /// An entry is new or has changed.
    Set(Listing),
}

/// Everything an instance knows.
#[derive(Debug)]
pub struct State {
    /// Budget for second sends.
    pub budget: RetryBudget,
    pub(crate) config: Option<Config>,
    /// Age of the configuration.
    pub config_freshness: Freshness,
    disabled_domains: Vec<String>,
    pub(crate) endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Load of other instances, by their own reports.
    pub peer_loads: PeerLoads,
    /// Instances that joint limits are divided by.
    pub(crate) instances: u32,
    /// Age of the endpoint list.
    pub list_freshness: Freshness,
    /// All instances.
    pub members: Members,
    pub(crate) random: SmallRng,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) settings: Settings,
    pub(crate) stops_at: Option<Time>,
    store_recovered_at: Option<Time>,
    /// Load of other instances, by sums.
    pub sums: Sums,
    waiting: Vec<QueuePosition>,
    next_turn: u64,
}

/// Place in the queue of a service: the rank of a request, then its turn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    priority: u8,
    service: String,
    turn: u64,
}

impl State {
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, random: SmallRng) -> Self {
        Self {
            budget: RetryBudget::new(&settings),
            config: None,
            config_freshness: Freshness::default(),
            disabled_domains: Vec::new(),
            endpoints: SlotMap::with_key(),
            peer_loads: PeerLoads::default(),
            instances: settings.max_instances.max(1),
            list_freshness: Freshness::default(),
            members: Members::default(),
            next_turn: 0,
            random,
            runs: SlotMap::with_key(),
            settings,
            stops_at: None,
            store_recovered_at: None,
            sums: Sums::default(),
            waiting: Vec::new(),
        }
    }

    /// Takes changed settings in.
    pub fn update_settings(&mut self, settings: Settings) {
        self.budget.update_settings(&settings);
        self.instances = self.instances.max(settings.max_instances);
        self.settings = settings;
    }

    /// So many instances have published themselves.
    ///
    /// Joint limits are divided by a quarter more, for those that have not been heard of
    /// yet, and never by less than the settings say. Entries of instances that are gone
    /// stay for minutes, which errs on the safe side.
    pub fn count_instances(&mut self, published: usize) {
        let published = u32::try_from(published).unwrap_or(u32::MAX);
        let instances = published.saturating_add(published.div_ceil(4));
        self.instances = instances.max(self.settings.max_instances.max(1));
        self.budget.set_instances(self.instances);
    }

    /// Takes a configuration in unless it is older than the one in force.
    pub fn configure(&mut self, config: Config) -> bool {
        if self
            .config
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return false;
        }
        self.config = Some(config);
        true
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Takes a failure domain out, or back in. Returns whether that changed anything.
    pub fn set_domain(&mut self, domain: &str, disabled: bool) -> bool {
        let index = self
            .disabled_domains
            .binary_search_by(|other| other.as_str().cmp(domain));
        match (index, disabled) {
            (Err(index), true) => self.disabled_domains.insert(index, domain.to_string()),
            (Ok(index), false) => {
                self.disabled_domains.remove(index);
            }
            (Ok(_), true) | (Err(_), false) => return false,
        }
        true
    }

    /// Failure domains that are taken out, sorted.
    #[must_use]
    pub fn disabled_domains(&self) -> &[String] {
        &self.disabled_domains
    }

    /// The list was complete when its question was sent at `asked`.
    pub fn confirm_list(&mut self, now: Time, asked: Time) {
        // The first proof of all is a start, not a return: what vanishes then has left.
        let age = self.list_freshness.age(now);
        if age.is_some_and(|age| age > STORE_OUTAGE_THRESHOLD) {
            self.store_recovered_at = Some(now);
        }
        self.list_freshness.confirm(asked);
    }

    /// Takes a change of the list in.
    pub fn change(&mut self, now: Time, change: Change) {
        match change {
            Change::Removed(id) => self.remove_listing(now, &id),
            Change::Set(listing) => match self.find(&listing.id) {
                Some(key) => self.endpoints[key].update(listing, now),
                None => {
                    self.endpoints.insert(Endpoint::new(listing, now));
                }
            },
        }
    }

    /// An entry is gone: at once, or with a delay if the store was away, since entries
    /// lapse meanwhile though their endpoints live.
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

    /// Names of all endpoints that the list still shows.
    #[must_use]
    pub fn listed(&self) -> Vec<String> {
        let listed = self.endpoints.values();
        listed.map(|endpoint| endpoint.listing.id.clone()).collect()
    }

    /// Settles doubts that have lasted long enough, and forgets endpoints that left and the
    /// load of silent fellows.
    pub fn tick(&mut self, now: Time) {
        self.peer_loads.expire(now);
        for endpoint in self.endpoints.values_mut() {
            if endpoint.grace_until.is_some_and(|until| now >= until) {
                endpoint.grace_until = None;
                endpoint.leaving_since.get_or_insert(now);
            }
        }
        let used = |key: EndpointKey, runs: &SlotMap<RunKey, Run>| {
            let mut runs = runs.values();
            runs.any(|run| {
                run.endpoint == key || run.backup == Some(key) || run.target == Some(key)
            })
        };
        let runs = &self.runs;
        self.endpoints.retain(|key, endpoint| {
            let left = endpoint
                .leaving_since
                .is_some_and(|since| now.since(since) > LEFT_ENDPOINT_RETENTION);
            !left || endpoint.in_flight > 0 || used(key, runs)
        });
    }

    /// Takes a place in the queue of a service.
    pub fn enqueue(&mut self, ticket: &Ticket) -> QueuePosition {
        self.next_turn += 1;
        let position = QueuePosition {
            priority: ticket.priority,
            service: ticket.service.clone(),
            turn: self.next_turn,
        };
        self.waiting.push(position.clone());
        position
    }

    /// Leaves the queue.
    pub fn dequeue(&mut self, position: &QueuePosition) {
        self.waiting.retain(|other| other != position);
    }

    /// Requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether another request of the service comes first.
    #[must_use]
    pub fn is_preceded(&self, position: &QueuePosition) -> bool {
        self.waiting.iter().any(|other| {
            other.service == position.service
                && (other.priority, other.turn) < (position.priority, position.turn)
        })
    }

    /// Whether the failure domain is taken out.
    #[must_use]
    pub fn is_disabled(&self, domain: &str) -> bool {
        let found = self
            .disabled_domains
            .binary_search_by(|other| other.as_str().cmp(domain));
        found.is_ok()
    }

    /// A service of the configuration in force.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.service(name)
    }

    /// An endpoint, if it is still known.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// An endpoint, to note what was seen of it.
    pub fn endpoint_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Notes a generation.
    pub fn begin(&mut self, run: Run) -> RunKey {
        self.runs.insert(run)
    }

    /// A generation in progress.
    pub fn run_mut(&mut self, key: RunKey) -> Option<&mut Run> {
        self.runs.get_mut(key)
    }

    /// A generation in progress.
    #[must_use]
    pub fn run(&self, key: RunKey) -> Option<&Run> {
        self.runs.get(key)
    }

    /// A generation has ended.
    pub fn end(&mut self, key: RunKey) {
        self.runs.remove(key);
    }

    /// Whether the engine of a generation is leaving, so that it has to go on elsewhere.
    #[must_use]
    pub fn must_move(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        let endpoint = run.and_then(|run| self.endpoints.get(run.endpoint));
        endpoint.is_some_and(|endpoint| endpoint.leaving_since.is_some())
    }

    /// Whether a generation may go on at an engine that holds its copy.
    ///
    /// An engine that is leaving still works for a while, and may be all that is left of
    /// the run; a failure domain that was taken out gets nothing more.
    #[must_use]
    pub fn may_continue_at(&self, now: Time, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| {
            let left = endpoint
                .leaving_since
                .is_some_and(|since| now.since(since) > LEAVING_GRACE);
            !left && !self.is_disabled(&endpoint.listing.domain)
        })
    }

    /// The engine that holds a generation's copy, if the generation should go on there
    /// though its own engine still works.
    #[must_use]
    pub fn healthy_backup(&self, now: Time, run: RunKey) -> Option<EndpointKey> {
        let backup = self.runs.get(run)?.backup?;
        let endpoint = self.endpoints.get(backup)?;
        (endpoint.usable(now) && self.may_continue_at(now, backup)).then_some(backup)
    }

    fn find(&self, id: &str) -> Option<EndpointKey> {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
        found.map(|(key, _)| key)
    }
}

/// How long after its leaving became known an engine may still be sent to. The bound
/// of two seconds counts from the leaving itself, which was known up to a second later.
const LEAVING_GRACE: Duration = Duration::from_millis(900);

/// How long an endpoint that left is remembered.
const LEFT_ENDPOINT_RETENTION: Duration = Duration::from_secs(30);
