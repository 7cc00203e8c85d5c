//! Three cores against one in-memory log and counting endpoints.

use {
    bytes::Bytes,
    decision::{
        action::Action,
        answer::Answer,
        arrival::{Arrival, Work},
        attempt::Attempt,
        batch::{AppendResult, Batch},
        endpoint::{self, Kind, Member, Report},
        event::{Event, Failure, Peer},
        generation,
        gossip::ConfigRecord,
        limits::Limits,
        order::Order,
        outcome::{Evidence, Outcome},
        record::{self, Body, Change, Item, Record},
        request,
        state::State,
        time::{Time, Wall},
    },
    std::time::Duration,
};

/// Wall time at which every history begins, in milliseconds.
const START: u64 = 1_800_000_000_000;

/// Requests that the engine bears while cold.
const COLD: u32 = 2;

const CORES: usize = 3;
const CREDENTIAL: [u8; 32] = [7; 32];

/// What a history is made of.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// An instance dies and another one takes its name.
    Crash(usize),
    /// A message in flight arrives.
    Deliver(usize),
    /// A connection breaks, or the answer of an append is lost.
    Lose(usize),
    /// A generation is asked for.
    Generate(usize),
    /// The caller of a request leaves.
    Leave(usize),
    /// The engine starts anew, without a word.
    Restart,
    /// An order is placed: which core, which key, which body.
    Order(usize, usize, bool),
    /// Operators take the failure domain out, or back in.
    Publish,
    /// The log refuses everything, or takes appends again.
    Outage(bool),
    /// A core reads some records of the log.
    Read(usize, usize),
    /// A fellow hands a core some configuration record, old or new.
    Relay(usize, usize),
    /// A message in flight arrives, and once more later.
    Repeat(usize),
    /// The instance list of a core lags: one instance is missing from it for a while.
    Lag(usize, usize),
    /// Time passes at every core, in milliseconds.
    Tick(u64),
    /// The log drops records that grew old.
    Trim(usize),
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    /// An append on its way to the log.
    Append(usize, u64, Batch),
    /// Something on its way to a core of this life.
    Event(usize, u64, Event2),
    /// A request on its way to an endpoint.
    Send(usize, u64, Attempt, Job),
}

/// Events that can be copied.
#[derive(Clone, Debug)]
enum Event2 {
    Answered(Attempt, Answer),
    Appended(AppendResult),
    Ended(Attempt, u32),
    Failed(Attempt, Failure),
    Token(Attempt, u32),
}

/// What an endpoint is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Job {
    Generate,
    Order(u128, bool),
    Resume(u32),
}

struct Core {
    life: u64,
    lagging: Option<u64>,
    read: Option<usize>,
    state: State,
}

/// A request as its caller sees it.
struct Asked {
    core: usize,
    ended: bool,
    key: request::Key,
    life: u64,
    order: Option<(u128, bool)>,
    generation: Option<generation::Id>,
    next: u32,
    sent: u32,
}

