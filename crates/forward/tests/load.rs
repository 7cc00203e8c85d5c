//! Placement of work under load.

mod common;

use {common::*, forward::load::digest, std::collections::BTreeMap};

/// Six engines in each of three failure domains.
fn engines() -> Vec<Listing> {
    (0..18)
        .map(|number| listing(&format!("m{number}"), "model", ["a", "b", "c"][number % 3]))
        .collect()
}

/// Seven instances in three failure domains.
fn instances() -> Vec<State> {
    (0..7)
        .map(|number| instance_in(["a", "b", "c"][number % 3], number as u64, &engines()))
        .collect()
}

/// Sends the load of every instance to every other one.
fn exchange(instances: &mut [State], now: u64) {
    let reports = instances.iter().map(State::report).collect::<Vec<_>>();
    for (to, state) in instances.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            let rows = report.iter().map(|(id, load)| (digest(id), *load));
            state
                .peer_loads
                .update(&format!("e{from}"), at(now), now + 1, rows.collect());
        }
    }
}

/// Sends 18 long prompts 60 ms apart, each through the next instance, with a prefill of 210 ms.
/// Returns how many went to an engine that was still busy with the prefill of another.
fn collisions(shared: bool) -> usize {
    let mut instances = instances();
    let mut reading = BTreeMap::<String, u64>::new();
    let mut collisions = 0;
    for arrival in 0..18_u64 {
        let now = arrival * 60;
        if shared {
            exchange(&mut instances, now);
        }
        let state = &mut instances[usize::try_from(arrival % 7).expect("a small number")];
        let (key, backup) = picked(state.pick(at(now), "model", LONG, &[]));
        begin_run(state, key, backup);
        let busy_until = reading.insert(id(state, key), now + 210);
        collisions += usize::from(busy_until.is_some_and(|until| until > now));
    }
    collisions
}

/// Instances that share their load avoid engines with a prefill in progress; others choose the same
/// ones.
#[test]
fn shared_load_prevents_concurrent_prefills() {
    assert_eq!(collisions(true), 0);
    assert!(collisions(false) > 0);
}

/// Thirty instances and 75 engines in three failure domains.
fn large_deployment() -> Vec<State> {
    let engines = (0..75)
        .map(|number| listing(&format!("m{number}"), "model", ["a", "b", "c"][number % 3]))
        .collect::<Vec<_>>();
    let instances = (0..30).map(|number| {
        let mut state = instance_in(["a", "b", "c"][number % 3], number as u64, &engines);
        for other in 0..30 {
            let domain = ["a", "b", "c"][other % 3];
            state.members.set(&format!("e{other}"), domain, 120);
        }
        state
    });
    instances.collect()
}

/// Instances that choose before they learn of each other's choices must not all take the same
/// engine.
#[test]
fn concurrent_choices_spread_over_engines() {
    let mut instances = large_deployment();
    let mut collisions = 0;
    for second in 0..20 {
        let now = second as u64 * 1000;
        exchange(&mut instances, now);
        let mut chosen = Vec::new();
        for index in 0..10 {
            let state = &mut instances[(second * 7 + index * 3) % 30];
            let (key, _) = picked(state.pick(at(now + 20), "model", LONG, &[]));
            let name = id(state, key);
            collisions += usize::from(chosen.contains(&name));
            chosen.push(name);
        }
    }
    // Ten random choices among the 25 engines of a domain collide 1.6 times, identical ones 9
    // times.
    assert!(
        collisions < 20 * 4,
        "{collisions} of 200 prompts shared an engine"
    );
}

/// Copies must not take memory that runs need, but each run has one while memory is free.
#[test]
fn copies_stop_when_memory_is_scarce() {
    let mut state = instance(&engines());
    let mut copied = Vec::new();
    for arrival in 0..150_u64 {
        let Pick::Send(key, copy) = state.pick(at(arrival * 1200), "model", LONG, &[]) else {
            break;
        };
        begin_run(&mut state, key, None);
        copied.push(copy.is_some());
    }
    // 18 engines of 34,000 tokens hold 94 runs of 3,225 tokens in half of their memory, and 123 in
    // the share up to which copies are made.
    assert!(copied[..94].iter().all(|copied| *copied), "{copied:?}");
    assert!(!copied[125], "{copied:?}");
}

