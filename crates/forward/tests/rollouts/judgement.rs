//! The judgement on a version.

use forward::rollout::{
    tally::{Outcome, RouteTally, Sample, Tallies, Timing, add, count_new, count_old},
    verdict::{Verdict, judge},
};
use std::time::Duration;

const ENDPOINTS: u32 = 6;

fn answered(millis: u64) -> Outcome {
    let timing = Timing {
        intervals: 0,
        prompt: 0,
        took: Duration::from_millis(millis),
    };
    Outcome::Answered(timing.class())
}

/// A route on which the old version has answered 100 times, `bad` of them as `outcome`.
fn route(name: &str, bad: u32, outcome: Outcome) -> RouteTally {
    let mut tallies = Tallies::new();
    for number in 0..100 {
        let outcome = if number < bad { outcome } else { answered(20) };
        count_old(&mut tallies, name, outcome);
    }
    tallies.remove(0)
}

/// Adds `answers` answers of the new version, of which `outcome` chooses each by its number.
fn answer(tally: &mut RouteTally, answers: u32, outcome: impl Fn(u32) -> Outcome) {
    for number in 0..answers {
        tally.new.push(Sample {
            at_ms: number * 100,
            endpoint: number % ENDPOINTS,
            outcome: outcome(number),
        });
    }
}

fn verdict(tallies: &[RouteTally]) -> Verdict {
    judge(tallies, ENDPOINTS as usize).verdict
}

/// A few answers show nothing, and a version must not be completed on them.
#[test]
fn few_answers_leave_the_verdict_open() {
    let mut tally = route("draft", 0, Outcome::Failed);
    answer(&mut tally, 4, |_| answered(20));
    assert_eq!(verdict(&[tally.clone()]), Verdict::Open);
    answer(&mut tally, 16, |_| answered(20));
    assert_eq!(verdict(&[tally]), Verdict::Good);
}

/// Some versions fail on one route only, which others outweigh if all are judged together.
#[test]
fn version_that_fails_on_one_route_is_bad() {
    let mut good = route("draft", 0, Outcome::Failed);
    let mut bad = route("check", 0, Outcome::Failed);
    answer(&mut good, 30, |_| answered(20));
    answer(&mut bad, 12, |number| {
        if number % 2 == 0 {
            Outcome::Failed
        } else {
            answered(20)
        }
    });
    assert_eq!(verdict(&[bad, good]), Verdict::Bad);
}

/// A route on which the new version has hardly been tried may be the one that it breaks.
#[test]
fn version_that_misses_a_route_is_not_good() {
    let mut tried = route("draft", 0, Outcome::Failed);
    let missed = route("check", 0, Outcome::Failed);
    answer(&mut tried, 40, |_| answered(20));
    assert_eq!(verdict(&[missed, tried]), Verdict::Open);
}

/// A version that turns bad after many good answers must be found as fast as one that is bad from
/// the start.
#[test]
fn version_that_turns_bad_late_is_bad() {
    let mut tally = route("draft", 0, Outcome::Failed);
    answer(&mut tally, 45, |number| {
        if number < 38 {
            answered(20)
        } else {
            Outcome::Failed
        }
    });
    assert_eq!(verdict(&[tally]), Verdict::Bad);
}

/// A version that is several times slower is bad; one that is a little slower is not, since new
/// endpoints start with empty caches.
#[test]
fn only_much_slower_versions_are_bad() {
    for (millis, expected) in [(80, Verdict::Bad), (26, Verdict::Good)] {
        let mut tally = route("draft", 3, answered(90));
        answer(&mut tally, 40, |_| answered(millis));
        assert_eq!(verdict(&[tally]), expected, "{millis} ms");
    }
}

/// One of the new endpoints may be faulty by itself, which says nothing of the version.
#[test]
fn one_faulty_endpoint_does_not_condemn_a_version() {
    let mut tally = route("draft", 0, Outcome::Failed);
    answer(&mut tally, 48, |number| {
        if number % ENDPOINTS == 2 {
            Outcome::Failed
        } else {
            answered(20)
        }
    });
    assert_eq!(verdict(&[tally]), Verdict::Good);
}

