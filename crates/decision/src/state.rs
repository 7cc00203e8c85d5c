//! State of an instance, and the step that advances it.

use {
    crate::{
        event::Peer, gossip::History, part_suspects, prelude::*, reachability::Reachability,
        request::Run, routing::rendezvous, suspects::Suspects,
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// `Retry-After` of refused requests that may succeed a little later.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of an entry instance, owned by its event loop.
#[derive(Debug)]
pub struct State {
    /// Requests that wait for an endpoint.
    pub backlog: Backlog,
    /// Entries to append to the claim stream.
    pub appends: crate::batch::AppendQueue,
    /// Budget for retries.
    pub retry_budget: RetryBudget,
    /// Claims read from the log.
    pub claims: ClaimTable,
    /// Configuration in force.
    pub config: Config,
    /// Name of the own failure domain.
    pub domain: String,
    /// Listed endpoints, and unlisted ones that still run requests.
    pub endpoints: SlotMap<endpoint::Key, Endpoint>,
    /// Counters of invariant checks.
    pub invariants: Invariants,
    /// Limits and intervals.
    pub limits: Limits,
    /// Name of this instance.
    pub name: String,
    /// Listed entry instances, sorted by name.
    pub peers: Vec<Peer>,
    /// Whether endpoints can be reached directly.
    pub reachability: Reachability,
    /// Requests in progress.
    pub requests: SlotMap<request::Key, Request>,
    /// Counters.
    pub stats: Stats,
    /// Requests that may crash endpoints.
    pub suspects: Suspects,
    /// Parts of prompts that may crash engines.
    pub part_suspects: part_suspects::Suspects,
    pub(crate) claims_read_at: Option<Time>,
    pub(crate) config_read_at: Option<Time>,
    pub(crate) output_lengths: OutputLengths,
    pub(crate) live_instances: Vec<u64>,
    pub(crate) absent_since: Vec<(u64, Time)>,
    pub(crate) started_at: Option<Wall>,
    pub(crate) next_snapshot_attempt: Time,
    pub(crate) last_snapshot_at: Option<Wall>,
    pub(crate) next_gossip: Time,
    pub(crate) endpoint_names: Vec<(String, endpoint::Key)>,
    pub(crate) gossip_round: u64,
    /// Whether this instance is shutting down.
    pub draining: bool,
    /// Configuration records kept for peers.
    pub history: History,
    /// Slow-start state of endpoints read from the log.
    pub slow_start: SlowStart,
    pub(crate) digest: u64,
    pub(crate) orders: Vec<(order::Key, request::Key)>,
    pub(crate) rng: StdRng,
    /// Random number of this process.
    pub(crate) instance: u64,
    /// When changes of [`Self::suspects`] are published again, and their number then.
    pub(crate) next_publication: (Time, usize),
}

impl State {
    /// Initial state of the instance `name` in failure domain `domain`.
    #[must_use]
    pub fn new(name: &str, domain: &str, limits: Limits, seed: u64) -> Self {
        Self {
            backlog: Backlog::default(),
            appends: crate::batch::AppendQueue::default(),
            retry_budget: RetryBudget::new(limits.retry_percent, 20),
            claims: ClaimTable::default(),
            claims_read_at: None,
            config: Config::default(),
            config_read_at: None,
            digest: digest(name),
            domain: domain.to_string(),
            draining: false,
            endpoints: SlotMap::default(),
            next_gossip: Time::default(),
            history: History::default(),
            invariants: Invariants::default(),
            output_lengths: OutputLengths::default(),
            limits,
            live_instances: Vec::new(),
            absent_since: Vec::new(),
            started_at: None,
            next_snapshot_attempt: Time::default(),
            last_snapshot_at: None,
            instance: seed,
            name: name.to_string(),
            endpoint_names: Vec::new(),
            orders: Vec::new(),
            peers: Vec::new(),
            reachability: Reachability::default(),
            requests: SlotMap::default(),
            rng: StdRng::seed_from_u64(seed),
            gossip_round: 0,
            next_publication: (Time::default(), 0),
            stats: Stats::default(),
            part_suspects: part_suspects::Suspects::default(),
            suspects: Suspects::default(),
            slow_start: SlowStart::default(),
        }
    }

    /// Accepts a new request and returns its key, which is invalid if it was refused at once.
    pub fn arrive(
        &mut self,
        now: Time,
        wall: Wall,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> request::Key {
        let customer = self.config.customer(&arrival.credential);
        self.raise_served_floor(customer);
        let key = self.requests.insert(Request {
            arrived_at: now,
            customer: customer.unwrap_or_default(),
            deadline: arrival.deadline,
            fingerprint: arrival.fingerprint,
            is_proven: false,
            parts: arrival.parts,
            phase: Phase::Waiting {
                claim: None,
                proof: Some(Unsent::new()),
            },
            sends: 0,
            last_endpoint: None,
            trial: Vec::new(),
            work: arrival.work,
        });
        if let Some((refusal, retry)) = self.check_arrival(now, customer, key) {
            self.refuse(key, refusal, retry, out);
            return key;
        }
        match &self.requests[key].work {
            Work::Call {
                idempotent: false,
                order: Some(order),
                ..
            } => {
                let order = *order;
                self.begin_order(now, wall, key, order, out);
            }
            Work::Call { .. } | Work::Generation { .. } => {
                self.backlog.push(key);
                self.dispatch(now, out);
            }
            Work::Resume { .. } => self.attach_to_generation(now, key, out),
        }
        key
    }

    /// Raises the counter of a customer without requests to the lowest one in progress.
    ///
    /// Otherwise, a customer returning after an idle period would be served before all others
    /// until its counter had caught up.
    fn raise_served_floor(&mut self, customer: Option<customer::Key>) {
        let Some(customer) = customer else {
            return;
        };
        let mut least = f64::INFINITY;
        for request in self.requests.values() {
            if request.customer == customer {
                return;
            }
            if let Some(other) = self.config.customers.get(request.customer) {
                least = least.min(other.served_per_weight());
            }
        }
        let customer = &mut self.config.customers[customer];
        if least.is_finite() && customer.served_per_weight() < least {
            customer.served = least * customer.weight;
        }
    }

    /// Handles an event.
    pub fn step(&mut self, now: Time, wall: Wall, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Answered(attempt, answer) => self.handle_answer(now, attempt, answer, out),
            Event::Appended(res) => self
                .appends
                .finish(res, now, self.limits.append_interval * 4),
            Event::Claims(batches) => self.apply_claims(now, batches, out),
            Event::ClaimsCoveredFrom(from) => self.claims.set_covered_from(from),
            Event::ClaimsCaughtUp(at) => self.claims_read_at = self.claims_read_at.max(Some(at)),
            Event::ConfigCaughtUp(at) => self.mark_config_current(at),
            Event::Configured(record) => self.apply_config_record(now, record, out),
            Event::Crash(change) => self.apply_crash(now, change, out),
            Event::PartCrash(change) => self.apply_part_change(now, &change, out),
            Event::StreamEnded(attempt, total) => self.handle_stream_end(now, attempt, total, out),
            Event::Failed(attempt, failure) => self.handle_failure(now, attempt, failure, out),
            Event::CoolingDown(attempt, cooldown) => self.cool_down(now, attempt, cooldown),
            Event::CallerDisconnected(request) => self.handle_disconnect(now, request, out),
            Event::PeerUpdate(update) => self.apply_peer_update(now, update, out),
            Event::Listed(members, peers) => self.apply_instance_list(now, members, peers, out),
            Event::Reported(endpoint, report) => self.apply_report(now, endpoint, report, out),
            Event::Snapshot(snapshot) => self.restore(now, snapshot, out),
            Event::SnapshotSeen(at) => self.record_snapshot_seen(at),
            Event::Tick => self.tick(now, wall, out),
            Event::Token(attempt, index, data) => self.handle_token(now, attempt, index, data, out),
            Event::Reached(endpoint) => self.record_reached(endpoint),
            Event::Tunnel(peer, result) => self.record_tunnel(now, &peer, result),
            Event::Unreachable(endpoint) => {
                self.record_unreached(now, endpoint, out);
                if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                    endpoint.report = None;
                }
            }
            Event::Unreached(endpoint) => self.record_unreached(now, endpoint, out),
        }
    }

    /// Whether the configuration is fresh enough to use other failure domains.
    #[must_use]
    pub fn config_fresh(&self, now: Time) -> bool {
        self.config_read_at
            .is_some_and(|at| now.since(at) <= self.limits.staleness)
    }

    /// Whether the claim stream was read to its end within [`Limits::staleness`].
    #[must_use]
    pub fn claims_fresh(&self, now: Time) -> bool {
        self.claims_read_at
            .is_some_and(|at| now.since(at) <= self.limits.staleness)
    }

    /// Time since the configuration was last known to be complete.
    #[must_use]
    pub fn staleness(&self, now: Time) -> Option<Duration> {
        self.config_read_at.map(|at| now.since(at))
    }

    /// Whether the instance can serve, having read the configuration and the instance list.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.config.is_loaded() && !self.endpoints.is_empty()
    }

    /// Registers a request that uses an order key.
    pub(crate) fn register_order(&mut self, key: request::Key, order_key: order::Key) {
        let index = self
            .orders
            .partition_point(|(other, _)| *other <= order_key);
        self.orders.insert(index, (order_key, key));
    }

    /// The full order key of a request.
    pub(crate) fn order_key(&self, key: request::Key, order: order::Order) -> order::Key {
        let customer = self.config.customers.get(self.requests[key].customer);
        order::Key {
            uuid: order.uuid,
            customer: customer.map_or(0, |customer| digest(&customer.name)),
        }
    }

    /// The run of an attempt, if the attempt is still current.
    pub(crate) fn run(&mut self, attempt: Attempt) -> Option<&mut Run> {
        match &mut self.requests.get_mut(attempt.request)?.phase {
            Phase::Running(run) if run.generation == attempt.generation => Some(run),
            _ => None,
        }
    }

    /// Requests of this instance that use an order key.
    pub(crate) fn requests_with_order(&self, order_key: order::Key) -> Vec<request::Key> {
        let first = self.orders.partition_point(|(other, _)| *other < order_key);
        let same = self.orders[first..]
            .iter()
            .take_while(|(other, _)| *other == order_key);
        same.map(|(_, key)| *key).collect()
    }

    fn gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.next_gossip > now {
            return;
        }
        self.next_gossip = now.after(self.limits.gossip_interval);
        self.gossip_round += 1;
        for peer in self.gossip_peers(self.gossip_round) {
            out.push(Action::Gossip(peer.address.clone()));
        }
    }

    fn check_arrival(
        &mut self,
        now: Time,
        customer: Option<customer::Key>,
        key: request::Key,
    ) -> Option<(Refusal, Option<Duration>)> {
        if !self.config.is_loaded() {
            return Some((Refusal::NoConfig, Some(RETRY_AFTER)));
        }
        if customer.is_none() {
            return Some((Refusal::UnknownCustomer, None));
        }
        let route_known = match &self.requests[key].work {
            Work::Call { service, .. } => self.config.service(service).is_some(),
            Work::Generation { model, .. } => self.config.route(model).is_some(),
            Work::Resume { .. } => true,
        };
        if !route_known {
            return Some((Refusal::UnknownRoute, None));
        }
        let is_refused = self.is_refused(now, key);
        (is_refused && !self.claim_trial(now, key) && !self.awaits_trial(now, key))
            .then_some((Refusal::CrashesEndpoints, None))
    }

    fn tick(&mut self, now: Time, wall: Wall, out: &mut Vec<Action>) {
        let keys = self.requests.keys().collect::<Vec<_>>();
        for key in keys {
            self.check_timeouts(now, key, out);
        }
        self.check_links(now, out);
        self.poll_endpoints(now, out);
        self.track_absent_instances(now);
        self.propose_slow_start(now);
        self.gossip(now, out);
        self.publish_suspects(now, out);
        self.append_snapshot_if_due(now, wall, out);
        self.claims
            .expire(wall.before(self.limits.order_window + self.limits.skew * 3));
        self.flush(now, out);
        self.dispatch(now, out);
    }

    /// Starts the next append if one is due.
    pub fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(entries) = self.appends.start_append(now, self.limits.append_interval) {
            out.push(Action::Append(Batch {
                entries,
                instance: self.digest,
            }));
        }
    }
}

/// 64-bit digest of a name, used in place of the name in log entries.
#[must_use]
pub fn digest(name: &str) -> u64 {
    rendezvous(name, "")
}
