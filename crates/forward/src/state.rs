//! Everything an instance knows, and the decisions on it.

use {
    crate::{
        budget::Budget, endpoint::Load, freshness::Freshness, load::Fellows, prelude::*,
        request::Ticket,
    },
    rand::{RngExt as _, rngs::SmallRng},
    slotmap::{SecondaryMap, SlotMap},
};

/// Margin below the revocation bound, for the way from here to an endpoint.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);

/// Age of the configuration up to which a missing route or key is believed missing; a
/// little below the two seconds in which every instance in touch has a new version.
/// Beyond it the caller is sent elsewhere, since the newer configuration may have it.
const BELIEVE_MISSING: Duration = Duration::from_millis(1950);

/// A list read after this long without proof means that the store had been away.
const STORE_AWAY: Duration = Duration::from_secs(3);

/// Time in which entries that lapsed while the store was away come back.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Part of the KV memory that is filled by prediction; the rest is for runs that turn
/// out longer than expected.
const FILL: f64 = 0.92;

/// Part of the KV memory up to which copies are placed; memory above it is for runs.
const COPY_FILL: f64 = 0.6;

/// Output tokens from which on a copy is made. A shorter run lives a fraction of a second
/// after its prompt is read, in which an engine is hardly ever lost, while the copy would
/// take the links from longer ones.
const COPY_FROM: u32 = 100;

/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 14.0;

/// What one more running request costs the others, in milliseconds of waiting; from the
/// 0.12 ms by which it lengthens each step, over the steps of a typical answer's start.
const RUN_COST: f64 = 6.0;

/// Milliseconds of waiting that are borne to stay in the own failure domain. Work there
/// survives a partition between domains, and bytes between domains are dear.
const DOMAIN_COST: f64 = 60.0;

/// Milliseconds of waiting that it is worth to have a copy in another failure domain than
/// the run itself: all engines of a domain are at times lost at once.
const SHARED_FATE_COST: f64 = 100.0;

/// Milliseconds of waiting that it is worth to move a run within the failure domain of its
/// engine: between domains the copy takes twice as long, and an engine that leaves often
/// has no time for more than a few.
const FAR_COPY_COST: f64 = 150.0;

/// Shortest time that an engine works on after its leaving became known.
const NOTICE: Duration = Duration::from_millis(900);

/// Milliseconds of waiting that a full memory is worth avoiding.
const MEMORY_COST: f64 = 150.0;

/// Milliseconds of waiting that a plain endpoint's running request costs.
const PLAIN_COST: f64 = 30.0;

/// Milliseconds of waiting at which an endpoint that fails every request is rated.
const FAILING_COST: f64 = 400.0;

/// KV memory that a request is expected to need, in tokens; zero for plain requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Tokens it will make.
    pub output: u32,
    /// Tokens in its prompt.
    pub prompt: u32,
}

impl Need {
    const fn tokens(self) -> u32 {
        self.prompt.saturating_add(self.output)
    }
}

/// Where to send a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pick {
    /// To this endpoint, with a copy of the KV memory at the other one.
    Send(EndpointKey, Option<EndpointKey>),
    /// No endpoint has room now.
    Wait,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry of an id is gone.
    Gone(String),
    /// An entry is new or has changed.
    Set(Listing),
}

/// Everything an instance knows.
#[derive(Debug)]
pub struct State {
    /// Budget for second sends.
    pub budget: Budget,
    config: Option<Config>,
    /// Age of the configuration.
    pub config_freshness: Freshness,
    domains_out: Vec<String>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Load of other instances.
    pub fellows: Fellows,
    /// Instances that joint limits are divided by.
    instances: u32,
    /// Age of the endpoint list.
    pub list_freshness: Freshness,
    random: SmallRng,
    runs: SlotMap<RunKey, Run>,
    settings: Settings,
    stops: Option<Time>,
    store_back: Option<Time>,
    waiting: Vec<Place>,
    next_waiter: u64,
}

/// Place in the queue of a service: the rank of a request, then its turn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    priority: u8,
    service: String,
    turn: u64,
}

