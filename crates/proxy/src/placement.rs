//! Runs at engines that may be working on them.
//!
//! Most engines drop a run when its connection closes, and some work on. One that a stream has left is therefore told to
//! stop the run, whatever the way on which the stream has left it.

use {
    crate::{
        clock,
        prelude::*,
        relocate::{self, RunCopy, StopAnswer, StoppedCopy},
    },
    forward::placement::MAX_OVERLAP,
    tokio::sync::{mpsc, oneshot},
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

    /// Has the engine told to stop the run, whose connection has ended. Returns what it keeps of the run, unless the run has ended
    /// there.
    #[must_use]
    pub fn leave_closed(&mut self) -> Option<Kept> {
        if !self.is_open {
            return None;
        }
        let (offer, kept) = offer();
        self.leave(Some(offer));
        Some(kept)
    }

    /// Has the engine told to stop the run; what it keeps is offered to the stream, or freed.
    fn leave(&mut self, offer: Option<Offer>) {
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
            offer,
            run,
        };
        // Fails while the instance exits, which closes all connections.
        let _told = self.shared.abandoned.send(abandoned);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.leave(None);
    }
}

/// Offers a stream what an engine keeps of its run.
#[derive(Debug)]
struct Offer {
    copies: oneshot::Sender<Vec<RunCopy>>,
    /// Answered if the stream has used it, and closed if it does not need it.
    used: oneshot::Receiver<()>,
}

/// What an engine that a stream has left keeps of its run, from when it has stopped it. It is freed once this is dropped.
#[derive(Debug)]
pub struct Kept {
    arrived: Vec<RunCopy>,
    copies: Option<oneshot::Receiver<Vec<RunCopy>>>,
    used: oneshot::Sender<()>,
}

fn offer() -> (Offer, Kept) {
    let (sender, copies) = oneshot::channel();
    let (confirm, used) = oneshot::channel();
    let offer = Offer {
        copies: sender,
        used,
    };
    let kept = Kept {
        arrived: Vec::new(),
        copies: Some(copies),
        used: confirm,
    };
    (offer, kept)
}

impl Kept {
    /// Whether the engine has not answered yet.
    #[must_use]
    pub const fn is_awaited(&self) -> bool {
        self.copies.is_some()
    }

    /// Waits for the copies, the best one first; none if the engine keeps nothing. Never returns a second time.
    pub async fn arrived(&mut self) -> Vec<RunCopy> {
        let Some(copies) = &mut self.copies else {
            return std::future::pending().await;
        };
        let arrived = copies.await.unwrap_or_default();
        self.copies = None;
        self.arrived.clone_from(&arrived);
        arrived
    }

    /// Ends this after the stream has gone on from a copy. What it has used is not freed.
    pub fn settle(self, copy: Option<&RunCopy>) {
        if copy.is_some_and(|copy| self.arrived.contains(copy)) {
            // Fails if the engine was not told.
            let _told = self.used.send(());
        }
    }
}

/// A run that a stream has left at an engine which may be working on it.
#[derive(Debug)]
pub struct Abandoned {
    /// The engine.
    pub engine: EndpointKey,
    /// Id of the request.
    pub id: String,
    /// Whether the stream had its events from the engine. One that has run it without an answer might do so again.
    pub is_confirmed: bool,
    /// Offers the stream what the engine keeps, where its connection has ended.
    offer: Option<Offer>,
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
    if abandoned.offer.is_none() {
        sleep(CLOSE_DELAY).await;
    }
    let stopped = timeout(STOP_TIMEOUT, try_stop(&shared, &abandoned)).await;
    let Abandoned {
        engine,
        id,
        offer,
        run,
        ..
    } = abandoned;
    if stopped.is_err() {
        let endpoint = shared.endpoint_name(engine);
        log::warn!(id, endpoint; "engine may work on a stream that has left it");
    }
    if !shared.placements.borrow().has_stream(run, engine) {
        shared.end_placement(run, engine, &id);
    }
    let Some(copy) = stopped.ok().flatten() else {
        return;
    };
    if let Some(offer) = offer
        && offer.copies.send(copy.run_copies()).is_ok()
        && offer.used.await.is_ok()
    {
        return;
    }
    copy.release(&shared).await;
}

/// Returns what the engine keeps of the run if it has stopped it.
async fn try_stop(shared: &Rc<Shared>, abandoned: &Abandoned) -> Option<StoppedCopy> {
    let (run, engine) = (abandoned.run, abandoned.engine);
    let mut delay = RETRY_DELAY;
    // The stream may have come back meanwhile.
    while !shared.placements.borrow().has_stream(run, engine) {
        match relocate::stop_abandoned(shared, abandoned).await {
            StopAnswer::Ended(copy) => {
                if abandoned.is_confirmed {
                    shared.state.borrow_mut().settle_takeover(run, engine);
                }
                return copy;
            }
            StopAnswer::Gone => return None,
            StopAnswer::Busy => {}
            StopAnswer::Unknown => shared.wait_until_responsive(engine).await,
        }
        delay = if pause_until_overlap(shared, run, engine, delay).await {
            RETRY_DELAY
        } else {
            delay.saturating_mul(2).min(MAX_RETRY_DELAY)
        };
    }
    None
}

/// Waits for `delay`, or until another engine begins to work on the run meanwhile; returns whether one has.
async fn pause_until_overlap(
    shared: &Shared,
    run: RunKey,
    engine: EndpointKey,
    delay: Duration,
) -> bool {
    let overlaps = || shared.placements.borrow().successor(run, engine).is_some();
    if overlaps() {
        sleep(delay).await;
        return false;
    }
    let until = clock::now().after(delay);
    while !until.since(clock::now()).is_zero() {
        sleep(until.since(clock::now()).min(RETRY_DELAY)).await;
        if overlaps() {
            return true;
        }
    }
    false
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
