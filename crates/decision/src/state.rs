//! Everything an instance knows, and the step that changes it.

use {
    crate::{
        endpoint::{Kind, Member},
        event::Peer,
        gossip::{History, Line},
        invariant::Rule,
        prelude::*,
        request::Run,
        routing::{Choice, rendezvous},
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// When to come back after a refusal for want of room.
const ROOM_RETRY: Duration = Duration::from_secs(1);

/// Most requests looked at in one dispatch, so that no turn of the loop is long.
const MOST_DISPATCHES: usize = 64;

/// Weight of the newest length in the running mean of a route.
const LENGTH_STEP: f64 = 0.05;

/// Output length assumed for a route that says nothing, in tokens.
const LENGTH_DEFAULT: u32 = 256;

/// The state of one entry instance, owned by its one loop.
#[derive(Debug)]
pub struct State {
    /// Requests that wait for an endpoint.
    pub backlog: Backlog,
    /// Entries on their way into the claim stream.
    pub batch: crate::batch::Queue,
    /// What second tries may spend.
    pub budget: Budget,
    /// Claims, as far as the log was read.
    pub claims: Table,
    /// Configuration in force.
    pub config: Config,
    /// Name of the own failure domain.
    pub domain: String,
    /// Endpoints in the instance list.
    pub endpoints: SlotMap<endpoint::Key, Endpoint>,
    /// Checks of what must hold.
    pub invariants: Invariants,
    /// Bounds and times.
    pub limits: Limits,
    /// Name of this instance.
    pub name: String,
    /// Entry instances in the list, sorted by name.
    pub peers: Vec<Peer>,
    /// Requests in progress.
    pub requests: SlotMap<request::Key, Request>,
    /// Counters.
    pub stats: Stats,
    claims_read: Option<Time>,
    config_read: Option<Time>,
    lengths: Vec<(String, f64)>,
    live: Vec<u64>,
    pub(crate) absent: Vec<(u64, Time)>,
    pub(crate) begun: Option<Wall>,
    pub(crate) snapshot_again: Time,
    pub(crate) snapshot_at: Option<Wall>,
    gossip: Time,
    names: Vec<(String, endpoint::Key)>,
    round: u64,
    /// Whether this instance is about to stop.
    pub draining: bool,
    /// Configuration records kept for fellow instances.
    pub history: History,
    /// Which endpoints are cold, as far as the log was read.
    pub warmth: Warmth,
    pub(crate) digest: u64,
    pub(crate) orders: Vec<(order::Key, request::Key)>,
    pub(crate) rng: StdRng,
}

impl State {
    /// An instance that knows nothing yet.
    #[must_use]
    pub fn new(name: &str, domain: &str, limits: Limits, seed: u64) -> Self {
        Self {
            backlog: Backlog::default(),
            batch: crate::batch::Queue::default(),
            budget: Budget::new(limits.retry_percent, 20),
            claims: Table::default(),
            claims_read: None,
            config: Config::default(),
            config_read: None,
            digest: digest(name),
            domain: domain.to_string(),
            draining: false,
            endpoints: SlotMap::default(),
            gossip: Time::default(),
            history: History::default(),
            invariants: Invariants::default(),
            lengths: Vec::new(),
            limits,
            live: Vec::new(),
            absent: Vec::new(),
            begun: None,
            snapshot_again: Time::default(),
            snapshot_at: None,
            name: name.to_string(),
            names: Vec::new(),
            orders: Vec::new(),
            peers: Vec::new(),
            requests: SlotMap::default(),
            rng: StdRng::seed_from_u64(seed),
            round: 0,
            stats: Stats::default(),
            warmth: Warmth::default(),
        }
    }

    /// Takes a new request in.
    pub fn arrive(
        &mut self,
        now: Time,
        wall: Wall,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> request::Key {
        let customer = self.config.customer(&arrival.credential);
        let key = self.requests.insert(Request {
            arrived: now,
            customer: customer.unwrap_or_default(),
            deadline: arrival.deadline,
            phase: Phase::Waiting {
                claim: None,
                proof: Some(Unsent::new()),
            },
            sends: 0,
            tried: None,
            work: arrival.work,
        });
        if let Some((refusal, retry)) = self.reject(customer, key) {
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
            Work::Resume { .. } => self.take_up(now, key, out),
        }
        key
    }

    /// Takes in something that happened outside.
    pub fn step(&mut self, now: Time, wall: Wall, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Answered(attempt, answer) => self.answered(now, attempt, answer, out),
            Event::Appended(sent) => self.batch.ended(sent, now, self.limits.append_interval * 4),
            Event::Claims(batches) => self.read_claims(now, batches, out),
            Event::ClaimsCover(from) => self.claims.cover_from(from),
            Event::ClaimsFresh(at) => self.claims_read = self.claims_read.max(Some(at)),
            Event::ConfigFresh(at) => self.config_read_at(at),
            Event::Configured(line) => self.configure(now, line, out),
            Event::Ended(attempt, tokens) => self.ended(now, attempt, tokens, out),
            Event::Failed(attempt, failure) => self.failed(now, attempt, failure, out),
            Event::Gone(request) => self.gone(now, request, out),
            Event::Heard(heard) => self.heard(now, heard, out),
            Event::Listed(members, peers) => self.listed(now, members, peers, out),
            Event::Reported(endpoint, report) => self.reported(now, endpoint, report, out),
            Event::Snapshot(snapshot) => self.restore(now, snapshot, out),
            Event::SnapshotSeen(at) => self.snapshot_seen(at),
            Event::Tick => self.tick(now, wall, out),
            Event::Token(attempt, index, payload) => self.token(now, attempt, index, payload, out),
            Event::Unreachable(endpoint) => {
                if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                    endpoint.report = None;
                }
            }
        }
    }

    /// Whether knowledge of the configuration is young enough for other failure domains.
    #[must_use]
    pub fn fresh(&self, now: Time) -> bool {
        self.config_read
            .is_some_and(|read| now.since(read) <= self.limits.staleness)
    }

    /// Whether the claim stream was read to its end recently.
    #[must_use]
    pub fn claims_fresh(&self, now: Time) -> bool {
        self.claims_read
            .is_some_and(|read| now.since(read) <= self.limits.staleness)
    }

    /// Whether the instance with this digest of its name is in the list, or is this one.
    pub(crate) fn alive(&self, instance: u64) -> bool {
        instance == self.digest || self.live.binary_search(&instance).is_ok()
    }

    /// Time since the configuration was last known to be complete.
    #[must_use]
    pub fn staleness(&self, now: Time) -> Option<Duration> {
        self.config_read.map(|read| now.since(read))
    }

    /// Whether the instance can serve: configuration and instance list are read.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.config.seen() && !self.endpoints.is_empty()
    }

    /// Sends what can be sent.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.backlog.is_empty() {
            return;
        }
        let order = self.backlog.ordered(&self.requests, &self.config);
        for key in order.into_iter().take(MOST_DISPATCHES) {
            match self.choose(now, key) {
                Choice::Go {
                    endpoint,
                    model,
                    need,
                } => self.send(now, key, endpoint, model, need, out),
                Choice::Later => {}
                Choice::Never => self.give_up(key, Refusal::NoEndpoint, Some(ROOM_RETRY), out),
            }
        }
        while self.backlog.len() > self.limits.queue {
            let Some(last) = self.backlog.ordered(&self.requests, &self.config).pop() else {
                return;
            };
            self.give_up(last, Refusal::QueueFull, Some(ROOM_RETRY), out);
        }
    }

    /// Output length expected of a model, in tokens.
    pub(crate) fn expected(&self, model: &str) -> u32 {
        match self
            .lengths
            .binary_search_by(|(name, _)| name.as_str().cmp(model))
        {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a mean of u32 lengths is a small non-negative number"
            )]
            Ok(place) => self.lengths[place].1 as u32,
            Err(_) => self
                .config
                .route(model)
                .map_or(LENGTH_DEFAULT, |route| route.expected_tokens),
        }
    }

    /// Ends a request with its outcome.
    pub(crate) fn finish(&mut self, key: request::Key, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match &request.phase {
            Phase::Running(run) => self.release(run),
            Phase::Waiting { .. } => self.backlog.remove(key),
            Phase::Claiming { .. } | Phase::Moving | Phase::Sharing(_) => {}
        }
        self.orders.retain(|(_, other)| *other != key);
        match &outcome {
            Outcome::Answered(_) => self.stats.answered += 1,
            Outcome::MayHaveRun(_) => self.stats.may_have_run += 1,
            Outcome::NotRun(_) => self.stats.not_run += 1,
        }
        out.push(Action::Finish(key, outcome));
    }

    /// Records that a request uses an order key.
    pub(crate) fn join_order(&mut self, key: request::Key, name: order::Key) {
        let place = self.orders.partition_point(|(other, _)| *other <= name);
        self.orders.insert(place, (name, key));
    }

    /// Learns from a finished generation.
    pub(crate) fn learn(&mut self, key: request::Key, tokens: u32) {
        let Work::Generation { model, .. } = &self.requests[key].work else {
            return;
        };
        let tokens = f64::from(tokens);
        match self.lengths.binary_search_by(|(name, _)| name.cmp(model)) {
            Err(place) => self.lengths.insert(place, (model.clone(), tokens)),
            Ok(place) => {
                let mean = &mut self.lengths[place].1;
                *mean += LENGTH_STEP * (tokens - *mean);
            }
        }
    }

    /// The endpoint of this name.
    pub(crate) fn named(&self, name: &str) -> Option<endpoint::Key> {
        let place = self
            .names
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
            .ok()?;
        Some(self.names[place].1)
    }

    /// The full order key of a request.
    pub(crate) fn order_key(&self, key: request::Key, order: order::Order) -> order::Key {
        let customer = self.config.customers.get(self.requests[key].customer);
        order::Key {
            uuid: order.uuid,
            customer: customer.map_or(0, |customer| digest(&customer.name)),
        }
    }

    /// Refuses a request that was not sent.
    pub(crate) fn refuse(
        &mut self,
        key: request::Key,
        refusal: Refusal,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let phase = std::mem::replace(&mut self.requests[key].phase, Phase::Moving);
        let proof = match phase {
            Phase::Claiming { proof, .. } | Phase::Sharing(proof) => proof,
            Phase::Waiting {
                proof: Some(proof), ..
            } => {
                self.backlog.remove(key);
                proof
            }
            phase => {
                self.requests[key].phase = phase;
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::ConnectionLost), out);
                return;
            }
        };
        let refused = NotRun::new(proof, refusal, retry_after);
        self.finish(key, Outcome::NotRun(refused), out);
    }

    /// Refuses a waiting request, giving up its claim if it holds one.
    fn give_up(
        &mut self,
        key: request::Key,
        refusal: Refusal,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        if let Phase::Waiting {
            claim: Some(claim), ..
        } = self.requests[key].phase
        {
            self.void(key, claim);
        }
        self.refuse(key, refusal, retry_after, out);
    }

    /// Puts a failed attempt back among the waiting, if the budget allows.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        attempt: Attempt,
        evidence: Option<Evidence>,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.request;
        let request = &mut self.requests[key];
        let phase = std::mem::replace(&mut request.phase, Phase::Moving);
        let Phase::Running(run) = phase else {
            request.phase = phase;
            return;
        };
        let proof = evidence
            .map(Evidence::unsent)
            .filter(|_| request.sends == 1);
        if evidence.is_some() {
            request.sends -= 1;
        }
        request.tried = Some(run.endpoint);
        request.phase = Phase::Waiting {
            claim: run.claim,
            proof,
        };
        self.release(&run);
        self.backlog.push(key);
        if !self.budget.spend() {
            self.give_up(key, Refusal::AllRefused, Some(ROOM_RETRY), out);
            return;
        }
        self.stats.retried += 1;
        self.dispatch(now, out);
    }

    /// The run that an attempt names, if it is still current.
    pub(crate) fn run(&mut self, attempt: Attempt) -> Option<&mut Run> {
        match &mut self.requests.get_mut(attempt.request)?.phase {
            Phase::Running(run) if run.generation == attempt.generation => Some(run),
            _ => None,
        }
    }

    /// Requests in progress here that use an order key.
    pub(crate) fn with_order(&self, name: order::Key) -> Vec<request::Key> {
        let first = self.orders.partition_point(|(other, _)| *other < name);
        let same = self.orders[first..]
            .iter()
            .take_while(|(other, _)| *other == name);
        same.map(|(_, key)| *key).collect()
    }

    /// Takes a configuration record in, from the log or from a fellow instance.
    ///
    /// Records are applied without gaps: a fellow may hand over later ones first.
    pub(crate) fn configure(&mut self, now: Time, line: Line, out: &mut Vec<Action>) {
        let before = self.config.next();
        if line.offset != before {
            return;
        }
        self.config.apply(line.offset, &line.record);
        self.history.push(line.offset, line.data);
        self.invariants
            .check(Rule::ConfigForward, self.config.next() > before);
        self.dispatch(now, out);
    }

    /// The configuration was known to be complete at `at`.
    pub(crate) fn config_read_at(&mut self, at: Time) {
        self.config_read = self.config_read.max(Some(at));
    }

    fn gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.gossip > now {
            return;
        }
        self.gossip = now.after(self.limits.gossip_interval);
        self.round += 1;
        for peer in self.fellows(self.round) {
            out.push(Action::Gossip(peer.address.clone()));
        }
    }

    /// Past its deadline a request gets its final answer.
    fn expire(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        match &self.requests[key].phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                if self.batch.withdraw(claim) {
                    self.refuse(key, Refusal::LogUnavailable, Some(ROOM_RETRY), out);
                    return;
                }
                self.void(key, claim);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::ClaimUnsettled), out);
            }
            Phase::Moving => {}
            Phase::Running(run) => {
                let attempt = Attempt {
                    generation: run.generation,
                    request: key,
                };
                let next = run.next;
                if matches!(self.requests[key].work, Work::Call { .. }) {
                    self.lose(key, MayHaveRun::DeadlinePassed, out);
                } else {
                    self.cancel(attempt, false, out);
                    self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(next)), out);
                }
                self.dispatch(now, out);
            }
            Phase::Sharing(_) => {
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::EarlierAttempt), out);
            }
            Phase::Waiting { .. } => {
                self.give_up(key, Refusal::DeadlinePassed, Some(ROOM_RETRY), out);
            }
        }
    }

    fn failed(&mut self, now: Time, attempt: Attempt, failure: Failure, out: &mut Vec<Action>) {
        if self.run(attempt).is_none() {
            self.stats.late += 1;
            return;
        }
        match self.requests[attempt.request].work {
            Work::Call { .. } => self.call_failed(now, attempt, failure, out),
            Work::Generation { .. } | Work::Resume { .. } => {
                self.stream_failed(now, attempt, failure, out);
            }
        }
    }

    /// The caller left. A sent order runs on, so that its answer is kept; a
    /// generation is kept for a while, since the caller may come back for the rest.
    fn gone(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match &mut request.phase {
            Phase::Claiming { claim, .. } => {
                let claim = *claim;
                self.void(key, claim);
                self.refuse(key, Refusal::CallerGone, None, out);
            }
            Phase::Moving => {}
            Phase::Running(run) => {
                if run.left.is_some() {
                    return;
                }
                run.left = Some(now);
                if !matches!(request.work, Work::Call { .. }) {
                    out.push(Action::Detach(key));
                }
            }
            Phase::Sharing(_) => self.refuse(key, Refusal::CallerGone, None, out),
            Phase::Waiting { .. } => self.give_up(key, Refusal::CallerGone, None, out),
        }
    }

    fn listed(
        &mut self,
        now: Time,
        mut members: Vec<Member>,
        mut peers: Vec<Peer>,
        out: &mut Vec<Action>,
    ) {
        members.sort();
        peers.sort();
        let mut names = Vec::with_capacity(members.len());
        for member in members {
            let old = self.named(&member.name);
            let key = match old {
                Some(key) if self.endpoints[key].member.address == member.address => {
                    self.endpoints[key].member = member.clone();
                    key
                }
                _ => self.endpoints.insert(Endpoint::new(member.clone(), now)),
            };
            names.push((member.name, key));
        }
        let mut kept = names.iter().map(|(_, key)| *key).collect::<Vec<_>>();
        kept.sort_unstable();
        self.names = names;
        // An endpoint that is no longer listed gets no new work, but the requests that
        // are there still belong to it.
        for (key, endpoint) in &mut self.endpoints {
            endpoint.member.leaving |= kept.binary_search(&key).is_err();
        }
        self.endpoints
            .retain(|key, endpoint| kept.binary_search(&key).is_ok() || endpoint.running > 0);
        self.live = peers.iter().map(|peer| digest(&peer.name)).collect();
        self.live.sort_unstable();
        self.peers = peers;
        self.lay_windows();
        self.settle_orphans(out);
        self.dispatch(now, out);
    }

    fn read_claims(&mut self, now: Time, batches: Vec<Batch>, out: &mut Vec<Action>) {
        for batch in batches {
            for entry in &batch.entries {
                match entry {
                    batch::Entry::Claim(entry) => {
                        self.claims.apply(entry, batch.instance);
                        self.settle(now, entry.key(), out);
                    }
                    batch::Entry::Warmth(entry) => self.read_warmth(entry, batch.instance),
                }
            }
        }
        self.dispatch(now, out);
    }

    fn read_warmth(&mut self, entry: &warmth::Entry, instance: u64) {
        self.warmth.apply(entry, instance);
        let yielded = matches!(entry.kind, warmth::Kind::Yield { .. });
        if !yielded || instance != self.digest {
            return;
        }
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.digest == entry.endpoint) {
            endpoint.yielding = false;
        }
    }

    fn reject(
        &self,
        customer: Option<customer::Key>,
        key: request::Key,
    ) -> Option<(Refusal, Option<Duration>)> {
        if !self.config.seen() {
            return Some((Refusal::NoConfig, Some(ROOM_RETRY)));
        }
        if customer.is_none() {
            return Some((Refusal::UnknownCustomer, None));
        }
        let known = match &self.requests[key].work {
            Work::Call { service, .. } => self.config.service(service).is_some(),
            Work::Generation { model, .. } => self.config.route(model).is_some(),
            Work::Resume { .. } => true,
        };
        if known {
            None
        } else {
            Some((Refusal::UnknownRoute, None))
        }
    }

    fn release(&mut self, run: &Run) {
        let Some(endpoint) = self.endpoints.get_mut(run.endpoint) else {
            return;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.promised = endpoint.promised.saturating_sub(run.promised);
    }

    fn reported(
        &mut self,
        now: Time,
        key: endpoint::Key,
        report: crate::endpoint::Report,
        out: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.take(now, report);
        }
        self.dispatch(now, out);
    }

    fn send(
        &mut self,
        now: Time,
        key: request::Key,
        endpoint: endpoint::Key,
        model: Option<String>,
        need: u64,
        out: &mut Vec<Action>,
    ) {
        self.backlog.remove(key);
        self.check_send(now, key, endpoint);
        let generation = generation::Id(self.rng.random());
        let request = &mut self.requests[key];
        let Phase::Waiting { claim, proof } = std::mem::replace(&mut request.phase, Phase::Moving)
        else {
            return;
        };
        if let Some(proof) = proof {
            proof.send();
            self.budget.earn();
        }
        request.sends += 1;
        request.phase = Phase::Running(Run {
            claim,
            endpoint,
            generation,
            left: None,
            next: 0,
            progress: now,
            promised: need,
            resumes: 0,
        });
        let target = &mut self.endpoints[endpoint];
        target.running += 1;
        target.promised += need;
        self.stats.sent += 1;
        out.push(Action::Send {
            attempt: Attempt {
                generation,
                request: key,
            },
            endpoint,
            model,
        });
    }

    /// Asserts what must hold of every send.
    fn check_send(&mut self, now: Time, key: request::Key, endpoint: endpoint::Key) {
        let target = &self.endpoints[endpoint];
        let usable = self.usable(now, target);
        let cold = self.bears(target);
        let request = &self.requests[key];
        let repeatable = !matches!(
            request.work,
            Work::Call {
                idempotent: false,
                ..
            }
        );
        let once = repeatable || request.sends == 0;
        let held = match (&request.phase, request.order()) {
            (
                Phase::Waiting {
                    claim: Some(claim), ..
                },
                Some(order),
            ) => {
                let slot = self.claims.get(self.order_key(key, order));
                slot.is_some_and(|slot| slot.holds(*claim))
            }
            (_, Some(_)) => repeatable,
            (_, None) => true,
        };
        self.invariants.check(Rule::OutGetsNothing, usable);
        self.invariants.check(Rule::ColdLimit, cold);
        self.invariants.check(Rule::SentOnce, once);
        self.invariants.check(Rule::ClaimHeld, held);
    }

    fn tick(&mut self, now: Time, wall: Wall, out: &mut Vec<Action>) {
        let keys = self.requests.keys().collect::<Vec<_>>();
        for key in keys {
            self.watch(now, key, out);
        }
        self.poll(now, out);
        self.note_absent(now);
        self.tend(now);
        self.gossip(now, out);
        self.snapshot(now, wall, out);
        self.claims
            .expire(wall.before(self.limits.order_window + self.limits.skew * 3));
        self.flush(now, out);
        self.dispatch(now, out);
    }

    /// Starts the next append if one is due.
    pub fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some(entries) = self.batch.take(now, self.limits.append_interval) {
            out.push(Action::Append(Batch {
                entries,
                instance: self.digest,
            }));
        }
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Action>) {
        for (key, endpoint) in &mut self.endpoints {
            let polled = endpoint.mine && endpoint.member.kind == Kind::Engine;
            if !polled || endpoint.poll > now {
                continue;
            }
            endpoint.poll = now.after(self.limits.poll_interval);
            out.push(Action::Poll(key));
        }
    }

    /// Watches one request: deadline, silence, a caller who left.
    fn watch(&mut self, now: Time, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let claiming = matches!(request.phase, Phase::Claiming { .. });
        let unsettled = claiming && now.since(request.arrived) >= self.limits.claim_wait;
        if request.deadline <= now || unsettled {
            self.expire(now, key, out);
            return;
        }
        let call = matches!(request.work, Work::Call { .. });
        let Phase::Running(run) = &request.phase else {
            return;
        };
        let attempt = Attempt {
            generation: run.generation,
            request: key,
        };
        if call {
            return;
        }
        if let Some(left) = run.left {
            if now.since(left) >= self.limits.grace {
                self.cancel(attempt, true, out);
                self.finish(key, Outcome::MayHaveRun(MayHaveRun::StreamCut(0)), out);
                self.dispatch(now, out);
            }
            return;
        }
        if now.since(run.progress) >= self.limits.silence {
            self.resume(now, attempt, out);
        }
    }
}

/// First eight bytes of the hash of a name, for records where names are too long.
#[must_use]
pub fn digest(name: &str) -> u64 {
    rendezvous(name, "")
}