/// Counting the final size of each run would leave a third of the memory unused; runs must still
/// never need more than there is.
#[test]
fn runs_overcommit_memory_without_exceeding_it() {
    const STEP: u64 = 100;
    let capacity = engine().kv_tokens;
    let mut state = instance(&[listing("m0", "model", "a")]);
    let lengths = [900, 300, 1500, 600, 1200, 200, 2000, 500];
    let mut lengths = lengths.iter().cycle();
    let mut runs = Vec::new();
    let mut refused = Vec::new();
    for step in 0..600 {
        let now = at(step * STEP);
        // A token takes about 10 ms; an event has four.
        runs.retain_mut(|(run, length): &mut (RunKey, u32)| {
            let known = state.run_mut(*run).expect("a run");
            known.events += 5 * u32::from(step % 2 == 0);
            let ended = known.generated() >= *length;
            if ended {
                state.end(*run);
            }
            !ended
        });
        let held = |state: &State, runs: &[(RunKey, u32)]| {
            let runs = runs.iter().filter_map(|(run, _)| state.run(*run));
            runs.map(forward::prelude::Run::held).sum::<u32>()
        };
        assert!(held(&state, &runs) <= capacity, "at step {step}");
        if step % 5 != 0 {
            continue;
        }
        match state.pick(now, "model", LONG, &[]) {
            Pick::Send(key, _) => {
                let run = begin_run(&mut state, key, None);
                runs.push((run, *lengths.next().expect("endless")));
            }
            Pick::Wait => refused.push(held(&state, &runs)),
        }
    }
    assert!(!refused.is_empty(), "the engine was never full");
    let least = refused.iter().min().expect("some");
    assert!(
        f64::from(*least) >= 0.75 * f64::from(capacity),
        "{refused:?}"
    );
}

/// Free memory of a few new engines is for the next prompts, not for copies of running ones.
#[test]
fn free_memory_of_new_engines_is_kept_for_runs() {
    let mut state = instance(&engines());
    let keys = state.endpoints().map(|(key, _)| key).collect::<Vec<_>>();
    let (new, old) = keys.split_at(3);
    for key in old {
        for _ in 0..9 {
            begin_run(&mut state, *key, None);
        }
    }
    let run = begin_run(&mut state, old[0], None);
    assert_eq!(state.pick_backup(at(10), run, old[0]), None);
    let (next, _) = picked(state.pick(at(10), "model", LONG, &[]));
    assert!(new.contains(&next));
}

/// Runs of leaving engines without a copy move within the failure domain, since transfers between
/// domains take twice as long, and spread over several engines.
#[test]
fn runs_of_leaving_engines_spread_within_domain() {
    let mut state = instance(&engines());
    let mut runs = Vec::new();
    for name in ["m0", "m3", "m6"] {
        let key = state
            .endpoints()
            .find(|(_, endpoint)| endpoint.listing.id == name);
        let key = key.expect("a listed engine").0;
        for _ in 0..2 {
            runs.push(begin_run(&mut state, key, None));
        }
        let mut leaving = listing(name, "model", "a");
        leaving.leaving = true;
        state.change(at(1000), Change::Set(leaving));
    }
    let mut taken = BTreeMap::<String, usize>::new();
    for run in runs {
        let target = state
            .pick_target(at(1010), run, &[])
            .expect("an engine with room");
        let endpoint = state.endpoint(target).expect("a listed engine");
        assert_eq!(endpoint.listing.domain, "a");
        *taken.entry(endpoint.listing.id.clone()).or_default() += 1;
        if let Some(run) = state.run_mut(run) {
            run.target = Some(target);
        }
    }
    assert!(taken.values().all(|runs| *runs <= 3), "{taken:?}");
    assert!(taken.len() >= 2, "{taken:?}");
}

