//! What is done about a run that sends no event.
//!
//! A silence proves nothing: the engine may have failed, may be paused, or may lack the memory for this run. An
//! engine is therefore asked whether it lives on, which changes nothing there, before its run is stopped or taken
//! over.

use crate::{prelude::*, state::State};

/// Silence of a run after which its engine is asked whether it lives on.
pub const CHECK_AFTER: Duration = Duration::from_millis(600);

/// How long an engine that answers may make no progress with a run. One that was paused answers before its runs
/// produce their next events, and all of them would be stopped together.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an engine may leave a check unanswered before its runs are taken over. A sound one may be silent for a
/// second, and both engines would work on the run.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(850);

/// Time since an engine was last heard up to which it counts as responsive.
const RESPONSIVE_TIME: Duration = Duration::from_millis(400);

/// Time within which an engine that is not silent answers a check.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Interval between two checks of an engine that does not answer, each of which opens a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How often a silent run is looked at while the answer to a check is awaited.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When an engine was heard by this instance, and asked.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    /// When it was first asked since it was last heard.
    asked_at: Option<Time>,
    /// When it was last asked.
    checked_at: Option<Time>,
    heard_at: Option<Time>,
    is_checking: bool,
    /// Start of the time in which it has been heard without a gap.
    responsive_since: Option<Time>,
}

impl Liveness {
    /// Records that something was read from the engine; returns for how long it had left a check unanswered.
    pub fn record_heard(&mut self, now: Time) -> Option<Duration> {
        if !self.is_responsive(now) {
            self.responsive_since = Some(now);
        }
        self.heard_at = Some(now);
        let asked_at = self.asked_at.take();
        asked_at.map(|asked_at| now.since(asked_at))
    }

    /// Records that a check is sent.
    pub fn begin_check(&mut self, now: Time) {
        self.asked_at.get_or_insert(now);
        self.checked_at = Some(now);
        self.is_checking = true;
    }

    /// Records that a check has ended, with an answer or without.
    pub const fn end_check(&mut self) {
        self.is_checking = false;
    }

    fn is_responsive(&self, now: Time) -> bool {
        let heard_at = self.heard_at;
        heard_at.is_some_and(|heard_at| now.since(heard_at) <= RESPONSIVE_TIME)
    }

    fn is_unanswered_for(&self, now: Time, limit: Duration) -> bool {
        let asked_at = self.asked_at;
        asked_at.is_some_and(|asked_at| now.since(asked_at) >= limit)
    }

    fn may_check(&self, now: Time) -> bool {
        let checked_at = self.checked_at;
        let is_due = checked_at.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        !self.is_checking && (is_due || self.asked_at.is_none())
    }
}

/// A run that sends no event.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Whether the run may start anew after its last event, at any engine.
    pub is_resumable: bool,
    /// Whether its engine has already been asked to stop it.
    pub is_stopping: bool,
    /// The run.
    pub run: RunKey,
    /// When its last event was received.
    pub since: Time,
}

/// What to do next about a silent run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask this engine whether it lives on.
    Check(EndpointKey),
    /// Start the run anew after its last event, since its engine does not answer and others do.
    Resume,
    /// Ask the engine, which answers, to stop the run.
    Stop,
    /// Have the run taken over by the engine with its copy, which answers while its own does not.
    TakeOver(EndpointKey),
    /// Look at it again at this time.
    Wait(Time),
    /// Wait for the engine, which does not answer, since no other one can take the run over; look again at this time.
    WaitForEngine(Time),
}

impl State {
    /// Records that something was read from an endpoint; returns for how long it had left a check unanswered.
    pub fn record_heard(&mut self, now: Time, key: EndpointKey) -> Option<Duration> {
        let endpoint = self.endpoints.get_mut(key)?;
        self.cuts.record_heard(now, &endpoint.listing.domain);
        endpoint.lost_at = None;
        endpoint.liveness.record_heard(now)
    }

    /// Whether something was read from an endpoint just now, so that it is not silent.
    #[must_use]
    pub fn is_responsive(&self, now: Time, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|endpoint| endpoint.liveness.is_responsive(now))
    }

    /// Whether an endpoint has left a check unanswered.
    pub(crate) fn is_silent(&self, now: Time, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        let liveness = endpoint.map(|endpoint| &endpoint.liveness);
        liveness.is_some_and(|liveness| liveness.is_unanswered_for(now, ANSWER_TIME))
    }

    /// Whether an endpoint is to be asked whether it lives on, as it has not been heard and no check of it is on the
    /// way.
    #[must_use]
    pub fn may_check(&self, now: Time, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|endpoint| endpoint.liveness.may_check(now))
    }

    /// What to do next about a silent run.
    pub fn next_silence_step(&mut self, now: Time, silence: Silence) -> Step {
        let due = silence.since.after(CHECK_AFTER);
        let poll = Step::Wait(now.after(POLL_INTERVAL));
        if now < due {
            return Step::Wait(due);
        }
        let Some(run) = self.runs.get(silence.run).cloned() else {
            return poll;
        };
        let Some(engine) = self.endpoints.get(run.endpoint) else {
            return poll;
        };
        if engine.liveness.is_responsive(now) {
            let answers_since = engine.liveness.responsive_since.unwrap_or(now);
            let stalled_at = due.max(answers_since.after(STALL_TIMEOUT));
            return match silence.is_stopping {
                true => poll,
                false if now >= stalled_at => Step::Stop,
                false => Step::Wait(stalled_at),
            };
        }
        if engine.liveness.may_check(now) {
            return Step::Check(run.endpoint);
        }
        if !engine.liveness.is_unanswered_for(now, UNANSWERED_LIMIT) {
            return poll;
        }
        let backup = self.backup(now, silence.run);
        let successor = backup
            .or_else(|| (silence.is_resumable).then(|| self.pick_target(now, silence.run, &[]))?);
        let Some((key, successor)) =
            successor.and_then(|key| Some((key, self.endpoints.get(key)?)))
        else {
            return Step::WaitForEngine(now.after(POLL_INTERVAL));
        };
        match successor.liveness.is_responsive(now) {
            true if backup.is_some() => Step::TakeOver(key),
            true => Step::Resume,
            false if successor.liveness.may_check(now) => Step::Check(key),
            false => Step::WaitForEngine(now.after(POLL_INTERVAL)),
        }
    }
}
