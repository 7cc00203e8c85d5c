//! Requests under which endpoints are lost, and those that share an endpoint with them.

mod common;

use {
    common::*,
    forward::{
        fingerprint::Fingerprint,
        suspects::{self, Crash, MAX_CRASHES, MAX_SUSPECTS, REFUSAL_PERIOD, RETENTION, Suspects},
    },
};

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new(Some("ada"), "h.example", "/draft/7", body.as_bytes())
}

fn crash(body: &str, endpoint: &str) -> Crash {
    Crash {
        endpoint: endpoint.to_string(),
        events: 0,
        fingerprint: fingerprint(body),
    }
}

/// An endpoint that was lost after some events of a request.
fn streamed(body: &str, endpoint: &str) -> Crash {
    Crash {
        events: 17,
        ..crash(body, endpoint)
    }
}

/// Loses `count` endpoints, `m1` and so on, under a request.
fn crash_endpoints(suspects: &mut Suspects, now: Time, body: &str, count: usize) {
    for number in 1..=count {
        assert!(suspects.record_crash(now, crash(body, &format!("m{number}"))));
    }
}

/// A request takes down one endpoint after another. It must be refused after the third, while
/// others go on.
#[test]
fn request_is_refused_once_three_endpoints_are_lost_under_it() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES - 1);
    assert!(!suspects.refuses(at(0), fingerprint("fatal")));
    crash_endpoints(&mut suspects, at(0), "other", 1);
    assert!(suspects.record_crash(at(1), crash("fatal", "m9")));
    assert!(suspects.refuses(at(1), fingerprint("fatal")));
    assert!(!suspects.refuses(at(1), fingerprint("other")));
}

/// Two equal requests run at the endpoint that is lost, at one instance or two. That is one
/// endpoint, not two.
#[test]
fn endpoint_lost_under_equal_requests_counts_once() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", 2);
    assert!(!suspects.record_crash(at(0), crash("fatal", "m2")));
    suspects.apply_crash(at(0), crash("fatal", "m2"));
    assert_eq!(suspects.crashes(fingerprint("fatal")), 2);
    // The same endpoint after a restart is another loss.
    assert!(suspects.record_crash(at(0), crash("fatal", "m2@17")));
    assert!(suspects.refuses(at(0), fingerprint("fatal")));
}

/// An endpoint that says that it is leaving ends by itself, and the requests that it cuts off must
/// not become suspects.
#[test]
fn end_of_a_leaving_endpoint_does_not_count() {
    let mut state = instance(&[listing("m1", "model", "a"), listing("m2", "model", "a")]);
    let key = |state: &State, id: &str| {
        let mut endpoints = state.endpoints();
        let found = endpoints.find(|(_, endpoint)| endpoint.listing.id == id);
        found.expect("it is listed").0
    };
    let (leaving, lost) = (key(&state, "m1"), key(&state, "m2"));
    state.change(at(1), Change::Removed("m1".to_string()));
    let request = fingerprint("body");
    assert!(!state.record_break(at(2), request, leaving, 0));
    assert!(state.record_break(at(2), request, lost, 0));
    assert_eq!(state.suspects.crashes(request), 1);
}

/// A popular lookup runs at each endpoint that is lost in a storm of crashes. One of its equals
/// that completed proves that it does not crash endpoints, before and after the crashes.
#[test]
fn request_that_ended_well_is_no_suspect() {
    for completes_first in [false, true] {
        let mut suspects = Suspects::default();
        if completes_first {
            assert_eq!(suspects.record_completion(at(0), fingerprint("lookup")), 0);
            assert!(!suspects.record_crash(at(1), crash("lookup", "m1")));
            assert!(suspects.unpublished().is_empty());
        } else {
            crash_endpoints(&mut suspects, at(0), "lookup", MAX_CRASHES);
            assert_eq!(
                suspects.record_completion(at(1), fingerprint("lookup")),
                MAX_CRASHES
            );
        }
        assert_eq!(suspects.crashes(fingerprint("lookup")), 0);
        assert!(!suspects.refuses(at(1), fingerprint("lookup")));
    }
}

