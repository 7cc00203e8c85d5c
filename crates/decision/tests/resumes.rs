//! Generations whose tokens stop arriving.

mod desk;

use {
    bytes::Bytes,
    decision::{
        action::Action,
        arrival::{Arrival, Work},
        attempt::Attempt,
        event::{Event, Failure},
        fingerprint::Fingerprint,
        generation,
        limits::Limits,
        outcome::{MayHaveRun, Outcome},
        time::Wall,
    },
    desk::{Harness, WALL_MS},
    std::time::Duration,
};

/// Resumes or failures after which a stream ends at the latest if its endpoint has failed.
const MANY: u32 = 20;

/// Time until the deadline of a request.
const DEADLINE: Duration = Duration::from_mins(10);

/// Attaches a caller to a generation of which it has tokens.
fn attach(harness: &mut Harness) -> Attempt {
    let arrival = Arrival {
        credential: [1; 32],
        deadline: harness.now.after(DEADLINE),
        fingerprint: Fingerprint::new(None, "", "", &[]),
        parts: Vec::new(),
        work: Work::Resume {
            endpoint: "desk".to_string(),
            generation: generation::Id(1),
            next: 10,
        },
    };
    let now = harness.now;
    harness
        .state
        .arrive(now, Wall(WALL_MS), arrival, &mut harness.out);
    let resumed = harness.out.drain(..).find_map(|action| match action {
        Action::Resume { attempt, .. } => Some(attempt),
        _ => None,
    });
    resumed.expect("the generation is resumed")
}

/// Lets a silence pass; returns whether the stream is resumed and whether it has been cut.
fn pass_silence(harness: &mut Harness) -> (bool, bool) {
    harness.now = harness.now.after(Limits::default().silence);
    harness.step(Event::Tick);
    let (mut is_resumed, mut is_cut) = (false, false);
    for action in harness.out.drain(..) {
        match action {
            Action::Resume { .. } => is_resumed = true,
            Action::Finish(_, Outcome::MayHaveRun(MayHaveRun::StreamCut(10))) => is_cut = true,
            _ => {}
        }
    }
    (is_resumed, is_cut)
}

/// An engine that is paused answers none of the connections on which its stream is resumed, and goes on later. The
/// stream must not be cut meanwhile.
#[test]
fn stream_of_a_silent_engine_is_not_cut() {
    let mut harness = Harness::new();
    let attempt = attach(&mut harness);
    for _ in 0..MANY {
        assert_eq!(pass_silence(&mut harness), (true, false));
    }
    harness.step(Event::Token(attempt, 10, Bytes::new()));
    let delivered = harness.out.drain(..);
    let delivered = delivered.filter(|action| matches!(action, Action::Deliver(..)));
    assert_eq!(delivered.count(), 1);
}

/// An engine that cannot be connected to has failed; its stream must end with an error.
#[test]
fn stream_of_an_unreachable_engine_is_cut() {
    let mut harness = Harness::new();
    let attempt = attach(&mut harness);
    let is_cut = (0..MANY).any(|_| {
        harness.step(Event::Failed(attempt, Failure::Unreachable));
        pass_silence(&mut harness).1
    });
    assert!(is_cut);
}
