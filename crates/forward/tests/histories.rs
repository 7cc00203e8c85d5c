//! Randomised simulations of decisions on knowledge of differing age.
//!
//! `HISTORIES` sets their number and `SEED` the seed, as in
//! `HISTORIES=1000000 SEED=7 cargo test --release -p forward --test histories`.

mod common;
mod simulation;

use {
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    simulation::{ENGINES, INSTANCES, KEYS, Op, Simulation},
    std::cell::Cell,
};

/// Default number of simulations.
const HISTORIES: u32 = 3000;

/// Default seed.
const SEED: u64 = 20_261_203;

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..INSTANCES;
    let engine = 0..ENGINES;
    prop_oneof![
        12 => (index.clone(), 0..2_usize).prop_map(|(index, topic)| Op::Ask(index, topic)),
        12 => (index.clone(), 0..2_usize).prop_map(|(index, topic)| Op::Answer(index, topic)),
        2 => (index.clone(), 500..8000_u64).prop_map(|(index, millis)| Op::Cut(index, millis)),
        1 => (0..3_usize, any::<bool>()).prop_map(|(domain, out)| Op::Domain(domain, out)),
        2 => (index.clone(), 500..7000_u64).prop_map(|(index, millis)| Op::Freeze(index, millis)),
        3 => (0..KEYS, any::<bool>()).prop_map(|(key, held)| Op::Key(key, held)),
        10 => (index.clone(), index.clone()).prop_map(|(index, from)| Op::Echo(index, from)),
        1 => engine.clone().prop_map(Op::Leave),
        1 => index.clone().prop_map(Op::PowerLoss),
        24 => (index.clone(), 0..KEYS).prop_map(|(index, key)| Op::Request(index, key)),
        2 => engine.clone().prop_map(Op::Start),
        8 => (index.clone(), index, 1..3000_u64, any::<bool>())
            .prop_map(|(from, to, delay_ms, records)| Op::Report(from, to, delay_ms, records)),
        16 => (1..400_u64).prop_map(Op::Tick),
        2 => (400..5000_u64).prop_map(Op::Tick),
        1 => engine.prop_map(Op::Vanish),
    ]
}

/// With delays, freezes and partitions, no instance accepts a key that was revoked too long ago,
/// rejects one that has long been valid, or sends work to a leaving engine or a disabled failure
/// domain.
#[test]
fn random_histories_keep_invariants() {
    let config = ProptestConfig {
        cases: setting("HISTORIES", HISTORIES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(setting("SEED", SEED)),
        ..ProptestConfig::default()
    };
    println!("seed {}", setting("SEED", SEED));
    let sent = Cell::new(0);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&vec(op(), 1..150), |ops| {
        let mut simulation = Simulation::new(1);
        for op in ops {
            simulation.step(op);
        }
        sent.set(sent.get() + simulation.sent().values().sum::<usize>());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    println!("{} requests were sent", sent.get());
    assert!(sent.get() > 0, "the histories sent nothing");
}
