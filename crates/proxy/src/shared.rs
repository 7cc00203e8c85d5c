//! State shared by all tasks of an instance, which run on one thread.

use {
    crate::{
        clock,
        conditions::Conditions,
        exchange::Original,
        gossip::{
            history::History,
            limits::{self, Asks},
            statements::{self, Departures},
        },
        memory::Buffers,
        metrics::Metrics,
        peers::Peers,
        placement::Abandoned,
        prelude::*,
        probe,
        settings::Settings,
        stream,
        topic::{self, TopicState},
    },
    endpoint::Client,
    forward::{
        State,
        aggregate::{
            add_rows,
            members::{Link, MemberKey, Role},
        },
        choice::Need,
        config::Limits,
        intake::Intake,
        limit::notice::Answer,
        load::Report,
        placement::Placements,
        profile::News,
        reader::{Readers, TOPICS},
        request::Ticket,
        rollout::tally::Outcome,
        silence::POLL_INTERVAL,
        state::{self, Outlook, QueuePosition},
    },
    peer::datagram::DatagramSocket,
    platform::{Store, condition, head::ResponseFlags, store::Topic},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    tokio::sync::{Notify, mpsc},
};

/// Timeout for opening a connection to an endpoint or the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest time after which a request may return that the limits of endpoints refuse. Callers that return at once only
/// find the limits used up again.
const MIN_LIMITED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// State shared by all tasks of an instance.
#[derive(Debug)]
pub struct Shared {
    /// Runs that streams have left at engines which may be working on them.
    pub abandoned: mpsc::UnboundedSender<Abandoned>,
    /// Asks for requests to endpoints with a limit.
    pub asks: RefCell<Asks>,
    /// Bytes held for callers and endpoints.
    pub buffers: Rc<Buffers>,
    /// Connections to endpoints and the store.
    pub client: Client,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Engines that may be working on runs.
    pub placements: RefCell<Placements>,
    /// Whether the instance is shutting down.
    pub draining: Cell<bool>,
    /// Whether it is about to exit, and ends the requests that are in progress.
    pub exiting: Cell<bool>,
    /// Conditions of endpoints that were logged as unknown.
    conditions: RefCell<Conditions>,
    /// Which new connections of callers are accepted.
    intake: RefCell<Intake>,
    /// Other instances.
    pub peers: Peers,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Endpoints at which the load of the own failure domain has grown since the last sum,
    /// by digest.
    pub grown: RefCell<Vec<u32>>,
    /// Recent records of each topic, for members that lack some.
    pub history: [RefCell<History>; TOPICS],
    /// Random number that identifies this run of the process; never zero.
    pub incarnation: u64,
    /// What was last answered to members that tell what engines do, and when.
    pub known_paces: RefCell<(Time, News)>,
    /// Notified when peers are to be told of limits that endpoints name.
    pub limits_changed: Notify,
    /// Notified when the load of this instance has changed.
    pub load: Notify,
    /// Endpoints that leave, to be told to peers.
    pub departures: RefCell<Departures>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Watermarks of peers.
    pub readers: RefCell<Readers>,
    /// Notified when requests are refused from now on, since they crash endpoints.
    pub refusals_changed: Notify,
    /// Notified when this instance has to publish its entry again.
    pub republish: Notify,
    /// Notified when an order of a rollout, or a record of one, has been read.
    pub rollouts_changed: Notify,
    /// Notified when an endpoint may have room again.
    pub room: Notify,
    /// Notified when a report is due immediately: a run has started, or a placement needs an
    /// aggregator's newest rows.
    pub report_now: Notify,
    /// Role in the gossip as of the last check.
    role: Cell<Role>,
    /// Settings at the start.
    pub settings: Settings,
    /// State that decisions are based on.
    pub state: RefCell<State>,
    /// Notified when idle connections are to be closed.
    pub stop: Notify,
    /// Notified when the time at which the instance stops has been set, and when it is about to exit.
    pub stop_changed: Notify,
    /// Notified when peers are to be told that an endpoint leaves.
    pub statements_changed: Notify,
    /// Client of the store.
    pub store: Store,
    /// Notified when there are crashes or clearances to publish.
    pub suspects_changed: Notify,
    /// Notified when an aggregator has sent rows.
    pub rows_received: Notify,
    /// Tunnels that peers have open through this instance.
    pub tunnels: Cell<usize>,
    /// Read progress of each topic.
    topics: [TopicState; TOPICS],
}

