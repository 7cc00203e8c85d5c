//! Requests that crash the endpoints that run them.

mod desk;

use {
    decision::{
        action::Action,
        event::{Event, Failure},
        fingerprint::Fingerprint,
        outcome::MayHaveRun,
        suspects::{Change, Crash},
    },
    desk::Harness,
};

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new(None, "", "", body.as_bytes())
}

fn crash(number: u32) -> Change {
    Change::Crashed(Crash {
        endpoint: format!("desk/{number}"),
        events: 0,
        fingerprint: fingerprint("fatal"),
    })
}

/// Crashes that other instances have seen count as well. Otherwise a request takes down three
/// endpoints at each of many instances.
#[test]
fn request_that_crashed_three_endpoints_elsewhere_is_refused() {
    let mut harness = Harness::new();
    for number in 0..3 {
        assert!(harness.look_up(fingerprint("fatal")).is_some(), "{number}");
        harness.out.clear();
        harness.step(Event::Crash(crash(number)));
    }
    assert!(harness.look_up(fingerprint("fatal")).is_none());
    assert!(harness.look_up(fingerprint("another")).is_some());
}

/// A broken connection is published, again until it has been read back, since an append may be lost.
#[test]
fn broken_connection_is_published_until_it_is_read() {
    let mut harness = Harness::new();
    let attempt = harness.look_up(fingerprint("fatal")).expect("it is sent");
    harness.step(Event::Failed(attempt, Failure::Broken));
    let mut published = Vec::new();
    for _ in 0..60 {
        harness.now = harness.now.after(std::time::Duration::from_millis(20));
        harness.step(Event::Tick);
        published.extend(harness.out.drain(..).filter_map(|action| match action {
            Action::PublishCrash(change) => Some(change),
            _ => None,
        }));
    }
    assert_eq!(published.len(), 3, "{published:?}");
    harness.step(Event::Crash(published.remove(0)));
    harness.out.clear();
    harness.now = harness.now.after(std::time::Duration::from_secs(1));
    harness.step(Event::Tick);
    let is_published = |action: &Action| matches!(action, Action::PublishCrash(_));
    assert!(!harness.out.iter().any(is_published));
}

/// Requests in flight when the third endpoint is lost, here or elsewhere, would take down one endpoint
/// each. They are stopped and may have run; those that still wait have not.
#[test]
fn equal_requests_in_flight_are_stopped_after_the_third_crash() {
    let mut harness = Harness::new();
    let first = harness.look_up(fingerprint("fatal")).expect("it is sent");
    let second = harness.look_up(fingerprint("fatal")).expect("it is sent");
    let other = harness.look_up(fingerprint("another")).expect("it is sent");
    harness.step(Event::Crash(crash(1)));
    harness.step(Event::Crash(crash(2)));
    assert!(harness.finished().is_empty());
    harness.step(Event::Failed(first, Failure::Broken));
    assert_eq!(
        harness.finished(),
        [
            (first.request, MayHaveRun::ConnectionLost),
            (second.request, MayHaveRun::Stopped)
        ]
    );
    assert!(harness.state.requests.contains_key(other.request));
}

/// Instances learn of the third crash from each other. Knowledge that only refuses new requests
/// lets those in flight at other instances go on.
#[test]
fn third_crash_elsewhere_stops_requests_in_flight() {
    let mut harness = Harness::new();
    let attempt = harness.look_up(fingerprint("fatal")).expect("it is sent");
    for number in 0..3 {
        harness.step(Event::Crash(crash(number)));
    }
    assert_eq!(harness.finished(), [(attempt.request, MayHaveRun::Stopped)]);
}
