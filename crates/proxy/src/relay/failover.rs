//! Resuming a stream at another engine when its own is leaving, silent or lost.

use {
    super::{Ending, PendingMove, Relay},
    crate::{
        buffered::acquire_endpoint,
        clock,
        prelude::*,
        relocate::{self, RunCopy},
        takeover::{self, Opened, TakeoverOutcome},
    },
    forward::choice::Need,
};

/// Maximum number of takeovers for one stream. An engine usually runs for ten seconds at least, and a
/// generation takes about as long.
const MAX_TAKEOVERS: u32 = 8;

/// Timeout of each read of a stopped run's last events, which may still be in transit when
/// the engine confirms the stop.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a restarted stream may queue. Callers tolerate a pause of two seconds, of which a
/// repeated prefill takes half a second.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1200);

/// Attempts to stop a run that another engine may have taken over, while a move of the run is
/// in progress. With [`STOP_RETRY_DELAY`] they take less time than two engines may run it
/// concurrently.
const MAX_STOP_TRIES: u32 = 3;
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay before a move is retried.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Relay {
    /// Handles the end of the engine's connection: it was stopped for a move, or failed.
    pub(super) async fn lost(
        &mut self,
        pending_move: Option<PendingMove>,
        why: &str,
    ) -> Result<(), Ending> {
        if let Some(pending_move) = pending_move
            && let Ok(TakeoverOutcome::Opened(opened)) =
                timeout(relocate::MOVE_TIMEOUT, pending_move).await
        {
            self.switch_over(*opened);
            return Ok(());
        }
        self.take_over_or_restart(why).await
    }

    pub(super) async fn moved(&mut self, outcome: TakeoverOutcome) -> Result<(), Ending> {
        match outcome {
            TakeoverOutcome::Opened(opened) => self.switch_over(*opened),
            TakeoverOutcome::Unknown(key) => {
                self.shared.mark_unreachable(key);
                return self.stop_duplicate(key).await;
            }
            TakeoverOutcome::Deferred(why) => {
                log::info!(id = self.original.inbound.id, why; "move put off");
                self.next_move = clock::now().after(MOVE_RETRY_DELAY);
            }
        }
        Ok(())
    }

    /// Relays the events that a stopped run had already sent.
    async fn last_events(&mut self) -> Result<(), Ending> {
        while let Ok(Ok(Some(chunk))) =
            timeout(LAST_EVENTS_TIMEOUT, self.source.answer.chunk()).await
        {
            let Ok(blocks) = self.source.splitter.feed(chunk) else {
                break;
            };
            self.pass_on(blocks).await?;
        }
        Ok(())
    }

    /// Handles a long silence: the engine may have failed without a reset, or the run may be
    /// preempted.
    pub(super) async fn silent(&mut self) -> Result<(), Ending> {
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "stream is silent");
        self.stop_asked_at = Some(clock::now());
        match relocate::stop(&self.shared, self.running.key, &id, None).await {
            relocate::StopOutcome::Busy => Ok(()),
            stopped => self.stopped(stopped, "silent").await,
        }
    }

    /// Another engine that does not respond may have taken the run over, so that two engines
    /// would run a stream that must not be repeated. Stops the run where it can be reached,
    /// and resumes from there.
    async fn stop_duplicate(&mut self, other: EndpointKey) -> Result<(), Ending> {
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "two engines may be running the stream");
        for _ in 0..MAX_STOP_TRIES {
            match relocate::stop(&self.shared, self.running.key, &id, Some(other)).await {
                relocate::StopOutcome::Busy => sleep(STOP_RETRY_DELAY).await,
                stopped => return self.stopped(stopped, "duplicate run").await,
            }
        }
        let lost = "two engines may be running the stream, and none can be stopped".to_string();
        self.restart("duplicate run", lost).await
    }

    /// Resumes a run after an attempt to stop it.
    async fn stopped(&mut self, stop: relocate::StopOutcome, why: &str) -> Result<(), Ending> {
        match stop {
            relocate::StopOutcome::Busy => Ok(()),
            relocate::StopOutcome::NoRun => self.take_over_or_wait("gone").await,
            relocate::StopOutcome::Stopped(copy) => {
                self.last_events().await?;
                self.take_over(copy, why).await
            }
            relocate::StopOutcome::Unreachable => {
                self.shared.mark_unreachable(self.source.key);
                self.take_over_or_wait(why).await
            }
        }
    }

    /// The engine cannot be reached, or no longer has the run. It may still be running it
    /// behind a network partition, or have finished with its last events in transit. So the
    /// stream is lost only once its connection breaks. An engine that has not answered drops the
    /// run once its own connection is closed.
    async fn take_over_or_wait(&mut self, why: &str) -> Result<(), Ending> {
        let refusal = match self.backup_copy() {
            None => "no copy".to_string(),
            Some(copy) => match self.takeover_context().open_from_copy(&copy, why).await {
                Ok(opened) => {
                    self.switch_over(opened);
                    return Ok(());
                }
                Err(takeover::Failure::NotRun(why) | takeover::Failure::Unknown(why)) => why,
            },
        };
        if self.may_run_again() {
            return self.restart(why, refusal).await;
        }
        log::info!(id = self.original.inbound.id, why = refusal; "waits for its engine");
        Ok(())
    }

    /// The engine is lost: takes over from the backup copy, or else restarts after the last
    /// event if the route allows it.
    async fn take_over_or_restart(&mut self, why: &str) -> Result<(), Ending> {
        match self.backup_copy() {
            None => self.restart(why, format!("{why}; no copy")).await,
            Some(copy) => self.take_over(copy, why).await,
        }
    }

    /// Restarts after the last event if the stream is resumable; otherwise it is lost.
    async fn restart(&mut self, why: &str, lost: String) -> Result<(), Ending> {
        self.progress.note_run(self.source.key, why.to_string());
        while self.progress.may_send(&self.shared, &self.ticket) {
            match self.resume(why).await {
                Ok(Some(opened)) => {
                    self.attach(opened);
                    return Ok(());
                }
                Ok(None) => {}
                Err(why) => return Err(Ending::Lost(why)),
            }
        }
        Err(Ending::Lost(lost))
    }

    /// Whether the stream may restart after its last event once this run is given up.
    fn may_run_again(&self) -> bool {
        self.ticket.may_run_again(self.progress.runs + 1)
    }

    /// Asks another engine to start after the last event; `None` if it did not.
    async fn resume(&mut self, why: &str) -> Result<Option<Opened>, String> {
        let deadline = clock::now().after(RESUME_TIMEOUT).min(self.ticket.expires);
        let need = self.remaining_need();
        let acquired = acquire_endpoint(
            &self.shared,
            &self.ticket,
            need,
            &self.progress.tried,
            deadline,
        )
        .await;
        let Some((key, _)) = acquired else {
            return Err(format!("{why}; no engine with room"));
        };
        match self.shared.readmit(&self.original, &mut self.ticket) {
            Ok(true) => {}
            Ok(false) => return Err(format!("{why}; its route now uses another service")),
            Err(refusal) => return Err(format!("{why}; {}", refusal.label())),
        }
        self.progress.sends += 1;
        match self.takeover_context().resume(key, why).await {
            Ok(opened) => Ok(Some(opened)),
            Err(takeover::Failure::NotRun(why)) => {
                self.progress.note_rejected(key, why);
                Ok(None)
            }
            Err(takeover::Failure::Unknown(why)) => {
                self.shared.mark_unreachable(key);
                self.progress.note_run(key, why);
                Ok(None)
            }
        }
    }

    /// Tokens that the rest of the run needs.
    fn remaining_need(&self) -> Need {
        let state = self.shared.state.borrow();
        let run = state.run(self.running.key);
        run.map_or_else(Need::default, |run| Need {
            output: run.remaining(),
            prompt: run.prompt.saturating_add(run.generated()),
        })
    }

    /// The backup copy of the run, if its engine may continue it.
    pub(super) fn backup_copy(&self) -> Option<RunCopy> {
        let key = {
            let state = self.shared.state.borrow();
            let key = state.run(self.running.key)?.backup?;
            state.may_continue_at(clock::now(), key).then_some(key)?
        };
        Some(RunCopy {
            address: self.shared.endpoint_address(key)?.0,
            handle: self.original.inbound.id.clone(),
            key,
        })
    }

    /// Takes over from a copy after the previous run has stopped or failed.
    async fn take_over(&mut self, copy: RunCopy, why: &str) -> Result<(), Ending> {
        self.takeovers += 1;
        if self.takeovers > MAX_TAKEOVERS {
            return Err(Ending::Lost(format!("{why}; too many takeovers")));
        }
        match self.takeover_context().open_from_copy(&copy, why).await {
            Ok(opened) => {
                self.attach(opened);
                Ok(())
            }
            Err(error) => self.restart(why, format!("{why}; copy {error}")).await,
        }
    }

    /// Continues with an engine that has taken the run over, and drops the previous run.
    fn switch_over(&mut self, opened: Opened) {
        self.takeovers += 1;
        self.attach(opened);
    }

    fn attach(&mut self, opened: Opened) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(run) = state.run_mut(self.running.key) {
            run.endpoint = opened.source.key;
            run.backup = opened.backup;
            run.target = None;
        }
        drop(state);
        self.shared.load.notify_one();
        self.began_at = None;
        self.quiet_since = clock::now();
        self.earlier_events = self.sequence.count();
        self.stop_asked_at = None;
        self.unjudged = false;
        self.source = opened.source;
    }
}
