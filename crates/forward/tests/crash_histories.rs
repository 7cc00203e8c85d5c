//! Randomised histories of requests that crash endpoints, and of harmless ones beside them, at
//! instances that share their knowledge through a store which they cannot always reach.
//!
//! `HISTORIES` sets their number and `SEED` the seed.

mod common;

use {
    common::*,
    forward::{
        fingerprint::Fingerprint,
        suspects::{Change as CrashChange, Crash, MAX_CRASHES, Suspects},
    },
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

const INSTANCES: usize = 4;
const ENGINES: usize = 9;

/// Default number of histories.
const HISTORIES: u32 = 2000;

/// Default seed.
const SEED: u64 = 20_261_203;

/// Time within which an instance that reaches the store knows of what was published.
const WINDOW_MS: u64 = 3000;

/// Longest time between two synchronisations of an instance that reaches the store.
const SYNC_INTERVAL_MS: u64 = 1000;

/// Time after which an engine that crashed is back.
const ENGINE_RESTART_MS: u64 = 4000;

/// Time that a harmless request takes.
const RUN_MS: u64 = 1200;

/// Time that the fatal request takes to crash an engine where it does not do so at once.
const FATAL_RUN_MS: u64 = 700;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An instance cannot reach the store for some milliseconds.
    Cut(usize, u64),
    /// An engine crashes for a reason of its own.
    Crash(usize),
    /// An instance receives the request that crashes engines, for an engine.
    Fatal(usize, usize),
    /// An instance receives the same request, which crashes the engine only after a while.
    SlowFatal(usize, usize),
    /// An instance receives a harmless request, one of a few that are repeated, for an engine.
    Harmless(usize, usize, usize),
    /// An instance is replaced and knows nothing.
    Restart(usize),
    /// An instance exchanges records with the store.
    Sync(usize),
    Tick(u64),
}

/// A run of a harmless request.
#[derive(Clone, Copy, Debug)]
struct HarmlessRun {
    body: usize,
    engine: usize,
    ends: u64,
    instance: usize,
}

/// A run of the fatal request.
#[derive(Clone, Copy, Debug)]
struct FatalRun {
    crashes_at: u64,
    engine: usize,
    instance: usize,
}

#[derive(Debug, Default)]
struct Instance {
    cut_until: u64,
    /// Since when it runs and reaches the store.
    connected_since: u64,
    position: usize,
    suspects: Suspects,
    synced_at: u64,
}

#[derive(Debug, Default)]
struct Simulation {
    /// Number of times each engine has crashed.
    crashes: [u64; ENGINES],
    down_until: [u64; ENGINES],
    fatal_runs: Vec<FatalRun>,
    fatal_stopped: usize,
    harmless_refused: usize,
    harmless_sent: usize,
    instances: [Instance; INSTANCES],
    log: Vec<(u64, CrashChange)>,
    now: u64,
    runs: Vec<HarmlessRun>,
    /// Engines that the fatal request has crashed.
    fatal_crashes: usize,
}

fn fatal() -> Fingerprint {
    Fingerprint::new(Some("eve"), "h.example", "/draft/x", b"fatal")
}

fn harmless(body: usize) -> Fingerprint {
    Fingerprint::new(
        Some("ada"),
        "h.example",
        "/look/x",
        &[u8::try_from(body).unwrap_or(0)],
    )
}

impl Simulation {
    fn step(&mut self, op: Op) {
        match op {
            Op::Crash(engine) => self.crash(engine),
            Op::Cut(index, millis) => {
                let until = self.now + millis;
                let instance = &mut self.instances[index];
                instance.cut_until = instance.cut_until.max(until);
                instance.connected_since = instance.cut_until;
            }
            Op::Fatal(index, engine) => self.send_fatal(index, engine, 0),
            Op::SlowFatal(index, engine) => self.send_fatal(index, engine, FATAL_RUN_MS),
            Op::Harmless(index, engine, body) => self.send_harmless(index, engine, body),
            Op::Restart(index) => {
                self.runs.retain(|run| run.instance != index);
                self.fatal_runs.retain(|run| run.instance != index);
                let instance = &mut self.instances[index];
                *instance = Instance {
                    connected_since: self.now.max(instance.cut_until),
                    cut_until: instance.cut_until,
                    ..Instance::default()
                };
            }
            Op::Sync(index) => self.sync(index),
            Op::Tick(millis) => self.tick(millis),
        }
    }

