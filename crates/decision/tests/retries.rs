//! Retries of orders at an endpoint that deduplicates them.

mod desk;

use {
    decision::{
        action::Action,
        batch,
        event::{Event, Failure},
        outcome::{Evidence, Outcome},
    },
    desk::Harness,
    std::time::Duration,
};

/// The first attempt may have run, so evidence that the retry did not run must not finish the
/// order as not run.
#[test]
fn retry_that_did_not_run_does_not_refuse_the_order_as_not_run() {
    let mut harness = Harness::new();
    let first = harness.order();
    harness.step(Event::Failed(first, Failure::Broken));
    let second = harness
        .sent()
        .expect("the order is retried at the endpoint that deduplicates it");
    let not_run = Failure::NotRun(Evidence::NothingWritten);
    harness.step(Event::Failed(second, not_run));
    let outcomes = harness.out.drain(..).filter_map(|action| match action {
        Action::Finish(_, outcome) => Some(outcome),
        _ => None,
    });
    let outcomes = outcomes.collect::<Vec<_>>();
    assert!(
        matches!(outcomes.as_slice(), [Outcome::MayHaveRun(_)]),
        "{outcomes:?}"
    );
    // Voiding the claim would free the key, and a repeated order would run again.
    harness.step(Event::Appended(batch::AppendResult::Done));
    harness.now = harness.now.after(Duration::from_secs(1));
    harness.state.flush(harness.now, &mut harness.out);
    let appended = format!("{:?}", harness.out);
    assert!(
        appended.contains("Lost") && !appended.contains("Void"),
        "{appended}"
    );
}
