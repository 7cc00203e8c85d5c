//! Instances, a store and two versions of a service in simulated time.

use {
    crate::common::{self, *},
    forward::{
        request::Ticket,
        rollout::{
            order::Order,
            record::{Content, Record, Stage},
            step::Action,
            tally::{Outcome, Timing},
        },
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    std::time::Duration,
};

/// The service that moves to another version.
pub const SERVICE: &str = "desk";

/// Routes of the service, with their share of the requests and of failed answers in a thousand.
const ROUTES: [(&str, u32, u32); 2] = [("/desk/", 600, 4), ("/desk/look/", 400, 20)];

/// Offset of the order.
pub const ORDER: u64 = 7;

/// Simulated milliseconds between two steps.
const STEP_MS: u64 = 10;

/// Milliseconds between two reads of an instance, after each of which it acts.
const ACTION_INTERVAL_MS: u64 = 50;

/// Number of latest requests over which the load of the target is averaged.
const LOAD_REQUESTS: f64 = 25.0;

/// Maximum number of appends that an instance tries in a row.
const MAX_TRIES: u32 = 3;

/// How a version answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Like the old one.
    Good,
    /// Fails this share of answers.
    Failing(f64),
    /// Takes this many times as long.
    Slow(f64),
}

/// How the target behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// The behaviour.
    pub behavior: Behavior,
    /// Whether only the first route is affected.
    pub one_route: bool,
    /// Milliseconds after the order from which on it behaves so.
    pub from_ms: u64,
    /// Share of the latest requests from which on it behaves so.
    pub from_load: f64,
}

/// What goes wrong meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Answers of the store that are lost, in a thousand.
    pub lost_answers: u32,
    /// Instances that are cut off from the store for a while, in a thousand.
    pub cut_instances: u32,
    /// Endpoints of either version that fail part of their answers, in a thousand.
    pub grey_endpoints: u32,
    /// Instances that are replaced meanwhile, in a thousand.
    pub restarts: u32,
}

/// A history to play.
#[derive(Clone, Copy, Debug)]
pub struct History {
    pub duration: Duration,
    pub faults: Faults,
    pub instances: usize,
    pub requests_per_s: u64,
    pub seed: u64,
    pub target: Target,
}

/// What came of a history.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Appends and reads of the store.
    pub calls: u64,
    /// Requests that the target got before the order ended.
    pub exposed: u32,
    /// Requests that reached the service before the order ended.
    pub requests: u32,
    /// Final stages that were recorded.
    pub stages: Vec<Stage>,
    /// Milliseconds from the order to the final stage.
    pub decided_ms: u64,
    /// Requests to the target more than 5 s after its fiftieth bad answer, by instances in touch.
    pub late: u32,
    /// Requests that were sent to the old version after the completion, by instances in touch.
    pub after_completion: u32,
}

struct Node {
    state: State,
    position: usize,
    delay_ms: u64,
    /// Milliseconds between which it does not reach the store.
    cut: (u64, u64),
    /// When it acts next.
    acts_ms: u64,
    restart_ms: u64,
}

impl Node {
    fn is_cut(&self, now_ms: u64) -> bool {
        (self.cut.0..self.cut.1).contains(&now_ms)
    }

    /// Whether it has run and reached the store for the whole window before now.
    fn is_in_touch(&self, now_ms: u64) -> bool {
        let started = self.restart_ms..self.restart_ms.saturating_add(STABILITY_WINDOW_MS);
        !self.is_cut(now_ms)
            && now_ms > self.cut.1 + STABILITY_WINDOW_MS
            && !started.contains(&now_ms)
    }
}

struct World {
    history: History,
    /// Share of the latest requests that the target got.
    load: f64,
    nodes: Vec<Node>,
    grey: Vec<String>,
    pending: Vec<Answer>,
    random: SmallRng,
    records: Vec<(u64, Record)>,
    result: Result,
    bad_ms: Vec<u64>,
}

/// An answer on its way.
struct Answer {
    at_ms: u64,
    node: usize,
    key: EndpointKey,
    outcome: Outcome,
    route: &'static str,
    retry: bool,
    target: bool,
}

/// Time after which an instance that runs and reaches the store is held to deadlines.
const STABILITY_WINDOW_MS: u64 = 4000;

/// When the order is given.
const ORDERED_MS: u64 = 3000;

fn endpoints() -> Vec<Listing> {
    let domains = ["a", "b", "c"];
    let mut listings = Vec::new();
    for version in ["v1", "v2"] {
        for number in 0..6 {
            let id = format!("{version}-{number}");
            let mut listing = listing(&id, SERVICE, domains[number % 3]);
            listing.slots = 1000;
            listing.version = Some(version.to_string());
            listings.push(listing);
        }
    }
    listings
}

