//! Limits that hold over all instances without coordination.

mod common;

use {
    common::*,
    forward::{budget::RetryBudget, rate_limit::RateLimiter},
    proptest::prelude::*,
};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The retries of all instances stay within the shared budget in any window, however requests
    /// are spread.
    #[test]
    fn retries_stay_within_shared_budget(
        arrivals in proptest::collection::vec((0_usize..10, 0_u64..30_000), 1..600),
    ) {
        let mut arrivals = arrivals;
        arrivals.sort_by_key(|(_, time)| *time);
        let mut budgets = (0..10).map(|_| RetryBudget::new(&settings("a"))).collect::<Vec<_>>();
        let mut retries = Vec::new();
        for (instance, time) in &arrivals {
            let budget = &mut budgets[*instance];
            budget.record_request("desk", at(*time));
            for _ in 0..3 {
                if budget.allows_retry("desk", at(*time)) {
                    budget.record_retry("desk", at(*time));
                    retries.push(*time);
                }
            }
        }
        for end in &retries {
            let within = |time: &u64, back: u64| *time + back <= *end && *time + back + 10_000 > *end;
            let retried = retries.iter().filter(|time| within(time, 0)).count();
            // Requests count in the window itself, in the one before it, or in the one half a
            // window before it, whichever has the most.
            let requests = [0, 5000, 10_000]
                .map(|back| arrivals.iter().filter(|(_, time)| within(time, back)).count())
                .into_iter()
                .max()
                .unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "small counts")]
            let (requests, retried) = (requests as f64, retried as f64);
            prop_assert!(retried <= requests * 0.2 + 50.0, "{retried} retries of {requests} requests");
        }
    }

    /// Ten instances that choose the same cold engine together stay within its rate.
    #[test]
    fn cold_engine_rate_is_not_exceeded(times in proptest::collection::vec(0_u64..3000, 1..400)) {
        let mut times = times;
        times.sort_unstable();
        let max_sends = 2; // 28 a second over ten instances, rounded down
        let mut rate_limiters = vec![RateLimiter::default(); 10];
        let mut sent = Vec::new();
        for (index, time) in times.iter().enumerate() {
            let rate_limiter = &mut rate_limiters[index % 10];
            if rate_limiter.allows(at(*time), max_sends) {
                rate_limiter.record_send(at(*time));
                sent.push(*time);
            }
        }
        for end in &sent {
            let recent = sent.iter().filter(|time| **time <= *end && **time + 1000 > *end);
            prop_assert!(recent.count() <= 28);
        }
    }
}

/// An instance that gets all requests uses only its own share of the budget.
#[test]
fn instance_uses_only_its_share_of_retries() {
    let mut budget = RetryBudget::new(&settings("a"));
    for _ in 0..10 {
        budget.record_request("desk", at(0));
    }
    let mut retries = 0;
    while budget.allows_retry("desk", at(1)) {
        budget.record_retry("desk", at(1));
        retries += 1;
    }
    assert_eq!(retries, 1 + 5);
    assert!(budget.allows_retry("model", at(1)));
    assert!(budget.allows_retry("desk", at(10_100)));
}

/// Shares computed for ten instances would exceed the budget in a deployment of eighty.
#[test]
fn retry_share_shrinks_with_more_instances() {
    let mut state = instance(&[]);
    let retries = |state: &mut forward::State, now: u64| {
        let mut retries = 0;
        while state.budget.allows_retry("desk", at(now)) {
            state.budget.record_retry("desk", at(now));
            retries += 1;
        }
        retries
    };
    assert_eq!(retries(&mut state, 0), 5);
    state.update_instance_count(7);
    assert_eq!(retries(&mut state, 20_000), 5);
    state.update_instance_count(40);
    assert_eq!(retries(&mut state, 40_000), 1);
    state.update_instance_count(80);
    assert_eq!(retries(&mut state, 60_000), 0);
}

/// Lowered limits apply without a restart, and earlier retries count against them.
#[test]
fn changed_settings_apply_at_once() {
    let mut state = instance(&[]);
    for now in 0..3 {
        assert!(state.budget.allows_retry("desk", at(now)));
        state.budget.record_retry("desk", at(now));
    }
    let mut lower = settings("a");
    lower.retry_burst = 30.0;
    lower.revocation = millis(2000);
    state.update_settings(lower);
    assert!(!state.budget.allows_retry("desk", at(10)));
    let refused = state.admit(at(1800), &inbound("/desk/x", at(1800)));
    assert_eq!(refused.map(|_| ()), Err(Refusal::Stale));
}
