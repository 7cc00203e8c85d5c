//! One customer that presses, over many instances in simulated time.

mod common;

use {
    common::*,
    forward::fairness::{
        Capacity, Key, Shares,
        rates::{Row, add_rows, heaviest},
        sums::{Report, Scope, Sums},
        usual::Usual,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    std::{collections::VecDeque, time::Duration},
};

const STEP_MS: u64 = 50;
const STEP_SECONDS: f64 = 0.05;
const SEED: u64 = 11;

/// Steps between two messages of an instance, and the delay of each message.
const MESSAGE_INTERVAL_STEPS: u64 = 5;
const DELAY_STEPS: u64 = 2;

/// Steps between two computations of the shares.
const UPDATE_INTERVAL_STEPS: u64 = 3;

/// Age of what instances know of the room in use.
const FILL_AGE_STEPS: usize = 4;

/// Instances that report to all others; with more of them, the first two of each domain aggregate.
const MAX_MESH: usize = 17;
const DOMAINS: usize = 5;
const AGGREGATORS: usize = 2;

const CUSTOMERS: u32 = 24;
const MAX_ROWS: usize = 64;

/// The customer that presses: neither the largest nor a small one.
const PRESSING: u32 = 2;

/// Requests a second of all customers when calm, and the share of the room that they take.
const CALM_RATE: f64 = 120.0;
const CALM_FILL: f64 = 0.5;

/// Room of the service, and the part of it that may be used without others having to wait.
const ROOM: f64 = 60.0;
const SHARED: f64 = 0.75;

/// Longest time for which a request waits for room.
const PATIENCE_MS: u64 = 1000;

/// When the customer begins to press and when it stops.
const BEGIN_MS: u64 = 8000;
const END_MS: u64 = 16_000;

/// What callers ask for, and what the network does.
#[derive(Clone, Copy)]
struct Load {
    /// Growth of all customers' demand while the customer presses.
    burst: f64,
    /// Growth of the demand of the customer.
    growth: f64,
    /// Mean time for which a request holds its room, in milliseconds.
    hold_ms: f64,
    instances: usize,
    /// Whether the first instance gets and sends no messages.
    is_cut_off: bool,
    /// Whether customers are held to their shares.
    is_on: bool,
    /// Instance that has restarted a second after the customer begins to press.
    restarted: Option<usize>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            burst: 1.0,
            growth: 1.0,
            hold_ms: 1500.0,
            instances: 80,
            is_cut_off: false,
            is_on: true,
            restarted: None,
        }
    }
}

/// Requests of a group of customers.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    held_back: u32,
    in_time: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests of others at the first instance while the customer presses.
    at_first: Tally,
    /// Requests of others while the customer presses.
    others: Tally,
    /// Requests of the customer from two seconds after it has stopped.
    afterwards: Tally,
    /// Requests of the customer while it presses.
    pressing: Tally,
    /// Requests before.
    calm: Tally,
    /// Largest room in use.
    most: f64,
}

fn key(customer: u32) -> Key {
    Key::new("model", Some(&format!("customer {customer}")))
}

/// Share of a customer in the demand of all.
fn usual(customer: u32) -> f64 {
    let size = |customer| 1.0 / f64::from(customer + 2);
    size(customer) / (0..CUSTOMERS).map(size).sum::<f64>()
}

/// A message in transit: when it arrives, sender, recipient, report, and whether it is to be answered.
type Transit = (u64, usize, usize, Report, bool);

struct Simulation {
    load: Load,
    shares: Vec<Shares>,
    in_transit: VecDeque<Transit>,
    /// Share of the room in use in the last steps, the oldest first.
    fills: VecDeque<f64>,
    /// End and size of each request that holds room.
    running: Vec<(u64, f64)>,
    /// Requests that wait: until when, size, duration, customer, instance, and whether it counts.
    waiting: VecDeque<(u64, f64, u64, u32, usize)>,
    random: SmallRng,
    outcome: Outcome,
}

