//! Resuming a stream at another engine when its own is leaving, silent or lost.

use {
    super::{
        Break, Ending, Relay, Stop,
        attempt::{Attempt, Kind, Settled},
    },
    crate::{
        buffered::acquire_endpoint,
        clock,
        placement::Kept,
        prelude::*,
        relocate::{self, RunCopy, StopOutcome},
        takeover::{self, Opened, TAKEOVER_TIMEOUT, TakeoverOutcome},
    },
    forward::choice::Need,
};

/// Maximum number of takeovers for one stream. An engine usually runs for ten seconds at least, and a
/// generation takes about as long.
pub(super) const MAX_TAKEOVERS: u32 = 8;

/// Timeout of each read of a stopped run's last events, which may still be in transit when
/// the engine confirms the stop.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(30);

/// How long a restarted stream may queue. Callers tolerate a pause of two seconds, of which a
/// repeated prefill takes half a second.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long the copy of a run that has stopped is awaited where there is a backup copy as well, and the answer of the engine with
/// the backup copy where there is that of a run that has stopped.
const STOPPED_TIMEOUT: Duration = Duration::from_millis(1200);

/// How often the engines with copies of a lost run that have not answered are asked again.
const MAX_REPEATS: u32 = 8;

/// Delay before a move is retried.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The same where no engine has room. New work leaves room that becomes free to runs that move, and waiting for it uses
/// up the notice of their engine.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(30);

impl Relay {
    /// Handles the end of the engine's connection: it was stopped for a move, or failed.
    pub(super) async fn lost(
        &mut self,
        attempt: &mut Option<Attempt>,
        broken: Break,
    ) -> Result<(), Ending> {
        let Some(kind) = attempt.as_ref().map(|attempt| attempt.kind) else {
            if self.stopping.is_none() {
                self.record_crash(&broken);
            }
            return self.take_over_or_restart(attempt, broken).await;
        };
        let now = clock::now();
        self.is_connected.set(false);
        let has_backup = self.backup_copy().is_some();
        let until = match kind {
            Kind::Move if has_backup || self.may_run_again() => now.after(relocate::MOVE_TIMEOUT),
            Kind::Stop if has_backup => now.after(STOPPED_TIMEOUT),
            Kind::Move | Kind::Stop | Kind::TakeOver | Kind::Continue => self.ticket.expires,
        };
        // Whether the engine has crashed or has stopped the run as it was asked to is shown by its answer.
        if kind != Kind::Stop && self.stopping.is_none() {
            self.record_crash(&broken);
        }
        self.broken = Some(Break { until, ..broken });
        if kind != Kind::Stop {
            self.leave_engine();
        }
        Ok(())
    }

    /// An attempt that was in progress when the connection broke has taken too long.
    pub(super) async fn overdue(&mut self, attempt: &mut Option<Attempt>) -> Result<(), Ending> {
        if let Some(attempt) = attempt.take() {
            log::info!(id = self.original.inbound.id, attempt:?; "attempt takes too long");
            if attempt.kind == Kind::Stop {
                self.stopping = Some(attempt);
            }
        } else {
            self.kept = None;
        }
        self.fail_over(attempt, "attempt takes too long").await
    }

    /// Handles the answer to a stop that came while another attempt was in progress, or none.
    pub(super) async fn settle_stop(
        &mut self,
        attempt: &mut Option<Attempt>,
        settled: Settled,
    ) -> Result<(), Ending> {
        self.stopping = None;
        let Settled::Stopped { outcome, why } = settled else {
            return Ok(());
        };
        if attempt.is_none() {
            return self.stopped(attempt, outcome, why).await;
        }
        self.record_stop(&outcome);
        if let StopOutcome::Stopped(copy) = outcome {
            // Used if the attempt in progress fails.
            let kept = self.kept_copy(&copy);
            self.copies.splice(0..0, [kept, copy]);
        } else if self.broken.is_some() {
            self.leave_engine();
        }
        Ok(())
    }

    /// Has the engine whose connection has ended told to stop the run, unless it was asked to already.
    fn leave_engine(&mut self) {
        if self.stopping.is_none() && self.kept.is_none() {
            self.kept = self.source.placement.leave_closed();
        }
    }

