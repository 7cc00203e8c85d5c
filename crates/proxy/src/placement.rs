//! Runs at engines that may be working on them.
//!
//! Most engines drop a run when its connection closes, and some work on. One that a stream has left is therefore told to
//! stop the run, whatever the way on which the stream has left it.

use {
    crate::{
        prelude::*,
        relocate::{self, StopAnswer},
    },
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
    has_ended: bool,
    id: String,
    is_confirmed: bool,
    run: RunKey,
    shared: Rc<Shared>,
}

impl Placement {
    /// Records that a run is about to be sent to an engine.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, run: RunKey, id: &str, engine: EndpointKey) -> Self {
        let mut placements = shared.placements.borrow_mut();
        let index = placements.partition_point(|other| *other < (run, engine));
        placements.insert(index, (run, engine));
        drop(placements);
        Self {
            engine,
            has_ended: false,
            id: id.to_string(),
            is_confirmed: false,
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

    /// Records that the engine does not work on the run: it was not sent, was rejected, has come to its end or was stopped.
    pub const fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let mut placements = self.shared.placements.borrow_mut();
        let own = (self.run, self.engine);
        if let Ok(index) = placements.binary_search(&own) {
            placements.remove(index);
        }
        drop(placements);
        if self.has_ended {
            return;
        }
        let mut state = self.shared.state.borrow_mut();
        state.record_takeover(self.run, self.engine);
        drop(state);
        let abandoned = Abandoned {
            engine: self.engine,
            id: std::mem::take(&mut self.id),
            is_confirmed: self.is_confirmed,
            run: self.run,
        };
        // Fails while the instance exits, which closes all connections.
        let _told = self.shared.abandoned.send(abandoned);
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
    if timeout(STOP_TIMEOUT, try_stop(&shared, &abandoned))
        .await
        .is_err()
    {
        let endpoint = shared.endpoint_name(abandoned.engine);
        log::warn!(id = abandoned.id, endpoint; "engine may work on a stream that has left it");
    }
}

async fn try_stop(shared: &Rc<Shared>, abandoned: &Abandoned) {
    let mut delay = RETRY_DELAY;
    // The stream may have come back meanwhile.
    while !shared.is_placed(abandoned.run, abandoned.engine) {
        match relocate::stop_abandoned(shared, abandoned).await {
            StopAnswer::Ended if abandoned.is_confirmed => {
                let mut state = shared.state.borrow_mut();
                return state.settle_takeover(abandoned.run, abandoned.engine);
            }
            StopAnswer::Ended | StopAnswer::Gone => return,
            StopAnswer::Busy => {}
            StopAnswer::Unknown => shared.wait_until_responsive(abandoned.engine).await,
        }
        sleep(delay).await;
        delay = delay.saturating_mul(2).min(MAX_RETRY_DELAY);
    }
}

impl Shared {
    /// Whether a stream is at an engine with a run.
    fn is_placed(&self, run: RunKey, engine: EndpointKey) -> bool {
        let placements = self.placements.borrow();
        placements.binary_search(&(run, engine)).is_ok()
    }
}
