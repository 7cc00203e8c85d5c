//! Going on elsewhere: when the engine of a stream leaves, falls silent or is lost.

use {
    super::{Ending, PendingMove, Relay},
    crate::{
        buffered::acquire_endpoint,
        clock,
        prelude::*,
        relocate::{self, Takeover},
        takeover::{self, Opened, TakeoverOutcome},
    },
    forward::choice::Need,
};

/// Times that a stream may go on elsewhere; an engine lives some ten seconds at the least,
/// a generation about as long.
const MAX_TAKEOVERS: u32 = 8;

/// How long the end of a stopped run's stream is waited for; its last events are on
/// their way when the move is answered.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(30);

/// Longest time that a place is waited for to begin a stream again. Callers bear a pause of
/// two seconds at the least, of which the prompt takes half a second to be read again.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1200);

/// Times that an engine is asked to stop a run beside which another one may be at work, and
/// the pause between them, while a move of the run is under way. Together they are less than
/// the time for which two may work on a run.
const MAX_STOP_TRIES: u32 = 3;
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Pause before a move is tried again.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Relay {
    /// The engine broke the stream off: because it was told to stop for a move, or died.
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

    /// Reads what a stopped run had still sent.
    async fn last_events(&mut self) -> Result<(), Ending> {
        while let Ok(Ok(Some(part))) = timeout(LAST_EVENTS_TIMEOUT, self.source.answer.part()).await
        {
            let Ok(blocks) = self.source.splitter.feed(part) else {
                break;
            };
            self.pass_on(blocks).await?;
        }
        Ok(())
    }

    /// No event for long: the engine may have died without a word, or the run waits.
    pub(super) async fn silent(&mut self) -> Result<(), Ending> {
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "stream is silent");
        match relocate::stop(&self.shared, self.running.key, &id, None).await {
            relocate::StopOutcome::Busy => Ok(()),
            stopped => self.stopped(stopped, "silent").await,
        }
    }

    /// Another engine that does not answer may have gone on with the run, and would be at
    /// work on it beside the present one: a stream that cannot be repeated would run twice.
    /// So the run is stopped where it can be reached, and goes on from there.
    async fn stop_duplicate(&mut self, other: EndpointKey) -> Result<(), Ending> {
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "two engines may be at work");
        for _ in 0..MAX_STOP_TRIES {
            match relocate::stop(&self.shared, self.running.key, &id, Some(other)).await {
                relocate::StopOutcome::Busy => sleep(STOP_RETRY_DELAY).await,
                stopped => return self.stopped(stopped, "two at work").await,
            }
        }
        let lost = "two engines may be at work, and none can be stopped".to_string();
        self.restart("two at work", lost).await
    }

    /// Goes on with a run that was to be stopped.
    async fn stopped(&mut self, stop: relocate::StopOutcome, why: &str) -> Result<(), Ending> {
        match stop {
            relocate::StopOutcome::Busy => Ok(()),
            relocate::StopOutcome::Gone => self.take_over_or_wait("gone").await,
            relocate::StopOutcome::Stopped(takeover) => {
                self.last_events().await?;
                self.take_over(takeover, why).await
            }
            relocate::StopOutcome::Unreachable => {
                self.shared.mark_unreachable(self.source.key);
                self.take_over_or_wait(why).await
            }
        }
    }

    /// The engine cannot be reached, or has the run no more. It may be at work behind a
    /// partition, or have ended the run with its last events still on their way, which come
    /// late when that heals. So the stream is lost only once another engine may have gone on
    /// with it, or its connection breaks.
    async fn take_over_or_wait(&mut self, why: &str) -> Result<(), Ending> {
        let refusal = match self.backup_takeover() {
            None => "no copy".to_string(),
            Some(takeover) => match self.takeover_context().open_from_copy(&takeover, why).await {
                Ok(opened) => {
                    self.switch_over(opened);
                    return Ok(());
                }
                Err(takeover::Failure::NotRun(why)) => why,
                Err(takeover::Failure::Unknown(error)) => {
                    return self.restart(why, format!("{why}; copy {error}")).await;
                }
            },
        };
        if self.may_run_again() {
            return self.restart(why, refusal).await;
        }
        log::info!(id = self.original.inbound.id, why = refusal; "waits for its engine");
        Ok(())
    }

    /// The engine is lost: goes on from the copy, else begins again behind the last event
    /// where that is allowed.
    async fn take_over_or_restart(&mut self, why: &str) -> Result<(), Ending> {
        match self.backup_takeover() {
            None => self.restart(why, format!("{why}; no copy")).await,
            Some(takeover) => self.take_over(takeover, why).await,
        }
    }

    /// Begins again behind the last event, if the stream is resumable; else it is lost.
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

    /// Whether the stream may begin again behind its last event once this run is given up.
    fn may_run_again(&self) -> bool {
        self.ticket.may_run_again(self.progress.runs + 1)
    }

    /// Asks another engine to begin behind the last event; `None` if it would not.
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
            Ok(false) => return Err(format!("{why}; its route goes to another service")),
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

    /// What the rest of the run needs.
    fn remaining_need(&self) -> Need {
        let state = self.shared.state.borrow();
        let run = state.run(self.running.key);
        run.map_or_else(Need::default, |run| Need {
            output: run.left(),
            prompt: run.prompt.saturating_add(run.made()),
        })
    }

    /// The copy that was made while the run went on.
    pub(super) fn backup_takeover(&self) -> Option<Takeover> {
        let key = {
            let state = self.shared.state.borrow();
            let key = state.run(self.running.key)?.backup?;
            state.may_go_on_at(clock::now(), key).then_some(key)?
        };
        Some(Takeover {
            address: self.shared.endpoint_address(key)?.0,
            handle: self.original.inbound.id.clone(),
            key,
        })
    }

    /// Goes on from a copy, with the run before it stopped or dead.
    async fn take_over(&mut self, takeover: Takeover, why: &str) -> Result<(), Ending> {
        self.takeovers += 1;
        if self.takeovers > MAX_TAKEOVERS {
            return Err(Ending::Lost(format!("{why}; moved too often")));
        }
        match self.takeover_context().open_from_copy(&takeover, why).await {
            Ok(opened) => {
                self.attach(opened);
                Ok(())
            }
            Err(error) => self.restart(why, format!("{why}; copy {error}")).await,
        }
    }

    /// Goes on at an engine that has taken the run over, and drops the run before it.
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
        self.quiet_since = clock::now();
        self.backup_asked = false;
        self.source = opened.source;
    }
}