    /// Handles the answer of the engine that the stream has left: what it keeps of the run is used if nothing else goes on with it.
    pub(super) async fn add_kept(
        &mut self,
        attempt: &mut Option<Attempt>,
        copies: Vec<RunCopy>,
    ) -> Result<(), Ending> {
        if attempt.is_some() {
            let until = clock::now().after(STOPPED_TIMEOUT);
            if let Some(broken) = self.broken.as_mut().filter(|_| !copies.is_empty()) {
                broken.until = broken.until.min(until);
            }
            self.copies.splice(0..0, copies.into_iter().rev());
            return Ok(());
        }
        match self.broken.take() {
            Some(broken) => self.continue_or_restart(attempt, copies, broken).await,
            None => Ok(()),
        }
    }

    /// Handles the end of an attempt.
    pub(super) async fn settle(
        &mut self,
        attempt: &mut Option<Attempt>,
        settled: Settled,
    ) -> Result<(), Ending> {
        match settled {
            Settled::Moved(outcome) => self.moved(attempt, outcome).await,
            Settled::Stopped { outcome, why } => self.stopped(attempt, outcome, why).await,
            Settled::TakenOver {
                result: Ok(opened), ..
            } => {
                self.switch_over(*opened);
                Ok(())
            }
            Settled::TakenOver {
                kind,
                result: Err(failure),
            } => self.not_taken_over(attempt, kind, &failure).await,
        }
    }

    async fn not_taken_over(
        &mut self,
        attempt: &mut Option<Attempt>,
        kind: Kind,
        failure: &takeover::Failure,
    ) -> Result<(), Ending> {
        let Some(broken) = self.broken.take() else {
            self.wait_for_engine(&failure.to_string());
            return Ok(());
        };
        let is_unknown = matches!(failure, takeover::Failure::Unknown(_));
        // Its engine may be back later, while nothing else can continue the run.
        if kind == Kind::Continue && is_unknown && self.repeats < MAX_REPEATS {
            self.repeats += 1;
            self.copies.splice(0..0, self.continuing.clone());
        }
        let copies = std::mem::take(&mut self.copies);
        self.copies = self.usable(copies);
        if self.copies.is_empty() {
            let lost = format!("{}; copy {failure}", broken.why);
            return self.restart_or_wait(broken, lost).await;
        }
        self.broken = Some(broken);
        self.continue_from_next(attempt)
    }

    /// Restarts the stream, unless its engine may have stopped it and has not answered yet.
    async fn restart_or_wait(&mut self, broken: Break, lost: String) -> Result<(), Ending> {
        self.leave_engine();
        let keeps = self.kept.as_ref().is_some_and(Kept::is_awaited);
        if self.may_run_again() || (self.stopping.is_none() && !keeps) {
            return self.restart(&broken.why, lost).await;
        }
        let until = if keeps {
            clock::now().after(STOPPED_TIMEOUT).min(self.ticket.expires)
        } else {
            self.ticket.expires
        };
        self.broken = Some(Break { until, ..broken });
        Ok(())
    }

    async fn moved(
        &mut self,
        attempt: &mut Option<Attempt>,
        outcome: TakeoverOutcome,
    ) -> Result<(), Ending> {
        match outcome {
            TakeoverOutcome::Opened(opened) => {
                self.switch_over(*opened);
                Ok(())
            }
            TakeoverOutcome::Unknown(key) => {
                self.shared.mark_unreachable(key);
                if self.broken.is_some() {
                    return self.fail_over(attempt, "move").await;
                }
                self.stop_duplicate(attempt, key);
                Ok(())
            }
            TakeoverOutcome::Silent(copy) => {
                log::info!(id = self.original.inbound.id; "engine with the copy does not answer");
                self.copies.retain(|other| *other != copy);
                self.copies.push(copy);
                self.next_move = clock::now().after(MOVE_RETRY_DELAY);
                if self.broken.is_some() {
                    return self.fail_over(attempt, "move").await;
                }
                Ok(())
            }
            TakeoverOutcome::Deferred(why) => {
                self.put_off_move(attempt, &why, MOVE_RETRY_DELAY).await
            }
            TakeoverOutcome::NoRoom => {
                let delay = if self.shared.keeps_move_room() {
                    ROOM_RETRY_DELAY
                } else {
                    MOVE_RETRY_DELAY
                };
                self.put_off_move(attempt, "no engine with room", delay)
                    .await
            }
        }
    }