impl Shared {
    /// Creates the shared state.
    ///
    /// # Errors
    ///
    /// The metrics cannot be set up.
    pub fn new(
        settings: Settings,
        abandoned: mpsc::UnboundedSender<Abandoned>,
    ) -> Result<Rc<Self>, Error> {
        let client = Client::new(CONNECT_TIMEOUT);
        let random = SmallRng::from_rng(&mut rand::rng());
        let incarnation = rand::rng().random_range(1..=u64::MAX);
        let mut state = State::new(settings.decisions(), random);
        let name = &settings.instance.name;
        state.rollouts.set_holder(format!("{name}@{incarnation:x}"));
        let metrics = Metrics::new()?;
        let buffers = Buffers::new(settings.instance.buffer_bytes(), metrics.buffers.clone());
        Ok(Rc::new(Self {
            abandoned,
            asks: RefCell::default(),
            buffers,
            conditions: RefCell::default(),
            connections: Cell::new(0),
            draining: Cell::new(false),
            exiting: Cell::new(false),
            peers: Peers::default(),
            placements: RefCell::default(),
            grown: RefCell::default(),
            history: Default::default(),
            in_progress: Cell::new(0),
            incarnation,
            intake: RefCell::new(Intake::new(settings.instance.resources())),
            known_paces: RefCell::default(),
            limits_changed: Notify::new(),
            load: Notify::new(),
            metrics,
            departures: RefCell::default(),
            readers: RefCell::default(),
            refusals_changed: Notify::new(),
            republish: Notify::new(),
            rollouts_changed: Notify::new(),
            room: Notify::new(),
            report_now: Notify::new(),
            role: Cell::default(),
            state: RefCell::new(state),
            statements_changed: Notify::new(),
            stop: Notify::new(),
            stop_changed: Notify::new(),
            store: Store::new(settings.store.address.to_string(), client.clone()),
            suspects_changed: Notify::new(),
            rows_received: Notify::new(),
            topics: Default::default(),
            tunnels: Cell::new(0),
            client,
            settings,
        }))
    }

    /// Read progress of a topic.
    #[must_use]
    pub const fn topic(&self, topic: Topic) -> &TopicState {
        &self.topics[topic::index(topic)]
    }

    /// Limits on what callers may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let state = self.state.borrow();
        let config = state.config();
        config.map(|config| config.limits).unwrap_or_default()
    }

    /// Address and id of an endpoint.
    #[must_use]
    pub fn endpoint_address(&self, key: EndpointKey) -> Option<(SocketAddr, String)> {
        let state = self.state.borrow();
        let listing = &state.endpoint(key)?.listing;
        Some((listing.address, listing.id.clone()))
    }

    /// Id of an endpoint for log lines; empty if it is no longer listed.
    #[must_use]
    pub fn endpoint_name(&self, key: EndpointKey) -> String {
        let known = self.endpoint_address(key);
        known.map(|(_, name)| name).unwrap_or_default()
    }

    /// Address and service of an endpoint.
    #[must_use]
    pub fn endpoint_service(&self, key: EndpointKey) -> Option<(SocketAddr, String)> {
        let state = self.state.borrow();
        let listing = &state.endpoint(key)?.listing;
        Some((listing.address, listing.service.clone()))
    }

    /// Digest of an endpoint's incarnation; zero if the endpoint is not known.
    #[must_use]
    pub fn incarnation_of(&self, key: EndpointKey) -> u32 {
        let state = self.state.borrow();
        state
            .endpoint(key)
            .map_or(0, |endpoint| endpoint.incarnation)
    }

    /// Whether the endpoints of a service cannot be reached directly.
    #[must_use]
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.state.borrow().paths.is_partitioned(service)
    }

    /// Whether endpoints of a service can be reached neither directly nor through peers.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        let own = &self.settings.instance.name;
        let state = self.state.borrow();
        state.is_cut_off(clock::now(), own, service)
    }

    /// Why a request that found no endpoint of a service beside those that were tried is refused.
    #[must_use]
    pub fn refusal_without_endpoint(&self, service: &str, tried: &[EndpointKey]) -> Refusal {
        if self.is_cut_off(service) {
            return Refusal::Unreachable;
        }
        match self.state.borrow().outlook(clock::now(), service, tried) {
            Outlook::CoolingDown(left) => Refusal::CoolingDown(left),
            Outlook::Limited(left) => Refusal::Limited(left.max(MIN_LIMITED_RETRY_AFTER)),
            Outlook::Nothing | Outlook::Room => Refusal::Full,
        }
    }

    /// Why a request found no endpoint of a service, for its log line.
    #[must_use]
    pub fn why_not_acquired(&self, service: &str, tried: &[EndpointKey]) -> String {
        let state = self.state.borrow();
        let outlook = state.outlook(clock::now(), service, tried);
        let (listed, unreachable) = state.count_unreachable(clock::now(), service);
        if unreachable > 0 && unreachable == listed {
            return "no endpoint can be reached".to_string();
        }
        let why = match outlook {
            Outlook::CoolingDown(_) => "all endpoints are in their cooldowns",
            Outlook::Limited(_) => "the limits of all endpoints are used up",
            Outlook::Nothing => "all endpoints were tried or leave",
            Outlook::Room => "",
        };
        if !why.is_empty() {
            return why.to_string();
        }
        format!("no endpoint with room; {unreachable} of {listed} cannot be reached")
    }

    /// Marks an endpoint as unreachable.
    pub fn mark_unreachable(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.mark_unreachable(clock::now());
        }
    }
}