fn node(history: &History, number: usize, incarnation: u64, names: &[String]) -> State {
    let domain = ["a", "b", "c"][number % 3];
    let mut state = State::new(
        settings(domain),
        SmallRng::seed_from_u64(history.seed ^ (number as u64 * 7919 + incarnation)),
    );
    state.configure(common::config(1));
    let holder = format!("{}@{incarnation}", names[number]);
    state.rollouts.set_holder(holder);
    for (other, name) in names.iter().enumerate() {
        state.members.set(name, ["a", "b", "c"][other % 3], 100);
    }
    for listing in endpoints() {
        state.change(at(0), Change::Set(listing));
    }
    state
}

/// Plays a history.
pub fn play(history: History) -> Result {
    let mut random = SmallRng::seed_from_u64(history.seed);
    let names = (0..history.instances).map(|number| format!("e{number}"));
    let names = names.collect::<Vec<_>>();
    let end_ms = ORDERED_MS + u64::try_from(history.duration.as_millis()).expect("short");
    let nodes = (0..history.instances).map(|number| {
        let is_cut = random.random_range(0..1000) < history.faults.cut_instances;
        let from = random.random_range(ORDERED_MS..end_ms);
        let restarts = random.random_range(0..1000) < history.faults.restarts;
        Node {
            acts_ms: random.random_range(0..ACTION_INTERVAL_MS),
            cut: if is_cut { (from, from + 3000) } else { (0, 0) },
            delay_ms: random.random_range(20..150),
            position: 0,
            restart_ms: if restarts {
                random.random_range(ORDERED_MS..end_ms)
            } else {
                u64::MAX
            },
            state: node(&history, number, 0, &names),
        }
    });
    let nodes = nodes.collect();
    let mut grey = Vec::new();
    for listing in endpoints() {
        if random.random_range(0..1000) < history.faults.grey_endpoints {
            grey.push(listing.id);
        }
    }
    let mut world = World {
        bad_ms: Vec::new(),
        grey,
        history,
        load: 0.0,
        nodes,
        pending: Vec::new(),
        random,
        records: Vec::new(),
        result: Result::default(),
    };
    let mut now_ms = 0;
    while now_ms < end_ms + 5000 {
        world.step(now_ms, end_ms, &names);
        now_ms += STEP_MS;
    }
    world.result
}

impl World {
    fn step(&mut self, now_ms: u64, end_ms: u64, names: &[String]) {
        let now = at(now_ms);
        for number in 0..self.nodes.len() {
            if self.nodes[number].restart_ms == now_ms / STEP_MS * STEP_MS {
                self.nodes[number].state = node(&self.history, number, now_ms, names);
                self.nodes[number].position = 0;
            }
            if now_ms >= self.nodes[number].acts_ms {
                self.read(number, now_ms);
                self.nodes[number].acts_ms = now_ms + ACTION_INTERVAL_MS;
                self.act(number, now, now_ms, &names[number]);
            }
        }
        self.answer(now_ms);
        let per_step = self.history.requests_per_s * STEP_MS;
        let mut requests = per_step / 1000;
        requests += u64::from(self.random.random_range(0..1000) < per_step % 1000);
        for _ in 0..requests {
            self.request(now_ms, end_ms);
        }
    }

    /// Lets an instance read the order, and the records that have reached it.
    fn read(&mut self, number: usize, now_ms: u64) {
        let node = &mut self.nodes[number];
        if node.is_cut(now_ms) {
            return;
        }
        let seen_ms = now_ms.saturating_sub(node.delay_ms);
        node.state.config_freshness.confirm(at(seen_ms));
        node.state.confirm_list(at(now_ms), at(seen_ms));
        node.state.rollouts.freshness.confirm(at(seen_ms));
        if seen_ms >= ORDERED_MS {
            node.state.set_order(
                at(now_ms),
                Order {
                    duration: self.history.duration,
                    id: ORDER,
                    service: SERVICE.to_string(),
                    target: "v2".to_string(),
                },
            );
        }
        while let Some((appended_ms, record)) = self.records.get(node.position) {
            if *appended_ms > seen_ms {
                break;
            }
            node.state.apply_rollout(at(now_ms), record.clone());
            node.position += 1;
        }
    }

    fn act(&mut self, number: usize, now: Time, now_ms: u64, name: &str) {
        if self.nodes[number].is_cut(now_ms) {
            return;
        }
        for _ in 0..MAX_TRIES {
            let node = &mut self.nodes[number];
            let Some(action) = node.state.next_rollout_action(now, name) else {
                return;
            };
            self.result.calls += 1;
            let is_lost = self.random.random_range(0..1000) < self.history.faults.lost_answers;
            let is_done = !is_lost || self.random.random_bool(0.5);
            match action {
                Action::Append(record) | Action::Publish { record, .. } => {
                    if is_lost {
                        node.state.rollouts.repeat_evidence(SERVICE);
                    }
                    if is_done {
                        self.append(now_ms, record);
                    }
                    return;
                }
                Action::AppendNext(record) if node.position == self.records.len() => {
                    if is_done {
                        self.append(now_ms, record);
                    }
                    return;
                }
                Action::AppendNext(_) => self.read_all(number, now),
            }
        }
    }

