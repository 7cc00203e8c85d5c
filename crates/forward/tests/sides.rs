//! Requests that are held to one side, their own failure domain or the others, and when they are not.

mod common;

use {common::*, forward::request::Ticket};

/// Tokens that fill an engine.
const FULL: u32 = 34_000;

/// An instance in domain `a` that chooses sides, with an endpoint of each service in `a` and in `b`.
fn sided() -> State {
    let endpoints = [
        listing("a-model", "model", "a"),
        listing("b-model", "model", "b"),
        listing("a-desk", "desk", "a"),
        listing("b-desk", "desk", "b"),
    ];
    let mut state = instance(&endpoints);
    let mut settings = settings("a");
    settings.features = Features::new(vec![Feature::DomainOverflow]);
    state.update_settings(settings);
    state
}

fn ticket(state: &mut State, path: &str, arrived: u64) -> Ticket {
    let admitted = state.admit(at(arrived), &inbound(path, at(arrived)));
    admitted.expect("admitted")
}

fn key(state: &State, id: &str) -> EndpointKey {
    let mut endpoints = state.endpoints();
    let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
    found.expect("listed").0
}

/// Id of the endpoint that a request is sent to; empty if it waits.
fn chosen(state: &mut State, now: u64, ticket: &Ticket, need: Need, tried: &[&str]) -> String {
    let tried = tried.iter().map(|id| key(state, id)).collect::<Vec<_>>();
    match state.pick_attempt(at(now), ticket, need, &tried).0 {
        Pick::Send(key, _) => id(state, key),
        Pick::Wait => String::new(),
    }
}

fn fill(state: &mut State, id: &str) {
    let endpoint = key(state, id);
    let run = begin_run(state, endpoint, None);
    let run = state.run_mut(run).expect("just begun");
    run.prompt = FULL;
}

fn occupy(state: &mut State, id: &str) {
    let endpoint = key(state, id);
    let endpoint = state.endpoint_mut(endpoint).expect("listed");
    endpoint.in_flight = endpoint.listing.slots;
}

/// A stream waits for room in its domain until its time is up, though an engine elsewhere is free.
#[test]
fn stream_without_room_at_home_leaves_at_once() {
    let mut state = sided();
    let ticket = ticket(&mut state, "/draft/x", 0);
    assert_eq!(chosen(&mut state, 0, &ticket, LONG, &[]), "a-model");
    fill(&mut state, "a-model");
    assert_eq!(chosen(&mut state, 10, &ticket, LONG, &[]), "b-model");
}

/// A request that is late waits on at home: both sides look full to it.
#[test]
fn late_request_is_sent_wherever_there_is_room() {
    let mut state = sided();
    occupy(&mut state, "a-desk");
    // One slot is free elsewhere, too few for a request on time to leave.
    let mut large = listing("b-desk", "desk", "b");
    large.slots = 40;
    state.change(at(0), Change::Set(large));
    occupy(&mut state, "b-desk");
    let free = key(&state, "b-desk");
    state.endpoint_mut(free).expect("listed").in_flight -= 1;
    let ticket = ticket(&mut state, "/desk/x", 0);
    let late = 1900;
    let need = Need::default();
    assert_eq!(chosen(&mut state, late, &ticket, need, &[]), "b-desk");
}

/// A retry finds no other endpoint in its domain.
#[test]
fn retry_is_not_held_to_its_domain() {
    let mut state = sided();
    let ticket = ticket(&mut state, "/desk/x", 0);
    let need = Need::default();
    assert_eq!(chosen(&mut state, 10, &ticket, need, &["a-desk"]), "b-desk");
}

/// Requests that all instances send away at once come back late: a full domain is left by its average.
#[test]
fn plain_requests_leave_a_full_domain_by_its_average() {
    let mut state = sided();
    let need = Need::default();
    let first = ticket(&mut state, "/desk/x", 0);
    assert_eq!(chosen(&mut state, 0, &first, need, &[]), "a-desk");
    occupy(&mut state, "a-desk");
    let second = ticket(&mut state, "/desk/x", 10);
    assert_eq!(chosen(&mut state, 10, &second, need, &[]), "");
    let mut left = String::new();
    for now in (100..6000).step_by(100) {
        state.config_freshness.confirm(at(now));
        let ticket = ticket(&mut state, "/desk/x", now);
        left = chosen(&mut state, now, &ticket, need, &[]);
    }
    assert_eq!(left, "b-desk");
}
