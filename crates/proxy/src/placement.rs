//! Runs at engines that may be working on them.
//!
//! Most engines drop a run when its connection closes, and some work on. One that a stream has left is therefore told to
//! stop the run, whatever the way on which the stream has left it.

use {
    crate::{
        clock,
        prelude::*,
        relocate::{self, StopAnswer},
    },
    forward::placement::MAX_OVERLAP,
    tokio::sync::mpsc,
};

/// How long an engine has to notice that the connection of a run is closed before it is told to stop it. One that does
/// has nothing to copy then.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Delay before a run is asked to be stopped once more; doubled each time, up to the longest one.
const RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long an engine is told to stop a run that answers nothing.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A run at an engine that may be working on it, from before it is sent there. When this is dropped, the engine is told
/// to stop the run, unless the run has ended there.
#[derive(Debug)]
pub struct Placement {
    engine: EndpointKey,
    id: String,
    is_confirmed: bool,
    /// Whether the stream has neither left the engine, nor has the run ended there.
    is_open: bool,
    run: RunKey,
    shared: Rc<Shared>,
}

impl Placement {
    /// Records that a run is about to be sent to an engine.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, run: RunKey, id: &str, engine: EndpointKey) -> Self {
        let now = clock::now();
        shared.placements.borrow_mut().begin(now, run, engine);
        Self {
            engine,
            id: id.to_string(),
            is_confirmed: false,
            is_open: true,
            run,
            shared: Rc::clone(shared),
        }
    }

    /// The engine.
    #[must_use]
    pub const fn engine(&self) -> EndpointKey {
        self.engine
    }

    /// Records that the stream has its events from the engine.
    pub const fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Records that the run was not sent, or was rejected.
    pub fn withdraw(&mut self) {
        if std::mem::take(&mut self.is_open) {
            let mut placements = self.shared.placements.borrow_mut();
            placements.end(self.run, self.engine);
        }
    }

    /// Records that the run has come to its end at the engine, or was stopped there.
    pub fn end(&mut self) {
        if std::mem::take(&mut self.is_open) {
            self.shared.end_placement(self.run, self.engine, &self.id);
        }
    }

    /// Has the engine told to stop the run.
    fn leave(&mut self) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let (run, engine) = (self.run, self.engine);
        self.shared.placements.borrow_mut().leave(run, engine);
        self.shared.state.borrow_mut().record_takeover(run, engine);
        let abandoned = Abandoned {
            engine,
            id: self.id.clone(),
            is_confirmed: self.is_confirmed,
            run,
        };
        // Fails while the instance exits, which closes all connections.
        let _told = self.shared.abandoned.send(abandoned);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.leave();
    }
}

/// A run that a stream has left at an engine which may be working on it.
#[derive(Clone, Debug)]
pub struct Abandoned {
    /// The engine.
    pub engine: EndpointKey,
    /// Id of the request.
    pub id: String,
    /// Whether the stream had its events from the engine. One that has run it without an answer might do so again.
    pub is_confirmed: bool,
    /// The run.
    pub run: RunKey,
}

/// Has engines stop the runs that streams have left; never returns.
pub async fn run(shared: Rc<Shared>, mut abandoned: mpsc::UnboundedReceiver<Abandoned>) {
    while let Some(abandoned) = abandoned.recv().await {
        tokio::task::spawn_local(stop(Rc::clone(&shared), abandoned));
    }
}

async fn stop(shared: Rc<Shared>, abandoned: Abandoned) {
    sleep(CLOSE_DELAY).await;
    let stopped = timeout(STOP_TIMEOUT, try_stop(&shared, &abandoned)).await;
    let Abandoned {
        engine, id, run, ..
    } = &abandoned;
    if stopped.is_err() {
        let endpoint = shared.endpoint_name(*engine);
        log::warn!(id, endpoint; "engine may work on a stream that has left it");
    }
    if !shared.placements.borrow().has_stream(*run, *engine) {
        shared.end_placement(*run, *engine, id);
    }
}

async fn try_stop(shared: &Rc<Shared>, abandoned: &Abandoned) {
    let (run, engine) = (abandoned.run, abandoned.engine);
    let mut delay = RETRY_DELAY;
    // The stream may have come back meanwhile.
    while !shared.placements.borrow().has_stream(run, engine) {
        match relocate::stop_abandoned(shared, abandoned).await {
            StopAnswer::Ended if abandoned.is_confirmed => {
                return shared.state.borrow_mut().settle_takeover(run, engine);
            }
            StopAnswer::Ended | StopAnswer::Gone => return,
            StopAnswer::Busy => {}
            StopAnswer::Unknown => shared.wait_until_responsive(engine).await,
        }
        sleep(delay).await;
        delay = delay.saturating_mul(2).min(MAX_RETRY_DELAY);
    }
}

impl Shared {
    /// Records that an engine does not work on a run, or is not asked about it any more, and for how long it may have worked
    /// on it beside another one.
    fn end_placement(&self, run: RunKey, engine: EndpointKey, id: &str) {
        let since = self.placements.borrow_mut().end(run, engine);
        let Some(since) = since else {
            return;
        };
        let overlap = clock::now().since(since);
        let endpoint = self.endpoint_name(engine);
        let is_late = overlap > MAX_OVERLAP;
        let level = if is_late {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level, id, endpoint, ms = overlap.as_millis();
            "engine has ended a run beside another engine"
        );
        self.metrics.record_overlap(is_late);
    }
}
