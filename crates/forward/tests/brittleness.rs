//! Endpoints that fall over when they reject too many requests within a second.

mod common;

use {
    common::*,
    forward::{
        brittleness::{Brittleness, Exposure},
        load::digest,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
};

/// How long the endpoints are brittle.
const BRITTLE_MS: u64 = 20_000;

/// Time from which on they may let fewer wait, and fall over.
const STABILITY_WINDOW_MS: u64 = 3000;

/// Time after which an endpoint that fell over is back.
const RESTART_MS: u64 = 3000;

const DESKS: [&str; 3] = ["d0", "d1", "d2"];
const SLOTS: usize = 6;

/// Three desks with six slots each, at 30 ms a request.
const CAPACITY_PER_MS: f64 = 0.6;

const STEP_MS: u64 = 2;
const WORK_MS: u64 = 30;

/// Half of the time that a sent request takes until its answer is back, beside the work.
const ONE_WAY_MS: u64 = 1;

/// Interval of reports between instances; they arrive one step later.
const REPORT_MS: u64 = 50;

/// A limit that no answer has repeated for long no longer holds, and one without it ends it at once.
#[test]
fn limit_follows_the_answers() {
    let mut brittleness = Brittleness::default();
    assert!(!brittleness.record(at(0), "desk", None));
    assert!(brittleness.record(at(0), "desk", Some(8)));
    assert!(!brittleness.record(at(5), "desk", Some(8)));
    assert_eq!(brittleness.limit(at(10), "desk"), Some(8));
    assert_eq!(brittleness.limit(at(10), "model"), None);
    assert_eq!(brittleness.limit(at(20_000), "desk"), None);
    assert!(brittleness.record(at(20_000), "desk", None));
    assert_eq!(brittleness.limit(at(20_000), "desk"), None);
}

/// Sends that are in flight together may all be rejected together.
#[test]
fn unanswered_sends_count_as_rejections() {
    let mut exposure = Exposure::default();
    assert!(exposure.allows(at(0), 8, 4));
    exposure.record_send();
    assert!(exposure.allows(at(0), 8, 4));
    exposure.record_send();
    assert!(!exposure.allows(at(0), 8, 4));
    exposure.record_end();
    assert!(exposure.allows(at(10), 8, 4));
    exposure.record_rejection(at(10));
    assert!(!exposure.allows(at(900), 8, 4));
    assert!(exposure.allows(at(1200), 8, 4));
}

/// Where there are more instances than rejections, each waits for its turn.
#[test]
fn share_below_one_is_a_longer_wait() {
    let mut exposure = Exposure::default();
    exposure.record_rejection(at(60_000));
    assert!(!exposure.allows(at(64_900), 2, 10));
    assert!(exposure.allows(at(65_200), 2, 10));
}

/// An endpoint of the simulation.
#[derive(Clone, Debug, Default)]
struct Desk {
    down_until: u64,
    falls: usize,
    /// When each request in progress ends.
    ends: Vec<u64>,
    rejected: Vec<u64>,
}

/// What becomes of a request that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Accepted,
    Rejected,
    Refused,
}

/// A request on its way to an endpoint or back.
#[derive(Clone, Copy, Debug)]
struct Sent {
    answer: Option<Answer>,
    desk: usize,
    due: u64,
    instance: usize,
    key: EndpointKey,
}

impl Desk {
    fn take(&mut self, now: u64, waiting: usize, limit: usize) -> Answer {
        if now < self.down_until {
            return Answer::Refused;
        }
        self.ends.retain(|end| *end > now);
        if self.ends.len() < SLOTS + waiting {
            let ahead = (self.ends.len() + 1).saturating_sub(SLOTS) as u64;
            self.ends
                .push(now + WORK_MS + ahead * WORK_MS / SLOTS as u64);
            return Answer::Accepted;
        }
        self.rejected.retain(|at| now - at < 1000);
        self.rejected.push(now);
        if self.rejected.len() > limit {
            self.rejected.clear();
            self.ends.clear();
            self.falls += 1;
            self.down_until = now + RESTART_MS;
        }
        Answer::Rejected
    }
}

/// How many requests were served, and how often endpoints fell over.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    falls: usize,
    served: usize,
}

/// Conditions of a brittle time.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    instances: usize,
    /// Rejections per second that a desk bears.
    limit: u32,
    /// Requests as a share of what the desks can serve.
    load: f64,
    seed: u64,
    /// Whether answers state the limit.
    stated: bool,
}

/// Instances in front of brittle desks.
struct Simulation {
    conditions: Conditions,
    desks: Vec<Desk>,
    outcome: Outcome,
    random: SmallRng,
    sent: Vec<Sent>,
    states: Vec<State>,
    /// Requests that wait at each instance.
    waiting: Vec<usize>,
}

