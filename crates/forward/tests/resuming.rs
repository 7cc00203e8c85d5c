//! Streams that callers may resume.

mod common;

use {
    common::{Kind, at, inbound, instance, route},
    forward::{request::Ticket, sequence::Sequence},
    proptest::{prelude::*, test_runner::RngSeed},
};

/// Seed of the random streams.
const SEED: u64 = 20_261_203;

fn ticket(kind: Kind, resumable: bool) -> Ticket {
    let mut state = instance(&[]);
    let mut ticket = state
        .admit(at(10), &inbound("/draft/7", at(10)))
        .expect("a ticket");
    ticket.route = common::Route {
        resumable,
        ..route("/draft/", kind, "model")
    };
    ticket
}

/// On a route whose streams cannot be resumed, an engine would omit events that the caller does not
/// have.
#[test]
fn resumption_is_ignored_on_other_routes() {
    let mut request = inbound("/draft/7", at(10));
    request.last_event = Some("12".to_string());
    let resumable = ticket(Kind::Stream, true);
    assert_eq!(resumable.resume_after(&request), Some("12"));
    assert_eq!(ticket(Kind::Stream, false).resume_after(&request), None);
}

/// A second run of a request that is not idempotent would repeat its effects.
#[test]
fn only_idempotent_requests_run_again() {
    let cases = [
        (Kind::Stream, true, [true, false]),
        (Kind::Stream, false, [false, false]),
        (Kind::Idempotent, false, [true, false]),
        (Kind::NonIdempotent, true, [false, false]),
    ];
    for (kind, resumable, allowed) in cases {
        let ticket = ticket(kind, resumable);
        let got = [1, 2].map(|runs| ticket.may_run_again(runs));
        assert_eq!(got, allowed, "{kind:?}, resumable {resumable}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    /// A stream that continues at several engines, some of which start too early, has each event
    /// once and in order.
    #[test]
    fn each_event_is_accepted_once(had in 0..30_u32, pieces in prop::collection::vec((0..4_u32, 1..12_u32), 1..8)) {
        let last = (had > 0).then(|| had.to_string());
        let mut sequence = Sequence::after(last.as_deref());
        let mut seen = Vec::new();
        for (earlier, count) in pieces {
            let last = sequence.last().and_then(|last| last.parse::<u32>().ok());
            let from = last.unwrap_or_default().saturating_sub(earlier) + 1;
            for number in from..from + count {
                if sequence.accept(Some(&number.to_string())) {
                    seen.push(number);
                }
            }
        }
        prop_assert!(!sequence.has_gap());
        let expected = (had + 1..).take(seen.len()).collect::<Vec<_>>();
        prop_assert_eq!(seen, expected);
    }
}
