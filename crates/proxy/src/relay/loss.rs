//! Going on elsewhere: when the engine of a stream leaves, falls silent or is lost.

use {
    super::{Ending, Moving, Relay},
    crate::{
        clock,
        plain::place,
        prelude::*,
        relocate::{self, Takeover},
        transfer::{self, Opened, Relocated},
    },
    forward::choice::Need,
};

/// Times that a stream may go on elsewhere; an engine lives some ten seconds at the least,
/// a generation about as long.
const MOST_TAKEOVERS: u32 = 8;

/// How long the end of a stopped run's stream is waited for; its last events are on
/// their way when the move is answered.
const LAST_EVENTS: Duration = Duration::from_millis(30);

/// Longest time that a place is waited for to begin a stream again. Callers bear a pause of
/// two seconds at the least, of which the prompt takes half a second to be read again.
const RESUME_WAIT: Duration = Duration::from_millis(1200);

/// Times that an engine is asked to stop a run beside which another one may be at work, and
/// the pause between them, while a move of the run is under way. Together they are less than
/// the time for which two may work on a run.
const STOP_TRIES: u32 = 3;
const STOP_PAUSE: Duration = Duration::from_millis(40);

/// Pause before a move is tried again.
const MOVE_PAUSE: Duration = Duration::from_millis(100);

impl Relay {
    /// The engine broke the stream off: because it was told to stop for a move, or died.
    pub(super) async fn lost(&mut self, moving: Option<Moving>, why: &str) -> Result<(), Ending> {
        if let Some(moving) = moving
            && let Ok(Relocated::Opened(opened)) = timeout(relocate::MOVE_WAIT, moving).await
        {
            self.switch(*opened);
            return Ok(());
        }
        self.go_on_elsewhere(why).await
    }

    pub(super) async fn moved(&mut self, relocated: Relocated) -> Result<(), Ending> {
        match relocated {
            Relocated::Opened(opened) => self.switch(*opened),
            Relocated::Unsure(key) => {
                self.shared.unreachable(key);
                return self.stop_beside(key).await;
            }
            Relocated::NotYet(why) => {
                log::info!(id = self.original.inbound.id, why; "move put off");
                self.next_move = clock::now().after(MOVE_PAUSE);
            }
        }
        Ok(())
    }

    /// Reads what a stopped run had still sent.
    async fn last_events(&mut self) -> Result<(), Ending> {
        while let Ok(Ok(Some(part))) = timeout(LAST_EVENTS, self.source.answer.chunk()).await {
            let Ok(blocks) = self.source.cutter.feed(part) else {
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
            relocate::Stop::Busy => Ok(()),
            stopped => self.stopped(stopped, "silent").await,
        }
    }

    /// Another engine that does not answer may have gone on with the run, and would be at
    /// work on it beside the present one: a stream that cannot be repeated would run twice.
    /// So the run is stopped where it can be reached, and goes on from there.
    async fn stop_beside(&mut self, other: EndpointKey) -> Result<(), Ending> {
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "two engines may be at work");
        for _ in 0..STOP_TRIES {
            match relocate::stop(&self.shared, self.running.key, &id, Some(other)).await {
                relocate::Stop::Busy => sleep(STOP_PAUSE).await,
                stopped => return self.stopped(stopped, "two at work").await,
            }
        }
        let lost = "two engines may be at work, and none can be stopped".to_string();
        self.begin_again("two at work", lost).await
    }

    /// Goes on with a run that was to be stopped.
    async fn stopped(&mut self, stop: relocate::Stop, why: &str) -> Result<(), Ending> {
        match stop {
            relocate::Stop::Busy => Ok(()),
            relocate::Stop::Gone => self.go_on_or_wait("gone").await,
            relocate::Stop::Stopped(takeover) => {
                self.last_events().await?;
                self.go_on(takeover, why).await
            }
            relocate::Stop::Unreachable => {
                self.shared.unreachable(self.source.key);
                self.go_on_or_wait(why).await
            }
        }
    }