    fn tick(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(100) {
            self.now += 100;
            let (ended, running) = self.runs.iter().partition(|run| run.ends <= self.now);
            self.runs = running;
            let ended: Vec<HarmlessRun> = ended;
            for run in ended {
                let suspects = &mut self.instances[run.instance].suspects;
                suspects.record_completion(at(self.now), harmless(run.body));
            }
            for index in 0..INSTANCES {
                self.instances[index].suspects.expire(at(self.now));
                if self.now >= self.instances[index].synced_at + SYNC_INTERVAL_MS {
                    self.sync(index);
                }
            }
            self.run_fatal();
        }
    }

    /// Publishes what the instance has to publish, and applies what the others have published.
    fn sync(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if now < instance.cut_until {
            return;
        }
        instance.synced_at = now;
        let changes = instance.suspects.unpublished().to_vec();
        self.log
            .extend(changes.into_iter().map(|change| (now, change)));
        for (_, change) in &self.log[instance.position..] {
            match change.clone() {
                CrashChange::Cleared(crash) => instance.suspects.apply_removal(crash),
                CrashChange::Crashed(crash) => instance.suspects.apply_crash(at(now), crash),
            }
        }
        instance.position = self.log.len();
    }

    /// An engine crashes, and each instance sees the runs there break.
    fn crash(&mut self, engine: usize) {
        if self.now < self.down_until[engine] {
            return;
        }
        let endpoint = self.incarnation(engine);
        self.crashes[engine] += 1;
        self.down_until[engine] = self.now + ENGINE_RESTART_MS;
        let (broken, running) = self.runs.iter().partition(|run| run.engine == engine);
        self.runs = running;
        let broken: Vec<HarmlessRun> = broken;
        for run in broken {
            let crash = Crash {
                endpoint: endpoint.clone(),
                events: 0,
                fingerprint: harmless(run.body),
            };
            let suspects = &mut self.instances[run.instance].suspects;
            suspects.record_crash(at(self.now), crash);
        }
    }

    /// Stops runs of the fatal request, and lets those that are not stopped crash their engines.
    fn run_fatal(&mut self) {
        let now = self.now;
        let running = self.fatal_runs.len();
        let instances = &self.instances;
        self.fatal_runs.retain(|run| {
            let suspects = &instances[run.instance].suspects;
            !suspects.stops(at(now), fatal(), 0)
        });
        self.fatal_stopped += running - self.fatal_runs.len();
        let runs = std::mem::take(&mut self.fatal_runs);
        let (due, running) = runs.into_iter().partition(|run| run.crashes_at <= now);
        self.fatal_runs = running;
        let due: Vec<FatalRun> = due;
        for run in due {
            self.crash_by_fatal(run.instance, run.engine);
        }
    }

    fn incarnation(&self, engine: usize) -> String {
        format!("m{engine}@{}", self.crashes[engine])
    }

    fn send_fatal(&mut self, index: usize, engine: usize, takes_ms: u64) {
        let refused = self.instances[index]
            .suspects
            .refuses(at(self.now), fatal());
        if refused || self.now < self.down_until[engine] {
            return;
        }
        if takes_ms == 0 {
            self.crash_by_fatal(index, engine);
            return;
        }
        self.fatal_runs.push(FatalRun {
            crashes_at: self.now + takes_ms,
            engine,
            instance: index,
        });
    }

    fn crash_by_fatal(&mut self, index: usize, engine: usize) {
        if self.now < self.down_until[engine] {
            return;
        }
        let known = self.known(fatal());
        assert!(
            !self.in_touch(index) || known < MAX_CRASHES,
            "instance {index} sends or runs a request that has crashed {known} engines"
        );
        let crash = Crash {
            endpoint: self.incarnation(engine),
            events: 0,
            fingerprint: fatal(),
        };
        self.crash(engine);
        self.fatal_crashes += 1;
        let suspects = &mut self.instances[index].suspects;
        assert!(suspects.record_crash(at(self.now), crash));
    }

