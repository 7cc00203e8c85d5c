//! Room that new work leaves free while engines leave.

mod common;

use {
    common::*,
    forward::reserve::{Occupancy, Reserve},
    std::time::Duration,
};

const SERVICE: &str = "model";

/// Engines of the service that stay.
const ENGINES: u32 = 50;

/// Capacity of an engine in tokens, and the demand of a run.
const CAPACITY: f64 = 24_000.0;
const RUN: f64 = 4000.0;

/// Time between two departures, and the engines of each.
const INTERVAL_MS: u64 = 3300;
const LEAVING: u32 = 10;

/// How long a long and a short request hold their room.
const LONG_BUSY: Duration = Duration::from_secs(8);
const SHORT_BUSY: Duration = Duration::from_millis(300);

/// Five runs at each engine, without copies.
const fn full() -> Occupancy {
    Occupancy {
        copies: 0,
        engines: ENGINES,
        free: 0,
        leaving: 0,
        runs: ENGINES * 5,
        staying: 5 * 4000 * 50,
    }
}

/// A reserve that has seen this many departures, the first at time zero.
fn after_departures(count: u64, interval_ms: u64) -> Reserve {
    let mut reserve = Reserve::default();
    for departure in 0..count {
        for engine in 0..u64::from(LEAVING) {
            reserve.record_notice(at(departure * interval_ms + engine * 20), SERVICE);
        }
    }
    reserve
}

/// Room in tokens that a request leaves free, over all engines, of digests spread evenly.
fn kept(reserve: &Reserve, now: Time, busy: Duration) -> f64 {
    let kept = reserve.kept(now, SERVICE, busy);
    let digests = (0..ENGINES).map(|engine| u32::MAX / ENGINES * engine);
    digests
        .map(|digest| CAPACITY - kept.capacity(CAPACITY, digest))
        .sum()
}

/// Engines leave all the time, and new work takes the room that their runs need.
#[test]
fn engines_leaving_all_the_time_have_room_for_their_runs() {
    let mut reserve = after_departures(4, INTERVAL_MS);
    let now = at(4 * INTERVAL_MS - 100);
    reserve.update(now, SERVICE, full());
    let needed = f64::from(LEAVING) * 5.0 * RUN;
    let room = kept(&reserve, now, LONG_BUSY);
    assert!((room - needed).abs() <= RUN, "{room} of {needed}");
}

/// A short request has ended before the room is needed, so it need not wait for a departure that is
/// seconds away.
#[test]
fn short_requests_use_most_of_the_room_between_departures() {
    let mut reserve = after_departures(4, INTERVAL_MS);
    let now = at(4 * INTERVAL_MS - 100);
    reserve.update(now, SERVICE, full());
    assert!(kept(&reserve, now, SHORT_BUSY) < 0.2 * kept(&reserve, now, LONG_BUSY));
}

/// Room kept on a day without departures, or after the only one, is room lost.
#[test]
fn nothing_is_kept_on_a_calm_day() {
    for departures in [0, 1] {
        let mut reserve = after_departures(departures, INTERVAL_MS);
        let now = at(20_000);
        reserve.update(now, SERVICE, full());
        assert!(kept(&reserve, now, LONG_BUSY) <= 0.0);
    }
}

/// Departures end, and the room that was kept for them is given back.
#[test]
fn room_is_given_back_when_departures_end() {
    let mut reserve = after_departures(8, INTERVAL_MS);
    let now = at(7 * INTERVAL_MS + 6 * INTERVAL_MS);
    reserve.update(now, SERVICE, full());
    assert!(kept(&reserve, now, LONG_BUSY) <= 0.0);
}

/// Departures that are minutes apart keep hardly any room: runs that end free it in time.
#[test]
fn rare_departures_keep_little_room() {
    let mut reserve = after_departures(4, 120_000);
    let now = at(3 * 120_000 + 60_000);
    reserve.update(now, SERVICE, full());
    let room = kept(&reserve, now, LONG_BUSY);
    let capacity = CAPACITY * f64::from(ENGINES);
    assert!(room < 0.02 * capacity, "{room} of {capacity}");
}

/// A run with a copy goes on there, so that no room is kept for it twice.
#[test]
fn runs_with_copies_need_no_room() {
    let mut reserve = after_departures(4, INTERVAL_MS);
    let now = at(4 * INTERVAL_MS - 100);
    let occupancy = Occupancy {
        copies: full().staying,
        ..full()
    };
    reserve.update(now, SERVICE, occupancy);
    assert!(kept(&reserve, now, LONG_BUSY) <= 0.0);
}

/// Engines leave, but the others have room for all their runs: new work need not avoid any engine.
#[test]
fn nothing_is_kept_while_there_is_room_for_all() {
    let mut reserve = after_departures(4, INTERVAL_MS);
    let now = at(4 * INTERVAL_MS - 100);
    let occupancy = Occupancy {
        free: 300_000,
        ..full()
    };
    reserve.update(now, SERVICE, occupancy);
    assert!(kept(&reserve, now, LONG_BUSY) <= 0.0);
}

/// An instance that has just started knows no departures, but yields to runs that have to move now.
#[test]
fn instance_without_history_yields_at_a_notice() {
    let mut reserve = Reserve::default();
    let occupancy = Occupancy {
        leaving: 200_000,
        ..full()
    };
    reserve.update(at(100), SERVICE, occupancy);
    let room = kept(&reserve, at(100), LONG_BUSY);
    assert!((room - 200_000.0).abs() <= RUN, "{room}");
    // The runs have been placed.
    reserve.update(at(1200), SERVICE, full());
    assert!(kept(&reserve, at(1200), LONG_BUSY) <= 0.0);
}