/// The world of one history.
pub struct World {
    asked: Vec<Asked>,
    begun: Vec<generation::Id>,
    cold: Vec<(usize, u64, generation::Id)>,
    cores: Vec<Core>,
    flight: Vec<Message>,
    lives: u64,
    config: Vec<ConfigRecord>,
    first: usize,
    log: Vec<(Wall, Batch)>,
    now: u64,
    outage: bool,
    runs: Vec<(u128, bool)>,
    incarnation: u64,
    /// Faults that were put in, by kind: lost, repeated, crashed, outages, restarts.
    pub faults: [u64; 5],
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            asked: Vec::new(),
            begun: Vec::new(),
            cold: Vec::new(),
            cores: Vec::new(),
            faults: [0; 5],
            flight: Vec::new(),
            lives: 0,
            config: vec![line(0, record())],
            first: 0,
            log: Vec::new(),
            now: 1_000_000,
            outage: false,
            runs: Vec::new(),
            incarnation: 1,
        };
        for core in 0..CORES {
            let fresh = world.fresh(core);
            world.cores.push(fresh);
        }
        for core in 0..CORES {
            world.read(core, usize::MAX);
        }
        world
    }

    /// Carries out one operation and checks what must hold.
    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Crash(core) => self.crash(core % CORES),
            Op::Deliver(place) => self.deliver(place, false),
            Op::Generate(core) => self.ask(core % CORES, None, false),
            Op::Lag(core, missing) => self.list(core % CORES, Some(missing % CORES)),
            Op::Leave(place) => self.leave(place),
            Op::Lose(place) => self.lose(place),
            Op::Order(core, key, other) => self.ask(core % CORES, Some(key % 8), other),
            Op::Outage(outage) => {
                self.faults[3] += u64::from(outage && !self.outage);
                self.outage = outage;
            }
            Op::Publish => self.publish(),
            Op::Read(core, most) => self.read(core % CORES, most % 4),
            Op::Relay(core, place) => {
                let line = self.config[place % self.config.len()].clone();
                self.step(core % CORES, Event::Configured(line));
            }
            Op::Repeat(place) => self.deliver(place, true),
            Op::Restart => {
                self.faults[4] += 1;
                self.incarnation += 1;
                self.cold.clear();
            }
            Op::Tick(millis) => self.tick(millis),
            Op::Trim(count) => self.first = self.log.len().min(self.first + count % 8),
        }
        self.check();
    }

    /// Lets everything arrive and every deadline pass; each request must have ended.
    pub fn settle(&mut self) {
        self.outage = false;
        for _ in 0..40 {
            for _ in 0..400 {
                if self.flight.is_empty() {
                    break;
                }
                self.apply(Op::Deliver(0));
            }
            for core in 0..CORES {
                self.read(core, usize::MAX);
            }
            self.apply(Op::Tick(1_000));
        }
        for asked in &self.asked {
            let alive = self.cores[asked.core].life == asked.life;
            assert!(asked.ended || !alive, "a request was never answered");
        }
    }

    fn check(&self) {
        for (place, run) in self.runs.iter().enumerate() {
            let again = self.runs[place + 1..].iter().any(|(key, _)| *key == run.0);
            assert!(!again, "an order ran twice");
        }
        let cold = u32::try_from(self.cold.len()).expect("a short history");
        assert!(cold <= COLD, "the cold engine got {cold} requests at once");
    }

    fn fresh(&mut self, core: usize) -> Core {
        self.lives += 1;
        let limits = Limits {
            deadline: Duration::from_secs(20),
            order_window: Duration::from_mins(1),
            silence: Duration::from_millis(800),
            skew: Duration::from_secs(1),
            ..Limits::default()
        };
        let mut state = State::new(&format!("entry-{core}"), "north", limits, self.lives);
        let (now, wall) = self.clock();
        let mut out = Vec::new();
        let peers = (0..CORES).map(peer);
        for event in [
            Event::Configured(self.config[0].clone()),
            Event::ConfigCaughtUp(now),
            Event::Listed(members(), peers.collect()),
        ] {
            state.step(now, wall, event, &mut out);
        }
        Core {
            lagging: None,
            life: self.lives,
            read: None,
            state,
        }
    }

    fn clock(&self) -> (Time, Wall) {
        (Time::from_micros(self.now * 1000), Wall(START + self.now))
    }

    fn ask(&mut self, core: usize, key: Option<usize>, other: bool) {
        let (now, wall) = self.clock();
        // Two keys are new at a time, and older ones are used again.
        let uuid = key.map(|key| {
            let age = [0, 0, 20_000, 90_000][key / 2];
            let birth = (START + self.now).saturating_sub(age) / 20_000 * 20_000;
            (u128::from(birth) << 80) | (key % 2) as u128
        });
        let work = match uuid {
            Some(uuid) => Work::Call {
                idempotent: false,
                order: Some(Order {
                    body: u128::from(other),
                    uuid,
                }),
                service: "desk".to_string(),
            },
            None => Work::Generation {
                limit: 100,
                model: "survey".to_string(),
                prompt: 4,
            },
        };
        let arrival = Arrival {
            credential: CREDENTIAL,
            deadline: now.after(Duration::from_secs(20)),
            work,
        };
        let mut out = Vec::new();
        let target = &mut self.cores[core];
        let key = target.state.arrive(now, wall, arrival, &mut out);
        self.asked.push(Asked {
            core,
            ended: false,
            generation: None,
            key,
            life: target.life,
            next: 0,
            order: uuid.map(|uuid| (uuid, other)),
            sent: 0,
        });
        self.perform(core, out);
    }

    fn crash(&mut self, core: usize) {
        self.faults[2] += 1;
        let fresh = self.fresh(core);
        let life = std::mem::replace(&mut self.cores[core], fresh).life;
        self.cold
            .retain(|(owner, owned, _)| (*owner, *owned) != (core, life));
    }

    fn deliver(&mut self, place: usize, again: bool) {
        if self.flight.is_empty() {
            return;
        }
        let place = place % self.flight.len();
        let message = self.flight.remove(place);
        if again && matches!(message, Message::Append(..) | Message::Event(..)) {
            self.faults[1] += 1;
            let answer = matches!(message, Message::Event(_, _, Event2::Appended(_)));
            if !answer {
                self.flight.push(message.clone());
            }
        }
        match message {
            Message::Append(core, life, batch) => {
                let sent = if self.outage {
                    AppendResult::Refused
                } else {
                    AppendResult::Done
                };
                if sent == AppendResult::Done {
                    self.append(batch);
                }
                self.flight
                    .push(Message::Event(core, life, Event2::Appended(sent)));
            }
            Message::Event(core, life, event) => {
                if self.cores[core].life == life {
                    self.step(core, event.event());
                }
            }
            Message::Send(core, life, attempt, job) => self.serve(core, life, attempt, job),
        }
    }

    fn append(&mut self, batch: Batch) {
        let (_, wall) = self.clock();
        self.log.push((wall, batch));
    }

    /// Odd offsets take the failure domain out, even ones back in.
    fn publish(&mut self) {
        let offset = self.config.len() as u64;
        let change = Change {
            body: Some(Body::Domain(record::Domain {
                out: offset % 2 == 1,
            })),
            item: Item {
                kind: record::Kind::Domain,
                name: "north".to_string(),
            },
            replaces: (offset > 1).then(|| offset - 1),
        };
        let record = Record {
            changes: vec![change],
            schema: 1,
        };
        self.config.push(line(offset, record));
    }

    /// An endpoint takes a request.
    fn serve(&mut self, core: usize, life: u64, attempt: Attempt, job: Job) {
        let mut answer = |event| self.flight.push(Message::Event(core, life, event));
        match job {
            Job::Order(key, other) => {
                self.runs.push((key, other));
                answer(Event2::Answered(attempt, printed(key)));
            }
            Job::Resume(_) if !self.begun.contains(&attempt.generation) => {
                answer(Event2::Failed(attempt, Failure::Forgotten));
            }
            Job::Generate | Job::Resume(_) => {
                self.begun.push(attempt.generation);
                let first = if let Job::Resume(next) = job { next } else { 0 };
                for index in first..3 {
                    answer(Event2::Token(attempt, index));
                }
                answer(Event2::Ended(attempt, 3));
            }
        }
    }

    fn leave(&mut self, place: usize) {
        if self.asked.is_empty() {
            return;
        }
        let place = place % self.asked.len();
        let (core, key) = (self.asked[place].core, self.asked[place].key);
        if self.cores[core].life == self.asked[place].life && !self.asked[place].ended {
            self.step(core, Event::CallerDisconnected(key));
        }
    }

    fn lose(&mut self, place: usize) {
        if self.flight.is_empty() {
            return;
        }
        self.faults[0] += 1;
        let place = place % self.flight.len();
        let message = self.flight.remove(place);
        let event = match message {
            // Nothing was written: the connection was refused.
            Message::Send(core, life, attempt, Job::Generate | Job::Order(..)) => {
                let failure = Failure::NotRun(Evidence::NothingWritten);
                Message::Event(core, life, Event2::Failed(attempt, failure))
            }
            Message::Send(core, life, attempt, Job::Resume(_)) => {
                Message::Event(core, life, Event2::Failed(attempt, Failure::Unreachable))
            }
            // The append may take effect while its answer is lost.
            Message::Append(core, life, batch) => {
                self.append(batch);
                Message::Event(core, life, Event2::Appended(AppendResult::Lost))
            }
            Message::Event(core, life, Event2::Appended(_)) => {
                Message::Event(core, life, Event2::Appended(AppendResult::Lost))
            }
            Message::Event(
                core,
                life,
                Event2::Token(attempt, _)
                | Event2::Answered(attempt, _)
                | Event2::Ended(attempt, _),
            ) => Message::Event(core, life, Event2::Failed(attempt, Failure::Broken)),
            failed @ Message::Event(_, _, Event2::Failed(..)) => failed,
        };
        self.flight.push(event);
    }

    fn read(&mut self, core: usize, most: usize) {
        if self.outage {
            return;
        }
        let (now, wall) = self.clock();
        let begun = self.cores[core].read.is_some();
        let from = self.cores[core].read.unwrap_or(0).max(self.first);
        if !begun && self.first == 0 {
            self.step(core, Event::ClaimsCoveredFrom(Wall(0)));
        } else if self.cores[core].read.unwrap_or(0) < self.first {
            let kept = self.log.get(self.first).map_or(wall, |(at, _)| *at);
            self.step(core, Event::ClaimsCoveredFrom(kept));
        }
        let until = self.log.len().min(from.saturating_add(most));
        let batches = self.log[from..until].iter().map(|(_, batch)| batch.clone());
        let batches = batches.collect();
        self.cores[core].read = Some(until);
        self.step(core, Event::Claims(batches));
        if until == self.log.len() {
            self.step(core, Event::ClaimsCaughtUp(now));
        }
        let next = self.cores[core].state.config.next();
        let lacking = self.config.iter().filter(|line| line.offset >= next);
        for line in lacking.cloned().collect::<Vec<_>>() {
            self.step(core, Event::Configured(line));
        }
        self.step(core, Event::ConfigCaughtUp(now));
        let engine = self.engine(core);
        let report = Report {
            capacity: 10_000,
            models: vec!["survey-1".to_string()],
            incarnation: self.incarnation,
            ..Report::default()
        };
        let other = self.named(core, "other");
        let steady = Report {
            capacity: 8,
            incarnation: 1,
            ..report.clone()
        };
        self.step(core, Event::Reported(other, steady));
        self.step(core, Event::Reported(engine, report));
    }

    fn list(&mut self, core: usize, missing: Option<usize>) {
        self.cores[core].lagging = missing.map(|_missing| self.now);
        let seen = (0..CORES).filter(|number| *number == core || Some(*number) != missing);
        let event = Event::Listed(members(), seen.map(peer).collect());
        self.step(core, event);
    }

    fn engine(&self, core: usize) -> endpoint::Key {
        self.named(core, "engine")
    }

    fn named(&self, core: usize, name: &str) -> endpoint::Key {
        let mut endpoints = self.cores[core].state.endpoints.iter();
        let found = endpoints.find(|(_, endpoint)| endpoint.member.name == name);
        found.expect("the endpoint is listed").0
    }

    fn tick(&mut self, millis: u64) {
        self.now += millis;
        for core in 0..CORES {
            let since = self.cores[core].lagging;
            if since.is_some_and(|since| self.now - since > 15_000) {
                self.list(core, None);
            }
        }
        for core in 0..CORES {
            self.step(core, Event::Tick);
        }
    }

    fn step(&mut self, core: usize, event: Event) {
        let (now, wall) = self.clock();
        let mut out = Vec::new();
        self.cores[core].state.step(now, wall, event, &mut out);
        self.perform(core, out);
    }

    fn perform(&mut self, core: usize, actions: Vec<Action>) {
        let life = self.cores[core].life;
        for action in actions {
            match action {
                Action::Append(batch) => self.flight.push(Message::Append(core, life, batch)),
                Action::Cancel { generation, .. } => {
                    self.cold.retain(|(_, _, held)| *held != generation);
                }
                Action::Deliver(key, index, data) => {
                    let asked = self.asked(core, key);
                    let sender = asked
                        .generation
                        .map(|generation| generation.0.to_le_bytes());
                    assert_eq!(
                        sender.as_ref().map(<[u8; 16]>::as_slice),
                        Some(&*data),
                        "a token of another generation came"
                    );
                    assert_eq!(asked.next, index, "a token came twice or out of order");
                    asked.next += 1;
                }
                Action::Detach(_) | Action::Gossip(_) | Action::Poll(_) | Action::Snapshot(_) => {}
                Action::Finish(key, outcome) => self.finish(core, key, outcome),
                Action::Resume { attempt, next, .. } => {
                    let job = Job::Resume(next);
                    self.flight.push(Message::Send(core, life, attempt, job));
                }
                Action::Send {
                    attempt, endpoint, ..
                } => self.send(core, attempt, endpoint),
            }
        }
        self.release(core, life);
    }

    fn send(&mut self, core: usize, attempt: Attempt, endpoint: endpoint::Key) {
        let life = self.cores[core].life;
        let engine = endpoint == self.engine(core);
        let known = self.cores[core].state.config.next();
        assert!(known % 2 == 1, "work was sent to a domain known to be out");
        let asked = self.asked(core, attempt.request);
        asked.sent += 1;
        asked.generation = Some(attempt.generation);
        let job = asked
            .order
            .map_or(Job::Generate, |(key, other)| Job::Order(key, other));
        self.flight.push(Message::Send(core, life, attempt, job));
        // What a core sent by its knowledge of an earlier start of the engine cannot
        // count against the present one.
        let state = &self.cores[core].state;
        let current = state.endpoints[endpoint].incarnation() == Some(self.incarnation);
        let slot = state.slow_start.get(state.endpoints[endpoint].digest);
        if engine && current && slot.is_some_and(|slot| !slot.warm) {
            self.cold.push((core, life, attempt.generation));
        }
    }

    fn finish(&mut self, core: usize, key: request::Key, outcome: Outcome) {
        let runs = self.runs.clone();
        let asked = self.asked(core, key);
        assert!(!asked.ended, "a request was answered twice");
        asked.ended = true;
        match (outcome, asked.order) {
            (Outcome::Answered(Some(answer)), Some(order)) => {
                assert_eq!(
                    answer,
                    printed(order.0),
                    "an answer of another order was given"
                );
                assert!(
                    runs.contains(&order),
                    "an order was answered that did not run"
                );
            }
            (Outcome::NotRun(_), Some(_)) => {
                // Every send of it was proven to have reached nobody.
                let unproven = asked.sent > 0 && runs.contains(&asked.order.expect("an order"));
                assert!(!unproven, "an order that ran was refused as not run");
            }
            (Outcome::Answered(None), None) => {
                assert_eq!(asked.next, 3, "a stream ended before its end");
            }
            _ => {}
        }
    }

    /// Forgets cold requests that the core no longer has at the engine.
    fn release(&mut self, core: usize, life: u64) {
        let state = &self.cores[core].state;
        let running = state
            .requests
            .values()
            .filter_map(|request| match &request.phase {
                request::Phase::Running(run) => Some(run.generation),
                _ => None,
            });
        let running = running.collect::<Vec<_>>();
        self.cold.retain(|(owner, owned, generation)| {
            (*owner, *owned) != (core, life) || running.contains(generation)
        });
    }

    fn asked(&mut self, core: usize, key: request::Key) -> &mut Asked {
        let life = self.cores[core].life;
        let asked = self.asked.iter_mut();
        let mut found =
            asked.filter(|asked| (asked.core, asked.life, asked.key) == (core, life, key));
        found
            .next()
            .expect("an action names a request that was asked")
    }
}