/// Two of six endpoints fail two of five answers, whatever their version. They must not have a good
/// version rolled back, before the shift or after it, when they answer much more.
#[test]
fn two_faulty_endpoints_do_not_condemn_a_version() {
    for answers in [90, 300, 900] {
        let mut tally = route("draft", 0, Outcome::Failed);
        answer(&mut tally, answers, |number| {
            let is_faulty = number % ENDPOINTS < 2;
            if is_faulty && (number / ENDPOINTS) % 5 < 2 {
                Outcome::Failed
            } else {
                answered(20)
            }
        });
        assert_eq!(verdict(&[tally]), Verdict::Good, "{answers} answers");
    }
}

/// Faulty endpoints must not excuse a version that fails two of three answers at most of its endpoints,
/// or at all of a few.
#[test]
fn version_that_fails_at_most_endpoints_is_bad() {
    for (endpoints, bad_endpoints) in [(1, 1), (2, 2), (3, 3), (6, 4)] {
        let mut tally = route("draft", 0, Outcome::Failed);
        for number in 0..endpoints * 12 {
            let endpoint = number % endpoints;
            let is_bad = endpoint < bad_endpoints && (number / endpoints) % 3 > 0;
            tally.new.push(Sample {
                at_ms: number * 100,
                endpoint,
                outcome: if is_bad {
                    Outcome::Failed
                } else {
                    answered(20)
                },
            });
        }
        let judgement = judge(&[tally], endpoints as usize);
        assert_eq!(judgement.verdict, Verdict::Bad, "{endpoints} endpoints");
    }
}

/// Requests that fail on the old version as well, such as one lookup in seven, condemn nothing.
#[test]
fn failures_of_both_versions_do_not_condemn_the_new_one() {
    let mut tally = route("look", 14, Outcome::Failed);
    answer(&mut tally, 49, |number| {
        if number % 7 == 3 {
            Outcome::Failed
        } else {
            answered(20)
        }
    });
    assert_eq!(verdict(&[tally]), Verdict::Good);
}

/// A version that rejects its requests serves nobody, though it fails none.
#[test]
fn version_that_rejects_requests_is_bad() {
    let mut tally = route("draft", 2, Outcome::Rejected);
    answer(&mut tally, 24, |number| {
        if number % 3 > 0 {
            Outcome::Rejected
        } else {
            answered(20)
        }
    });
    assert_eq!(verdict(&[tally]), Verdict::Bad);
}

/// Evidence of instances adds up in any order to the same verdict; a difference would have
/// instances decide differently on the same records.
#[test]
fn sum_of_evidence_does_not_depend_on_its_order() {
    let mut parts = Vec::new();
    for number in 0..4_u32 {
        let mut part = Tallies::new();
        count_old(&mut part, "draft", answered(20));
        for offset in 0..5 {
            let sample = Sample {
                at_ms: offset * 40 + number,
                endpoint: offset,
                outcome: if number == 1 {
                    Outcome::Failed
                } else {
                    answered(20)
                },
            };
            count_new(&mut part, "draft", sample);
        }
        parts.push(part);
    }
    let sum = |parts: &[Tallies]| {
        let mut sum = Tallies::new();
        for part in parts {
            add(&mut sum, part);
        }
        judge(&sum, 5)
    };
    let forward = sum(&parts);
    parts.reverse();
    assert_eq!(forward, sum(&parts));
}

/// A few answers are slow by chance. They must not keep a good version from being completed, and a third
/// of them must.
#[test]
fn few_slow_answers_do_not_hold_a_version_back() {
    for (slow, expected) in [(1, true), (4, false)] {
        let mut tally = route("draft", 3, answered(90));
        answer(&mut tally, 45, |number| {
            answered(if number % 11 < slow { 90 } else { 20 })
        });
        assert_eq!(verdict(&[tally]) == Verdict::Good, expected, "{slow}");
    }
}