/// All engines of a domain may fail together, so a copy is in another domain than its run.
#[test]
fn domain_crash_spares_copies_and_new_work() {
    let mut state = instance(&engines());
    let (first, backup) = picked(state.pick(at(10), "model", LONG, &[]));
    let domain = |state: &State, key| {
        let endpoint: &forward::prelude::Endpoint = state.endpoint(key).expect("known");
        endpoint.listing.domain.clone()
    };
    let backup = backup.expect("an engine for the copy");
    assert_ne!(domain(&state, first), domain(&state, backup));
    let crashed = state
        .endpoints()
        .filter(|(_, endpoint)| endpoint.listing.domain == "a")
        .map(|(key, _)| key)
        .collect::<Vec<_>>();
    for key in crashed {
        state
            .endpoint_mut(key)
            .expect("known")
            .mark_unreachable(at(20));
    }
    let (next, _) = picked(state.pick(at(21), "model", LONG, &[]));
    assert_ne!(domain(&state, next), "a");
}

/// Requests that do not fit are queued by priority, then by arrival.
#[test]
fn queue_is_ordered_by_priority_then_arrival() {
    let mut state = instance(&[listing("m0", "model", "a")]);
    let mut filled = 0;
    while let Pick::Send(key, _) = state.pick(at(filled * 1500), "model", LONG, &[]) {
        begin_run(&mut state, key, None);
        filled += 1;
    }
    // 34,000 tokens hold nine runs of 3,000 prompt tokens that grow by 900 and end one after the
    // other.
    assert_eq!(filled, 9);
    state.config_freshness.confirm(at(12_000));
    let ticket = state.admit(at(12_000), &inbound("/draft/x", at(12_000)));
    let mut ticket = ticket.expect("a ticket");
    let long = state.enqueue(&ticket);
    ticket.priority = 0;
    let check = state.enqueue(&ticket);
    let later = state.enqueue(&ticket);
    assert!(state.is_preceded(&long) && state.is_preceded(&later));
    assert!(!state.is_preceded(&check));
    state.dequeue(&check);
    state.dequeue(&later);
    assert!(!state.is_preceded(&long));
}

/// Half of all runs exceed the caller's estimate; they must be moved off a leaving engine like
/// others.
#[test]
fn run_beyond_estimate_does_not_end_soon() {
    let mut state = instance(&engines());
    let (key, _) = picked(state.pick(at(10), "model", LONG, &[]));
    let run = begin_run(&mut state, key, None);
    let mut past = |events: u32| {
        state.run_mut(run).expect("a run").events = events;
        state.ends_soon(run)
    };
    assert!(!past(230)); // 920 of 900 expected tokens, of at most 2,000
    assert!(past(490));
}

/// The priority of a customer overrides the priority of the route.
#[test]
fn customer_priority_overrides_route_priority() {
    let mut state = instance(&[]);
    let ranked = |name: &str, key: &str, priority| Customer {
        keys: vec![key.to_string()],
        name: name.to_string(),
        priority,
    };
    let customers = vec![
        ranked("ada", "key-1", None),
        ranked("bea", "key-2", Some(0)),
    ];
    let routes = vec![route("/desk/", Kind::NonIdempotent, "desk")];
    let config = Config::new(2, Limits::default(), routes, Vec::new(), customers);
    state.configure(config);
    let mut enqueue = |key: &str| {
        let mut request = inbound("/desk/x", at(10));
        request.key = Some(key.to_string());
        let ticket = state.admit(at(10), &request).expect("a ticket");
        state.enqueue(&ticket)
    };
    let (first, urgent) = (enqueue("key-1"), enqueue("key-2"));
    assert!(state.is_preceded(&first));
    assert!(!state.is_preceded(&urgent));
}