/// An instance that has just started blames a popular lookup. Instances where it completed clear
/// it for all, or it would be refused everywhere.
#[test]
fn crash_reported_by_a_peer_is_cleared_if_the_request_ended_well_here() {
    let mut suspects = Suspects::default();
    suspects.record_completion(at(0), fingerprint("lookup"));
    suspects.apply_crash(at(1), crash("lookup", "m1"));
    assert_eq!(suspects.crashes(fingerprint("lookup")), 0);
    let cleared = suspects::Change::Cleared(crash("lookup", "m1"));
    assert_eq!(suspects.unpublished(), [cleared]);
    suspects.apply_removal(crash("lookup", "m1"));
    assert!(suspects.unpublished().is_empty());
}

/// An old success proves nothing: a new version of the model may fail on the request.
#[test]
fn earlier_success_does_not_protect_indefinitely() {
    let mut suspects = Suspects::default();
    suspects.record_completion(at(0), fingerprint("fatal"));
    crash_endpoints(&mut suspects, at(31_000), "fatal", MAX_CRASHES);
    assert!(suspects.refuses(at(31_000), fingerprint("fatal")));
}

/// A crash is published until it comes back from the store, or peers would never learn of it when
/// the call fails.
#[test]
fn crash_stays_unpublished_until_it_comes_back() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", 2);
    assert_eq!(suspects.unpublished().len(), 2);
    suspects.apply_crash(at(1), crash("fatal", "m1"));
    assert_eq!(
        suspects.unpublished(),
        [suspects::Change::Crashed(crash("fatal", "m2"))]
    );
}

/// The refusal ends after a while, since the fault may have been mended; one more crash renews it.
#[test]
fn refusal_ends_and_is_renewed_by_one_crash() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES);
    let later = at(0).after(REFUSAL_PERIOD);
    assert!(!suspects.refuses(later, fingerprint("fatal")));
    assert!(suspects.expire(later).is_empty());
    assert!(suspects.record_crash(later, crash("fatal", "m9")));
    assert!(suspects.refuses(later, fingerprint("fatal")));
    let end = later.after(RETENTION);
    assert_eq!(suspects.expire(end).len(), MAX_CRASHES + 1);
    assert_eq!(suspects.crashes(fingerprint("fatal")), 0);
}

/// Many requests break in a storm of crashes. Memory stays bounded, and a request that is refused
/// is not forgotten for those that are not.
#[test]
fn number_of_suspects_is_bounded() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES);
    for number in 0..MAX_SUSPECTS {
        crash_endpoints(&mut suspects, at(1), &format!("body {number}"), 1);
    }
    assert_eq!(suspects.expire(at(2)).len(), 1);
    assert!(suspects.expire(at(2)).is_empty());
    assert!(suspects.refuses(at(2), fingerprint("fatal")));
    assert!(suspects.unpublished().len() <= MAX_SUSPECTS);
}

/// Runs of a refused request that wait for their first event would crash their endpoints like the
/// others. One that has got further shows that it does not, and its caller must not be cut off.
#[test]
fn runs_of_a_refused_request_are_stopped_before_their_first_event() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES - 1);
    assert!(!suspects.stops(at(0), fingerprint("fatal"), 0));
    suspects.record_crash(at(0), crash("fatal", "m9"));
    assert!(suspects.stops(at(1), fingerprint("fatal"), 0));
    assert!(!suspects.stops(at(1), fingerprint("fatal"), 1));
    assert!(!suspects.stops(at(1), fingerprint("other"), 0));
    let later = at(0).after(REFUSAL_PERIOD);
    assert!(!suspects.stops(later, fingerprint("fatal"), 0));
}

/// A harmless stream shares each of three engines with the request that crashes them. Once it is
/// refused, only its runs in progress can clear it, and they must not be stopped.
#[test]
fn runs_of_a_request_that_produced_events_before_a_crash_go_on() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "stream", MAX_CRASHES);
    assert!(suspects.stops(at(1), fingerprint("stream"), 0));
    let further = Crash {
        events: 17,
        ..crash("stream", "m2")
    };
    suspects.apply_crash(at(1), further);
    assert!(!suspects.stops(at(1), fingerprint("stream"), 0));
    assert!(suspects.refuses(at(1), fingerprint("stream")));
}

