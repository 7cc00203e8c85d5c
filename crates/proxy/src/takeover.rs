//! Takeover of a run by another engine.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, SendOutcome},
        placement::Placement,
        prelude::*,
        relocate::{self, MoveOutcome, RunCopy},
    },
    endpoint::sse::EventSplitter,
    forward::request::Ticket,
    platform::head,
};

/// How long to wait for the head of the response to a takeover request.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Timeout of a takeover while the run's current engine may still be running it. Two engines
/// may run it concurrently for up to this long, and until one of them has stopped.
pub const MAX_TAKEOVER_OVERLAP: Duration = Duration::from_millis(250);

/// How long an engine with a backup copy may take to answer a check before the run is copied to another one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the engine to which a run was copied may be silent before the run is copied to another one.
const TARGET_TIMEOUT: Duration = Duration::from_millis(400);

/// Source of a stream's events.
#[derive(Debug)]
pub struct EventSource {
    /// The engine's response, whose body is still being read.
    pub answer: endpoint::client::Reply,
    /// What was read of the body while the previous engine was still running.
    pub early: Option<Result<Option<Bytes>, endpoint::Error>>,
    /// The run at the engine, which is told to stop it once it is left.
    pub placement: Placement,
    /// Splits the body into events.
    pub splitter: EventSplitter,
    /// The engine.
    pub key: EndpointKey,
    /// When the request was sent to the engine.
    pub sent_at: Time,
}

impl EventSource {
    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, endpoint::Error> {
        match self.early.take() {
            Some(early) => early,
            None => self.answer.chunk().await,
        }
    }
}

/// Result of a move or takeover.
#[derive(Debug)]
pub enum TakeoverOutcome {
    /// The engine that holds the copy continues the run; the previous one is to be dropped.
    Opened(Box<Opened>),
    /// The run stays where it is, for this reason; a move may be retried.
    Deferred(String),
    /// No other engine has room; the run stays where it is.
    NoRoom,
    /// The copy is complete, but its engine does not answer; the run stays where it is.
    Silent(RunCopy),
    /// The other engine has not confirmed or refused the takeover.
    Unknown(EndpointKey),
}

/// A run that another engine has taken over.
#[derive(Debug)]
pub struct Opened {
    /// Engine that holds its next backup copy.
    pub backup: Option<EndpointKey>,
    /// Source of its events.
    pub source: EventSource,
}

/// Why a takeover failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The engine has not run anything.
    NotRun(String),
    /// The engine may be running it.
    Unknown(String),
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (Self::NotRun(why) | Self::Unknown(why)) = self;
        f.write_str(why)
    }
}

/// The data that a takeover needs.
#[derive(Debug)]
pub struct TakeoverContext {
    /// Whether the connection to the run's engine is open, kept up to date.
    pub is_connected: Rc<Cell<bool>>,
    /// Whether events that two engines send are told apart by their numbers, kept up to date.
    pub is_numbered: Rc<Cell<bool>>,
    /// Id of the last event sent to the caller, kept up to date.
    pub last_event: Rc<RefCell<Option<String>>>,
    /// The caller's request.
    pub original: Rc<Original>,
    /// The run.
    pub run: RunKey,
    /// State shared by all tasks.
    pub shared: Rc<Shared>,
    /// The request's ticket.
    pub ticket: Ticket,
}

impl TakeoverContext {
    /// Takes over at the engine with the backup copy if it is healthy; otherwise moves the
    /// run's KV cache.
    ///
    /// The backup lacks only the last few tokens, so its engine can continue immediately, while
    /// a move queues behind others on the link. The run continues until the other engine has
    /// responded, so nothing is lost if the copy is missing.
    pub async fn move_run(self, backup: Option<RunCopy>) -> TakeoverOutcome {
        let healthy = self
            .shared
            .state
            .borrow()
            .healthy_backup(clock::now(), self.run);
        let copy = backup.filter(|copy| Some(copy.key) == healthy);
        if let Some(copy) = copy
            && self.answers(copy.key).await
        {
            match self.open_within_overlap(&copy, "leaving").await {
                TakeoverOutcome::Deferred(_) => {}
                settled => return settled,
            }
        }
        let id = &self.original.inbound.id;
        match relocate::move_run(&self.shared, self.run, id).await {
            MoveOutcome::Deferred(why) => TakeoverOutcome::Deferred(why),
            MoveOutcome::NoRoom => TakeoverOutcome::NoRoom,
            MoveOutcome::Ready(copy) => self.open_within_overlap(&copy, "copied").await,
        }
    }

