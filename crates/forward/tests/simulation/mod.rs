//! Simulation of instances with delayed, frozen and partitioned communication. It drives the real
//! decisions and checks them against the true state.

use {
    crate::common::*,
    forward::{
        reader::{EchoTimestamp, Watermark},
        request::Ticket,
    },
    rand::{SeedableRng as _, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Number of instances.
pub const INSTANCES: usize = 4;

/// Number of endpoints of the model service, in three failure domains.
pub const ENGINES: usize = 6;

/// Number of API keys that may be granted and revoked.
pub const KEYS: usize = 4;

/// Requests per second that a cold engine can handle, over all instances.
const COLD_RATE_PER_S: usize = 28;

/// Time after which a revoked key must not be accepted.
const REVOCATION_MS: u64 = 5000;

/// Maximum time until a removed entry takes effect, with the interval between two ticks.
const MAX_REMOVAL_DELAY_MS: u64 = 2250;

/// Time within which every connected instance must apply a new version.
const MAX_APPLY_DELAY_MS: u64 = 2000;

/// Age of the configuration up to which requests with a valid key must be served.
const MAX_SERVING_AGE_MS: u64 = 4600;

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// The store's answer to a query of an instance arrives.
    Answer(usize, usize),
    /// An instance queries a topic of the store.
    Ask(usize, usize),
    /// An instance is disconnected from the store for some milliseconds.
    Cut(usize, u64),
    /// Operators disable or enable a failure domain.
    Domain(usize, bool),
    /// An instance is frozen for some milliseconds.
    Freeze(usize, u64),
    /// Operators grant or revoke a key.
    Key(usize, bool),
    /// An instance receives a timestamp of another one, which it will echo.
    Echo(usize, usize),
    /// An engine announces that it is leaving.
    Leave(usize),
    /// A machine restarts after a power loss: the instance loses its state and its clock restarts.
    PowerLoss(usize),
    /// An instance receives a request with a key.
    Request(usize, usize),
    /// An engine restarts under the same id.
    Start(usize),
    /// An instance sends a report to another one, which arrives after some milliseconds, with or
    /// without the records that it has read.
    Report(usize, usize, u64, bool),
    /// Time passes.
    Tick(u64),
    /// The entry of an engine is removed.
    Vanish(usize),
}

/// A record of the store.
#[derive(Clone, Debug)]
enum Record {
    Configure(Config),
    Domain(String, bool),
    Endpoint(Change),
}

/// An answer of the store that has not arrived yet.
#[derive(Clone, Copy, Debug)]
struct Answer {
    sent_at: u64,
    end: usize,
}

#[derive(Debug)]
struct Instance {
    /// When its machine started; its clock counts from here.
    booted_at: u64,
    cut_until: u64,
    frozen_until: u64,
    /// Last timestamps received from each instance.
    echoes: [EchoTimestamp; INSTANCES],
    incarnation: u64,
    /// When it learned that an engine is leaving, and whether the engine announced it.
    left: [Option<(u64, bool)>; ENGINES],
    position: [usize; 2],
    pending: [Option<Answer>; 2],
    /// Time for which each topic is confirmed, as computed by the simulation.
    confirmed: [Option<u64>; 2],
    state: State,
    version: u64,
}

/// A report that has not arrived yet.
#[derive(Clone, Debug)]
struct Message {
    arrives: u64,
    echo: EchoTimestamp,
    records: Option<usize>,
    to: usize,
    watermark: Watermark,
}

/// Start of a state, if it holds.
type Since = Option<u64>;

/// Instances, the log of the store, and the true state.
#[derive(Debug)]
pub struct Simulation {
    disabled_domains: [Since; 3],
    instances: Vec<Instance>,
    /// For each key, whether it is valid and since when.
    keys: [(bool, u64); KEYS],
    messages: Vec<Message>,
    incarnations: u64,
    log: [Vec<Record>; 2],
    now: u64,
    /// Engine and time of each request that was sent.
    sends: Vec<(usize, u64)>,
    version: u64,
    started_at: u64,
}

const OPERATORS: usize = 0;
const ENDPOINTS: usize = 1;

fn domain(index: usize) -> String {
    ["a", "b", "c"][index % 3].to_string()
}

fn engine_name(engine: usize) -> String {
    format!("m{engine}")
}

fn key_name(key: usize) -> String {
    format!("key-{key}")
}

impl Instance {
    fn new(index: usize, incarnation: u64, booted_at: u64) -> Self {
        let random = SmallRng::seed_from_u64(incarnation);
        Self {
            booted_at,
            cut_until: 0,
            frozen_until: 0,
            echoes: [EchoTimestamp::default(); INSTANCES],
            left: [None; ENGINES],
            incarnation,
            pending: [None; 2],
            position: [0; 2],
            confirmed: [None; 2],
            state: State::new(settings(&domain(index)), random),
            version: 0,
        }
    }
}

impl Simulation {
    /// A deployment in which all keys are valid and all engines are listed.
    pub fn new(seed: u64) -> Self {
        let instances = (0..INSTANCES)
            .map(|index| Instance::new(index, seed.wrapping_add(index as u64), 0))
            .collect();
        let mut world = Self {
            started_at: 1,
            disabled_domains: [None; 3],
            instances,
            keys: [(true, 0); KEYS],
            messages: Vec::new(),
            incarnations: INSTANCES as u64,
            log: [Vec::new(), Vec::new()],
            now: 0,
            sends: Vec::new(),
            version: 0,
        };
        world.publish();
        for engine in 0..ENGINES {
            world.list(engine, false);
        }
        world
    }

    /// Executes one step.
    pub fn step(&mut self, op: Op) {
        match op {
            Op::Tick(millis) => self.tick(millis),
            Op::Freeze(index, millis) => {
                let until = self.now + millis;
                let instance = &mut self.instances[index];
                instance.frozen_until = instance.frozen_until.max(until);
            }
            Op::Cut(index, millis) => {
                let until = self.now + millis;
                let instance = &mut self.instances[index];
                instance.cut_until = instance.cut_until.max(until);
            }
            Op::Ask(index, topic) => self.ask(index, topic),
            Op::Answer(index, topic) => self.answer(index, topic),
            Op::Report(from, to, delay_ms, records) => self.report(from, to, delay_ms, records),
            Op::Key(key, held) => {
                if self.keys[key].0 != held {
                    self.keys[key] = (held, self.now);
                    self.publish();
                }
            }
            Op::Domain(index, out) => {
                if self.disabled_domains[index].is_some() != out {
                    self.disabled_domains[index] = out.then_some(self.now);
                    self.log[OPERATORS].push(Record::Domain(domain(index), out));
                }
            }
            Op::Echo(index, from) => {
                self.instances[index].echoes[from] = EchoTimestamp {
                    at: self.local(from),
                    incarnation: self.instances[from].incarnation,
                };
            }
            Op::Leave(engine) => self.list(engine, true),
            Op::PowerLoss(index) => {
                self.incarnations += 1;
                self.instances[index] = Instance::new(index, self.incarnations, self.now);
            }
            Op::Vanish(engine) => {
                let gone = Change::Removed(engine_name(engine));
                self.log[ENDPOINTS].push(Record::Endpoint(gone));
            }
            Op::Start(engine) => {
                self.started_at += 1;
                self.list(engine, false);
            }
            Op::Request(index, key) => self.request(index, key),
        }
    }

    /// Current time by the clock of an instance.
    fn local(&self, index: usize) -> Time {
        at(self.now - self.instances[index].booted_at)
    }

    fn awake(&self, index: usize) -> bool {
        self.now >= self.instances[index].frozen_until
    }

    fn connected(&self, index: usize) -> bool {
        self.now >= self.instances[index].cut_until
    }

    fn publish(&mut self) {
        self.version += 1;
        let held = (0..KEYS).filter(|key| self.keys[*key].0).map(key_name);
        let config = config_with(self.version, held.collect());
        self.log[OPERATORS].push(Record::Configure(config));
    }

    fn list(&mut self, engine: usize, leaving: bool) {
        let mut listing = listing(&engine_name(engine), "model", &domain(engine));
        listing.leaving = leaving;
        listing.started_at = Some(self.started_at);
        self.log[ENDPOINTS].push(Record::Endpoint(Change::Set(listing)));
    }

    fn tick(&mut self, millis: u64) {
        self.now += millis;
        for index in 0..INSTANCES {
            if self.awake(index) {
                let now = self.local(index);
                self.instances[index].state.tick(now);
            }
        }
        let mut messages = std::mem::take(&mut self.messages);
        messages.retain(|message| {
            if message.arrives > self.now || !self.awake(message.to) {
                return true;
            }
            self.deliver(message);
            false
        });
        self.messages = messages;
    }

    fn ask(&mut self, index: usize, topic: usize) {
        if !self.awake(index) || !self.connected(index) {
            return;
        }
        let end = self.log[topic].len();
        let sent_at = self.now;
        self.instances[index].pending[topic].get_or_insert(Answer { sent_at, end });
    }

    /// The answer may have been delayed while its instance was disconnected or frozen.
    fn answer(&mut self, index: usize, topic: usize) {
        if !self.awake(index) || !self.connected(index) {
            return;
        }
        let Some(answer) = self.instances[index].pending[topic].take() else {
            return;
        };
        self.apply_records(index, topic, answer.end);
        self.confirm(index, topic, answer.sent_at);
    }

    fn apply_records(&mut self, index: usize, topic: usize, end: usize) {
        let now = self.local(index);
        let instance = &mut self.instances[index];
        for fact in &self.log[topic][instance.position[topic].min(end)..end] {
            match fact.clone() {
                Record::Configure(config) => {
                    instance.state.configure(config);
                }
                Record::Domain(domain, out) => {
                    instance.state.set_domain(&domain, out);
                }
                Record::Endpoint(change) => {
                    let (engine, left) = match &change {
                        Change::Removed(name) => (engine_of(name), Some((self.now, false))),
                        Change::Set(listing) if listing.leaving => {
                            (engine_of(&listing.id), Some((self.now, true)))
                        }
                        Change::Set(listing) => (engine_of(&listing.id), None),
                    };
                    let announced = instance.left[engine].is_some_and(|(_, announced)| announced);
                    if !announced || left.is_none() {
                        instance.left[engine] = left;
                    }
                    instance.state.change(now, change);
                }
            }
        }
        instance.position[topic] = instance.position[topic].max(end);
    }

    fn confirm(&mut self, index: usize, topic: usize, sent_at: u64) {
        let now = self.local(index);
        let instance = &mut self.instances[index];
        instance.confirmed[topic] = instance.confirmed[topic].max(Some(sent_at));
        let sent_at = at(sent_at.saturating_sub(instance.booted_at));
        if topic == OPERATORS {
            instance.state.config_freshness.confirm(sent_at);
        } else {
            instance.state.confirm_list(now, sent_at);
        }
    }

    /// `from` reports the age of its configuration, with the last timestamp received from `to`.
    fn report(&mut self, from: usize, to: usize, delay_ms: u64, records: bool) {
        if from == to || !self.awake(from) || !self.awake(to) {
            return;
        }
        let sender = &self.instances[from];
        let age = sender.state.config_freshness.age(self.local(from));
        self.messages.push(Message {
            arrives: self.now + delay_ms,
            echo: sender.echoes[to],
            records: records.then_some(sender.position[OPERATORS]),
            to,
            watermark: Watermark {
                age,
                position: sender.position[OPERATORS] as u64,
            },
        });
    }

    fn deliver(&mut self, message: &Message) {
        if let Some(end) = message.records {
            self.apply_records(message.to, OPERATORS, end);
        }
        let position = self.instances[message.to].position[OPERATORS] as u64;
        let Instance {
            booted_at,
            incarnation,
            ..
        } = self.instances[message.to];
        if let Some(sent_at) = message
            .watermark
            .confirms(message.echo, incarnation, position)
        {
            self.confirm(message.to, OPERATORS, booted_at + sent_at.micros() / 1000);
        }
    }

    fn request(&mut self, index: usize, key: usize) {
        if !self.awake(index) {
            return;
        }
        let now = self.local(index);
        let mut inbound = inbound("/draft/x", now);
        inbound.key = Some(key_name(key));
        match self.instances[index].state.admit(now, &inbound) {
            Ok(ticket) => self.send(index, key, &ticket),
            Err(refusal) => self.check_refusal(index, key, refusal),
        }
    }

    fn send(&mut self, index: usize, key: usize, ticket: &Ticket) {
        let instance = &mut self.instances[index];
        assert!(
            ticket.version >= instance.version,
            "an older configuration was used"
        );
        instance.version = ticket.version;
        let (held, since) = self.keys[key];
        assert!(
            held || self.now <= since + REVOCATION_MS,
            "a request ran {} ms after its key was revoked",
            self.now - since
        );
        let now = self.local(index);
        let instance = &mut self.instances[index];
        let Pick::Send(endpoint, copy) = instance.state.pick(now, &ticket.service, LONG, &[])
        else {
            return;
        };
        let state = &mut instance.state;
        let name = id(state, endpoint);
        state
            .endpoint_mut(endpoint)
            .expect("picked")
            .rate_limiter
            .record_send(now);
        let copy = copy.map(|copy| id(&instance.state, copy));
        let engine = engine_of(&name);
        self.check_endpoint(index, engine);
        if let Some(copy) = copy {
            self.check_endpoint(index, engine_of(&copy));
        }
        self.sends.push((engine, self.now));
        self.check_rate(engine);
    }

    /// Checks that nothing is sent to an engine that the instance must know to be leaving, or to a
    /// failure domain that it must know to be disabled.
    fn check_endpoint(&self, index: usize, engine: usize) {
        let confirmed = self.instances[index].confirmed[OPERATORS];
        if let Some(since) = self.disabled_domains[engine % 3] {
            let known = confirmed.is_some_and(|sent_at| sent_at > since);
            assert!(!known, "sent to a disabled domain");
        }
        if let Some((since, announced)) = self.instances[index].left[engine] {
            let removal_delayed = !announced && self.now < since + MAX_REMOVAL_DELAY_MS;
            assert!(removal_delayed, "sent to an engine that left");
        }
    }

    fn check_rate(&self, engine: usize) {
        let recent = self
            .sends
            .iter()
            .filter(|(other, sent)| *other == engine && *sent + 1000 > self.now);
        assert!(
            recent.count() <= COLD_RATE_PER_S,
            "rate of a cold engine exceeded"
        );
    }

    fn check_refusal(&self, index: usize, key: usize, refusal: Refusal) {
        assert!(
            refusal.not_run(),
            "unsent request was reported as possibly run: {refusal:?}"
        );
        let (held, since) = self.keys[key];
        let confirmed = self.instances[index].confirmed[OPERATORS];
        match refusal {
            Refusal::UnknownKey => assert!(
                !held || self.now <= since + MAX_APPLY_DELAY_MS,
                "a key that has been valid for {} ms is unknown",
                self.now - since
            ),
            Refusal::Stale => assert!(
                confirmed.is_none_or(|sent_at| sent_at + MAX_SERVING_AGE_MS < self.now)
                    || !held
                    || {
                        let unread = since + MAX_APPLY_DELAY_MS > self.now;
                        unread || confirmed.is_some_and(|sent_at| sent_at <= since)
                    },
                "rejected as stale with a recent configuration"
            ),
            Refusal::Unconfigured => assert!(confirmed.is_none(), "a configuration was lost"),
            other => panic!("unexpected rejection {other:?}"),
        }
    }

    /// Number of requests sent to each engine.
    pub fn sent(&self) -> BTreeMap<usize, usize> {
        let mut sent = BTreeMap::new();
        for (engine, _) in &self.sends {
            *sent.entry(*engine).or_default() += 1;
        }
        sent
    }
}

fn engine_of(name: &str) -> usize {
    name[1..].parse().expect("a number after the first letter")
}
