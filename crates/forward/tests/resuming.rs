//! Streams that callers may resume.

mod common;

use {
    common::{Kind, at, inbound, instance, route},
    forward::{request::Ticket, sequence::Sequence},
    proptest::{prelude::*, test_runner::RngSeed},
};

/// What the random streams are drawn from.
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

/// A caller names the last event of a stream on a route whose streams cannot be resumed.
/// Believed, an engine would leave out what the caller never had.
#[test]
fn a_caller_is_believed_only_where_streams_can_be_resumed() {
    let mut request = inbound("/draft/7", at(10));
    request.last_event = Some("12".to_string());
    let resumable = ticket(Kind::Stream, true);
    assert_eq!(resumable.resume_after(&request), Some("12"));
    assert_eq!(ticket(Kind::Stream, false).resume_after(&request), None);
}

/// An engine dies before its first event. A second run of a draft that cannot be resumed
/// would file a notice twice; one that can be is sent again, up to what its route allows.
#[test]
fn only_what_is_idempotent_runs_again() {
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

    /// A stream goes on at engine after engine, each of which begins at or before the place
    /// that it was asked for and is lost after some events, and its caller came back with
    /// what it already had. The caller must see each later event once and in order.
    #[test]
    fn every_event_comes_once(had in 0..30_u32, pieces in prop::collection::vec((0..4_u32, 1..12_u32), 1..8)) {
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
