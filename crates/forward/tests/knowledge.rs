//! Decisions by the age of the configuration.

mod common;

use common::*;

/// An instance without connection to the store must not accept keys that may have been revoked.
#[test]
fn keys_are_rejected_when_configuration_is_too_old() {
    let mut state = instance(&[]);
    for (now, expected) in [(4600, Ok(())), (4701, Err(Refusal::Stale))] {
        let admitted = state.admit(at(now), &inbound("/desk/x", at(now)));
        assert_eq!(admitted.map(|_| ()), expected, "at {now} ms");
    }
    assert!(!state.ready(at(4701)));
    state.config_freshness.confirm(at(4701));
    let again = state.admit(at(4800), &inbound("/desk/x", at(4800)));
    assert_eq!(again.map(|ticket| ticket.version), Ok(1));
}

/// An answer that was delayed in a buffer confirms the configuration only at the time of its query.
#[test]
fn configuration_age_counts_from_query() {
    let mut state = instance(&[]);
    let (sent_at, read) = (at(1000), at(9000));
    state.config_freshness.confirm(sent_at);
    let admitted = state.admit(read, &inbound("/desk/x", read));
    assert_eq!(admitted.map(|_| ()), Err(Refusal::Stale));
    state.config_freshness.confirm(at(500));
    assert_eq!(state.config_freshness.age(at(1500)), Some(millis(500)));
}

/// Records replayed by the store must not replace a newer configuration.
#[test]
fn older_configuration_is_ignored() {
    let mut state = instance(&[]);
    assert!(state.configure(config_with(7, vec!["key-2".to_string()])));
    assert!(!state.configure(config(6)));
    assert!(!state.configure(config(7)));
    let now = at(10);
    let refused = state.admit(now, &inbound("/desk/x", now));
    assert_eq!(refused.map(|_| ()), Err(Refusal::UnknownKey));
}

/// An unknown route may be one that this instance has not read yet, so that a 404 would be wrong.
#[test]
fn unknown_route_is_stale_when_configuration_is_old() {
    let mut state = instance(&[]);
    for (now, expected) in [(1900, Refusal::UnknownRoute), (2000, Refusal::Stale)] {
        let refused = state.admit(at(now), &inbound("/new/x", at(now)));
        assert_eq!(refused.map(|_| ()), Err(expected), "at {now} ms");
    }
    assert!(Refusal::Stale.retry_after().is_some());
}

/// A new instance must not answer 404 before it has a configuration.
#[test]
fn requests_without_configuration_are_unconfigured() {
    use rand::{SeedableRng as _, rngs::SmallRng};
    let mut state = State::new(settings("a"), SmallRng::seed_from_u64(1));
    let refused = state.admit(at(0), &inbound("/desk/x", at(0)));
    assert_eq!(refused.map(|_| ()), Err(Refusal::Unconfigured));
    assert!(!state.ready(at(0)));
}

/// Of several matching routes the one with the longest prefix is used.
#[test]
fn longest_matching_prefix_is_used() {
    let config = config(1);
    let name = |path: &str| {
        let route = config.route("h.example", path);
        route.map(|route| route.name.clone())
    };
    assert_eq!(name("/draft/long/7").as_deref(), Some("/draft/long/"));
    assert_eq!(name("/draft/longer").as_deref(), Some("/draft/"));
    assert_eq!(name("/draft"), None);
    assert_eq!(name("/other/7"), None);
}

/// Guards against a stopping instance that cuts off a request which it admitted: only what has to end before the
/// instance stops is safe, however short the work is estimated to be.
#[test]
fn stopping_instance_admits_only_requests_that_have_to_end_before() {
    let mut state = instance(&[]);
    state.config_freshness.confirm(at(6000));
    state.stop(at(8000));
    for path in ["/draft/x", "/desk/x"] {
        for (arrived, deadline, expected) in [
            (100, 39_000, Err(Refusal::Stopping)),
            (100, 7900, Ok(())),
            (100, 7901, Err(Refusal::Stopping)),
            (6500, 1500, Ok(())),
            (6501, 1500, Err(Refusal::Stopping)),
            (7999, 400, Err(Refusal::Stopping)),
        ] {
            let mut request = inbound(path, at(arrived));
            request.deadline = Some(millis(deadline));
            request.length_hint = Some(8);
            request.max_output_tokens = 60;
            request.prompt = 10;
            let admitted = state.admit(at(arrived), &request);
            let what = format!("{path}, {arrived} ms, {deadline} ms");
            assert_eq!(admitted.map(|_| ()), expected, "{what}");
        }
    }
    assert!(Refusal::Stopping.not_run());
}