    fn send_harmless(&mut self, index: usize, engine: usize, body: usize) {
        if self.now < self.down_until[engine] {
            return;
        }
        let refused = self.instances[index]
            .suspects
            .refuses(at(self.now), harmless(body));
        if refused {
            self.harmless_refused += 1;
            assert!(
                !self.in_touch(index) || self.countable(index, harmless(body)) >= MAX_CRASHES,
                "a harmless request is refused although it was cleared"
            );
            return;
        }
        self.harmless_sent += 1;
        self.runs.push(HarmlessRun {
            body,
            engine,
            ends: self.now + RUN_MS,
            instance: index,
        });
    }

    /// Whether an instance has run and reached the store for the whole window.
    fn in_touch(&self, index: usize) -> bool {
        self.now >= self.instances[index].connected_since + WINDOW_MS
    }

    /// Number of crashes of a request that were published and not cleared in all of the window
    /// before now.
    fn known(&self, fingerprint: Fingerprint) -> usize {
        let mut crashes = BTreeMap::new();
        for (at, change) in &self.log {
            match change {
                CrashChange::Crashed(crash) if crash.fingerprint == fingerprint => {
                    crashes.entry(&crash.endpoint).or_insert(*at);
                }
                CrashChange::Cleared(crash) if crash.fingerprint == fingerprint => {
                    crashes.remove(&crash.endpoint);
                }
                _ => {}
            }
        }
        let known = crashes.values().filter(|at| **at + WINDOW_MS <= self.now);
        known.count()
    }

    /// Number of crashes of a request that an instance may count: those published that were not
    /// cleared before the window, and its own.
    fn countable(&self, index: usize, fingerprint: Fingerprint) -> usize {
        let mut endpoints = BTreeSet::new();
        for (at, change) in &self.log {
            match change {
                CrashChange::Crashed(crash) if crash.fingerprint == fingerprint => {
                    endpoints.insert(&crash.endpoint);
                }
                CrashChange::Cleared(crash)
                    if crash.fingerprint == fingerprint && *at + WINDOW_MS <= self.now =>
                {
                    endpoints.remove(&crash.endpoint);
                }
                _ => {}
            }
        }
        for change in self.instances[index].suspects.unpublished() {
            if let CrashChange::Crashed(crash) = change
                && crash.fingerprint == fingerprint
            {
                endpoints.insert(&crash.endpoint);
            }
        }
        endpoints.len()
    }
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..INSTANCES;
    let engine = 0..ENGINES;
    prop_oneof![
        1 => (index.clone(), 500..8000_u64).prop_map(|(index, millis)| Op::Cut(index, millis)),
        2 => engine.clone().prop_map(Op::Crash),
        8 => (index.clone(), engine.clone()).prop_map(|(index, engine)| Op::Fatal(index, engine)),
        8 => (index.clone(), engine.clone())
            .prop_map(|(index, engine)| Op::SlowFatal(index, engine)),
        8 => (index.clone(), engine, 0..4_usize)
            .prop_map(|(index, engine, body)| Op::Harmless(index, engine, body)),
        1 => index.clone().prop_map(Op::Restart),
        8 => index.prop_map(Op::Sync),
        8 => (1..900_u64).prop_map(Op::Tick),
        1 => (900..9000_u64).prop_map(Op::Tick),
    ]
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Instances are cut off from the store and replaced while a request crashes engines. One that has
/// reached the store for three seconds must not send the request once three crashes were
/// published, and must not refuse a harmless one whose crashes were cleared.
#[test]
fn instances_in_touch_refuse_what_crashes_engines_and_nothing_else() {
    let config = ProptestConfig {
        cases: setting("HISTORIES", HISTORIES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(setting("SEED", SEED)),
        ..ProptestConfig::default()
    };
    println!("seed {}", setting("SEED", SEED));
    let totals = Cell::new([0; 4]);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&vec(op(), 1..200), |ops| {
        let mut simulation = Simulation::default();
        for op in ops {
            simulation.step(op);
        }
        let [crashes, stopped, sent, refused] = totals.get();
        totals.set([
            crashes + simulation.fatal_crashes,
            stopped + simulation.fatal_stopped,
            sent + simulation.harmless_sent,
            refused + simulation.harmless_refused,
        ]);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let [crashes, stopped, sent, refused] = totals.get();
    println!(
        "{crashes} engines crashed by the fatal request, {stopped} runs stopped; \
         harmless: {sent} sent, {refused} refused"
    );
    assert!(
        crashes > 0 && stopped > 0 && sent > 0,
        "the histories sent nothing"
    );
}
