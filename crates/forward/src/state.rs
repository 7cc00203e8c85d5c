//! State of an instance, and how it changes.
//!
//! Decisions on it are in [`crate::admission`] and [`crate::choice`].

mod conditions;
mod limits;
mod list;
mod queue;
mod rollouts;
mod room;
mod shares;
mod takeovers;

use self::takeovers::Copying;

pub use self::{
    conditions::{Answer, Outlook},
    limits::{Admission, Ask, Response},
    queue::QueuePosition,
};

use {
    crate::{
        aggregate::{Sums, members::Members},
        brittleness::Brittleness,
        budget::RetryBudget,
        cuts::Cuts,
        departed::Departed,
        fairness::Shares,
        freshness::Freshness,
        lateness::Lateness,
        limit::Limits,
        load::PeerLoads,
        losses::Losses,
        overflow::Overflow,
        part_suspects,
        paths::Paths,
        prelude::*,
        profile::Profiles,
        reserve::Reserve,
        rollout::{
            Rollouts,
            access::{Access, Gate},
        },
        suspects::Suspects,
        tunnel::Tunnels,
    },
    rand::{RngExt as _, rngs::SmallRng},
    slotmap::{SecondaryMap, SlotMap},
};

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry with this id was removed.
    Removed(String),
    /// An entry was added or updated.
    Set(Listing),
}

/// State of an instance.
#[derive(Debug)]
pub struct State {
    /// Engines that were asked to take a run over, sorted.
    asked: SecondaryMap<RunKey, Vec<EndpointKey>>,
    /// Runs whose events are read while their engines copy them.
    copying: SecondaryMap<RunKey, Copying>,
    /// Cuts of the links to failure domains.
    pub(crate) cuts: Cuts,
    /// Spreads the backoff of instances.
    backoff_seed: u64,
    /// Services whose endpoints fall over when they reject too much.
    pub brittleness: Brittleness,
    /// Budget for retries.
    pub budget: RetryBudget,
    pub(crate) config: Option<Config>,
    /// Age of the configuration.
    pub config_freshness: Freshness,
    /// What endpoints stated that are not listed any more.
    departed: Departed,
    disabled_domains: Vec<String>,
    /// Versions that endpoints have had since the start, sorted by service, then by version.
    known_versions: Vec<KnownVersion>,
    pub(crate) endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Load of other instances, from their own reports.
    pub peer_loads: PeerLoads,
    /// Number of instances that shared limits are divided by.
    pub(crate) instances: u32,
    /// How late the event loop runs.
    pub lateness: Lateness,
    /// Limits that endpoints name.
    pub limits: Limits,
    /// Age of the endpoint list.
    pub list_freshness: Freshness,
    /// Endpoints whose connections broke.
    pub(crate) losses: Losses,
    /// All instances.
    pub members: Members,
    pub(crate) overflow: Overflow,
    /// Parts of prompts that may crash engines.
    pub part_suspects: part_suspects::Suspects,
    /// Whether endpoints can be reached directly.
    pub paths: Paths,
    /// What engines do.
    pub profiles: Profiles,
    pub(crate) random: SmallRng,
    /// Room for runs that have to move.
    reserve: Reserve,
    /// Rollouts of new versions.
    pub rollouts: Rollouts,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) settings: Settings,
    /// Shares of customers.
    pub shares: Shares,
    pub(crate) stops_at: Option<Time>,
    store_recovered_at: Option<Time>,
    /// Load of other instances, from sums of aggregators.
    pub sums: Sums,
    /// Requests that may crash endpoints.
    pub suspects: Suspects,
    /// Peers through which endpoints are reached that cannot be reached directly.
    pub tunnels: Tunnels,
    waiting: Vec<QueuePosition>,
    next_turn: u64,
}

/// A version that endpoints of a service have had.
#[derive(Clone, Debug)]
struct KnownVersion {
    /// When it was first listed; `None` if it was in use before.
    seen_at: Option<Time>,
    service: String,
    version: String,
}