impl Shared {
    /// Records that something was read from an endpoint.
    pub fn record_heard(&self, key: EndpointKey) {
        let mut state = self.state.borrow_mut();
        let Some(silence) = state.record_heard(clock::now(), key) else {
            return;
        };
        if let Some(endpoint) = state.endpoint(key) {
            let endpoint = endpoint.listing.id.as_str();
            log::info!(endpoint, ms = silence.as_millis(); "silent engine answers");
        }
    }

    /// Asks the engine of a silent run, or one that may take it over, whether it lives on.
    pub fn check_liveness(self: &Rc<Self>, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.liveness.begin_check(clock::now());
        }
        tokio::task::spawn_local(probe::check_liveness(Rc::clone(self), key));
    }

    /// Records that a check of an endpoint has ended.
    pub fn end_check(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.liveness.end_check();
        }
    }

    /// Waits until an endpoint has been heard just now; asks it whether it lives on if it has not.
    pub async fn wait_until_responsive(self: &Rc<Self>, key: EndpointKey) {
        loop {
            let now = clock::now();
            let (is_responsive, may_check) = {
                let state = self.state.borrow();
                (state.is_responsive(now, key), state.may_check(now, key))
            };
            if is_responsive {
                return;
            }
            if may_check {
                self.check_liveness(key);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Marks an endpoint as unreachable after the connection of a running stream broke. All streams
    /// there break together, which counts as one failure.
    pub fn mark_disconnected(&self, key: EndpointKey) {
        let now = clock::now();
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key)
            && endpoint.usable(now)
        {
            endpoint.mark_unreachable(now);
        }
    }
}

/// A request's position in the queue, released on drop.
#[derive(Debug)]
pub struct QueueSlot {
    position: QueuePosition,
    shared: Rc<Shared>,
}

impl QueueSlot {
    /// Enters the queue.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, ticket: &forward::request::Ticket) -> Self {
        let position = shared.state.borrow_mut().enqueue(ticket);
        Self {
            position,
            shared: Rc::clone(shared),
        }
    }

    /// Whether another request goes first.
    #[must_use]
    pub fn is_preceded(&self) -> bool {
        self.shared.state.borrow().is_preceded(&self.position)
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().dequeue(&self.position);
        self.shared.room.notify_waiters();
    }
}

/// Counts a buffered request at an endpoint until dropped.
#[derive(Debug)]
pub struct InFlight {
    begun_at: Time,
    key: EndpointKey,
    shared: Rc<Shared>,
}

