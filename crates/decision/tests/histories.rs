//! Randomized fault-injection tests of the decision logic.
//!
//! The environment variables `HISTORIES` and `SEED` set the number of histories and the seed:
//! `HISTORIES=1000000 SEED=7 cargo test --release -p decision --test histories`.

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

/// Number of histories if `HISTORIES` is not set.
const DEFAULT_HISTORIES: u32 = 10_000;

/// Seed if `SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_203;

fn op() -> impl Strategy<Value = Op> {
    let index = 0..64_usize;
    prop_oneof![
        1 => (0..3_usize).prop_map(Op::Crash),
        14 => index.clone().prop_map(Op::Deliver),
        3 => (0..3_usize).prop_map(Op::Generate),
        1 => (0..3_usize, 0..3_usize).prop_map(|(core, missing)| Op::Lag(core, missing)),
        1 => index.clone().prop_map(Op::Disconnect),
        3 => index.clone().prop_map(Op::Lose),
        5 => (0..3_usize, 0..8_usize, prop::bool::weighted(0.1)).prop_map(|(c, k, b)| Op::Order(c, k, b)),
        1 => prop::bool::weighted(0.3).prop_map(Op::Outage),
        1 => Just(Op::Publish),
        8 => (0..3_usize, 0..4_usize).prop_map(|(core, max)| Op::Read(core, max)),
        2 => (0..3_usize, 0..8_usize).prop_map(|(core, index)| Op::Relay(core, index)),
        2 => index.prop_map(Op::Repeat),
        1 => Just(Op::Restart),
        10 => (1..600_u64).prop_map(Op::Tick),
        1 => (1_000..9_000_u64).prop_map(Op::Tick),
        1 => (0..8_usize).prop_map(Op::Trim),
    ]
}

/// Operations that send generations to an engine that restarts often, with few other faults.
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

/// Messages are lost, delayed, duplicated and reordered; instances crash; the log becomes
/// unavailable and loses acknowledgements. No order may run twice, no request that ran be
/// reported as not run, no token be missing or repeated, no request go unanswered, and no cold
/// engine be overloaded.
#[test]
fn invariants_hold_in_random_histories() {
    run(&vec(op(), 1..120), setting("HISTORIES", DEFAULT_HISTORIES));
}

/// Three instances that learn of an engine's restart at different times must together not
/// exceed its limit of two concurrent requests while it is cold.
#[test]
fn cold_engine_limit_holds_in_random_histories() {
    run(
        &vec(cold_op(), 1..120),
        setting("HISTORIES", DEFAULT_HISTORIES) / 2,
    );
}

fn run(ops: &impl Strategy<Value = Vec<Op>>, cases: u32) {
    let seed = setting("SEED", DEFAULT_SEED);
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