impl Event2 {
    fn event(self) -> Event {
        match self {
            Self::Answered(attempt, answer) => Event::Answered(attempt, answer),
            Self::Appended(sent) => Event::Appended(sent),
            Self::Ended(attempt, tokens) => Event::StreamEnded(attempt, tokens),
            Self::Failed(attempt, failure) => Event::Failed(attempt, failure),
            Self::Token(attempt, index) => {
                let data = Bytes::copy_from_slice(&attempt.generation.0.to_le_bytes());
                Event::Token(attempt, index, data)
            }
        }
    }
}

fn peer(number: usize) -> Peer {
    Peer {
        name: format!("entry-{number}"),
        address: String::new(),
        domain: "north".to_string(),
        leaving: false,
    }
}

fn line(offset: u64, record: Record) -> ConfigRecord {
    ConfigRecord {
        data: Bytes::new(),
        offset,
        record,
    }
}

/// The answer of the service to an order.
fn printed(key: u128) -> Answer {
    Answer {
        body: Bytes::from(key.to_string()),
        media: String::new(),
        status: 200,
    }
}

fn members() -> Vec<Member> {
    let member = |name: &str, kind| Member {
        name: name.to_string(),
        address: name.to_string(),
        domain: "north".to_string(),
        kind,
        leaving: false,
    };
    vec![
        member("engine", Kind::Engine),
        member("other", Kind::Engine),
        member("desk", Kind::Service("desk".to_string())),
        member("spare", Kind::Service("desk".to_string())),
    ]
}