impl State {
    /// An instance without any knowledge yet.
    #[must_use]
    pub fn new(settings: Settings, random: SmallRng) -> Self {
        let mut rollouts = Rollouts::default();
        rollouts.set_limit(settings.canary);
        Self {
            asked: SecondaryMap::new(),
            copying: SecondaryMap::new(),
            cuts: Cuts::default(),
            backoff_seed: random.clone().random(),
            brittleness: Brittleness::default(),
            budget: RetryBudget::new(&settings),
            config: None,
            config_freshness: Freshness::default(),
            departed: Departed::default(),
            disabled_domains: Vec::new(),
            known_versions: Vec::new(),
            endpoints: SlotMap::with_key(),
            peer_loads: PeerLoads::default(),
            instances: settings.min_instances.max(1),
            lateness: Lateness::default(),
            limits: Limits::default(),
            list_freshness: Freshness::default(),
            losses: Losses::default(),
            members: Members::default(),
            next_turn: 0,
            overflow: Overflow::default(),
            part_suspects: part_suspects::Suspects::default(),
            paths: Paths::default(),
            profiles: Profiles::default(),
            random,
            reserve: Reserve::default(),
            rollouts,
            runs: SlotMap::with_key(),
            settings,
            shares: Shares::default(),
            stops_at: None,
            store_recovered_at: None,
            sums: Sums::default(),
            suspects: Suspects::default(),
            tunnels: Tunnels::default(),
            waiting: Vec::new(),
        }
    }

    /// Applies changed settings.
    pub fn update_settings(&mut self, settings: Settings) {
        self.budget.update_settings(&settings);
        self.rollouts.set_limit(settings.canary);
        self.instances = self.instances.max(settings.min_instances);
        self.settings = settings;
    }

    /// Updates the number of registered instances.
    ///
    /// Shared limits are divided by 25 % more, to allow for instances that are not visible yet, and
    /// never by less than [`Settings::min_instances`]. Entries of stopped instances remain for
    /// minutes, which only makes the shares smaller.
    pub fn update_instance_count(&mut self, published: usize) {
        let published = u32::try_from(published).unwrap_or(u32::MAX);
        let instances = published.saturating_add(published.div_ceil(4));
        self.instances = instances.max(self.settings.min_instances.max(1));
        self.budget.set_instances(self.instances);
    }

    /// Replaces the configuration if the new one has a higher version; returns whether it did.
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

    /// The settings that decisions depend on.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The current configuration.
    #[must_use]
    pub const fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Disables or enables a failure domain; returns whether that changed anything.
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

    /// Disabled failure domains, sorted.
    #[must_use]
    pub fn disabled_domains(&self) -> &[String] {
        &self.disabled_domains
    }

    /// Ids of all known endpoints.
    #[must_use]
    pub fn endpoint_ids(&self) -> Vec<String> {
        let listed = self.endpoints.values();
        listed.map(|endpoint| endpoint.listing.id.clone()).collect()
    }

    /// Applies delayed removals, drops endpoints that have left, and expires the load of silent
    /// peers.
    pub fn tick(&mut self, now: Time) {
        self.peer_loads.expire(now);
        self.tunnels.prune(now);
        self.profiles.expire(now);
        let endpoints = &self.endpoints;
        self.limits.expire(now, |incarnation| {
            let mut listed = endpoints.values();
            listed.any(|endpoint| endpoint.incarnation == incarnation)
        });
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
        let departed = &mut self.departed;
        self.endpoints.retain(|key, endpoint| {
            let left = endpoint
                .leaving_since
                .is_some_and(|since| now.since(since) > LEFT_ENDPOINT_RETENTION);
            let is_kept = !left || endpoint.in_flight > 0 || used(key, runs);
            if !is_kept {
                departed.insert(now, endpoint.incarnation, endpoint.statement);
            }
            is_kept
        });
        departed.expire(now);
    }

    /// Whether the failure domain is disabled.
    #[must_use]
    pub fn is_disabled(&self, domain: &str) -> bool {
        let found = self
            .disabled_domains
            .binary_search_by(|other| other.as_str().cmp(domain));
        found.is_ok()
    }

