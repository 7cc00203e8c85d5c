//! Attempts to continue a run elsewhere, which proceed while its events are still read.

use {
    crate::{
        prelude::*,
        relocate::{self, RunCopy, StopOutcome},
        takeover::{Failure, Opened, TakeoverContext, TakeoverOutcome},
    },
    std::pin::Pin,
};

/// What an attempt does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Copies the run while it continues, and has the other engine take it over.
    Move,
    /// Asks the run's engine to stop it.
    Stop,
    /// Asks the engine with the backup copy to take the run over from one that does not answer.
    TakeOver,
    /// Asks an engine to continue a run that has stopped.
    Continue,
}

/// Result of an attempt.
pub enum Settled {
    Moved(TakeoverOutcome),
    Stopped {
        outcome: StopOutcome,
        /// Why it was asked to stop.
        why: &'static str,
    },
    TakenOver {
        /// Kind of the attempt.
        kind: Kind,
        result: Result<Box<Opened>, Failure>,
    },
}

/// An attempt in progress.
pub struct Attempt {
    pub kind: Kind,
    future: Pin<Box<dyn Future<Output = Settled>>>,
}

impl fmt::Debug for Attempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Attempt").field(&self.kind).finish()
    }
}

impl Attempt {
    /// Moves the run from an engine that is leaving.
    pub fn to_move(context: TakeoverContext, backup: Option<RunCopy>) -> Self {
        Self {
            kind: Kind::Move,
            future: Box::pin(async move { Settled::Moved(context.move_run(backup).await) }),
        }
    }

    /// Stops the run; `duplicate` is another engine that may be running it as well.
    ///
    /// The engine stops the run before it answers, so that a call that is given up would leave the run stopped and
    /// its copy unknown.
    pub fn to_stop(context: TakeoverContext, duplicate: Option<EndpointKey>) -> Self {
        let why = if duplicate.is_some() {
            "duplicate run"
        } else {
            "silent"
        };
        let stopping = async move {
            let id = &context.original.inbound.id;
            let outcome = relocate::stop(&context.shared, context.run, id, duplicate).await;
            Settled::Stopped { outcome, why }
        };
        Self {
            kind: Kind::Stop,
            future: Box::pin(stopping),
        }
    }

    /// Has the engine with the copy take the run over.
    pub fn to_take_over(
        kind: Kind,
        context: TakeoverContext,
        copy: RunCopy,
        why: &str,
        limit: Duration,
    ) -> Self {
        let why = why.to_string();
        let taking_over = async move {
            // Nothing comes from the run's own engine any more.
            let limit = match kind {
                Kind::Continue => context.await_cooldown(copy.key, limit).await,
                Kind::Move | Kind::Stop | Kind::TakeOver => limit,
            };
            let result = context.open_from_copy(&copy, &why, limit).await;
            let result = result.map(Box::new);
            Settled::TakenOver { kind, result }
        };
        Self {
            kind,
            future: Box::pin(taking_over),
        }
    }
}

/// Waits for the attempt; never returns if there is none.
pub async fn settled(attempt: &mut Option<Attempt>) -> Settled {
    match attempt {
        Some(attempt) => attempt.future.as_mut().await,
        None => std::future::pending().await,
    }
}