fn record() -> Record {
    let change = |kind, name: &str, body| Change {
        body: Some(body),
        item: Item {
            kind,
            name: name.to_string(),
        },
        replaces: None,
    };
    let customer = record::Customer {
        credentials: vec![CREDENTIAL],
        priority: 1,
        weight: 1,
    };
    let facts = |cold_limit| record::Facts {
        cold_limit,
        cold_time: Duration::from_secs(4),
        ..record::Facts::default()
    };
    let route = record::Route {
        expected_tokens: 3,
        versions: vec![record::Version {
            model: "survey-1".to_string(),
            share: 1,
        }],
    };
    Record {
        changes: vec![
            change(record::Kind::Customer, "regie", Body::Customer(customer)),
            change(record::Kind::Endpoint, "desk", Body::Endpoint(facts(100))),
            change(
                record::Kind::Endpoint,
                "engine",
                Body::Endpoint(facts(COLD)),
            ),
            change(record::Kind::Endpoint, "other", Body::Endpoint(facts(100))),
            change(record::Kind::Endpoint, "spare", Body::Endpoint(facts(100))),
            change(record::Kind::Route, "survey", Body::Route(route)),
            change(
                record::Kind::Service,
                "desk",
                Body::Service(record::Service::default()),
            ),
        ],
        schema: 1,
    }
}