impl Simulation {
    fn new(conditions: Conditions) -> Self {
        let listings = DESKS.map(|id| listing(id, "desk", "a"));
        let states = (0..conditions.instances).map(|number| {
            let mut state = instance_in("a", conditions.seed ^ number as u64, &listings);
            state.update_instance_count(conditions.instances);
            state
        });
        Self {
            conditions,
            desks: vec![Desk::default(); DESKS.len()],
            outcome: Outcome::default(),
            random: SmallRng::seed_from_u64(conditions.seed),
            sent: Vec::new(),
            states: states.collect(),
            waiting: vec![0; conditions.instances],
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = 0;
        while now < BRITTLE_MS {
            let arrivals = CAPACITY_PER_MS * self.conditions.load * 2.0;
            let mut left = arrivals;
            while left >= 1.0 || (left > 0.0 && self.random.random_bool(left)) {
                let instance = self.random.random_range(0..self.waiting.len());
                self.waiting[instance] += 1;
                left -= 1.0;
            }
            let (due, rest) = self.sent.drain(..).partition(|sent| sent.due <= now);
            self.sent = rest;
            self.deliver(now, due);
            if now.is_multiple_of(REPORT_MS) {
                self.report(now);
            }
            for instance in 0..self.states.len() {
                self.send(now, instance);
            }
            now += STEP_MS;
        }
        self.outcome.falls = self.desks.iter().map(|desk| desk.falls).sum();
        self.outcome
    }

    /// Delivers requests to desks, and answers to instances.
    fn deliver(&mut self, now: u64, due: Vec<Sent>) {
        let Conditions { limit, stated, .. } = self.conditions;
        let queue = if now > STABILITY_WINDOW_MS { 0 } else { 4 };
        for request in due {
            let Some(answer) = request.answer else {
                let desk = &mut self.desks[request.desk];
                let answer = desk.take(now, queue, limit as usize);
                let ends = desk.ends.last().copied().unwrap_or(now);
                let due = if answer == Answer::Accepted {
                    ends
                } else {
                    now
                } + ONE_WAY_MS;
                let answer = Some(answer);
                self.sent.push(Sent {
                    answer,
                    due,
                    ..request
                });
                continue;
            };
            let state = &mut self.states[request.instance];
            let endpoint = state.endpoint_mut(request.key).expect("listed");
            endpoint.in_flight -= 1;
            endpoint.exposure.record_end();
            match answer {
                Answer::Accepted => {
                    self.outcome.served += 1;
                    endpoint.record_answer(false);
                }
                Answer::Rejected => {
                    endpoint.exposure.record_rejection(at(now));
                    endpoint.mark_full(at(now));
                }
                Answer::Refused => endpoint.mark_unreachable(at(now)),
            }
            if stated && answer != Answer::Refused {
                state.brittleness.record(at(now), "desk", Some(limit));
            }
        }
    }

    /// Sends what waits at an instance, as far as it finds an endpoint.
    fn send(&mut self, now: u64, instance: usize) {
        let state = &mut self.states[instance];
        while self.waiting[instance] > 0 {
            let Pick::Send(key, _) = state.pick(at(now), "desk", Need::default(), &[]) else {
                return;
            };
            let endpoint = state.endpoint_mut(key).expect("listed");
            endpoint.in_flight += 1;
            endpoint.exposure.record_send();
            self.waiting[instance] -= 1;
            self.sent.push(Sent {
                answer: None,
                desk: endpoint.listing.id[1..].parse().expect("a number"),
                due: now + ONE_WAY_MS,
                instance,
                key,
            });
        }
    }

    /// Exchanges the load of all instances.
    fn report(&mut self, now: u64) {
        let reports = self.states.iter().map(State::report).collect::<Vec<_>>();
        for (index, state) in self.states.iter_mut().enumerate() {
            let others = reports.iter().enumerate();
            for (other, report) in others.filter(|(other, _)| *other != index) {
                let rows = report.iter().map(|(id, load)| (digest(id), *load));
                let name = format!("e{other}");
                state
                    .peer_loads
                    .update(&name, at(now), now + 1, rows.collect());
            }
        }
    }
}

/// Falls that are allowed in one brittle time of three desks: two and a tenth of their number.
const MAX_FALLS: usize = 2;

/// Plays a brittle time with seven instances, and the same with a limit that is not stated.
fn play_small(seed: u64, limit: u32, load: f64) -> (Outcome, Outcome) {
    let conditions = Conditions {
        instances: 7,
        limit,
        load,
        seed,
        stated: true,
    };
    let ignored = Conditions {
        stated: false,
        ..conditions
    };
    let outcomes = (
        Simulation::new(conditions).run(),
        Simulation::new(ignored).run(),
    );
    println!("seed {seed}, limit {limit}, load {load}: {outcomes:?}");
    outcomes
}

/// Callers want more than brittle endpoints can serve. Instances that send on as usual are rejected a few
/// times a second each, and together bring the endpoints down one after the other.
#[test]
fn brittle_endpoints_do_not_fall_over_under_overload() {
    let mut fell = 0;
    for seed in 1..=3 {
        for limit in [3, 10, 30] {
            for load in [0.7, 1.0, 2.0] {
                let (kept, ignored) = play_small(seed, limit, load);
                assert!(kept.falls <= MAX_FALLS, "{kept:?}");
                fell += usize::from(ignored.falls > MAX_FALLS);
                assert!(kept.served > ignored.served / 2, "{kept:?}, {ignored:?}");
            }
        }
    }
    assert!(
        fell > 0,
        "no endpoint falls over though the limit is ignored"
    );
}

/// The same among many instances, of which each has a share of less than one rejection per second.
#[test]
fn brittle_endpoints_do_not_fall_over_among_many_instances() {
    for seed in 1..=2 {
        for (limit, load) in [(3, 1.0), (10, 0.7), (10, 2.0), (30, 2.0)] {
            let outcome = Simulation::new(Conditions {
                instances: 80,
                limit,
                load,
                seed,
                stated: true,
            });
            let outcome = outcome.run();
            println!("seed {seed}, limit {limit}, load {load}: {outcome:?}");
            assert!(outcome.falls <= MAX_FALLS, "{outcome:?}");
        }
    }
}
