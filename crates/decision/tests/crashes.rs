//! Requests that crash the endpoints that run them.

mod desk;

use {
    decision::{
        action::Action,
        event::{Event, Failure},
        fingerprint::Fingerprint,
        outcome::{MayHaveRun, Outcome, Refusal},
        part::Part,
        part_suspects::{self, Claim, RESULT_TIMEOUT},
        suspects::{Change, Crash},
    },
    desk::Harness,
    std::time::Duration,
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

fn part_crash(part: &str, number: u32) -> part_suspects::Crash {
    part_suspects::Crash {
        endpoint: format!("desk/{number}"),
        moment: number,
        part: Part::new(part),
    }
}

/// An instance that has read of five crashes under two parts that came together, of the trials with the fatal one
/// that are allowed, and of the claim of the last trial, with the sound one, by another instance.
fn harness_during_last_trial() -> Harness {
    let mut harness = Harness::new();
    for number in 1..=5 {
        for part in ["aa", "bad"] {
            let change = part_suspects::Change::Crashed(part_crash(part, number));
            harness.step(Event::PartCrash(change));
        }
    }
    for number in 1..=3 {
        let claim = Claim {
            instance: 7,
            number,
            part: Part::new("aa"),
        };
        harness.step(Event::PartCrash(part_suspects::Change::Claimed(claim)));
    }
    harness
}

/// Whether a request has been refused since the last call.
fn is_refused(harness: &mut Harness) -> bool {
    harness.out.drain(..).any(|action| {
        matches!(action, Action::Finish(_, Outcome::NotRun(not_run))
            if not_run.refusal == Refusal::CrashesEndpoints)
    })
}

/// A prompt with the sound part of two comes while another instance tries that part, and no trial is left. Refused at
/// once, its caller would be sent away for crashes that the next record clears.
#[test]
fn prompt_waits_for_the_trial_of_its_part_at_another_instance() {
    let mut harness = harness_during_last_trial();
    harness.prompt("aa cc");
    assert!(!is_refused(&mut harness));
    for number in 1..=5 {
        let change = part_suspects::Change::Cleared(part_crash("aa", number));
        harness.step(Event::PartCrash(change));
    }
    let change = part_suspects::Change::ClaimsCleared(Part::new("aa"));
    harness.step(Event::PartCrash(change));
    harness.step(Event::Tick);
    assert!(harness.sent().is_some());
}

/// Once the trial has crashed its engine, or one of the parts is not being tried, there is nothing to wait for, and
/// prompts must not pile up.
#[test]
fn prompt_does_not_wait_for_a_trial_that_cannot_clear_it() {
    let mut harness = harness_during_last_trial();
    harness.prompt("aa bad");
    assert!(is_refused(&mut harness), "the other part is not tried");
    harness.prompt("aa cc");
    assert!(!is_refused(&mut harness));
    let change = part_suspects::Change::Crashed(part_crash("aa", 6));
    harness.step(Event::PartCrash(change));
    assert!(is_refused(&mut harness), "the trial has crashed its engine");
}

/// The instance that tries the part may be lost. Its prompts must get an answer all the same.
#[test]
fn prompt_is_refused_if_a_trial_has_no_result() {
    let mut harness = harness_during_last_trial();
    harness.prompt("aa cc");
    harness.now = harness
        .now
        .after(RESULT_TIMEOUT.saturating_sub(Duration::from_millis(1)));
    harness.step(Event::Tick);
    assert!(!is_refused(&mut harness));
    harness.now = harness.now.after(Duration::from_millis(1));
    harness.step(Event::Tick);
    assert!(is_refused(&mut harness));
}