    /// Whether an engine lives on; one that is silent would take the run over at some later time.
    async fn answers(&self, key: EndpointKey) -> bool {
        let answered = timeout(ANSWER_TIMEOUT, self.shared.wait_until_responsive(key));
        answered.await.is_ok()
    }

    /// Asks an engine to take over while the previous engine may still be running, once it answers. If the previous
    /// one ends meanwhile, there is no hurry any more.
    async fn open_within_overlap(&self, copy: &RunCopy, why: &str) -> TakeoverOutcome {
        let responsive = self.shared.wait_until_responsive(copy.key);
        tokio::pin!(responsive);
        while timeout(TARGET_TIMEOUT, responsive.as_mut()).await.is_err() {
            if self.is_connected.get() {
                return TakeoverOutcome::Silent(copy.clone());
            }
        }
        let opening = self.open_from_copy(copy, why, TAKEOVER_TIMEOUT);
        tokio::pin!(opening);
        let opened = match timeout(MAX_TAKEOVER_OVERLAP, opening.as_mut()).await {
            Err(_) if self.is_connected.get() => return TakeoverOutcome::Unknown(copy.key),
            Err(_) => opening.await,
            Ok(opened) => opened,
        };
        match opened {
            Ok(mut opened) => {
                self.await_first_event(&mut opened.source).await;
                if self.is_lost(&opened.source) {
                    return TakeoverOutcome::Unknown(copy.key);
                }
                TakeoverOutcome::Opened(Box::new(opened))
            }
            Err(Failure::NotRun(why)) => TakeoverOutcome::Deferred(why),
            Err(Failure::Unknown(_)) => TakeoverOutcome::Unknown(copy.key),
        }
    }

    /// Waits for the first part of the other engine's body while the events of the previous one are still read, for
    /// which the caller would otherwise wait without any.
    async fn await_first_event(&self, source: &mut EventSource) {
        let is_numbered = self.is_numbered.get();
        if !self.shared.keeps_move_room() || !is_numbered || !self.is_connected.get() {
            return;
        }
        let left = MAX_TAKEOVER_OVERLAP.saturating_sub(clock::now().since(source.sent_at));
        source.early = timeout(left, source.answer.chunk()).await.ok();
    }

    /// Whether the other engine's connection ended before its first event.
    fn is_lost(&self, source: &EventSource) -> bool {
        let (is_lost, is_crash) = match &source.early {
            Some(Err(error)) => (true, error.is_break_of_endpoint()),
            Some(Ok(None)) => {
                let is_cut_off = !source.answer.is_delimited();
                (is_cut_off, is_cut_off)
            }
            Some(Ok(Some(_))) | None => (false, false),
        };
        if is_crash {
            self.shared
                .record_break(&self.original, source.key, source.sent_at, 0);
        }
        if is_lost {
            log::info!(id = self.original.inbound.id; "engine lost before its first event");
        }
        is_lost
    }

    /// Asks an engine to continue from a copy.
    ///
    /// # Errors
    ///
    /// The engine refused, or did not respond within `limit`.
    pub async fn open_from_copy(
        &self,
        copy: &RunCopy,
        why: &str,
        limit: Duration,
    ) -> Result<Opened, Failure> {
        let source = head::KvSource {
            address: copy.address,
            handle: copy.handle.clone(),
        };
        self.open(copy.key, Some(&source), why, limit).await
    }