    /// The engine cannot be reached, or has the run no more. It may be at work behind a
    /// partition, or have ended the run with its last events still on their way, which come
    /// late when that heals. So the stream is lost only once another engine may have gone on
    /// with it, or its connection breaks.
    async fn go_on_or_wait(&mut self, why: &str) -> Result<(), Ending> {
        let refused = match self.backup_takeover() {
            None => "no copy".to_string(),
            Some(takeover) => match self.transfer().open(&takeover, why).await {
                Ok(opened) => {
                    self.switch(opened);
                    return Ok(());
                }
                Err(transfer::Failure::NotRun(why)) => why,
                Err(transfer::Failure::Unknown(error)) => {
                    return self.begin_again(why, format!("{why}; copy {error}")).await;
                }
            },
        };
        if self.may_run_again() {
            return self.begin_again(why, refused).await;
        }
        log::info!(id = self.original.inbound.id, why = refused; "waits for its engine");
        Ok(())
    }

    /// The engine is lost: goes on from the copy, else begins again behind the last event
    /// where that is allowed.
    async fn go_on_elsewhere(&mut self, why: &str) -> Result<(), Ending> {
        match self.backup_takeover() {
            None => self.begin_again(why, format!("{why}; no copy")).await,
            Some(takeover) => self.go_on(takeover, why).await,
        }
    }

    /// Begins again behind the last event, if the stream is resumable; else it is lost.
    async fn begin_again(&mut self, why: &str, lost: String) -> Result<(), Ending> {
        self.progress.ran(self.source.key, why.to_string());
        while self.progress.may_send(&self.shared, &self.ticket) {
            match self.resume(why).await {
                Ok(Some(opened)) => {
                    self.settle(opened);
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
        let until = clock::now().after(RESUME_WAIT).min(self.ticket.expires);
        let left = self.left();
        let placed = place(
            &self.shared,
            &self.ticket,
            left,
            &self.progress.tried,
            until,
        )
        .await;
        let Some((key, _)) = placed else {
            return Err(format!("{why}; no engine with room"));
        };
        match self.shared.readmit(&self.original, &mut self.ticket) {
            Ok(true) => {}
            Ok(false) => return Err(format!("{why}; its route goes to another service")),
            Err(refusal) => return Err(format!("{why}; {}", refusal.label())),
        }
        self.progress.sends += 1;
        match self.transfer().resume(key, why).await {
            Ok(opened) => Ok(Some(opened)),
            Err(transfer::Failure::NotRun(why)) => {
                self.progress.turned_down(key, why);
                Ok(None)
            }
            Err(transfer::Failure::Unknown(why)) => {
                self.shared.unreachable(key);
                self.progress.ran(key, why);
                Ok(None)
            }
        }
    }

    /// What the rest of the run needs.
    fn left(&self) -> Need {
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
            address: self.shared.target(key)?.0,
            handle: self.original.inbound.id.clone(),
            key,
        })
    }

    /// Goes on from a copy, with the run before it stopped or dead.
    async fn go_on(&mut self, takeover: Takeover, why: &str) -> Result<(), Ending> {
        self.takeovers += 1;
        if self.takeovers > MOST_TAKEOVERS {
            return Err(Ending::Lost(format!("{why}; moved too often")));
        }
        match self.transfer().open(&takeover, why).await {
            Ok(opened) => {
                self.settle(opened);
                Ok(())
            }
            Err(error) => self.begin_again(why, format!("{why}; copy {error}")).await,
        }
    }

    /// Goes on at an engine that has taken the run over, and drops the run before it.
    fn switch(&mut self, opened: Opened) {
        self.takeovers += 1;
        self.settle(opened);
    }

    fn settle(&mut self, opened: Opened) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(run) = state.run_mut(self.running.key) {
            run.endpoint = opened.source.key;
            run.backup = opened.backup;
            run.target = None;
        }
        drop(state);
        self.shared.load.notify_one();
        self.quiet_since = clock::now();
        self.asked_copy = false;
        self.source = opened.source;
    }
}
