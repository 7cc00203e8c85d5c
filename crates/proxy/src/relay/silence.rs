//! Streams whose engine sends nothing, while their connection is open.

use {
    super::{
        Ending, Relay, Stop,
        attempt::{Attempt, Kind},
        failover::MAX_TAKEOVERS,
    },
    crate::{clock, prelude::*, takeover::TAKEOVER_TIMEOUT},
    forward::silence::{CHECK_AFTER, Silence, Step},
};

/// Interval between two log lines of one silence.
const SILENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl Relay {
    /// Handles a silence: the engine may have failed without a reset, may be paused, or may have preempted the run.
    pub(super) async fn silent(&mut self, attempt: &mut Option<Attempt>) -> Result<(), Ending> {
        let now = clock::now();
        let kind = attempt.as_ref().map(|attempt| attempt.kind);
        if !matches!(kind, None | Some(Kind::Stop)) {
            self.next_look = now.after(CHECK_AFTER);
            return Ok(());
        }
        let silence = Silence {
            is_resumable: self.may_run_again(),
            is_stopping: kind.is_some() || self.stopping.is_some(),
            run: self.running.key,
            since: self.quiet_since,
        };
        let step = self
            .shared
            .state
            .borrow_mut()
            .next_silence_step(now, silence);
        self.log_silence(now);
        match step {
            Step::Wait(until) => self.next_look = until,
            Step::WaitForEngine(until) => {
                self.next_look = until;
                if !std::mem::replace(&mut self.waits_for_engine, true) {
                    let why = "no other engine that answers has a copy";
                    log::info!(id = self.original.inbound.id, why; "waits for its engine");
                }
            }
            Step::Check(key) => self.shared.check_liveness(key),
            Step::Stop => self.begin_stop(attempt, None),
            Step::TakeOver(_) => self.take_over_from_silent(attempt),
            Step::Resume => {
                self.stopping = attempt.take().or_else(|| self.stopping.take());
                self.shared.mark_unreachable(self.source.key);
                return self.resume_from_silent().await;
            }
        }
        Ok(())
    }

    fn log_silence(&mut self, now: Time) {
        let logged_at = self.silence_logged_at;
        if logged_at.is_some_and(|at| now.since(at) < SILENCE_LOG_INTERVAL) {
            return;
        }
        self.silence_logged_at = Some(now);
        let ms = now.since(self.last_event_at).as_millis();
        let events = self.sequence.count();
        log::info!(id = self.original.inbound.id, events, ms; "stream is silent");
    }

    /// Another engine that does not respond may have taken the run over, so that two engines
    /// would run a stream that must not be repeated. Stops the run where it can be reached,
    /// and resumes from there.
    pub(super) fn stop_duplicate(&mut self, attempt: &mut Option<Attempt>, other: EndpointKey) {
        log::info!(
            id = self.original.inbound.id, events = self.sequence.count();
            "two engines may be running the stream"
        );
        if self.stopping.is_some() {
            return;
        }
        self.begin_stop(attempt, Some(other));
    }

    fn begin_stop(&mut self, attempt: &mut Option<Attempt>, duplicate: Option<EndpointKey>) {
        if self.stop == Stop::NotAsked {
            self.stop = Stop::Asked;
        }
        self.stop_asked_at = Some(clock::now());
        *attempt = Some(Attempt::to_stop(self.takeover_context(), duplicate));
    }

    /// Has the engine with the copy take over from one that does not answer.
    fn take_over_from_silent(&mut self, attempt: &mut Option<Attempt>) {
        let Some(copy) = self.backup_copy() else {
            return self.wait_for_engine("no copy");
        };
        if self.takeovers >= MAX_TAKEOVERS {
            return self.wait_for_engine("too many takeovers");
        }
        self.shared.mark_unreachable(self.source.key);
        // The engine may still obey the stop, and its copy is needed if the takeover fails.
        self.stopping = attempt.take().or_else(|| self.stopping.take());
        *attempt = Some(Attempt::to_take_over(
            Kind::TakeOver,
            self.takeover_context(),
            copy,
            "silent",
            TAKEOVER_TIMEOUT,
        ));
    }

    /// Drops an attempt to take over from an engine that is back. The engine that was asked is told to stop the run.
    pub(super) fn cancel_takeover(&self, attempt: &mut Option<Attempt>) {
        if let Some(Attempt {
            kind: Kind::TakeOver,
            ..
        }) = attempt
        {
            log::info!(id = self.original.inbound.id; "takeover cancelled, its engine is back");
            *attempt = None;
        }
    }

    /// The engine does not have the run: it has lost it, or has finished with the last events in transit.
    pub(super) async fn take_over_missing(
        &mut self,
        attempt: &mut Option<Attempt>,
    ) -> Result<(), Ending> {
        let Some(copy) = self.backup_copy() else {
            if self.may_run_again() {
                return self.resume_from_silent().await;
            }
            self.wait_for_engine("no copy");
            return Ok(());
        };
        *attempt = Some(Attempt::to_take_over(
            Kind::TakeOver,
            self.takeover_context(),
            copy,
            "gone",
            TAKEOVER_TIMEOUT,
        ));
        Ok(())
    }

    /// The connection is still open, so that the stream is not lost.
    pub(super) fn wait_for_engine(&mut self, why: &str) {
        log::info!(id = self.original.inbound.id, why; "waits for its engine");
        let now = clock::now();
        self.quiet_since = now;
        self.next_look = now.after(CHECK_AFTER);
    }

    /// Restarts a resumable stream after its last event, while its own engine may come back.
    async fn resume_from_silent(&mut self) -> Result<(), Ending> {
        let source = self.source.key;
        if !self.progress.may_send(&self.shared, &self.ticket) {
            self.wait_for_engine("no further attempt is allowed");
            return Ok(());
        }
        match self.resume("silent").await {
            Ok(Some(opened)) => {
                self.progress.note_run(source, "silent".to_string());
                self.switch_over(opened);
            }
            Ok(None) => self.wait_for_engine("not resumed"),
            Err(why) => self.wait_for_engine(&why),
        }
        Ok(())
    }
}
