//! Long randomised runs of the shipped decisions.
//!
//! `HISTORIES` sets their number, `SEED` what they are drawn from, so that a long
//! run is `HISTORIES=1000000 SEED=7 cargo test --release -p decision --test histories`.

mod world;

use {
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    std::cell::RefCell,
    world::{Op, World},
};

/// Histories run where the environment names no number.
const HISTORIES: u32 = 10_000;

/// Seed where the environment names none.
const SEED: u64 = 20_261_203;

fn op() -> impl Strategy<Value = Op> {
    let place = 0..64_usize;
    prop_oneof![
        1 => (0..3_usize).prop_map(Op::Crash),
        14 => place.clone().prop_map(Op::Deliver),
        3 => (0..3_usize).prop_map(Op::Generate),
        1 => (0..3_usize, 0..3_usize).prop_map(|(core, missing)| Op::Lag(core, missing)),
        1 => place.clone().prop_map(Op::Leave),
        3 => place.clone().prop_map(Op::Lose),
        5 => (0..3_usize, 0..8_usize, prop::bool::weighted(0.1)).prop_map(|(c, k, b)| Op::Order(c, k, b)),
        1 => prop::bool::weighted(0.3).prop_map(Op::Outage),
        1 => Just(Op::Publish),
        8 => (0..3_usize, 0..4_usize).prop_map(|(core, most)| Op::Read(core, most)),
        2 => (0..3_usize, 0..8_usize).prop_map(|(core, place)| Op::Relay(core, place)),
        2 => place.prop_map(Op::Repeat),
        1 => Just(Op::Restart),
        10 => (1..600_u64).prop_map(Op::Tick),
        1 => (1_000..9_000_u64).prop_map(Op::Tick),
        1 => (0..8_usize).prop_map(Op::Trim),
    ]
}

/// Work that meets an engine which starts again and again, and little else.
fn cold_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..64_usize).prop_map(Op::Deliver),
        8 => (0..3_usize).prop_map(Op::Generate),
        2 => (0..3_usize, 0..3_usize).prop_map(|(core, missing)| Op::Lag(core, missing)),
        1 => (0..64_usize).prop_map(Op::Lose),
        14 => (0..3_usize).prop_map(|core| Op::Read(core, 3)),
        1 => Just(Op::Restart),
        10 => (100..600_u64).prop_map(Op::Tick),
    ]
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

/// Messages get lost, come late, twice and crossed; instances pause, die and come
/// back; the log goes away and loses its answers. A user would notice an order
/// run twice, a refusal that lies, a word missing or doubled, a request without
/// an answer, an engine thrown over at its start. None may occur in any history.
#[test]
fn no_history_breaks_a_promise() {
    run(&vec(op(), 1..120), setting("HISTORIES", HISTORIES));
}

/// Three instances have work for an engine that bears two requests after each of
/// its starts, and they learn of a start at different times. One request more
/// than it bears throws it over, and users see their streams cut.
#[test]
fn no_history_overruns_a_cold_engine() {
    run(&vec(cold_op(), 1..120), setting("HISTORIES", HISTORIES) / 2);
}

fn run(ops: &impl Strategy<Value = Vec<Op>>, cases: u32) {
    let seed = setting("SEED", SEED);
    println!("{cases} histories from seed {seed}");
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let faults = RefCell::new([0_u64; 5]);
    let result = TestRunner::new(config).run(ops, |ops| {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.settle();
        for (sum, faults) in faults.borrow_mut().iter_mut().zip(world.faults) {
            *sum += faults;
        }
        Ok(())
    });
    let [lost, repeated, crashed, outages, restarts] = faults.into_inner();
    println!(
        "lost {lost}, repeated {repeated}, crashed {crashed}, outages {outages}, restarts {restarts}"
    );
    if let Err(error) = result {
        panic!("{error}");
    }
}