    /// Leaves a run where it is until a move is tried again, or continues it from a copy if its engine is lost.
    async fn put_off_move(
        &mut self,
        attempt: &mut Option<Attempt>,
        why: &str,
        delay: Duration,
    ) -> Result<(), Ending> {
        if self.broken.is_some() {
            return self.fail_over(attempt, why).await;
        }
        log::info!(id = self.original.inbound.id, why; "move put off");
        self.next_move = clock::now().after(delay);
        Ok(())
    }

    /// Relays the events that a stopped run had already sent.
    async fn last_events(&mut self) -> Result<(), Ending> {
        while let Ok(Ok(Some(chunk))) = timeout(LAST_EVENTS_TIMEOUT, self.source.chunk()).await {
            let Ok(blocks) = self.source.splitter.feed(chunk) else {
                break;
            };
            self.pass_on(blocks)?;
        }
        Ok(())
    }

    /// Handles the answer to a request to stop the run.
    async fn stopped(
        &mut self,
        attempt: &mut Option<Attempt>,
        outcome: StopOutcome,
        why: &str,
    ) -> Result<(), Ending> {
        self.record_stop(&outcome);
        if let StopOutcome::Stopped(copy) = outcome {
            if self.broken.is_none() {
                self.last_events().await?;
            }
            let kept = self.kept_copy(&copy);
            let mut copies = vec![copy, kept];
            copies.extend(self.backup_copy());
            let broken = self.broken.take().unwrap_or_else(|| self.ended(why));
            return self.continue_or_restart(attempt, copies, broken).await;
        }
        if let Some(broken) = self.broken.take() {
            if broken.is_end && self.stop == Stop::NotAsked {
                return Err(Ending::Complete);
            }
            self.record_crash(&broken);
            return self.take_over_or_restart(attempt, broken).await;
        }
        match outcome {
            StopOutcome::Stopped(_) | StopOutcome::Busy => self.wait_for_engine("busy"),
            StopOutcome::Refused => self.wait_for_engine("stop refused"),
            StopOutcome::NotAsked(why) | StopOutcome::Unknown(why) => self.wait_for_engine(&why),
            StopOutcome::NoRun => return self.take_over_missing(attempt).await,
        }
        Ok(())
    }

    /// Records what the answer to a stop says of the run. Once the outcome of one is unknown, the answers to later
    /// ones do not show whether the first has stopped it.
    fn record_stop(&mut self, outcome: &StopOutcome) {
        if matches!(outcome, StopOutcome::Stopped(_) | StopOutcome::NoRun) {
            self.source.placement.end();
        }
        self.stop = match outcome {
            StopOutcome::Unknown(_) => Stop::Unknown,
            StopOutcome::Stopped(_) => self.stop,
            _ if self.stop == Stop::Unknown => Stop::Unknown,
            _ => Stop::NotAsked,
        };
    }

    /// The memory that the engine which has stopped the run keeps.
    fn kept_copy(&self, copy: &RunCopy) -> RunCopy {
        RunCopy {
            key: self.source.key,
            ..copy.clone()
        }
    }

    /// Continues elsewhere once nothing more can come from the engine.
    async fn fail_over(&mut self, attempt: &mut Option<Attempt>, why: &str) -> Result<(), Ending> {
        let broken = self.broken.take().unwrap_or_else(|| self.ended(why));
        self.take_over_or_restart(attempt, broken).await
    }

    /// The end of a run at its engine that is no crash.
    fn ended(&self, why: &str) -> Break {
        Break {
            is_crash: false,
            is_end: false,
            until: self.ticket.expires,
            why: why.to_string(),
        }
    }

    /// The engine is lost: takes over from the backup copy, or else restarts after the last
    /// event if the route allows it.
    async fn take_over_or_restart(
        &mut self,
        attempt: &mut Option<Attempt>,
        broken: Break,
    ) -> Result<(), Ending> {
        let mut copies = std::mem::take(&mut self.copies);
        copies.extend(self.backup_copy());
        self.continue_or_restart(attempt, copies, broken).await
    }

    /// Continues a run that has ended at its engine from the first of these copies that allows it.
    async fn continue_or_restart(
        &mut self,
        attempt: &mut Option<Attempt>,
        copies: Vec<RunCopy>,
        broken: Break,
    ) -> Result<(), Ending> {
        self.copies = self.usable(copies);
        if self.copies.is_empty() {
            let lost = format!("{}; no copy", broken.why);
            return self.restart_or_wait(broken, lost).await;
        }
        self.copies.reverse();
        self.copies.dedup();
        self.broken = Some(broken);
        self.leave_engine();
        self.continue_from_next(attempt)
    }

