//! Choice of uneven engines by many instances that learn at once, in simulated time.
//!
//! Engines read prompts between the events of streams, which doubles the time of an event, and have slow spells of some
//! hundred milliseconds. Instances know each other's load after a while, and what engines do after a second.

mod common;

use {
    common::*,
    forward::{
        load::digest,
        profile::{News, Observation, Window},
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    std::time::Duration,
};

/// Allowed interval between events.
const GAP: Duration = Duration::from_millis(180);

/// Target time to the first event.
const TARGET_MS: u64 = 1800;

/// Time after which instances are expected to know the engines: a long stream's length, so that one stream that suffers is
/// enough.
const LEARNING_MS: u64 = 6000;

/// Age of the load that instances know of each other.
const LOAD_AGE_MS: u64 = 100;

const STEP_MS: u64 = 5;

/// Time of an event at a fast engine without load, in milliseconds.
const FAST_MS: f64 = 18.0;

/// The same at a slow one.
const SLOW_MS: f64 = 38.0;

/// Prompt tokens that a fast engine reads in a millisecond.
const FAST_PREFILL: f64 = 12.0;

/// A simulated engine.
struct SimEngine {
    pace_ms: f64,
    /// Prompts to read: stream and tokens left.
    prompts: Vec<(usize, f64)>,
    in_spell: bool,
}

/// A simulated stream.
struct Stream {
    began_ms: u64,
    engine: usize,
    events: u32,
    first_late: bool,
    instance: usize,
    is_paused: bool,
    last_ms: f64,
    length: u32,
    next_ms: f64,
    run: RunKey,
    window: Window,
}

/// What is simulated.
#[derive(Clone)]
struct Scene {
    engines: usize,
    is_on: bool,
    /// Engines whose number is a multiple of this are fast; zero: all are alike.
    fast_each: usize,
    instances: usize,
    /// Long streams that begin after this count.
    counted_from_ms: u64,
    length_ms: u64,
    /// When the engines that were fast turn slow and others fast.
    turn_ms: Option<u64>,
    seed: u64,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Outcome {
    /// Long streams that began after the instances had learnt.
    long: usize,
    /// Of these, with a pause over what is allowed.
    paused: usize,
    /// All streams.
    all: usize,
    /// Of these, with a late first event.
    first_late: usize,
    /// No engine had room.
    refused: usize,
    /// Longest time that prompts of an engine took together, in milliseconds.
    longest_queue_ms: f64,
    /// Choices by engine.
    choices: Vec<usize>,
}

fn states(scene: &Scene) -> Vec<State> {
    let domain = |number: usize| ["a", "b", "c"][number % 3];
    let engines =
        (0..scene.engines).map(|number| listing(&format!("m{number}"), "model", domain(number)));
    let engines = engines.collect::<Vec<_>>();
    let states = (0..scene.instances).map(|number| {
        let seed = scene.seed * 1000 + number as u64;
        let mut state = instance_in(domain(number), seed, &engines);
        let mut settings = settings(domain(number));
        if scene.is_on {
            settings.features = Features::new(vec![Feature::EngineProfiles]);
        }
        state.update_settings(settings);
        let mut route = route("/draft/", Kind::Stream, "model");
        route.gap = Some(GAP);
        let service = config(1).service("model").cloned().expect("a service");
        let customers = vec![Customer {
            keys: vec!["key-1".to_string()],
            name: "ada".to_string(),
            priority: None,
        }];
        state.configure(Config::new(
            2,
            Limits::default(),
            vec![route],
            vec![service],
            customers,
        ));
        for other in 0..scene.instances {
            state.members.set(&format!("e{other}"), domain(other), 120);
        }
        state
    });
    states.collect()
}

/// The load that other instances had some time ago, given to one before it chooses.
fn tell_load(state: &mut State, total: &[(u32, Load)], now: u64) {
    let own = state
        .report()
        .into_iter()
        .map(|(id, load)| (digest(&id), load));
    let mut others = total.to_vec();
    for (engine, load) in own {
        if let Some(other) = others.iter_mut().find(|(other, _)| *other == engine) {
            other.1.subtract(load);
        }
    }
    state.peer_loads.update("others", at(now), now + 1, others);
}

fn total_load(states: &[State]) -> Vec<(u32, Load)> {
    let mut total = Vec::<(u32, Load)>::new();
    for (id, load) in states.iter().flat_map(State::report) {
        let engine = digest(&id);
        match total.binary_search_by_key(&engine, |(other, _)| *other) {
            Ok(index) => total[index].1.add(load),
            Err(index) => total.insert(index, (engine, load)),
        }
    }
    total
}

/// Instances tell each other what they have observed.
fn exchange_news(states: &mut [State], now: u64) {
    let mut sum = News::default();
    let own = states
        .iter_mut()
        .map(|state| state.profiles.take_news(64).0);
    for news in own {
        sum.append(&news);
    }
    // What an instance has seen itself counts twice, as it may where aggregators add up.
    for state in states {
        state.profiles.add_all(at(now), &sum);
        state.tick(at(now));
    }
}

fn play(scene: &Scene) -> Outcome {
    let mut random = SmallRng::seed_from_u64(scene.seed);
    let mut states = states(scene);
    let mut outcome = Outcome {
        choices: vec![0; scene.engines],
        ..Outcome::default()
    };
    let fast = |number: usize| scene.fast_each == 0 || number % scene.fast_each == 0;
    let mut engines = (0..scene.engines)
        .map(|number| SimEngine {
            pace_ms: if fast(number) { FAST_MS } else { SLOW_MS },
            prompts: Vec::new(),
            in_spell: false,
        })
        .collect::<Vec<_>>();
    let mut streams = Vec::<Option<Stream>>::new();
    let mut old_loads = Vec::new();
    // Half of what the fast engines can hold of long streams, and as many short ones.
    let fast_engines = (0..scene.engines).filter(|number| fast(*number)).count();
    let long_each_s = if scene.fast_each == 0 {
        0.3 * scene.engines as f64
    } else {
        1.2 * fast_engines as f64
    };
    for now in (0..scene.length_ms).step_by(usize::try_from(STEP_MS).expect("small")) {
        if scene.turn_ms == Some(now) {
            for engine in &mut engines {
                engine.pace_ms = FAST_MS + SLOW_MS - engine.pace_ms;
            }
        }
        if now % 600 == 0 {
            for engine in &mut engines {
                engine.in_spell = random.random_bool(0.15);
            }
        }
        if now % 1000 == 0 && scene.is_on {
            exchange_news(&mut states, now);
        }
        if now % 1000 == 0 {
            for state in &mut states {
                state.config_freshness.confirm(at(now));
                state.confirm_list(at(now), at(now));
            }
        }
        if now % LOAD_AGE_MS == 0 {
            old_loads = total_load(&states);
        }
        for is_long in [true, false] {
            let chance = long_each_s * STEP_MS as f64 / 1000.0;
            let mut arrivals = chance.floor() as usize;
            arrivals += usize::from(random.random_bool(chance.fract()));
            for _ in 0..arrivals {
                let instance = random.random_range(0..scene.instances);
                let need = if is_long {
                    Need {
                        output: 750,
                        prompt: 3000,
                    }
                } else {
                    Need {
                        output: 10,
                        prompt: 2200,
                    }
                };
                let state = &mut states[instance];
                tell_load(state, &old_loads, now);
                let ticket = state
                    .admit(at(now), &inbound("/draft/x", at(now)))
                    .expect("a ticket");
                let (pick, _) = state.pick_attempt(at(now), &ticket, need, &[]);
                outcome.all += 1;
                let Pick::Send(key, _) = pick else {
                    outcome.refused += 1;
                    continue;
                };
                let run = state.begin(Run {
                    backup: None,
                    endpoint: key,
                    events: 0,
                    expected: need.output,
                    max_output_tokens: 2000,
                    prompt: need.prompt,
                    service: "model".to_string(),
                    target: None,
                    tokens_per_event: 4,
                });
                let engine = id(state, key)[1..].parse::<usize>().expect("a number");
                outcome.choices[engine] += 1;
                let mean = f64::from(need.output / 4);
                let length =
                    (-random.random_range(0.001_f64..1.0).ln() * mean).clamp(1.0, mean * 2.4);
                engines[engine]
                    .prompts
                    .push((streams.len(), f64::from(need.prompt)));
                streams.push(Some(Stream {
                    began_ms: now,
                    engine,
                    events: 0,
                    first_late: false,
                    instance,
                    is_paused: false,
                    last_ms: 0.0,
                    length: length as u32 + u32::from(!is_long),
                    next_ms: f64::INFINITY,
                    run,
                    window: Window::default(),
                }));
                if is_long && now > scene.counted_from_ms {
                    outcome.long += 1;
                }
            }
        }
        for engine in &mut engines {
            let rate =
                FAST_PREFILL * FAST_MS / engine.pace_ms / if engine.in_spell { 2.5 } else { 1.0 };
            let queued = engine.prompts.iter().map(|(_, left)| left).sum::<f64>() / rate;
            outcome.longest_queue_ms = outcome.longest_queue_ms.max(queued);
            if let Some((stream, left)) = engine.prompts.first_mut() {
                *left -= rate * STEP_MS as f64;
                if *left <= 0.0 {
                    if let Some(stream) = &mut streams[*stream] {
                        stream.next_ms = now as f64;
                    }
                    engine.prompts.remove(0);
                }
            }
        }
        for slot in &mut streams {
            let Some(stream) = slot else { continue };
            if stream.next_ms > now as f64 {
                continue;
            }
            let engine = &engines[stream.engine];
            let key = states[stream.instance]
                .run(stream.run)
                .expect("a run")
                .endpoint;
            tell_load(&mut states[stream.instance], &old_loads, now);
            let read_at = Time::from_micros((stream.next_ms * 1000.0) as u64);
            let state = &mut states[stream.instance];
            if stream.events == 0 {
                stream.first_late = now > stream.began_ms + TARGET_MS;
                outcome.first_late += usize::from(stream.first_late);
            } else {
                let pause = stream.next_ms - stream.last_ms;
                stream.is_paused |= pause > GAP.as_secs_f64() * 1000.0;
            }
            stream.last_ms = stream.next_ms;
            stream.events += 1;
            if let Some(interval) = stream
                .window
                .record(read_at, read_at, 1, state.is_reading(key))
                && scene.is_on
            {
                let incarnation = state.endpoint(key).expect("an engine").incarnation;
                let seen = Observation {
                    digest: incarnation,
                    expected_events: stream.length,
                    interval,
                    service: digest("model"),
                };
                state.profiles.observe(read_at, &seen);
            }
            if let Some(run) = state.run_mut(stream.run) {
                run.events = stream.events;
            }
            let mut step = engine.pace_ms * random.random_range(0.9..1.1);
            if !engine.prompts.is_empty() {
                step *= 2.0;
            }
            if engine.in_spell {
                step *= 2.5;
            }
            stream.next_ms += step;
            if stream.events >= stream.length {
                state.end(stream.run);
                if stream.began_ms > scene.counted_from_ms && stream.length > 3 && stream.is_paused
                {
                    outcome.paused += 1;
                }
                *slot = None;
            }
        }
    }
    outcome
}

fn uneven(instances: usize, engines: usize, seed: u64) -> Scene {
    Scene {
        engines,
        fast_each: 4,
        instances,
        counted_from_ms: LEARNING_MS,
        is_on: true,
        length_ms: 30_000,
        seed,
        turn_ms: None,
    }
}

/// Ratio of the choices of the busiest engine to those of the mean one, among engines whose number leaves 0 when divided
/// by `each`.
fn busiest(outcome: &Outcome, each: usize) -> f64 {
    let chosen = outcome.choices.iter().step_by(each.max(1));
    let (sum, count) = chosen
        .clone()
        .fold((0, 0), |(sum, count), choices| (sum + choices, count + 1));
    let most = chosen.max().copied().unwrap_or_default();
    most as f64 * f64::from(count) / sum as f64
}

/// What callers need where the engines that hold pauses have room: nothing is refused, a first event in a hundred is late
/// at most, and three long streams in a hundred by a pause.
fn assert_served(scene: &Scene, outcome: &Outcome) {
    let context = format!(
        "{} instances, seed {}: {outcome:?}",
        scene.instances, scene.seed
    );
    assert_eq!(outcome.refused, 0, "{context}");
    assert!(outcome.first_late * 100 <= outcome.all, "{context}");
    assert!(outcome.paused * 100 <= outcome.long * 3, "{context}");
}

/// Instances and engines.
const SIZES: [(usize, usize); 3] = [(7, 24), (80, 44), (300, 88)];

/// Guards against long streams at engines that take twice as long for an event, where their pauses are too long, and
/// against a herd at those that do not.
#[test]
fn long_streams_go_where_their_pauses_hold() {
    for (instances, engines) in SIZES {
        for seed in 1..=2 {
            let scene = uneven(instances, engines, seed);
            let outcome = play(&scene);
            println!(
                "{instances} instances, seed {seed}: {} of {} paused",
                outcome.paused, outcome.long
            );
            assert_served(&scene, &outcome);
            assert!(
                busiest(&outcome, scene.fast_each) <= 2.0,
                "a herd: {outcome:?}"
            );
        }
    }
}

/// Guards against streams that go on to engines which were fast and have turned slow for good.
#[test]
fn engines_that_turn_slow_are_left() {
    for (instances, engines) in SIZES {
        let turn_ms = 15_000;
        let scene = Scene {
            counted_from_ms: turn_ms + LEARNING_MS,
            turn_ms: Some(turn_ms),
            ..uneven(instances, engines, 3)
        };
        let outcome = play(&scene);
        println!(
            "{instances} instances: {} of {} paused",
            outcome.paused, outcome.long
        );
        assert_served(&scene, &outcome);
    }
}

/// Guards against a preference among engines that are alike, for which noise would decide.
#[test]
fn engines_that_are_alike_are_used_alike() {
    for (instances, engines) in SIZES {
        let scene = Scene {
            fast_each: 0,
            ..uneven(instances, engines, 4)
        };
        let outcome = play(&scene);
        println!("{instances} instances: busiest {:.2}", busiest(&outcome, 1));
        assert_served(&scene, &outcome);
        assert!(busiest(&outcome, 1) <= 2.0, "a herd: {outcome:?}");
    }
}
