//! A randomized soak of the real program: instances as processes of their own before
//! stand-ins, with a proxy on each way, while signals, operators and back ends do what they
//! like. The promises are checked from what callers and back ends see.
//!
//! `SOAK_SEEDS` sets how many seeds are run, `SOAK_SEED` the first, `SOAK_SECONDS` for how
//! long: `SOAK_SEEDS=50 SOAK_SEED=100 cargo test --release --test soak -- --nocapture`.

mod callers;
mod deployment;
#[path = "../forwarding/instance.rs"]
mod instance;
mod loopback;
mod script;

use {
    callers::{Record, check_events},
    deployment::Deployment,
    http::StatusCode,
    platform::standin::{
        Engine,
        caller::{CallerRequest, send_request},
    },
    rand::{SeedableRng as _, rngs::SmallRng},
    script::{Script, Theme},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Callers at work.
const CALLERS: usize = 20;

/// Time after which a key that was taken away must not be used any more, with a second for
/// the way of a request on a machine that is busy with other things.
const REVOCATION: Duration = Duration::from_secs(6);

/// Seeds that failed once; they are run again each time.
///
/// None so far.
const REGRESSIONS: [u64; 0] = [];

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

/// Any of this may happen to an operator on any day, in series and at once. A caller would
/// notice an answer that is another's or not whole, a booking made twice, a booking made
/// though it was told that it was not, a key that still works long after it was taken away;
/// an operator instances that do not serve again once all is well.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_faults() {
    let (first, count) = (setting("SOAK_SEED", 1), setting("SOAK_SEEDS", 2));
    let length = Duration::from_secs(setting("SOAK_SECONDS", 6));
    let seeds = (first..first + count).chain(REGRESSIONS);
    let mut broken = Vec::new();
    for seed in seeds {
        println!("seed {seed}");
        let faults = soak(seed, length).await;
        for fault in &faults {
            println!("seed {seed}: {fault}");
        }
        broken.extend(faults);
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Runs one seed; returns what was broken.
async fn soak(seed: u64, length: Duration) -> Vec<String> {
    let theme = if seed.is_multiple_of(4) {
        Theme::Planned
    } else {
        Theme::Faults
    };
    let mut deployment = Deployment::start(seed).await;
    let (mut script, listening) = Script::new(theme, SmallRng::seed_from_u64(seed));
    script.announce(&deployment);
    let (stop, stopped) = watch::channel(false);
    let records = Arc::new(Mutex::new(Vec::new()));
    let callers = (0..CALLERS).map(|number| {
        let records = Arc::clone(&records);
        tokio::spawn(callers::call(
            number,
            seed,
            listening.clone(),
            stopped.clone(),
            records,
        ))
    });
    let callers = callers.collect::<Vec<_>>();
    script.run(&mut deployment, length).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.expect("a caller that ends");
    }
    let records = records.lock().expect("not poisoned").clone();
    let mut broken = check(&deployment, &script, &records);
    if theme == Theme::Planned {
        broken.extend(check_planned(&records));
    }
    deployment.keys = vec!["key-1", "key-2"];
    deployment.publish();
    deployment.settle().await;
    broken.extend(check_service(&deployment).await);
    let answered = records.iter().filter(|record| answered(record)).count();
    println!(
        "seed {seed}: {theme:?}, {} changes, {} requests, {answered} answered, {} broken",
        script.faults,
        records.len(),
        broken.len()
    );
    if !broken.is_empty() {
        keep_logs(seed, &deployment);
    }
    broken
}

fn answered(record: &Record) -> bool {
    let got = record.got.as_ref();
    got.is_some_and(|got| got.complete && got.status == StatusCode::OK)
}

/// When each request was run at a back end, by id; goings-on of a run do not count.
fn runs(deployment: &Deployment) -> BTreeMap<String, Vec<Instant>> {
    let mut runs = BTreeMap::<String, Vec<Instant>>::new();
    let desks = deployment
        .desks
        .iter()
        .flat_map(|desk| desk.server.executed_calls());
    let engines = deployment.engines.iter().map(|engine| &engine.server);
    let engines = engines
        .chain(&deployment.gone)
        .flat_map(Engine::executed_calls);
    for call in desks.chain(engines).filter(|call| !call.is_continuation()) {
        runs.entry(call.id().to_string()).or_default().push(call.at);
    }
    runs
}

/// What callers and back ends saw that must never be.
fn check(deployment: &Deployment, script: &Script, records: &[Record]) -> Vec<String> {
    let runs = runs(deployment);
    let mut broken = Vec::new();
    for record in records {
        let ran = runs.get(&record.id).map_or(&[][..], Vec::as_slice);
        if !record.path.starts_with("/look") && ran.len() > 1 {
            broken.push(format!(
                "{} {} ran {} times",
                record.id,
                record.path,
                ran.len()
            ));
        }
        let Some(got) = &record.got else {
            continue;
        };
        let promise = matches!(got.status.as_u16(), 408 | 421 | 429 | 503);
        if promise && !ran.is_empty() {
            broken.push(format!("{} got {} and ran", record.id, got.status));
        }
        if got.id.as_ref().is_some_and(|id| *id != record.id) {
            broken.push(format!("{} got the answer to {:?}", record.id, got.id));
        }
        if got.status != StatusCode::OK {
            continue;
        }
        if !got.sealed {
            broken.push(format!("{} got a success that no back end gave", record.id));
        }
        if record.path.starts_with("/draft") {
            broken.extend(check_events(record, got).err());
        } else if !got.body.starts_with(&format!("done {} at ", record.id)) && got.complete {
            broken.push(format!("{} got {:?}", record.id, got.body));
        }
    }
    broken.extend(check_keys(script, records, &runs));
    broken
}

/// No request runs under a key long after it was taken away. Keys are given back to their
/// holders, so only runs before the next change count.
fn check_keys(
    script: &Script,
    records: &[Record],
    runs: &BTreeMap<String, Vec<Instant>>,
) -> Vec<String> {
    let mut broken = Vec::new();
    for (key, taken, back) in &script.revoked {
        let under = records.iter().filter(|record| record.key == *key);
        for record in under.filter(|record| record.began > *taken + REVOCATION) {
            let ran = runs.get(&record.id).map_or(&[][..], Vec::as_slice);
            if ran.iter().any(|at| back.is_none_or(|back| *at < back)) {
                broken.push(format!(
                    "{} ran under {key} after it was taken away",
                    record.id
                ));
            }
        }
    }
    broken
}

/// Planned work cuts no request that an instance has begun to read.
fn check_planned(records: &[Record]) -> Vec<String> {
    let cut = records.iter().filter(|record| match &record.got {
        Some(got) => !got.complete || matches!(got.status.as_u16(), 502 | 504),
        None => false,
    });
    cut.map(|record| {
        let took = record.ended.duration_since(record.began);
        format!("{} {} was cut after {took:?}", record.id, record.path)
    })
    .collect()
}

/// Once all is well every instance serves again.
async fn check_service(deployment: &Deployment) -> Vec<String> {
    let mut broken = Vec::new();
    for (number, seat) in deployment.seats.iter().enumerate() {
        let Some(instance) = &seat.instance else {
            broken.push(format!("instance {number} is gone"));
            continue;
        };
        for path in ["/look/x", "/draft/x"] {
            let id = format!("end-{number}-{}", &path[1..5]);
            let mut status = None;
            for attempt in 0..40 {
                let id = format!("{id}-{attempt}");
                let got = send_request(instance.callers, &CallerRequest::new(&id, path)).await;
                status = got.map(|got| got.status);
                if status == Some(StatusCode::OK) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            if status != Some(StatusCode::OK) {
                broken.push(format!("instance {number} answers {path} with {status:?}"));
            }
        }
    }
    broken
}

/// Keeps the logs of a seed that failed.
fn keep_logs(seed: u64, deployment: &Deployment) {
    for (number, seat) in deployment.seats.iter().enumerate() {
        let Some(instance) = &seat.instance else {
            continue;
        };
        let file = std::env::temp_dir().join(format!("soak-{seed}-{number}.log"));
        let text = instance.lines_with("").join("\n");
        match std::fs::write(&file, text) {
            Ok(()) => println!("seed {seed}: log in {}", file.display()),
            Err(error) => println!("seed {seed}: log not kept: {error}"),
        }
    }
}