impl State {
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, random: SmallRng) -> Self {
        Self {
            budget: Budget::new(&settings),
            config: None,
            config_freshness: Freshness::default(),
            domains_out: Vec::new(),
            endpoints: SlotMap::with_key(),
            fellows: Fellows::default(),
            instances: settings.most_instances.max(1),
            list_freshness: Freshness::default(),
            next_waiter: 0,
            random,
            runs: SlotMap::with_key(),
            settings,
            stops: None,
            store_back: None,
            waiting: Vec::new(),
        }
    }

    /// So many instances have published themselves.
    ///
    /// Joint limits are divided by a quarter more, for those that have not been heard of
    /// yet, and never by less than the settings say. Entries of instances that are gone
    /// stay, which errs on the safe side.
    pub fn count_instances(&mut self, published: usize) {
        let published = u32::try_from(published).unwrap_or(u32::MAX);
        let instances = published.saturating_add(published.div_ceil(4));
        self.instances = instances.max(self.settings.most_instances.max(1));
        self.budget.divide_by(self.instances);
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
    pub fn set_domain(&mut self, domain: &str, out: bool) -> bool {
        let place = self
            .domains_out
            .binary_search_by(|other| other.as_str().cmp(domain));
        match (place, out) {
            (Err(place), true) => self.domains_out.insert(place, domain.to_string()),
            (Ok(place), false) => {
                self.domains_out.remove(place);
            }
            (Ok(_), true) | (Err(_), false) => return false,
        }
        true
    }

    /// Failure domains that are taken out, sorted.
    #[must_use]
    pub fn domains_out(&self) -> &[String] {
        &self.domains_out
    }

    /// The list was complete when its question was sent at `asked`.
    pub fn prove_list(&mut self, now: Time, asked: Time) {
        // The first proof of all is a start, not a return: what vanishes then has left.
        let age = self.list_freshness.age(now);
        if age.is_some_and(|age| age > STORE_AWAY) {
            self.store_back = Some(now);
        }
        self.list_freshness.prove(asked);
    }

    /// Takes a change of the list in.
    pub fn change(&mut self, now: Time, change: Change) {
        match change {
            Change::Gone(id) => self.gone(now, &id),
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
    fn gone(&mut self, now: Time, id: &str) {
        let away = !self.list_freshness.within(now, STORE_AWAY);
        let back = self
            .store_back
            .filter(|back| now.since(*back) < RETURN_TIME);
        let Some(key) = self.find(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        if endpoint.leaving_since.is_none() {
            if away {
                endpoint.doubt_until = Some(now.after(RETURN_TIME));
                return;
            }
            if let Some(back) = back {
                endpoint.doubt_until = Some(back.after(RETURN_TIME));
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

    /// Settles doubts that have lasted long enough, and forgets endpoints that left.
    pub fn tick(&mut self, now: Time) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.doubt_until.is_some_and(|until| now >= until) {
                endpoint.doubt_until = None;
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
                .is_some_and(|since| now.since(since) > FORGET);
            !left || endpoint.in_flight > 0 || used(key, runs)
        });
    }

    /// Whether a request may be served, and how.
    ///
    /// # Errors
    ///
    /// The truthful refusal; nothing has been sent.
    pub fn admit(&mut self, now: Time, inbound: &Inbound) -> Result<Ticket, Refusal> {
        let believed = self.config_freshness.within(now, BELIEVE_MISSING);
        let missing = |refusal| if believed { refusal } else { Refusal::Stale };
        let config = self.config.as_ref().ok_or(Refusal::Unconfigured)?;
        let route = config
            .route(&inbound.host, &inbound.path)
            .ok_or_else(|| missing(Refusal::UnknownRoute))?;
        let mut customer = None;
        if config.keyed() && !route.anonymous {
            let key = inbound.key.as_deref().unwrap_or_default();
            let holder = config
                .customer(key)
                .ok_or_else(|| missing(Refusal::UnknownKey))?;
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
            .stops
            .is_some_and(|stops| now.after(duration(route, inbound)) > stops)
        {
            return Err(Refusal::Stopping);
        }
        Ok(Ticket {
            customer: customer.map(|customer| customer.name.clone()),
            expires,
            priority: customer
                .and_then(|customer| customer.priority)
                .unwrap_or(route.priority),
            service: draw(&route.split, &mut self.random),
            route: route.clone(),
            version: config.version,
        })
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

    /// The instance ends at `stops`. Requests that would not be answered by then are
    /// refused: their callers are served by another instance, while an answer that is cut
    /// off is lost, and a generation cannot be repeated.
    pub const fn stop(&mut self, stops: Time) {
        self.stops = Some(stops);
    }

    /// Takes a place in the queue of a service.
    pub fn enqueue(&mut self, ticket: &Ticket) -> Place {
        self.next_waiter += 1;
        let place = Place {
            priority: ticket.route.priority,
            service: ticket.service.clone(),
            turn: self.next_waiter,
        };
        self.waiting.push(place.clone());
        place
    }

    /// Leaves the queue.
    pub fn dequeue(&mut self, place: &Place) {
        self.waiting.retain(|other| other != place);
    }

    /// Requests that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether another request of the service comes first.
    #[must_use]
    pub fn passed_over(&self, place: &Place) -> bool {
        self.waiting.iter().any(|other| {
            other.service == place.service
                && (other.priority, other.turn) < (place.priority, place.turn)
        })
    }

    /// Chooses an endpoint for a request, and an engine for its copy.
    #[must_use]
    pub fn pick(&self, now: Time, service: &str, need: Need, tried: &[EndpointKey]) -> Pick {
        let Some(service) = self.service(service) else {
            return Pick::Wait;
        };
        let loads = self.loads();
        match self.cheapest(now, service, need.tokens(), tried, &loads) {
            None => Pick::Wait,
            Some(key) => {
                let (tokens, output) = (need.tokens(), need.output);
                let copy = self.pick_copy(now, service, tokens, output, key, &loads);
                Pick::Send(key, copy)
            }
        }
    }

    /// Chooses an engine to move a run to.
    #[must_use]
    pub fn pick_target(
        &self,
        now: Time,
        run: RunKey,
        tried: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let run = self.runs.get(run)?;
        let service = self.service(&run.service)?;
        let mut skip = tried.to_vec();
        skip.push(run.endpoint);
        let source = self.endpoints.get(run.endpoint)?;
        let loads = self.loads();
        self.cheapest_by(&skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service) {
                return None;
            }
            let far = endpoint.listing.domain != source.listing.domain;
            let cost = self.cost(now, key, endpoint, service, run.need(), &loads)?;
            Some(cost + if far { FAR_COPY_COST } else { 0.0 })
        })
    }

    /// Whether a generation is likely to end before an engine that has said that it leaves
    /// is gone.
    #[must_use]
    pub fn ends_soon(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        run.is_some_and(|run| TOKEN_TIME.saturating_mul(run.left()) < NOTICE)
    }

    /// Chooses an engine for the copy of a run's KV memory, once it runs at `endpoint`.
    #[must_use]
    pub fn pick_backup(
        &self,
        now: Time,
        run: RunKey,
        endpoint: EndpointKey,
    ) -> Option<EndpointKey> {
        let run = self.runs.get(run)?;
        let service = self.service(&run.service)?;
        let left = run.left();
        self.pick_copy(now, service, run.need(), left, endpoint, &self.loads())
    }

    /// The endpoint with room that costs the least.
    fn cheapest(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        skip: &[EndpointKey],
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Option<EndpointKey> {
        self.cheapest_by(skip, |key, endpoint| {
            if !self.eligible(now, endpoint, service) {
                return None;
            }
            self.cost(now, key, endpoint, service, need, loads)
        })
    }

    /// The endpoint of the least cost, of those that have one.
    fn cheapest_by(
        &self,
        skip: &[EndpointKey],
        cost: impl Fn(EndpointKey, &Endpoint) -> Option<f64>,
    ) -> Option<EndpointKey> {
        let mut best = None;
        for (key, endpoint) in &self.endpoints {
            if skip.contains(&key) {
                continue;
            }
            let Some(cost) = cost(key, endpoint) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn pick_copy(
        &self,
        now: Time,
        service: &Service,
        need: u32,
        output: u32,
        source: EndpointKey,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Option<EndpointKey> {
        if output < COPY_FROM {
            return None;
        }
        let engine = service.engine.filter(|engine| engine.backups)?;
        let most = f64::from(engine.kv_tokens) * COPY_FILL;
        let source_domain = self.endpoints.get(source);
        let source_domain = source_domain.map(|endpoint| endpoint.listing.domain.as_str());
        self.cheapest_by(&[source], |key, endpoint| {
            let usable = endpoint.listing.service == service.name
                && endpoint.usable(now)
                && !self.is_out(&endpoint.listing.domain);
            let load = self.load(key, endpoint, now, loads);
            let tokens = f64::from(load.tokens.saturating_add(need));
            let shared = source_domain == Some(endpoint.listing.domain.as_str());
            let cost = tokens / most * MEMORY_COST + if shared { SHARED_FATE_COST } else { 0.0 };
            (usable && tokens <= most).then_some(cost)
        })
    }

    fn eligible(&self, now: Time, endpoint: &Endpoint, service: &Service) -> bool {
        endpoint.listing.service == service.name
            && endpoint.usable(now)
            && !self.is_out(&endpoint.listing.domain)
            && endpoint.pace.allows(now, self.pace_part(service))
    }

    /// Sends a second to one endpoint of a service that this instance may make.
    fn pace_part(&self, service: &Service) -> usize {
        if service.cold_rate <= 0.0 {
            return usize::MAX;
        }
        let part = service.cold_rate / f64::from(self.instances);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rate of requests a second is small and positive here"
        )]
        let part = part.floor() as usize;
        part.max(1)
    }

    /// Cost of sending there in milliseconds of waiting; `None` if it has no room.
    fn cost(
        &self,
        now: Time,
        key: EndpointKey,
        endpoint: &Endpoint,
        service: &Service,
        need: u32,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Option<f64> {
        let load = self.load(key, endpoint, now, loads);
        let common = self.domain_cost(endpoint) + endpoint.failing * FAILING_COST;
        let Some(engine) = service.engine else {
            let room = endpoint.listing.slots.max(1);
            let busy = f64::from(load.requests) / f64::from(room);
            return (load.requests < room)
                .then_some(common + f64::from(load.requests) * PLAIN_COST + busy);
        };
        let room = f64::from(engine.kv_tokens) * FILL;
        let tokens = f64::from(load.tokens.saturating_add(need));
        if load.requests >= engine.slots || tokens > room {
            return None;
        }
        Some(
            common
                + f64::from(load.reading) / READ_RATE
                + f64::from(load.requests) * RUN_COST
                + tokens / room * MEMORY_COST,
        )
    }

    fn domain_cost(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.listing.domain == self.settings.domain {
            return 0.0;
        }
        DOMAIN_COST
    }

    /// Load of one endpoint over all instances.
    fn load(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        now: Time,
        loads: &SecondaryMap<EndpointKey, Load>,
    ) -> Load {
        let mut load = loads.get(key).copied().unwrap_or_default();
        load.requests += endpoint.in_flight;
        load.add(self.fellows.at(endpoint.digest, now));
        load
    }

    /// Load of this instance's generations, for each endpoint.
    #[must_use]
    pub fn loads(&self) -> SecondaryMap<EndpointKey, Load> {
        let mut loads = SecondaryMap::new();
        let mut add = |key: EndpointKey, load: Load| {
            if let Some(entry) = loads.entry(key) {
                entry.or_insert(Load::default()).add(load);
            }
        };
        for run in self.runs.values() {
            add(run.endpoint, run.load());
            for copy in [run.backup, run.target].into_iter().flatten() {
                add(copy, run.copy_load());
            }
        }
        loads
    }

    /// Load of one endpoint over all instances, as choices count it.
    #[must_use]
    pub fn load_at(&self, key: EndpointKey, now: Time) -> Load {
        let endpoint = self.endpoints.get(key);
        endpoint.map_or_else(Load::default, |endpoint| {
            self.load(key, endpoint, now, &self.loads())
        })
    }

    /// What fellows should know of this instance's load.
    #[must_use]
    pub fn report(&self) -> Vec<(String, Load)> {
        let loads = self.loads();
        let mut report = Vec::new();
        for (key, endpoint) in &self.endpoints {
            let mut load = loads.get(key).copied().unwrap_or_default();
            load.requests += endpoint.in_flight;
            if load != Load::default() {
                report.push((endpoint.listing.id.clone(), load));
            }
        }
        report
    }

    /// Whether the failure domain is taken out.
    #[must_use]
    pub fn is_out(&self, domain: &str) -> bool {
        let found = self
            .domains_out
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
    pub fn may_go_on_at(&self, now: Time, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| {
            let left = endpoint
                .leaving_since
                .is_some_and(|since| now.since(since) > LEAVING_WORKS);
            !left && !self.is_out(&endpoint.listing.domain)
        })
    }

    /// The engine that holds a generation's copy, if the generation should go on there
    /// though its own engine still works.
    #[must_use]
    pub fn sound_backup(&self, now: Time, run: RunKey) -> Option<EndpointKey> {
        let backup = self.runs.get(run)?.backup?;
        let endpoint = self.endpoints.get(backup)?;
        (endpoint.usable(now) && self.may_go_on_at(now, backup)).then_some(backup)
    }

    fn find(&self, id: &str) -> Option<EndpointKey> {
        let mut endpoints = self.endpoints.iter();
        let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
        found.map(|(key, _)| key)
    }
}

/// How long after its leaving became known an engine may still be sent to. The bound
/// of two seconds counts from the leaving itself, which was known up to a second later.
const LEAVING_WORKS: Duration = Duration::from_millis(900);

/// How long an endpoint that left is remembered.
const FORGET: Duration = Duration::from_secs(30);

/// Longest time that a token usually takes. A step takes 7 ms and more, and 0.12 ms more
/// for each other request at the engine.
const TOKEN_TIME: Duration = Duration::from_millis(11);

/// Time for the way, the queue, and everything else that an answer takes.
const OVERHEAD: Duration = Duration::from_millis(400);

/// How long the answer to a request is likely to take, on the safe side.
fn duration(route: &Route, inbound: &Inbound) -> Duration {
    if route.kind != Kind::Stream {
        return OVERHEAD.min(route.timeout);
    }
    let reading = Duration::from_secs_f64(f64::from(inbound.prompt) / READ_RATE / 1000.0);
    // An estimate that is right at the median only is doubled.
    let output = inbound
        .length_hint
        .map_or(inbound.most_output, |hint| hint.saturating_mul(2))
        .min(inbound.most_output.max(1));
    reading + TOKEN_TIME.saturating_mul(output) + OVERHEAD
}

/// A service by weight.
fn draw(split: &[(String, u32)], random: &mut SmallRng) -> String {
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