impl InFlight {
    /// Starts to count a request.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, key: EndpointKey) -> Self {
        if let Some(endpoint) = shared.state.borrow_mut().endpoint_mut(key) {
            endpoint.in_flight += 1;
        }
        Self {
            begun_at: clock::now(),
            key,
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let took = clock::now().since(self.begun_at);
        let mut state = self.shared.state.borrow_mut();
        if let Some(endpoint) = state.endpoint_mut(self.key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            let service = endpoint.listing.service.clone();
            state.record_duration(&service, None, took);
        }
        drop(state);
        self.shared.room.notify_waiters();
    }
}

/// A run in progress, removed on drop.
#[derive(Debug)]
pub struct RunGuard {
    begun_at: Time,
    /// Key of the run.
    pub key: RunKey,
    shared: Rc<Shared>,
}

impl RunGuard {
    /// Registers a run.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, run: forward::prelude::Run) -> Self {
        let key = shared.state.borrow_mut().begin(run);
        shared.load.notify_one();
        shared.report_now.notify_one();
        Self {
            begun_at: clock::now(),
            key,
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let took = clock::now().since(self.begun_at);
        let mut state = self.shared.state.borrow_mut();
        if let Some(run) = state.end(self.key) {
            let need = Need {
                output: run.expected,
                prompt: run.prompt,
            };
            state.record_duration(&run.service, Some(need), took);
        }
        drop(state);
        self.shared.load.notify_one();
        self.shared.room.notify_waiters();
    }
}

impl Shared {
    /// Whether new work leaves room free for runs that have to move.
    pub fn keeps_move_room(&self) -> bool {
        self.state.borrow().keeps_move_room()
    }

    /// Whether to accept a new connection of a caller.
    pub fn accepts_connection(&self) -> bool {
        let (now, open) = (clock::now(), self.connections.get());
        let accepts = self.intake.borrow_mut().accepts(now, open);
        if !accepts {
            self.metrics.record_closed_connection();
        }
        accepts
    }

    /// Records how late the event loop was, by which new connections are limited.
    pub fn record_lateness(&self, now: Time, late: Duration) {
        self.metrics.record_loop_lateness(late);
        let limited = self.intake.borrow_mut().record_lateness(now, late);
        if let Some(limited) = limited {
            log::warn!(
                limited, late_ms = late.as_millis(), connections = self.connections.get(),
                in_progress = self.in_progress.get(); "new connections of callers are limited"
            );
        }
    }

