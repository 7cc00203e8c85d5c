//! Cooldowns that endpoints ask for.

mod common;

use {
    common::*,
    forward::{
        condition::Conditions,
        cooldown::{Cooldown, Permit},
        state::{Answer, Outlook},
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    std::time::Duration,
};

/// Longest time from the end of a cooldown to the first request of an instance.
const MAX_RESUME_DELAY: u64 = 2000;

fn desk(ids: &[&str]) -> State {
    let listings = ids.iter().map(|id| listing(id, "desk", "a"));
    instance(&listings.collect::<Vec<_>>())
}

fn key_of(state: &State, id: &str) -> EndpointKey {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    found.expect("a listed endpoint").0
}

fn incarnation_of(state: &State, key: EndpointKey) -> u32 {
    state.endpoint(key).expect("a known endpoint").incarnation
}

/// Has an endpoint reject a request and ask for a cooldown.
fn reject(state: &mut State, now: u64, key: EndpointKey, cooldown: u64) {
    let answer = Answer {
        conditions: Conditions {
            cooldown: Some(millis(cooldown)),
            ..Conditions::default()
        },
        incarnation: incarnation_of(state, key),
        rejected: true,
        sent_at: at(now),
    };
    state.record_statement(at(now), key, &answer);
}

/// Has an endpoint answer a request that was sent at `sent_at`.
fn accept(state: &mut State, now: u64, key: EndpointKey, sent_at: u64) {
    let answer = Answer {
        conditions: Conditions::default(),
        incarnation: incarnation_of(state, key),
        rejected: false,
        sent_at: at(sent_at),
    };
    state.record_statement(at(now), key, &answer);
}

fn is_usable(state: &State, now: u64, key: EndpointKey) -> bool {
    state
        .endpoint(key)
        .is_some_and(|endpoint| endpoint.usable(at(now)))
}

/// Guards against a rest that is forgotten at the next entry of the list, or once a connection was possible again.
#[test]
fn entries_and_connections_do_not_end_a_cooldown() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    reject(&mut state, 1000, key, 3000);
    let mut entry = listing("d1", "desk", "a");
    entry.cold = Duration::from_secs(1);
    entry.version = Some("v2".to_string());
    state.change(at(1500), Change::Set(entry));
    state.record_unreached(at(1600), key);
    state.record_reached(at(1700), key);
    accept(&mut state, 1800, key, 900);
    assert!(!is_usable(&state, 3999, key));
    assert!(is_usable(&state, 4000 + MAX_RESUME_DELAY, key));
}

/// Guards against a cooldown that is kept for another start of the endpoint than the one that asked for it.
#[test]
fn restart_ends_a_cooldown() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    let before = incarnation_of(&state, key);
    reject(&mut state, 1000, key, 3000);
    let mut entry = listing("d1", "desk", "a");
    entry.started_at = Some(2);
    state.change(at(1500), Change::Set(entry));
    assert!(is_usable(&state, 1500, key));
    let late = Answer {
        conditions: Conditions {
            cooldown: Some(millis(3000)),
            ..Conditions::default()
        },
        incarnation: before,
        rejected: true,
        sent_at: at(1400),
    };
    state.record_statement(at(1600), key, &late);
    assert!(is_usable(&state, 1600, key));
}

/// Guards against a shorter time that ends a longer one, and against an hour that is not kept.
#[test]
fn longest_cooldown_counts() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    reject(&mut state, 1000, key, 3000);
    reject(&mut state, 1200, key, 300);
    assert!(!is_usable(&state, 3999, key));
    reject(&mut state, 3500, key, 3_600_000);
    assert!(!is_usable(&state, 3_603_499, key));
    assert!(is_usable(&state, 3_603_500 + MAX_RESUME_DELAY, key));
}

