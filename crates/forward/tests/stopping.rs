//! When an instance that is told to stop has to have ended its requests.

mod common;

use {
    common::{Refusal, at, inbound, instance, millis},
    forward::{lateness::Lateness, stop::Schedule},
};

/// Guards against a grace period that counts from when a stalled event loop finds the signal.
#[test]
fn signal_may_have_come_at_any_time_of_a_stall() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.earliest_arrival(at(5000)), at(5000));
    lateness.start(at(0), millis(250));
    assert_eq!(lateness.record(at(250)), millis(0));
    for (now, expected) in [(250, 250), (499, 499), (560, 560), (561, 250), (2250, 250)] {
        let arrival = lateness.earliest_arrival(at(now));
        assert_eq!(arrival, at(expected), "{now} ms");
    }
    assert_eq!(lateness.record(at(2250)), millis(1750));
    for (now, expected) in [(2250, 250), (2310, 250), (2311, 2311)] {
        let arrival = lateness.earliest_arrival(at(now));
        assert_eq!(arrival, at(expected), "{now} ms, the timer has fired");
    }
}

/// Guards against requests that are admitted for a time at which the instance is killed, and against streams that are
/// cut off early since their instance has found its signal late.
#[test]
fn requests_end_before_the_grace_period_does() {
    for (signalled_at, grace, admits_until, ends_at) in [
        (3000, 8000, 10_600, 10_600),
        (2500, 8000, 10_100, 10_100),
        (1000, 8000, 8600, 9800),
        (3000, 1000, 3600, 3600),
        (2000, 1000, 2600, 3600),
        (3000, 200, 3000, 3000),
    ] {
        let schedule = Schedule::new(at(3000), at(signalled_at), millis(grace));
        let expected = Schedule {
            admits_until: at(admits_until),
            ends_at: at(ends_at),
        };
        assert_eq!(
            schedule, expected,
            "signalled at {signalled_at} ms, {grace} ms"
        );
    }
}

/// Guards against a request that is admitted although the event loop was lately so late that it would end it after the
/// exit.
#[test]
fn recent_stalls_leave_less_time_for_requests() {
    let mut state = instance(&[]);
    state.lateness.start(at(0), millis(250));
    state.lateness.record(at(950));
    state.lateness.record(at(1300));
    state.stop(at(8000));
    for (deadline, expected) in [(3300, Ok(())), (3301, Err(Refusal::Stopping))] {
        let mut request = inbound("/desk/x", at(4000));
        request.deadline = Some(millis(deadline));
        let admitted = state.admit(at(4000), &request);
        assert_eq!(admitted.map(|_| ()), expected, "{deadline} ms");
    }
    assert_eq!(state.lateness.worst(at(10_950)), millis(700));
    assert_eq!(state.lateness.worst(at(10_951)), millis(0));
}