    fn continue_from_next(&mut self, attempt: &mut Option<Attempt>) -> Result<(), Ending> {
        let until = self.ticket.expires;
        let Some((broken, copy)) = self.broken.as_mut().zip(self.copies.pop()) else {
            return Ok(());
        };
        broken.until = until;
        let why = broken.why.clone();
        if self.takeovers >= MAX_TAKEOVERS {
            return Err(Ending::Lost(format!("{why}; too many takeovers")));
        }
        // The last copy is all that is left, unless the stream may run again.
        let is_last = self.copies.is_empty() && self.stopping.is_none();
        let limit = if is_last && !self.may_run_again() {
            until.since(clock::now())
        } else {
            TAKEOVER_TIMEOUT
        };
        self.continuing = Some(copy.clone());
        *attempt = Some(Attempt::to_take_over(
            Kind::Continue,
            self.takeover_context(),
            copy,
            &why,
            limit,
        ));
        Ok(())
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
    pub(super) fn may_run_again(&self) -> bool {
        self.ticket.may_run_again(self.progress.runs + 1)
    }

    /// Asks another engine to start after the last event; `None` if it did not.
    pub(super) async fn resume(&mut self, why: &str) -> Result<Option<Opened>, String> {
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

    /// The copies whose engines may continue the stream, and are not running it already as far as is known. An engine that
    /// has not answered is asked again with the same handle only, which it uses once.
    fn usable(&self, copies: Vec<RunCopy>) -> Vec<RunCopy> {
        let now = clock::now();
        let state = self.shared.state.borrow();
        let id = &self.original.inbound.id;
        let mut copies = copies;
        copies.retain(|copy| {
            let is_repeat = self.continuing.as_ref() == Some(copy) && copy.handle != *id;
            let is_free = is_repeat || !state.may_be_running(self.running.key, copy.key);
            is_free && state.may_continue_at(now, copy.key)
        });
        copies
    }

    /// The backup copy of the run, if its engine may continue it.
    pub(super) fn backup_copy(&self) -> Option<RunCopy> {
        let key = {
            let state = self.shared.state.borrow();
            state.backup(clock::now(), self.running.key)?
        };
        Some(RunCopy {
            address: self.shared.endpoint_address(key)?.0,
            handle: self.original.inbound.id.clone(),
            key,
        })
    }

    /// Continues with an engine that has taken the run over, and drops the previous run.
    pub(super) fn switch_over(&mut self, opened: Opened) {
        self.takeovers += 1;
        self.attach(opened);
    }

    fn attach(&mut self, opened: Opened) {
        let Opened { backup, source } = opened;
        let key = source.key;
        self.log_change(key);
        self.source = source;
        self.source.placement.confirm();
        let mut state = self.shared.state.borrow_mut();
        state.settle_takeover(self.running.key, key);
        state.restart_copy(self.running.key);
        if let Some(run) = state.run_mut(self.running.key) {
            run.endpoint = key;
            run.backup = backup;
            run.target = None;
        }
        drop(state);
        self.shared.load.notify_one();
        let now = clock::now();
        self.began_at = None;
        self.window.restart();
        self.broken = None;
        if let Some(kept) = self.kept.take() {
            kept.settle(self.continuing.as_ref());
        }
        self.continuing = None;
        self.copies.clear();
        self.is_connected = Rc::new(Cell::new(true));
        self.earlier_events = self.sequence.count();
        self.end_silence(now);
        self.stop = Stop::NotAsked;
        self.repeats = 0;
        self.stop_asked_at = None;
        self.stopping = None;
        self.unjudged = false;
    }

    /// Logs what is known of the engine that the stream leaves for another one.
    fn log_change(&self, key: EndpointKey) {
        let why = self.broken.as_ref().map(|broken| broken.why.as_str());
        log::info!(
            id = self.original.inbound.id, left = self.shared.endpoint_name(self.source.key),
            endpoint = self.shared.endpoint_name(key), why = why.unwrap_or_default(),
            is_connected = self.broken.is_none(), is_leaving = self.is_leaving();
            "stream goes on at another engine"
        );
    }
}