/// Guards against a cooldown that is lost while its endpoint is not listed for a time.
#[test]
fn cooldown_outlasts_the_entry_of_its_endpoint() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    reject(&mut state, 1000, key, 3_600_000);
    state.confirm_list(at(2000), at(2000));
    state.change(at(2000), Change::Removed("d1".to_string()));
    state.tick(at(40_000));
    assert!(state.endpoint(key).is_none());
    state.tick(at(1_000_000));
    state.change(at(1_000_000), Change::Set(listing("d1", "desk", "a")));
    let key = key_of(&state, "d1");
    assert!(!is_usable(&state, 1_000_000, key));
    assert!(is_usable(&state, 3_601_000 + MAX_RESUME_DELAY, key));
}

/// Guards against all requests of an instance at once when a cooldown ends.
#[test]
fn one_request_at_a_time_is_sent_until_the_endpoint_accepts_one() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    reject(&mut state, 1000, key, 1000);
    let now = 2000 + MAX_RESUME_DELAY;
    let trial = state.permit_send(at(now), key, false).expect("a permit");
    assert!(matches!(trial, Permit::Trial(_)));
    assert!(!is_usable(&state, now, key));
    assert_eq!(state.permit_send(at(now), key, false), None);
    // Given up without an answer.
    state.end_send(key, trial);
    let second = state.permit_send(at(now + 10), key, false);
    assert!(second.is_some_and(|second| second != trial));
    state.end_send(key, trial);
    assert!(!is_usable(&state, now + 10, key), "ended by an earlier one");
    accept(&mut state, now + 20, key, now + 10);
    assert!(is_usable(&state, now + 20, key));
    let permits = (0..3).map(|_| state.permit_send(at(now + 20), key, false));
    assert!(
        permits
            .into_iter()
            .all(|permit| permit == Some(Permit::Free))
    );
}

/// Guards against streams that are lost although their engine may still get a request, and against any number of them.
#[test]
fn one_stream_in_progress_may_go_on_in_a_cooldown() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    reject(&mut state, 1000, key, 3000);
    assert_eq!(state.permit_send(at(1500), key, false), None);
    assert!(state.permit_send(at(1500), key, true).is_some());
    reject(&mut state, 1600, key, 3000);
    assert_eq!(state.permit_send(at(1700), key, true), None);
    assert_eq!(state.takeover_delay(at(1700), key), Some(millis(2900)));
    assert_eq!(state.takeover_delay(at(4600), key), None);
    assert!(state.permit_send(at(4600), key, true).is_some());
}

/// Guards against a request that is written to an endpoint which asked to be left alone while its connection was opened.
#[test]
fn permitted_request_is_not_written_in_a_cooldown() {
    let mut state = desk(&["d1"]);
    let key = key_of(&state, "d1");
    let incarnation = incarnation_of(&state, key);
    assert!(state.permit_send(at(990), key, false).is_some());
    assert!(state.may_write(at(995), key, incarnation, false));
    reject(&mut state, 1000, key, 3000);
    assert!(!state.may_write(at(1005), key, incarnation, false));
    assert!(!state.may_write(at(5000), key, incarnation + 1, false));
}

/// Guards against requests that wait although all endpoints are in their cooldowns, and against refusals beside one that
/// takes requests.
#[test]
fn request_is_refused_at_once_only_where_all_endpoints_cool_down() {
    let mut state = desk(&["d1", "d2"]);
    let (first, second) = (key_of(&state, "d1"), key_of(&state, "d2"));
    reject(&mut state, 1000, first, 3000);
    for tried in [&[][..], &[first]] {
        assert_eq!(state.outlook(at(1100), "desk", tried), Outlook::Room);
    }
    let picked = state.pick(at(1100), "desk", Need::default(), &[]);
    assert_eq!(picked, Pick::Send(second, None));
    reject(&mut state, 1200, second, 500);
    let outlook = state.outlook(at(1200), "desk", &[first, second]);
    let Outlook::CoolingDown(left) = outlook else {
        panic!("{outlook:?}");
    };
    assert!(left >= millis(500) && left <= millis(500 + MAX_RESUME_DELAY));
    // The first request after a cooldown is answered soon.
    let now = 1700 + MAX_RESUME_DELAY;
    assert!(state.permit_send(at(now), second, false).is_some());
    assert_eq!(state.outlook(at(now), "desk", &[first]), Outlook::Room);
}