    /// Records an endpoint's response; `failed` if it was an error of the endpoint.
    pub fn record_answer(&self, key: EndpointKey, failed: bool) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.record_answer(failed);
        }
    }

    /// Records the outcome of a request at an endpoint, by which versions are judged. What an
    /// endpoint that is leaving breaks off says nothing of its version.
    pub fn observe(&self, key: EndpointKey, route: &str, outcome: Outcome) {
        let mut state = self.state.borrow_mut();
        let endpoint = state.endpoint(key);
        let is_leaving = endpoint.is_none_or(|endpoint| endpoint.leaving_since.is_some());
        if !is_leaving || matches!(outcome, Outcome::Answered(_)) {
            state.observe(clock::now(), key, route, outcome);
        }
    }

    /// Records what an answer states of its endpoint, and whether it rejected the request. `sent` is when its request was
    /// sent, and to which incarnation.
    pub fn record_flags(
        &self,
        key: EndpointKey,
        status: StatusCode,
        flags: ResponseFlags,
        sent: (Time, u32),
    ) {
        let now = clock::now();
        if !flags.misdirected {
            self.record_conditions(now, key, flags, sent);
        }
        if flags.not_run || flags.conditions.cooldown.is_some() {
            self.record_rejection(now, key, status, flags);
        }
    }

    fn record_conditions(
        &self,
        now: Time,
        key: EndpointKey,
        flags: ResponseFlags,
        sent: (Time, u32),
    ) {
        let conditions = flags.conditions;
        let (sent_at, incarnation) = sent;
        self.record_limit(now, conditions.limit, sent);
        let answer = state::Answer {
            conditions,
            incarnation,
            rejected: flags.not_run,
            sent_at,
        };
        let is_leaving = {
            let mut state = self.state.borrow_mut();
            state.record_statement(now, key, &answer)
        };
        if is_leaving {
            statements::log_leaving(self, incarnation, &self.settings.instance.name);
            statements::announce_leaving(self, incarnation);
        }
        let Some((_, service)) = self.endpoint_service(key) else {
            return;
        };
        let limit = conditions.max_rejections;
        let mut state = self.state.borrow_mut();
        if state.brittleness.record(now, &service, limit) {
            log::info!(service, limit:?; "limit of rejections changed");
        }
    }

    fn record_rejection(
        &self,
        now: Time,
        key: EndpointKey,
        status: StatusCode,
        flags: ResponseFlags,
    ) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint_mut(key) else {
            return;
        };
        if flags.not_run {
            endpoint.exposure.record_rejection(now);
        }
        let listing = &endpoint.listing;
        let cooldown_ms = flags.conditions.cooldown.map(|time| time.as_millis());
        log::info!(
            endpoint = listing.id, service = listing.service, status = status.as_u16(),
            cooldown_ms:?; "request rejected by endpoint"
        );
        self.metrics
            .record_rejection(&listing.service, cooldown_ms.is_some());
    }

    fn record_limit(&self, now: Time, limit: Option<f64>, (sent_at, incarnation): (Time, u32)) {
        let answer = Answer { limit, sent_at };
        let change = {
            let mut state = self.state.borrow_mut();
            state.limits.record(now, incarnation, answer)
        };
        if let Some(change) = change {
            limits::log_change(self, incarnation, change, &self.settings.instance.name);
            self.limits_changed.notify_one();
        }
    }

    /// Logs the conditions in a response that this version does not know, each once for a service.
    pub fn note_conditions(&self, key: EndpointKey, headers: &http::HeaderMap) {
        for (name, value) in condition::unknown(headers) {
            let Some((_, service)) = self.endpoint_service(key) else {
                return;
            };
            if self.conditions.borrow_mut().insert(&service, name) {
                let value = String::from_utf8_lossy(value.as_bytes());
                log::warn!(service, name, value:%; "unknown condition of an endpoint");
            }
        }
    }

    /// Counts a send that did not reach its endpoint, for the metrics.
    pub fn record_unreachable(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow().endpoint(key) {
            self.metrics.record_unreachable(&endpoint.listing.service);
        }
    }

    /// Counts a send to a service, for the retry budget and the metrics.
    pub fn record_attempt(&self, service: &str, is_retry: bool) {
        let now = clock::now();
        if is_retry {
            self.state.borrow_mut().budget.record_retry(service, now);
        }
        self.metrics.record_send(is_retry);
    }

    /// Admits a request again right before its send, with the current configuration. Returns
    /// whether the service is still the one for which an endpoint was chosen.
    ///
    /// # Errors
    ///
    /// The request is no longer admitted.
    pub fn readmit(&self, original: &Original, ticket: &mut Ticket) -> Result<bool, Refusal> {
        if self.refuses(original) {
            return Err(Refusal::CrashesEndpoints);
        }
        let mut state = self.state.borrow_mut();
        let renewed = state.readmit(clock::now(), &original.inbound, ticket)?;
        let same = renewed.service == ticket.service;
        *ticket = renewed;
        Ok(same)
    }

    /// Records what a request asks for, and refuses it if its customer is over its share.
    ///
    /// # Errors
    ///
    /// The customer is over its share.
    pub fn check_share(&self, ticket: &Ticket, inbound: &Inbound) -> Result<(), Refusal> {
        let need = Need {
            output: stream::expected_output_tokens(inbound),
            prompt: inbound.prompt,
        };
        let now = clock::now();
        let checked = self.state.borrow_mut().check_share(now, ticket, need);
        if checked.is_err() {
            let customer = ticket.customer.as_deref().unwrap_or_default();
            self.metrics.record_held_back(&ticket.service, customer);
        }
        checked
    }

    /// Refunds a retry that did not reach its endpoint.
    pub fn refund_send(&self, service: &str, is_retry: bool) {
        if is_retry {
            let now = clock::now();
            self.state.borrow_mut().budget.refund_retry(service, now);
        }
    }

    /// Marks an endpoint as full after it rejected a request without running it; as
    /// unreachable if the request was misdirected (421).
    pub fn mark_rejected(&self, key: EndpointKey, status: StatusCode) {
        let now = clock::now();
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            if status == StatusCode::MISDIRECTED_REQUEST {
                endpoint.mark_unreachable(now);
            } else {
                endpoint.mark_full(now);
            }
        }
    }

    /// Records a send to an endpoint.
    pub fn record_send(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.rate_limiter.record_send(clock::now());
        }
    }
}

