//! What is done about runs that send no event.

mod common;

use {
    common::*,
    forward::silence::{Silence, Step},
};

/// A run at the first of three engines, with its copy at the second.
struct Fixture {
    backup: EndpointKey,
    engine: EndpointKey,
    silence: Silence,
    state: State,
}

impl Fixture {
    /// The last event of the run is received at 100 ms.
    fn new() -> Self {
        let listings = ["m1", "m2", "m3"].map(|name| listing(name, "model", "a"));
        let mut state = instance(&listings);
        let (engine, _) = picked(state.pick(at(10), "model", LONG, &[]));
        let (backup, _) = picked(state.pick(at(10), "model", LONG, &[engine]));
        let run = begin_run(&mut state, engine, Some(backup));
        state.record_heard(at(100), engine);
        let silence = Silence {
            is_resumable: false,
            is_stopping: false,
            run,
            since: at(100),
        };
        Self {
            backup,
            engine,
            silence,
            state,
        }
    }

    fn step(&mut self, now: u64) -> Step {
        self.state.next_silence_step(at(now), self.silence)
    }

    fn ask(&mut self, now: u64, key: EndpointKey) {
        let endpoint = self.state.endpoint_mut(key).expect("it is listed");
        endpoint.liveness.begin_check(at(now));
    }

    fn hear(&mut self, now: u64, key: EndpointKey) {
        let endpoint = self.state.endpoint_mut(key).expect("it is listed");
        endpoint.liveness.end_check();
        self.state.record_heard(at(now), key);
    }
}

/// A stop that a paused engine obeys later cuts streams that would have gone on.
#[test]
fn engine_is_asked_whether_it_lives_before_its_run_is_stopped() {
    let mut fixture = Fixture::new();
    let engine = fixture.engine;
    assert_eq!(fixture.step(699), Step::Wait(at(700)));
    assert_eq!(fixture.step(700), Step::Check(engine));
    fixture.ask(700, engine);
    assert_eq!(fixture.step(701), Step::Wait(at(751)));
    fixture.hear(702, engine);
    assert_eq!(fixture.step(703), Step::Wait(at(1002)));
    assert_eq!(fixture.step(1002), Step::Stop);
    fixture.silence.is_stopping = true;
    assert_ne!(fixture.step(1003), Step::Stop);
}

/// An engine that comes back answers before its runs produce events; all of them would be stopped and copied at
/// the same time.
#[test]
fn runs_are_not_stopped_as_soon_as_a_silent_engine_answers() {
    let mut fixture = Fixture::new();
    let engine = fixture.engine;
    fixture.ask(700, engine);
    fixture.hear(1300, engine);
    assert_eq!(fixture.step(1301), Step::Wait(at(1600)));
    fixture.silence.since = at(1340);
    assert_eq!(fixture.step(1600), Step::Wait(at(1940)));
}

/// Other runs of the engine make progress, so that it needs no check and this run alone is stalled.
#[test]
fn stalled_run_of_an_engine_that_is_heard_is_stopped_at_once() {
    let mut fixture = Fixture::new();
    let engine = fixture.engine;
    for now in [300, 500, 690] {
        fixture.hear(now, engine);
    }
    assert_eq!(fixture.step(700), Step::Stop);
}

/// A sound engine may be silent for a second; both engines would work on the run.
#[test]
fn run_is_taken_over_only_from_an_engine_that_does_not_answer() {
    let mut fixture = Fixture::new();
    let (engine, backup) = (fixture.engine, fixture.backup);
    fixture.ask(700, engine);
    fixture.hear(1100, backup);
    assert_eq!(fixture.step(1100), Step::Wait(at(1150)));
    fixture.hear(1500, backup);
    assert_eq!(fixture.step(1549), Step::Wait(at(1599)));
    assert_eq!(fixture.step(1550), Step::TakeOver(backup));
}

/// The silence of all engines, or of the way to them, says nothing of one, and a takeover by an engine that is silent
/// itself has an unknown outcome.
#[test]
fn run_is_not_taken_over_by_an_engine_that_does_not_answer() {
    let mut fixture = Fixture::new();
    let (engine, backup) = (fixture.engine, fixture.backup);
    fixture.ask(700, engine);
    assert_eq!(fixture.step(1550), Step::Check(backup));
    fixture.ask(1550, backup);
    assert_eq!(fixture.step(1600), Step::WaitForEngine(at(1650)));
    assert_eq!(fixture.step(9000), Step::WaitForEngine(at(9050)));
    fixture.hear(9100, backup);
    assert_eq!(fixture.step(9100), Step::TakeOver(backup));
    fixture.hear(9110, engine);
    assert_eq!(fixture.step(9111), Step::Wait(at(9410)));
}

/// A check that fails at once, as the link is cut, is repeated, but not at each look.
#[test]
fn checks_that_fail_are_repeated_at_intervals() {
    let mut fixture = Fixture::new();
    let engine = fixture.engine;
    fixture.ask(700, engine);
    let endpoint = fixture.state.endpoint_mut(engine).expect("it is listed");
    endpoint.liveness.end_check();
    assert_eq!(fixture.step(1199), Step::Wait(at(1249)));
    assert_eq!(fixture.step(1200), Step::Check(engine));
}

/// Without a copy, only a stream that may run again goes on at another engine.
#[test]
fn run_without_a_copy_is_resumed_only_if_it_may_run_again() {
    for is_resumable in [false, true] {
        let mut fixture = Fixture::new();
        let (engine, backup) = (fixture.engine, fixture.backup);
        let run = fixture.silence.run;
        fixture.state.record_missing_copy(run, backup);
        fixture.silence.is_resumable = is_resumable;
        fixture.ask(700, engine);
        let others = fixture.state.endpoints().map(|(key, _)| key);
        let others = others.filter(|key| *key != engine).collect::<Vec<_>>();
        for other in others {
            fixture.hear(1550, other);
        }
        let expected = if is_resumable {
            Step::Resume
        } else {
            Step::WaitForEngine(at(1600))
        };
        assert_eq!(fixture.step(1550), expected);
    }
}

/// A restarted engine has not left the checks of its predecessor unanswered.
#[test]
fn restart_of_an_engine_ends_its_silence() {
    let mut fixture = Fixture::new();
    let engine = fixture.engine;
    fixture.ask(700, engine);
    let mut listing = listing(&id(&fixture.state, engine), "model", "a");
    listing.started_at = Some(2);
    fixture.state.change(at(1000), Change::Set(listing));
    assert_eq!(fixture.step(1550), Step::Check(engine));
}