    /// Lets an instance whose append was refused read what it lacks.
    fn read_all(&mut self, number: usize, now: Time) {
        self.result.calls += 1;
        let node = &mut self.nodes[number];
        for (_, record) in &self.records[node.position..] {
            node.state.apply_rollout(now, record.clone());
        }
        node.position = self.records.len();
    }

    fn append(&mut self, now_ms: u64, mut record: Record) {
        if let Content::Claim(claim) = &mut record.content {
            claim.at = self.records.len() as u64;
        }
        if let Content::Version(version) = &record.content
            && version.stage.is_final()
        {
            self.result.stages.push(version.stage);
            self.result.decided_ms = now_ms - ORDERED_MS;
        }
        self.records.push((now_ms, record));
    }

    fn answer(&mut self, now_ms: u64) {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|answer| answer.at_ms <= now_ms);
        self.pending = pending;
        for answer in due {
            let is_bad = !matches!(answer.outcome, Outcome::Answered(_));
            if answer.target && is_bad {
                self.bad_ms.push(now_ms);
            }
            // A failed request that fails at another endpoint too is at fault itself.
            if is_bad && answer.retry {
                continue;
            }
            let state = &mut self.nodes[answer.node].state;
            state.observe(at(now_ms), answer.key, answer.route, answer.outcome);
        }
    }

    fn request(&mut self, now_ms: u64, end_ms: u64) {
        let number = self.random.random_range(0..self.nodes.len());
        let drawn = self.random.random_range(0..1000);
        let (route, _, fails) = if drawn < ROUTES[0].1 {
            ROUTES[0]
        } else {
            ROUTES[1]
        };
        let in_touch = self.nodes[number].is_in_touch(now_ms);
        let state = &mut self.nodes[number].state;
        let ticket = ticket(route, now_ms);
        let (pick, _) = state.pick_attempt(at(now_ms), &ticket, Need::default(), &[]);
        let Pick::Send(key, _) = pick else {
            return;
        };
        let endpoint = state.endpoint(key).expect("a listed endpoint");
        let id = endpoint.listing.id.clone();
        let is_target = id.starts_with("v2");
        let in_order = (ORDERED_MS..end_ms).contains(&now_ms);
        self.result.requests += u32::from(in_order);
        self.result.exposed += u32::from(in_order && is_target);
        let is_late = self.bad_ms.get(49).is_some_and(|bad| now_ms > bad + 5000);
        self.result.late += u32::from(is_target && is_late && in_touch);
        let completed = self.result.stages == [Stage::Completed];
        let since = now_ms.saturating_sub(ORDERED_MS + self.result.decided_ms);
        self.result.after_completion +=
            u32::from(completed && !is_target && in_touch && since > 300);
        let target = self.history.target;
        self.load += (f64::from(u8::from(is_target)) - self.load) / LOAD_REQUESTS;
        let affected = is_target
            && self.load >= target.from_load
            && now_ms >= ORDERED_MS + target.from_ms
            && (!target.one_route || route == ROUTES[0].0);
        let own_fault = self.random.random_range(0..1000) < fails;
        let grey = self.grey.contains(&id) && self.random.random_bool(0.4);
        let mut ms = 15.0 * (0.5 * normal(&mut self.random)).exp();
        let mut failed = own_fault || grey;
        match target.behavior {
            Behavior::Failing(share) if affected => failed |= self.random.random_bool(share),
            Behavior::Slow(times) if affected => ms *= times,
            Behavior::Good | Behavior::Failing(_) | Behavior::Slow(_) => {}
        }
        let took = Duration::from_secs_f64(ms / 1000.0);
        let outcome = if failed {
            Outcome::Failed
        } else {
            let timing = Timing {
                intervals: 0,
                prompt: 0,
                took,
            };
            Outcome::Answered(timing.class())
        };
        self.pending.push(Answer {
            at_ms: now_ms + u64::try_from(took.as_millis()).expect("short"),
            key,
            node: number,
            outcome,
            retry: own_fault && route == ROUTES[1].0,
            route,
            target: is_target,
        });
    }
}

fn ticket(route: &str, now_ms: u64) -> Ticket {
    let mut config = common::route(route, Kind::Idempotent, SERVICE);
    config.name = route.to_string();
    Ticket {
        customer: None,
        due: at(now_ms + 1000),
        expires: at(now_ms + 1000),
        priority: 0,
        route: config,
        service: SERVICE.to_string(),
        version: 1,
    }
}

/// A standard normal number.
fn normal(random: &mut SmallRng) -> f64 {
    let (one, other) = (
        random.random_range(1e-9..1.0_f64),
        random.random_range(0.0..1.0),
    );
    (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos()
}
