//! Endpoints that want no requests for a time.

mod desk;

use {
    decision::{
        action::Action,
        attempt::Attempt,
        event::{Event, Failure},
        fingerprint::Fingerprint,
        outcome::{Evidence, Outcome},
    },
    desk::Harness,
    std::time::Duration,
};

fn fingerprint() -> Fingerprint {
    Fingerprint::new(None, "", "", &[])
}

/// Has the endpoint reject an attempt and ask for a cooldown; returns the time after which its caller may return.
fn reject(harness: &mut Harness, attempt: Attempt, cooldown: Duration) -> Option<Duration> {
    harness.step(Event::CoolingDown(attempt, cooldown));
    let failure = Failure::NotRun(Evidence::EndpointRefused);
    harness.step(Event::Failed(attempt, failure));
    refused(harness)
}

fn refused(harness: &mut Harness) -> Option<Duration> {
    harness.out.drain(..).find_map(|action| match action {
        Action::Finish(_, Outcome::NotRun(not_run)) => not_run.retry_after,
        _ => None,
    })
}

/// Guards against calls in the time that an endpoint asks for, callers that wait for its end, and a shorter time that ends
/// a longer one.
#[test]
fn endpoint_in_its_cooldown_gets_no_calls() {
    let mut harness = Harness::new();
    let first = harness.look_up(fingerprint()).expect("the call is sent");
    let second = harness.look_up(fingerprint()).expect("the call is sent");
    let retry_after = reject(&mut harness, first, Duration::from_secs(3));
    assert!(
        retry_after >= Some(Duration::from_secs(3)),
        "{retry_after:?}"
    );
    let retry_after = reject(&mut harness, second, Duration::from_millis(100));
    assert!(
        retry_after >= Some(Duration::from_secs(3)),
        "{retry_after:?}"
    );
    harness.now = harness.now.after(Duration::from_millis(2900));
    assert_eq!(harness.look_up(fingerprint()), None);
    harness.now = harness.now.after(Duration::from_millis(400));
    harness.step(Event::Tick);
    assert!(harness.look_up(fingerprint()).is_some());
}