impl Simulation {
    fn new(load: Load) -> Self {
        println!("seed {SEED}, {} instances", load.instances);
        Self {
            load,
            shares: (0..load.instances).map(|_| Shares::default()).collect(),
            in_transit: VecDeque::new(),
            fills: VecDeque::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            random: SmallRng::seed_from_u64(SEED),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for step in 0..(END_MS + 6000) / STEP_MS {
            self.step(step);
        }
        println!("{:?}", self.outcome);
        self.outcome
    }

    fn step(&mut self, step: u64) {
        let now_ms = step * STEP_MS;
        if let Some(restarted) = self.load.restarted.filter(|_| now_ms == BEGIN_MS + 1000) {
            self.shares[restarted] = Shares::default();
        }
        self.deliver(step);
        for index in 0..self.shares.len() {
            if (step + index as u64).is_multiple_of(MESSAGE_INTERVAL_STEPS) {
                self.send(step, index);
            }
            if (step + index as u64).is_multiple_of(UPDATE_INTERVAL_STEPS) {
                let capacity = Capacity {
                    fill: self.fills.front().copied().unwrap_or_default(),
                    room: ROOM * SHARED,
                    service: key(0).service,
                };
                let instances = u32::try_from(self.load.instances).expect("few instances");
                self.shares[index].update(at(now_ms + 1), &[capacity], instances);
            }
        }
        self.running.retain(|(end, _)| *end > now_ms);
        self.start_waiting(now_ms);
        self.arrivals(now_ms);
        let used = self.running.iter().map(|(_, size)| size).sum::<f64>();
        self.outcome.most = self.outcome.most.max(used);
        self.fills.push_back(used / ROOM);
        if self.fills.len() > FILL_AGE_STEPS {
            self.fills.pop_front();
        }
    }

    fn arrivals(&mut self, now_ms: u64) {
        let pressing = (BEGIN_MS..END_MS).contains(&now_ms);
        for customer in 0..CUSTOMERS {
            let mut rate = CALM_RATE * usual(customer);
            if pressing {
                rate *= self.load.burst;
                if customer == PRESSING {
                    rate *= self.load.growth;
                }
            }
            let mut left = rate * STEP_SECONDS;
            while left > 0.0 {
                if left >= 1.0 || self.random.random_bool(left) {
                    self.arrive(now_ms, customer);
                }
                left -= 1.0;
            }
        }
    }

    fn arrive(&mut self, now_ms: u64, customer: u32) {
        let instance = self.random.random_range(0..self.load.instances);
        let hold = -self.random.random_range(0.001_f64..1.0).ln() * self.load.hold_ms;
        let hold = Duration::from_secs_f64(hold / 1000.0).as_millis();
        let hold = u64::try_from(hold).expect("a few seconds");
        let size = ROOM * CALM_FILL / (CALM_RATE * self.load.hold_ms / 1000.0);
        // What it is expected to take; how long it really takes is not known before.
        let cost = size * self.load.hold_ms / 1000.0;
        let shares = &mut self.shares[instance];
        shares.offer(at(now_ms + 1), key(customer), cost);
        let (chance, spread) = (self.random.random(), self.random.random());
        let admitted = !self.load.is_on || shares.admit(key(customer), chance, spread).is_ok();
        for tally in self.outcome.tallies(now_ms, customer, instance) {
            tally.asked += 1;
            tally.held_back += u32::from(!admitted);
        }
        if admitted {
            let until = now_ms + PATIENCE_MS;
            self.waiting
                .push_back((until, size, hold, customer, instance));
            self.start_waiting(now_ms);
        }
    }

    /// Starts requests that wait, in the order of their arrival, as far as there is room.
    fn start_waiting(&mut self, now_ms: u64) {
        let mut used = self.running.iter().map(|(_, size)| size).sum::<f64>();
        while let Some((until, size, hold, customer, instance)) = self.waiting.front().copied() {
            if until < now_ms {
                self.waiting.pop_front();
                continue;
            }
            if used + size > ROOM {
                return;
            }
            self.waiting.pop_front();
            used += size;
            self.running.push((now_ms + hold, size));
            let arrived = until - PATIENCE_MS;
            for tally in self.outcome.tallies(arrived, customer, instance) {
                tally.in_time += 1;
            }
        }
    }

    fn domain(&self, index: usize) -> usize {
        if self.load.instances > MAX_MESH {
            index % DOMAINS
        } else {
            0
        }
    }

    fn aggregates(&self, index: usize) -> bool {
        self.load.instances > MAX_MESH && index / DOMAINS < AGGREGATORS
    }

    fn is_silent(&self, index: usize) -> bool {
        self.load.is_cut_off && index == 0
    }

    fn send(&mut self, step: u64, index: usize) {
        let now = at(step * STEP_MS + 1);
        let number = step + 1;
        let domain = self.domain(index).to_string();
        let is_mesh = self.load.instances <= MAX_MESH;
        let own = self.shares[index].own(now);
        let rows = heaviest(&own, MAX_ROWS);
        if !is_mesh && !self.aggregates(index) {
            self.shares[index].sums.record_report(number, rows.clone());
        }
        let (sum, members) = self.shares[index].sums.domain(now, &domain, &own);
        let sum = heaviest(&sum, MAX_ROWS);
        for peer in 0..self.load.instances {
            let same_domain = self.domain(peer) == self.domain(index);
            if peer == index || !(is_mesh || self.aggregates(peer)) {
                continue;
            }
            if is_mesh || same_domain {
                let wanted = !is_mesh && !self.aggregates(index) && peer / DOMAINS == 0;
                let report = report(index, number, 1, &rows, Scope::Instance);
                self.post(step, index, peer, report, wanted);
            } else if self.aggregates(index) {
                let report = report(index, number, members, &sum, Scope::Domain);
                self.post(step, index, peer, report, false);
            }
        }
    }

    fn post(&mut self, step: u64, from: usize, to: usize, report: Report, wanted: bool) {
        if !self.is_silent(from) && !self.is_silent(to) {
            self.in_transit
                .push_back((step + DELAY_STEPS, from, to, report, wanted));
        }
    }

    fn deliver(&mut self, step: u64) {
        while let Some((due, ..)) = self.in_transit.front() {
            if *due > step {
                return;
            }
            let Some((_, from, to, message, wanted)) = self.in_transit.pop_front() else {
                return;
            };
            let now = at(step * STEP_MS + 1);
            let number = message.number;
            let usual = self.shares[from].usual().clone();
            let domain = self.domain(from).to_string();
            self.shares[to].adopt_usual(&usual);
            self.shares[to]
                .sums
                .update(now, &domain, &from.to_string(), message);
            if wanted {
                let own = self.shares[to].own(now);
                let (whole, members) = self.shares[to].sums.whole(now, &own);
                let rows = heaviest(&whole, MAX_ROWS);
                let answer = report(to, step + 1, members, &rows, Scope::All(number));
                self.post(step, to, from, answer, false);
            }
        }
    }
}

impl Outcome {
    /// The groups in which a request counts.
    fn tallies(&mut self, at_ms: u64, customer: u32, instance: usize) -> Vec<&mut Tally> {
        let is_pressing = customer == PRESSING;
        if at_ms < BEGIN_MS {
            return vec![&mut self.calm];
        }
        if at_ms < END_MS {
            if is_pressing {
                return vec![&mut self.pressing];
            }
            if instance == 0 {
                return vec![&mut self.others, &mut self.at_first];
            }
            return vec![&mut self.others];
        }
        if is_pressing && at_ms >= END_MS + 2000 {
            return vec![&mut self.afterwards];
        }
        Vec::new()
    }
}

fn report(from: usize, number: u64, members: u32, rows: &[Row], scope: Scope) -> Report {
    Report {
        members,
        number,
        rank: (std::cmp::Reverse(500), from as u64),
        rows: rows.to_vec(),
        scope,
    }
}

/// Largest loss of others against a day without the customer that presses: 2 in 100.
const MAX_LOSS: f64 = 0.02;

/// A customer asks for many times its usual; the others are served as without it, on few and many instances.
#[test]
fn others_are_served_while_one_customer_presses() {
    for instances in [7, 80, 300] {
        let calm = Simulation::new(Load {
            instances,
            ..Load::default()
        })
        .run();
        let growths: &[f64] = if instances > 100 {
            &[25.0]
        } else {
            &[4.0, 8.0, 25.0, 30.0]
        };
        for growth in growths.iter().copied() {
            let load = Load {
                growth,
                instances,
                ..Load::default()
            };
            let pressed = Simulation::new(load).run();
            let loss = calm.others.share() - pressed.others.share();
            assert!(loss <= MAX_LOSS, "{instances} instances, {growth}: {loss}");
            assert_eq!(pressed.others.held_back, 0, "only the one that presses");
        }
    }
}

/// The load that the others are protected from: without shares, they lose room to the customer.
#[test]
fn others_lose_room_if_customers_are_not_held_to_shares() {
    let load = Load {
        growth: 25.0,
        instances: 7,
        is_on: false,
        ..Load::default()
    };
    let outcome = Simulation::new(load).run();
    assert!(outcome.calm.share() > 0.98, "{outcome:?}");
    assert!(outcome.others.share() < 0.9, "{outcome:?}");
}

/// A customer presses while all ask for more than usual; the others lose no more than by the burst alone.
#[test]
fn others_lose_no_more_beside_a_burst() {
    for instances in [7, 80, 300] {
        let burst = Load {
            burst: 1.8,
            instances,
            ..Load::default()
        };
        let alone = Simulation::new(burst).run();
        assert_eq!(alone.others.held_back + alone.pressing.held_back, 0);
        let growths: &[f64] = if instances > 100 {
            &[25.0]
        } else {
            &[4.0, 25.0]
        };
        for growth in growths.iter().copied() {
            let pressed = Simulation::new(Load { growth, ..burst }).run();
            let loss = alone.others.share() - pressed.others.share();
            assert!(loss <= MAX_LOSS, "{instances} instances, {growth}: {loss}");
        }
    }
}

/// On a calm day, and where there is room for all that a customer asks for, nothing is refused.
#[test]
fn nothing_is_held_back_while_there_is_room() {
    for instances in [7, 80, 300] {
        for growth in [1.0, 2.5] {
            let load = Load {
                growth,
                instances,
                ..Load::default()
            };
            let outcome = Simulation::new(load).run();
            assert_eq!(outcome.calm.held_back, 0);
            assert_eq!(outcome.others.held_back, 0);
            if growth < 2.0 {
                assert_eq!(outcome.pressing.held_back, 0);
            }
        }
    }
}

/// The customer gets what the others leave: holding it back is no ban.
#[test]
fn pressing_customer_gets_what_others_leave() {
    let load = Load {
        growth: 25.0,
        ..Load::default()
    };
    let outcome = Simulation::new(load).run();
    let usual = CALM_RATE * usual(PRESSING) * 8.0;
    assert!(f64::from(outcome.pressing.in_time) >= usual, "{outcome:?}");
}

/// A customer that no longer presses is served in full within two seconds.
#[test]
fn customer_that_stops_is_free_within_two_seconds() {
    for instances in [7, 80, 300] {
        let load = Load {
            growth: 25.0,
            instances,
            ..Load::default()
        };
        let outcome = Simulation::new(load).run();
        assert!(outcome.afterwards.asked > 0);
        assert_eq!(outcome.afterwards.held_back, 0, "{instances} instances");
    }
}

/// An instance without messages of peers neither floods the service nor refuses other customers.
#[test]
fn instance_that_is_cut_off_keeps_others_served() {
    for instances in [7, 80, 300] {
        let load = Load {
            growth: 25.0,
            instances,
            is_cut_off: true,
            ..Load::default()
        };
        let calm = Simulation::new(Load {
            growth: 1.0,
            ..load
        })
        .run();
        let outcome = Simulation::new(load).run();
        let loss = calm.others.share() - outcome.others.share();
        assert!(loss <= MAX_LOSS, "{instances} instances: {loss}");
        assert_eq!(outcome.others.held_back, 0);
    }
}

/// An instance that starts while a customer presses takes what is usual from its peers.
#[test]
fn instance_that_starts_holds_the_pressing_customer_back() {
    for instances in [7, 80] {
        let load = Load {
            growth: 25.0,
            instances,
            restarted: Some(instances - 1),
            ..Load::default()
        };
        let calm = Simulation::new(Load {
            growth: 1.0,
            ..load
        })
        .run();
        let outcome = Simulation::new(load).run();
        let loss = calm.others.share() - outcome.others.share();
        assert!(loss <= MAX_LOSS, "{instances} instances: {loss}");
        assert_eq!(outcome.others.held_back, 0);
    }
}

/// Requests are shorter than the age of the sums, as at plain services.
#[test]
fn others_are_served_at_a_service_with_short_requests() {
    let load = Load {
        hold_ms: 200.0,
        ..Load::default()
    };
    let calm = Simulation::new(load).run();
    let outcome = Simulation::new(Load {
        growth: 25.0,
        ..load
    })
    .run();
    let loss = calm.others.share() - outcome.others.share();
    assert!(loss <= MAX_LOSS, "{loss}");
}

/// Thousands of customers ask for something; rows stay bounded and none is lost from the sum.
#[test]
fn rows_are_bounded_and_add_up_with_many_customers() {
    let mut shares = Shares::default();
    let now = at(10_000);
    for customer in 0..11_000 {
        shares.offer(now, key(customer), 1.0);
    }
    let rows = shares.own(now);
    assert!(rows.len() <= 513, "{}", rows.len());
    let kept = heaviest(&rows, MAX_ROWS);
    assert!(kept.len() <= MAX_ROWS);
    let asked = |rows: &[Row]| rows.iter().map(|row| row.requests).sum::<u32>();
    assert_eq!((asked(&rows), asked(&kept)), (11_000, 11_000));
    let mut twice = kept.clone();
    add_rows(&mut twice, &kept);
    assert_eq!(asked(&twice), 22_000);
}

/// Callers that are held back do not return together, and the longer the more their customer presses.
#[test]
fn return_is_spread_by_the_customers_own_excess() {
    let load = |growth| Load {
        growth,
        instances: 7,
        ..Load::default()
    };
    let longest = |growth| {
        let mut simulation = Simulation::new(load(growth));
        for step in 0..(BEGIN_MS + 4000) / STEP_MS {
            simulation.step(step);
        }
        let shares = &simulation.shares[0];
        let retry = |spread| shares.admit(key(PRESSING), 1.0, spread).err();
        (retry(0.0), retry(1.0))
    };
    let (mild_from, mild_to) = longest(14.0);
    let (hard_from, hard_to) = longest(30.0);
    assert!(mild_from.is_some() && mild_from < mild_to);
    assert_eq!(mild_from, hard_from);
    assert!(mild_to < hard_to);
}

fn row(customer: u32, offered: f64) -> Row {
    Row {
        key: key(customer),
        offered,
        requests: 20,
    }
}

/// A member's requests are in the total of its aggregator, which is older than what the member knows itself.
#[test]
fn member_counts_its_own_requests_once() {
    let mut sums = Sums::default();
    let now = at(5000);
    sums.record_report(7, vec![row(1, 10.0)]);
    let total = report(3, 1, 60, &[row(1, 30.0)], Scope::All(7));
    sums.update(now, "a", "aggregator", total);
    let (whole, members) = sums.whole(now, &[row(1, 12.0)]);
    assert_eq!((whole[0].offered, members), (32.0, 60));
    let late = report(3, 2, 60, &[row(1, 90.0)], Scope::All(6));
    sums.update(now, "a", "aggregator", late);
    assert_eq!(sums.whole(now, &[row(1, 12.0)]), (whole, 60));
}

/// Both aggregators of a domain report it, and some of its instances did so directly a moment before; each
/// request counts once.
#[test]
fn domain_counts_once() {
    let mut sums = Sums::default();
    let now = at(5000);
    for sender in ["first", "second"] {
        let sum = report(1, 1, 40, &[row(1, 20.0)], Scope::Domain);
        sums.update(now, "b", sender, sum);
        let own = report(1, 1, 1, &[row(1, 5.0)], Scope::Instance);
        sums.update(now, "b", sender, own);
    }
    let own = report(1, 1, 1, &[row(1, 2.0)], Scope::Instance);
    sums.update(now, "a", "neighbour", own);
    let (whole, members) = sums.whole(now, &[row(1, 1.0)]);
    assert_eq!((whole[0].offered, members), (23.0, 42));
    let (domain, members) = sums.domain(now, "a", &[row(1, 1.0)]);
    assert_eq!((domain[0].offered, members), (3.0, 2));
}

/// A customer that presses for long must not become entitled to it.
#[test]
fn pressing_does_not_become_usual() {
    let mut usual = Usual::default();
    for tick in 1..=300 {
        let is_pressing = tick > 200;
        let mut rows = vec![row(1, if is_pressing { 25.0 } else { 1.0 }), row(2, 1.0)];
        rows.sort_by_key(|row| row.key);
        usual.observe(at(tick * 100), &rows);
    }
    assert!(usual.of(key(1)) < 2.0, "{}", usual.of(key(1)));
}