    /// Waits for the end of an engine's cooldown, as far as `limit` allows. Returns what is left of the limit.
    pub async fn await_cooldown(&self, key: EndpointKey, limit: Duration) -> Duration {
        let now = clock::now();
        let delay = self.shared.state.borrow().takeover_delay(now, key);
        let Some(delay) = delay.filter(|delay| *delay < limit) else {
            return limit;
        };
        let id = &self.original.inbound.id;
        log::info!(id, ms = delay.as_millis(); "takeover waits for the cooldown of its engine");
        sleep(delay).await;
        limit.saturating_sub(delay)
    }

    /// Asks an engine to start a resumable stream after the caller's last event.
    ///
    /// # Errors
    ///
    /// The engine refused, or did not respond.
    pub async fn resume(&self, key: EndpointKey, why: &str) -> Result<Opened, Failure> {
        self.open(key, None, why, TAKEOVER_TIMEOUT).await
    }

    async fn open(
        &self,
        key: EndpointKey,
        source: Option<&head::KvSource>,
        why: &str,
        limit: Duration,
    ) -> Result<Opened, Failure> {
        if self.shared.refuses(&self.original) {
            let refusal = Refusal::CrashesEndpoints.label();
            return Err(Failure::NotRun(refusal.to_string()));
        }
        let started_at = clock::now();
        let last_event = self.last_event.borrow().clone();
        let backup = self
            .shared
            .state
            .borrow()
            .pick_backup(started_at, self.run, key);
        let destination = Destination {
            backup,
            customer: self.ticket.customer.as_deref(),
            expires: self.ticket.expires,
            key,
            last_event: last_event.as_deref(),
            source,
        };
        self.shared.record_attempt(&self.ticket.service, true);
        if source.is_some() {
            let mut state = self.shared.state.borrow_mut();
            state.record_takeover(self.run, key);
        }
        let id = &self.original.inbound.id;
        let mut placement = Placement::new(&self.shared, self.run, id, key);
        let sent = exchange::send(&self.shared, &self.original, &destination, limit).await;
        if sent.is_not_run() {
            placement.withdraw();
        }
        let result = match sent {
            SendOutcome::Answer(answer, flags)
                if answer.status() == StatusCode::OK && flags.sealed && !flags.not_run =>
            {
                Ok(Opened {
                    backup,
                    source: EventSource {
                        answer: *answer,
                        early: None,
                        placement,
                        splitter: EventSplitter::default(),
                        key,
                        sent_at: started_at,
                    },
                })
            }
            SendOutcome::Answer(answer, flags) if flags.not_run => {
                // Engines admit takeovers ahead of all other requests, so a rejection means that
                // the copy is gone. Asking again could start the run a second time.
                if source.is_some() && flags.conditions.cooldown.is_none() {
                    let mut state = self.shared.state.borrow_mut();
                    state.record_missing_copy(self.run, key);
                }
                Err(Failure::NotRun(format!("answered {}", answer.status())))
            }
            SendOutcome::Answer(answer, _) => {
                Err(Failure::Unknown(format!("answered {}", answer.status())))
            }
            SendOutcome::Broken(error) => {
                self.shared.record_break(&self.original, key, started_at, 0);
                self.shared.mark_unreachable(key);
                Err(Failure::Unknown(error))
            }
            SendOutcome::Withheld => {
                self.shared.refund_send(&self.ticket.service, true);
                Err(Failure::NotRun("engine takes no requests now".to_string()))
            }
            SendOutcome::NotWritten(error) => {
                self.shared.mark_unreachable(key);
                Err(Failure::NotRun(error))
            }
            SendOutcome::Unknown(error) => Err(Failure::Unknown(error)),
        };
        if matches!(result, Err(Failure::NotRun(_))) {
            let mut state = self.shared.state.borrow_mut();
            state.settle_takeover(self.run, key);
        }
        let error = result.as_ref().err().map(ToString::to_string);
        log::info!(
            id = self.original.inbound.id, why, error = error.unwrap_or_default(),
            ms = clock::now().since(started_at).as_millis(),
            last_event = last_event.as_deref().unwrap_or_default(); "takeover"
        );
        let outcome = if result.is_ok() { "went_on" } else { "refused" };
        self.shared.metrics.record_move(outcome);
        result
    }
}