    /// A service of the current configuration.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.service(name)
    }

    /// An endpoint, if it is still known.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// An endpoint, to record observations.
    pub fn endpoint_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Adds a run.
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

    /// Removes a run that has ended.
    pub fn end(&mut self, key: RunKey) -> Option<Run> {
        self.asked.remove(key);
        self.copying.remove(key);
        self.runs.remove(key)
    }

    /// Whether the engine of a run is leaving or its version is being replaced, so that the run has
    /// to move.
    #[must_use]
    pub fn must_move(&self, now: Time, run: RunKey) -> bool {
        let run = self.runs.get(run);
        let endpoint = run.and_then(|run| self.endpoints.get(run.endpoint));
        endpoint.is_some_and(|endpoint| {
            endpoint.leaving_since.is_some() || self.access(now, endpoint) == Access::Evacuate
        })
    }

    /// Whether a run may continue at the engine that holds its copy.
    ///
    /// An engine that has just started to leave still qualifies, since it may hold the only copy.
    /// An engine of a disabled failure domain does not.
    #[must_use]
    pub fn may_continue_at(&self, now: Time, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| {
            let left = endpoint
                .leaving_since
                .is_some_and(|since| now.since(since) > LEAVING_GRACE);
            let gate = self.gate(now, &endpoint.listing.service);
            !left && !self.is_disabled(&endpoint.listing.domain) && gate.may_continue(endpoint)
        })
    }

    /// The engine that holds the copy of a run, if it takes new work.
    #[must_use]
    pub fn healthy_backup(&self, now: Time, run: RunKey) -> Option<EndpointKey> {
        let backup = self.backup(now, run)?;
        let endpoint = self.endpoints.get(backup)?;
        let is_open = self.access(now, endpoint) == Access::Open;
        (endpoint.usable(now) && is_open).then_some(backup)
    }

    /// Records that an engine does not have the copy of a run.
    pub fn record_missing_copy(&mut self, run: RunKey, engine: EndpointKey) {
        if let Some(run) = self.runs.get_mut(run) {
            run.backup = run.backup.filter(|backup| *backup != engine);
        }
    }

    /// What may be sent to endpoints of a service.
    ///
    /// A version that is not judged yet is used like any other where there is no other version: its
    /// order has been completed long ago, or there is nothing else to serve callers with.
    pub(crate) fn gate(&self, now: Time, service: &str) -> Gate<'_> {
        let mut gate = self.rollouts.gate(now, service);
        let Some((target, access)) = gate.target else {
            return gate;
        };
        match access {
            Access::Closed if self.alternatives(&gate, service) == 0 => {
                gate.target = Some((target, Access::Open));
            }
            Access::Open if gate.others != Access::Open && self.targets(target, service) == 0 => {
                gate.others = Access::Open;
            }
            Access::Closed | Access::Evacuate | Access::Open => {}
        }
        gate
    }

    fn access(&self, now: Time, endpoint: &Endpoint) -> Access {
        self.gate(now, &endpoint.listing.service).access(endpoint)
    }

    /// Number of endpoints of other versions than the target that take requests.
    fn alternatives(&self, gate: &Gate<'_>, service: &str) -> usize {
        let target = gate.target.map(|(target, _)| target);
        let others = self.listed(service).filter(|endpoint| {
            let is_target = target.is_some() && endpoint.listing.version.as_deref() == target;
            !is_target && !gate.closed.contains(&endpoint.version())
        });
        others.count()
    }

    fn targets(&self, target: &str, service: &str) -> usize {
        let targets = self.listed(service);
        targets.filter(|other| other.version() == target).count()
    }

    /// Number of endpoints of a service that are not leaving, and of those among them that are not
    /// used because they could not be reached.
    #[must_use]
    pub fn count_unreachable(&self, now: Time, service: &str) -> (usize, usize) {
        let unreachable = self
            .listed(service)
            .filter(|endpoint| endpoint.is_unreachable(now));
        (self.listed(service).count(), unreachable.count())
    }

    /// Endpoints of a service that are not leaving.
    pub(crate) fn listed(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |endpoint| {
            endpoint.listing.service == service && endpoint.leaving_since.is_none()
        })
    }

    fn find(&self, id: &str) -> Option<EndpointKey> {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
        found.map(|(key, _)| key)
    }
}

/// How long an engine may still be used after this instance learned that it is leaving. Engines
/// must get no work 2 s after they start to leave, which may be known up to 1 s late.
const LEAVING_GRACE: Duration = Duration::from_millis(900);

/// How long an endpoint that has left is remembered.
const LEFT_ENDPOINT_RETENTION: Duration = Duration::from_secs(30);