/// Guards against copies, moves and takeovers at engines that take no requests.
#[test]
fn engine_in_its_cooldown_gets_no_runs_and_copies() {
    let listings = ["m1", "m2", "m3"].map(|id| listing(id, "model", "a"));
    let mut state = instance(&listings);
    let cooling = key_of(&state, "m2");
    reject(&mut state, 1000, cooling, 3000);
    for _ in 0..20 {
        let (key, copy) = picked(state.pick(at(1100), "model", LONG, &[]));
        assert!(key != cooling && copy != Some(cooling));
        let run = begin_run(&mut state, key, Some(cooling));
        assert_ne!(state.pick_target(at(1100), run, &[]), Some(cooling));
        assert_eq!(state.healthy_backup(at(1100), run), None);
        state.end(run);
    }
}

/// Guards against instances that come back together after the same cooldown, so that the endpoint rejects them for good,
/// and against an endpoint that is not used again.
#[test]
fn endpoint_recovers_from_any_number_of_instances() {
    const SLOTS: usize = 6;
    const WORK: u64 = 30;
    for (instances, seed) in [(7_u32, 1), (80, 2), (300, 3)] {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut cooldowns = vec![Cooldown::default(); instances as usize];
        let mut running = Vec::<(u64, usize, u64, Permit)>::new();
        let longest = millis(20).saturating_mul(instances).min(millis(2000));
        for cooldown in &mut cooldowns {
            let delay = longest.mul_f64(random.random_range(0.0..=1.0));
            cooldown.begin(at(0), millis(3000), delay);
        }
        let (mut rejected, mut served_by) = (0, vec![false; instances as usize]);
        for now in 0..10_000 {
            running.retain(|(until, index, sent_at, permit)| {
                if now >= *until {
                    cooldowns[*index].record_acceptance(at(*sent_at));
                    cooldowns[*index].give_back(*permit);
                    served_by[*index] = true;
                }
                now < *until
            });
            for index in 0..cooldowns.len() {
                // Half of what the endpoint can take, over all instances.
                if !random.random_bool(0.1 / f64::from(instances)) && served_by[index] {
                    continue;
                }
                let Some(permit) = cooldowns[index].permit(at(now), false) else {
                    continue;
                };
                assert!(now >= 3000, "a request in the cooldown");
                if running.len() < SLOTS {
                    running.push((now + WORK, index, now, permit));
                    continue;
                }
                rejected += 1;
                let delay = longest.mul_f64(random.random_range(0.0..=1.0));
                cooldowns[index].begin(at(now), millis(3000), delay);
                cooldowns[index].give_back(permit);
            }
        }
        let served = served_by.iter().filter(|served| **served).count();
        assert!(
            served * 10 >= served_by.len() * 9,
            "{served} of {instances} instances are served again, {rejected} rejections, seed {seed}"
        );
    }
}

/// Guards against a request that waits although each endpoint has rejected it, and none is asked a second time.
#[test]
fn request_that_all_endpoints_have_rejected_is_refused_at_once() {
    let mut state = desk(&["d1", "d2"]);
    let (first, second) = (key_of(&state, "d1"), key_of(&state, "d2"));
    for key in [first, second] {
        let endpoint = state.endpoint_mut(key).expect("a known endpoint");
        endpoint.mark_full(at(1000));
    }
    assert_eq!(state.outlook(at(1000), "desk", &[first]), Outlook::Room);
    let outlook = state.outlook(at(1000), "desk", &[first, second]);
    assert_eq!(outlook, Outlook::Nothing);
    assert_eq!(state.outlook(at(1000), "model", &[]), Outlook::Room);
    // One that was lost may be back under another id.
    let lost = state.endpoint_mut(second).expect("a known endpoint");
    lost.mark_unreachable(at(1000));
    for now in [1000, 1900] {
        let outlook = state.outlook(at(now), "desk", &[first, second]);
        assert_eq!(outlook, Outlook::Room);
    }
}