/// All engines run the harmless stream that is in demand when another request crashes them, and no run of
/// it is left that could clear it. Its callers must not be refused for that.
#[test]
fn stream_that_got_further_than_the_request_at_fault_is_not_refused() {
    let mut suspects = Suspects::default();
    for endpoint in ["m1", "m2", "m3"] {
        suspects.apply_crash(at(0), streamed("stream", endpoint));
    }
    assert!(suspects.refuses(at(0), fingerprint("stream")));
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES);
    assert!(!suspects.refuses(at(0), fingerprint("stream")));
    assert!(suspects.refuses(at(0), fingerprint("fatal")));
    // Requests that never got to their first event cannot be told apart.
    crash_endpoints(&mut suspects, at(0), "lookup", MAX_CRASHES);
    assert!(suspects.refuses(at(0), fingerprint("lookup")));
}

/// Beside the engines that another request crashes, a harmless stream loses some that fail by themselves, or
/// whose crash by the other request is not known. Its callers must not be refused for that either.
#[test]
fn stream_that_also_lost_engines_by_itself_is_not_refused() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "fatal", MAX_CRASHES);
    for endpoint in ["m1", "m2", "m8", "m9"] {
        suspects.apply_crash(at(0), streamed("stream", endpoint));
        assert!(!suspects.refuses(at(0), fingerprint("stream")));
    }
}

/// A stream that crashes its engines may share them with one that waits there. It is refused again once
/// it has crashed three without the other.
#[test]
fn stream_that_crashes_engines_by_itself_is_refused() {
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "waiting", MAX_CRASHES);
    for endpoint in ["m1", "m2", "m3", "m7", "m8"] {
        assert!(suspects.record_crash(at(0), streamed("fatal", endpoint)));
    }
    assert!(!suspects.refuses(at(0), fingerprint("fatal")));
    assert!(suspects.record_crash(at(1), streamed("fatal", "m9")));
    assert!(suspects.refuses(at(1), fingerprint("fatal")));
    // A request that is not refused itself accounts for nothing.
    let mut suspects = Suspects::default();
    crash_endpoints(&mut suspects, at(0), "waiting", MAX_CRASHES - 1);
    for endpoint in ["m1", "m2", "m3"] {
        suspects.record_crash(at(0), streamed("fatal", endpoint));
    }
    assert!(suspects.refuses(at(0), fingerprint("fatal")));
}

/// The store drops its history with the clearance of a harmless request in it. An instance that has not
/// read it must not go on refusing the request.
#[test]
fn crash_that_is_no_longer_listed_is_dropped() {
    let mut suspects = Suspects::default();
    for endpoint in ["m1", "m2", "m3"] {
        suspects.apply_crash(at(0), crash("lookup", endpoint));
        suspects.apply_crash(at(0), crash("fatal", endpoint));
    }
    suspects.record_crash(at(1), crash("own", "m4"));
    assert!(suspects.refuses(at(1), fingerprint("lookup")));
    let listed = ["m3", "m1", "m2"].map(|endpoint| crash("fatal", endpoint));
    suspects.drop_unlisted(&listed);
    assert!(!suspects.refuses(at(1), fingerprint("lookup")));
    assert_eq!(suspects.crashes(fingerprint("lookup")), 0);
    assert!(suspects.refuses(at(1), fingerprint("fatal")));
    assert_eq!(suspects.crashes(fingerprint("own")), 1, "not yet published");
    assert_eq!(suspects.unpublished().len(), 1);
}

/// Two instances lose the same endpoint at different events. Either record makes the loss known, or
/// one of them would publish it without end.
#[test]
fn record_of_another_instance_confirms_a_crash() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0), crash("fatal", "m1"));
    let other = Crash {
        events: 9,
        ..crash("fatal", "m1")
    };
    suspects.apply_crash(at(1), other);
    assert!(suspects.unpublished().is_empty());
    assert_eq!(suspects.crashes(fingerprint("fatal")), 1);
}