/// Many engines leave at once beside a burst: new work must not stop altogether, since a wrong
/// expectation would refuse all callers.
#[test]
fn new_work_keeps_half_of_each_engine() {
    let mut reserve = after_departures(4, INTERVAL_MS);
    let now = at(4 * INTERVAL_MS - 100);
    let occupancy = Occupancy {
        engines: 8,
        leaving: 5_000_000,
        ..full()
    };
    reserve.update(now, SERVICE, occupancy);
    let room = reserve.kept(now, SERVICE, LONG_BUSY);
    for digest in [0, u32::MAX / 2, u32::MAX] {
        assert!(room.capacity(CAPACITY, digest) >= CAPACITY / 2.0);
    }
}

/// Sums of the load that are old would keep room for runs that have been placed.
#[test]
fn old_sums_are_taken_anew() {
    let mut reserve = Reserve::default();
    assert!(reserve.is_outdated(at(0), SERVICE));
    reserve.update(at(0), SERVICE, full());
    assert!(!reserve.is_outdated(at(5), SERVICE));
    assert!(reserve.is_outdated(at(100), SERVICE));
}

/// Two engines, one of them leaving with runs that have no copy, and little room at the other.
fn nearly_full(features: Features) -> (State, RunKey) {
    let listed = [listing("m1", "model", "a"), listing("m2", "model", "a")];
    let mut state = instance(&listed);
    state.update_settings(Settings {
        features,
        ..settings("a")
    });
    let keys = ["m1", "m2"].map(|name| {
        let found = state
            .endpoints()
            .find(|(_, known)| known.listing.id == name);
        found.map(|(key, _)| key).expect("the engine is listed")
    });
    let mut leaving = listing("m1", "model", "a");
    leaving.leaving = true;
    let mut moving = None;
    let others = [keys[1]; 8];
    for endpoint in [keys[0]].into_iter().chain(others) {
        let run = begin_run(&mut state, endpoint, None);
        moving.get_or_insert(run);
    }
    state.change(at(100), Change::Set(leaving));
    (state, moving.expect("runs were begun"))
}

/// The last room goes to a run that has to move, not to new work.
#[test]
fn new_work_yields_the_last_room_to_a_run_that_moves() {
    let need = Need {
        output: 900,
        prompt: 2500,
    };
    let (mut state, run) = nearly_full(Features::new(vec![Feature::MoveRoom]));
    assert_eq!(state.pick(at(110), "model", need, &[]), Pick::Wait);
    assert!(state.pick_target(at(110), run, &[]).is_some());
    let (mut state, _) = nearly_full(Features::default());
    assert!(matches!(
        state.pick(at(110), "model", need, &[]),
        Pick::Send(..)
    ));
}

/// Several runs wait for the link of an engine that leaves, and each copy to another domain takes
/// twice as long: the last of them would not be through within the notice.
#[test]
fn moves_stay_in_the_domain_while_several_wait_for_the_link() {
    let chosen = |features: Features| {
        let listed = [
            listing("m1", "model", "a"),
            listing("m2", "model", "a"),
            listing("m3", "model", "b"),
        ];
        let mut state = instance(&listed);
        state.update_settings(Settings {
            features,
            ..settings("b")
        });
        let key = |name: &str, state: &State| {
            let found = state
                .endpoints()
                .find(|(_, known)| known.listing.id == name);
            found.map(|(key, _)| key).expect("the engine is listed")
        };
        let (source, near) = (key("m1", &state), key("m2", &state));
        let mut runs = Vec::new();
        for endpoint in [[source; 6], [near; 6]].concat() {
            let run = begin_run(&mut state, endpoint, None);
            // Its prompt has been read.
            state.run_mut(run).expect("the run goes on").events = 1;
            runs.push(run);
        }
        let mut leaving = listing("m1", "model", "a");
        leaving.leaving = true;
        state.change(at(100), Change::Set(leaving));
        let target = state.pick_target(at(110), runs[0], &[]);
        id(&state, target.expect("two engines have room"))
    };
    assert_eq!(chosen(Features::new(vec![Feature::MoveRoom])), "m2");
    assert_eq!(chosen(Features::default()), "m3");
}

/// Runs at an engine that cannot be reached are no part of the demand: counted without their tokens
/// they make a run look small, so that gaps in which no run fits pass for room.
#[test]
fn runs_of_an_unreachable_engine_do_not_make_gaps_look_like_room() {
    // The room is kept at engines drawn by their ids, of which "m6" is one.
    let ids = ["m1", "m6", "m3"];
    let mut state = instance(&ids.map(|id| listing(id, "model", "a")));
    state.update_settings(Settings {
        features: Features::new(vec![Feature::MoveRoom]),
        ..settings("a")
    });
    let [leaves, stays, unreachable] = ids.map(|name| {
        let found = state
            .endpoints()
            .find(|(_, known)| known.listing.id == name);
        found.map(|(key, _)| key).expect("the engine is listed")
    });
    begin_run(&mut state, leaves, None);
    for endpoint in [[stays; 3].as_slice(), &[unreachable; 40]].concat() {
        let run = begin_run(&mut state, endpoint, None);
        state.run_mut(run).expect("the run goes on").prompt = 8400;
    }
    let mut leaving = listing("m1", "model", "a");
    leaving.leaving = true;
    state.change(at(100), Change::Set(leaving));
    let endpoint = state.endpoint_mut(unreachable).expect("listed");
    endpoint.mark_unreachable(at(105));
    assert_eq!(state.pick(at(110), "model", LONG, &[]), Pick::Wait);
}