impl Shared {
    /// Peers to which this instance sends.
    #[must_use]
    pub fn links(&self) -> Vec<Link> {
        let state = self.state.borrow();
        let own = &self.settings.instance.name;
        state.members.links(own, clock::now())
    }

    /// Whether a peer is in the own failure domain.
    #[must_use]
    pub fn in_own_domain(&self, name: &str) -> bool {
        let state = self.state.borrow();
        let domain = state.members.domain(name);
        domain == Some(&self.settings.instance.domain)
    }

    /// Records that a message to a peer expects an answer.
    pub fn expect_answer(&self, datagrams: &DatagramSocket, key: MemberKey, address: SocketAddr) {
        let connected = datagrams.is_open(address);
        let mut state = self.state.borrow_mut();
        state.members.expect_answer(key, clock::now(), connected);
    }

    /// Incarnation and version held of an aggregator's sums, if its rows are to be requested:
    /// only from the preferred aggregator, or from all while none answers.
    #[must_use]
    pub fn held_version(&self, aggregator: &str, now: Time) -> Option<(u64, u64)> {
        let state = self.state.borrow();
        let views = &state.sums.views;
        let preferred = views.preferred(now);
        let wanted = preferred.is_none_or(|preferred| preferred == aggregator);
        wanted.then(|| views.version(aggregator))
    }

    /// Number of instances that report to this aggregator, itself included; zero while it
    /// shuts down.
    #[must_use]
    pub fn reporting_instances(&self, now: Time) -> u32 {
        if self.draining.get() {
            return 0;
        }
        let members = self.state.borrow().peer_loads.count(now) + 1;
        u32::try_from(members).unwrap_or(u32::MAX)
    }

    /// Load of the own failure domain, and the number of instances in it.
    #[must_use]
    pub fn domain_load(&self, own: &Report, now: Time) -> (Report, u32) {
        let members = self.reporting_instances(now);
        let state = self.state.borrow();
        let mut loads = state.peer_loads.sums().clone();
        add_rows(&mut loads, own);
        (loads, members)
    }

    /// Applies the report of a member. Rows that have grown are sent to the other failure
    /// domains immediately, before they place further requests there.
    pub fn apply_report(&self, now: Time, member: &str, number: u64, loads: Report) {
        let mut state = self.state.borrow_mut();
        let State {
            peer_loads, sums, ..
        } = &mut *state;
        let before = peer_loads.report(member);
        let grown = loads.iter().filter(|(digest, load)| {
            let before = before.iter().find(|(other, _)| other == digest);
            before.is_none_or(|(_, before)| load.requests > before.requests)
        });
        let grown = grown.map(|(digest, _)| *digest).collect::<Vec<_>>();
        if !grown.is_empty() {
            self.grown.borrow_mut().extend(grown);
            self.report_now.notify_one();
        }
        sums.report(now, peer_loads, member, number, loads);
    }

    /// Copies the current sums into the table from which members are answered.
    pub fn publish(&self, own: Report) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let State {
            peer_loads, sums, ..
        } = &mut *state;
        peer_loads.expire(now);
        sums.publish(now, peer_loads, own);
    }

    /// Selects the source of other instances' load.
    pub fn select_load_source(&self, role: Role) {
        let now = clock::now();
        let before = self.role.replace(role);
        if before != role {
            log::info!(role:?, before:?; "gossip role changed");
        }
        let mut state = self.state.borrow_mut();
        if state.sums.select_source(now, role != Role::Member) {
            let aggregator = state.sums.aggregator().unwrap_or_default();
            let age = state.sums.age(now).unwrap_or_default();
            log::info!(aggregator, role:?, age_ms = age.as_millis(); "load source changed");
        }
    }
}