/// Guards against a request that waits for room and is sent by an instance that stops before it has to end.
#[test]
fn queued_request_is_admitted_again_by_the_time_at_which_the_instance_stops() {
    let mut state = instance(&[]);
    for (deadline, expected) in [(2000, Ok(())), (2001, Err(Refusal::Stopping))] {
        let mut request = inbound("/desk/x", at(100));
        request.deadline = Some(millis(deadline));
        state.stop(at(9000));
        let ticket = state.admit(at(100), &request).expect("admitted");
        state.stop(at(2100));
        let readmitted = state.readmit(at(400), &request, &ticket);
        assert_eq!(readmitted.map(|_| ()), expected, "{deadline} ms");
    }
}

/// Guards against an instance that refuses requests without a deadline although their route bounds them.
#[test]
fn timeout_of_the_route_bounds_a_request_without_a_deadline() {
    let mut state = instance(&[]);
    let mut request = inbound("/desk/x", at(0));
    request.deadline = None;
    for (stops_at, expected) in [(39_000, Ok(())), (38_999, Err(Refusal::Stopping))] {
        state.stop(at(stops_at));
        let admitted = state.admit(at(0), &request);
        assert_eq!(admitted.map(|_| ()), expected, "{stops_at} ms");
    }
}

/// A queued request must not go to a service that its route no longer includes, nor change service
/// after an endpoint was chosen.
#[test]
fn readmitted_request_follows_its_route() {
    let split = |version: u64, split: &[(&str, u32)]| {
        let mut route = route("/desk/", Kind::NonIdempotent, "desk");
        route.anonymous = true;
        route.split = split
            .iter()
            .map(|(name, weight)| (name.to_string(), *weight))
            .collect();
        Config::new(
            version,
            Limits::default(),
            vec![route],
            Vec::new(),
            Vec::new(),
        )
    };
    let mut state = instance(&[]);
    state.configure(split(2, &[("one", 90), ("two", 10)]));
    let inbound = inbound("/desk/x", at(0));
    for _ in 0..50 {
        let ticket = state.admit(at(10), &inbound).expect("a ticket");
        let renewed = state.readmit(at(20), &inbound, &ticket).expect("a ticket");
        assert_eq!(renewed.service, ticket.service);
    }
    let mut ticket = state.admit(at(30), &inbound).expect("a ticket");
    ticket.service = "two".to_string();
    state.configure(split(3, &[("one", 100), ("two", 0)]));
    let renewed = state.readmit(at(40), &inbound, &ticket).expect("a ticket");
    assert_eq!((renewed.service.as_str(), renewed.version), ("one", 3));
}

/// Guards against a generation that is admitted by its expected length and outlasts the instance: neither the estimate
/// nor the limit of tokens bounds its time, only the deadline does.
#[test]
fn stopping_instance_ignores_length_hint() {
    let mut state = instance(&[]);
    state.stop(at(7700));
    let mut hopeful = inbound("/draft/x", at(4300));
    hopeful.length_hint = Some(120);
    let refused = state.admit(at(4300), &hopeful);
    assert_eq!(refused.map(|_| ()), Err(Refusal::Stopping));
    hopeful.max_output_tokens = 120;
    let refused = state.admit(at(4300), &hopeful);
    assert_eq!(refused.map(|_| ()), Err(Refusal::Stopping));
    hopeful.deadline = Some(millis(3400));
    let admitted = state.admit(at(4300), &hopeful);
    assert_eq!(admitted.map(|ticket| ticket.version), Ok(1));
}
