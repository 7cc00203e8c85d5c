//! Asking another engine to go on with a run.

use {
    crate::{
        clock,
        exchange::{self, Destination, Original, Sent},
        prelude::*,
        relocate::{self, Moved, Takeover},
    },
    endpoint::sse::EventSplitter,
    forward::request::Ticket,
    platform::head,
};

/// How long a takeover may take to answer. The reader has left by then.
const TAKEOVER_WAIT: Duration = Duration::from_millis(2500);

/// How long a run may be at work at its engine and be asked for at another one. An engine
/// answers within 15 ms; both may work on it for 400 ms.
const OVERLAP: Duration = Duration::from_millis(250);

/// Where events come from.
#[derive(Debug)]
pub struct Source {
    /// The answer, whose body is read on.
    pub answer: endpoint::client::Reply,
    /// Cuts the body into events.
    pub cutter: EventSplitter,
    /// The engine.
    pub key: EndpointKey,
}

/// What came of a move.
#[derive(Debug)]
pub enum Relocated {
    /// The engine that holds the copy goes on; the run before it is to be dropped.
    Opened(Box<Opened>),
    /// The run goes on where it is; a move may be tried again.
    NotYet(String),
    /// Another engine was asked and has not said whether it goes on.
    Unsure(EndpointKey),
}

/// A run that goes on at another engine.
#[derive(Debug)]
pub struct Opened {
    /// Engine that keeps its next copy.
    pub backup: Option<EndpointKey>,
    /// Where its events come from.
    pub source: Source,
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
pub struct Transfer {
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

impl Transfer {
    /// Goes on at the engine that holds a copy, if there is a sound one; else moves the
    /// run's KV memory.
    ///
    /// The copy lacks only the last few tokens, so the engine that holds it goes on at
    /// once, while a move waits for other moves on the link. The run before goes on until the
    /// other engine has answered, so nothing is lost if the copy turns out missing.
    pub async fn relocate(self, backup: Option<Takeover>) -> Relocated {
        let sound = self
            .shared
            .state
            .borrow()
            .sound_backup(clock::now(), self.run);
        if let Some(takeover) = backup.filter(|takeover| Some(takeover.key) == sound) {
            match self.within_overlap(&takeover, "leaving").await {
                Relocated::NotYet(_) => {}
                settled => return settled,
            }
        }
        let id = &self.original.inbound.id;
        match relocate::relocate(&self.shared, self.run, id).await {
            Moved::NotYet(why) => Relocated::NotYet(why),
            Moved::Ready(takeover) => self.within_overlap(&takeover, "copied").await,
        }
    }

    /// Goes on at the engine that holds a copy, or not at all.
    pub async fn go_on(self, takeover: Takeover, why: &'static str) -> Relocated {
        self.within_overlap(&takeover, why).await
    }

    /// Asks an engine to go on while the run before it may still be at work.
    async fn within_overlap(&self, takeover: &Takeover, why: &str) -> Relocated {
        match timeout(OVERLAP, self.open(takeover, why)).await {
            Ok(Ok(opened)) => Relocated::Opened(Box::new(opened)),
            Ok(Err(Failure::NotRun(why))) => Relocated::NotYet(why),
            Ok(Err(Failure::Unknown(_))) | Err(_) => Relocated::Unsure(takeover.key),
        }
    }

    /// Asks an engine to go on from a copy.
    ///
    /// # Errors
    ///
    /// It refused, or did not answer.
    pub async fn open(&self, takeover: &Takeover, why: &str) -> Result<Opened, Failure> {
        let source = head::KvSource {
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
        source: Option<&head::KvSource>,
        why: &str,
    ) -> Result<Opened, Failure> {
        let began = clock::now();
        let last_event = self.last_event.borrow().clone();
        let backup = self.shared.state.borrow().pick_backup(began, self.run, key);
        let destination = Destination {
            backup,
            customer: self.ticket.customer.as_deref(),
            expires: self.ticket.expires,
            key,
            last_event: last_event.as_deref(),
            source,
        };
        self.shared.count_send(&self.ticket.service, true);
        let sent = exchange::send(&self.shared, &self.original, &destination, TAKEOVER_WAIT).await;
        let result = match sent {
            Sent::Answer(answer, verdict)
                if answer.status() == StatusCode::OK && verdict.sealed && !verdict.not_run =>
            {
                Ok(Opened {
                    backup,
                    source: Source {
                        answer,
                        cutter: EventSplitter::default(),
                        key,
                    },
                })
            }
            Sent::Answer(answer, verdict) if verdict.not_run => {
                Err(Failure::NotRun(format!("answered {}", answer.status())))
            }
            Sent::Answer(answer, _) => {
                Err(Failure::Unknown(format!("answered {}", answer.status())))
            }
            Sent::NotWritten(error) => Err(Failure::NotRun(error)),
            Sent::Unknown(error) => Err(Failure::Unknown(error)),
        };
        let error = result.as_ref().err().map(ToString::to_string);
        log::info!(
            id = self.original.inbound.id, why, error = error.unwrap_or_default(),
            ms = clock::now().since(began).as_millis(),
            last_event = last_event.as_deref().unwrap_or_default(); "takeover"
        );
        let outcome = if result.is_ok() { "went_on" } else { "refused" };
        self.shared.meters.moved(outcome);
        result
    }
}
