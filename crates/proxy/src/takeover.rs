//! Asking another engine to go on with a run.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, SendOutcome},
        prelude::*,
        relocate::{self, MoveOutcome, Takeover},
    },
    endpoint::sse::Cutter,
    forward::request::Ticket,
    platform::head,
};

/// How long a takeover may take to answer. The reader has left by then.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long a run may be at work at its engine and be asked for at another one. An engine
/// answers within 15 ms; both may work on it for 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Where events come from.
#[derive(Debug)]
pub struct EventSource {
    /// The answer, whose body is read on.
    pub answer: endpoint::client::Reply,
    /// Cuts the body into events.
    pub splitter: Cutter,
    /// The engine.
    pub key: EndpointKey,
}

/// What came of a move.
#[derive(Debug)]
pub enum TakeoverOutcome {
    /// The engine that holds the copy goes on; the run before it is to be dropped.
    Opened(Box<Opened>),
    /// The run goes on where it is; a move may be tried again.
    Deferred(String),
    /// Another engine was asked and has not said whether it goes on.
    Unknown(EndpointKey),
}

/// A run that goes on at another engine.
#[derive(Debug)]
pub struct Opened {
    /// Engine that keeps its next copy.
    pub backup: Option<EndpointKey>,
    /// Where its events come from.
    pub source: EventSource,
}

/// Why an engine does not go on with a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It has not run anything.
    NotRun(String),
    /// It may be at work.
    Unknown(String),
}

impl Display for Failure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (Self::NotRun(why) | Self::Unknown(why)) = self;
        f.write_str(why)
    }
}

/// What a send to another engine needs.
#[derive(Debug)]
pub struct TakeoverContext {
    /// Id of the last event that was passed on, kept up to date.
    pub last_event: Rc<RefCell<Option<String>>>,
    /// The caller's request.
    pub original: Rc<Original>,
    /// The run.
    pub run: RunKey,
    /// What all tasks share.
    pub shared: Rc<Shared>,
    /// The request's ticket.
    pub ticket: Ticket,
}

impl TakeoverContext {
    /// Goes on at the engine that holds a copy, if there is a sound one; else moves the
    /// run's KV memory.
    ///
    /// The copy lacks only the last few tokens, so the engine that holds it goes on at
    /// once, while a move waits for other moves on the link. The run before goes on until the
    /// other engine has answered, so nothing is lost if the copy turns out missing.
    pub async fn move_run(self, backup: Option<Takeover>) -> TakeoverOutcome {
        let healthy = self
            .shared
            .state
            .borrow()
            .sound_backup(clock::now(), self.run);
        if let Some(takeover) = backup.filter(|takeover| Some(takeover.key) == healthy) {
            match self.open_within_overlap(&takeover, "leaving").await {
                TakeoverOutcome::Deferred(_) => {}
                settled => return settled,
            }
        }
        let id = &self.original.inbound.id;
        match relocate::move_run(&self.shared, self.run, id).await {
            MoveOutcome::Deferred(why) => TakeoverOutcome::Deferred(why),
            MoveOutcome::Ready(takeover) => self.open_within_overlap(&takeover, "copied").await,
        }
    }

    /// Goes on at the engine that holds a copy, or not at all.
    pub async fn take_over(self, takeover: Takeover, why: &'static str) -> TakeoverOutcome {
        self.open_within_overlap(&takeover, why).await
    }

    /// Asks an engine to go on while the run before it may still be at work.
    async fn open_within_overlap(&self, takeover: &Takeover, why: &str) -> TakeoverOutcome {
        match timeout(MAX_OVERLAP, self.open_from_copy(takeover, why)).await {
            Ok(Ok(opened)) => TakeoverOutcome::Opened(Box::new(opened)),
            Ok(Err(Failure::NotRun(why))) => TakeoverOutcome::Deferred(why),
            Ok(Err(Failure::Unknown(_))) | Err(_) => TakeoverOutcome::Unknown(takeover.key),
        }
    }

    /// Asks an engine to go on from a copy.
    ///
    /// # Errors
    ///
    /// It refused, or did not answer.
    pub async fn open_from_copy(&self, takeover: &Takeover, why: &str) -> Result<Opened, Failure> {
        let source = head::Source {
            address: takeover.address,
            handle: takeover.handle.clone(),
        };
        self.ask(takeover.key, Some(&source), why).await
    }

    /// Asks an engine to begin a resumable stream behind the last event of the caller's.
    ///
    /// # Errors
    ///
    /// It refused, or did not answer.
    pub async fn resume(&self, key: EndpointKey, why: &str) -> Result<Opened, Failure> {
        self.ask(key, None, why).await
    }

    async fn ask(
        &self,
        key: EndpointKey,
        source: Option<&head::Source>,
        why: &str,
    ) -> Result<Opened, Failure> {
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
        let sent =
            exchange::send(&self.shared, &self.original, &destination, TAKEOVER_TIMEOUT).await;
        let result = match sent {
            SendOutcome::Answer(answer, flags)
                if answer.status() == StatusCode::OK && flags.sealed && !flags.not_run =>
            {
                Ok(Opened {
                    backup,
                    source: EventSource {
                        answer,
                        splitter: Cutter::default(),
                        key,
                    },
                })
            }
            SendOutcome::Answer(answer, flags) if flags.not_run => {
                Err(Failure::NotRun(format!("answered {}", answer.status())))
            }
            SendOutcome::Answer(answer, _) => {
                Err(Failure::Unknown(format!("answered {}", answer.status())))
            }
            SendOutcome::NotWritten(error) => Err(Failure::NotRun(error)),
            SendOutcome::Unknown(error) => Err(Failure::Unknown(error)),
        };
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
