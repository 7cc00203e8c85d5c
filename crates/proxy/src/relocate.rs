//! Moving the KV cache of runs between engines.

use {
    crate::{clock, gossip, path, placement::Abandoned, prelude::*},
    platform::engine::{self, MoveResult},
};

/// How long a copy is awaited after the engine of a run is lost, where there is a backup copy. 4,000 tokens take
/// 0.44 s between failure domains, and several copies may be queued on a link.
pub const MOVE_TIMEOUT: Duration = Duration::from_millis(1800);

/// Attempts to stop a run that another engine may have taken over, while a move of the run is
/// in progress. With [`STOP_RETRY_DELAY`] they take less time than two engines may run it
/// concurrently.
const MAX_STOP_TRIES: u32 = 3;
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time from which on a refused move may show that the engine which has the run could not reach the other one: whether
/// there is room is known at once. The other one is asked whether it lives on, since the way to the first may have been
/// slow as well, and runs that are moved later to a silent engine would lose the same time of their notice.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Size limit of an engine's response to a move.
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// A copy of a run and the engine that can continue it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunCopy {
    /// Engine that knows the copy by its handle.
    pub address: SocketAddr,
    /// Handle of the copy.
    pub handle: String,
    /// Engine that can continue the run.
    pub key: EndpointKey,
}

/// Result of a move.
#[derive(Clone, Debug)]
pub enum MoveOutcome {
    /// The run stays where it is, for this reason; the move may be retried.
    Deferred(String),
    /// No other engine has room; the move may be retried as soon as one has.
    NoRoom,
    /// The copy is complete; the run continues where it is until it is taken over.
    Ready(RunCopy),
}

/// Result of a request to stop a run.
#[derive(Clone, Debug)]
pub enum StopOutcome {
    /// A move of the run is in progress, or no other engine has room for it.
    Busy,
    /// The engine does not have the run.
    NoRun,
    /// The engine has refused; the run goes on there.
    Refused,
    /// The run has stopped and can be resumed there.
    Stopped(RunCopy),
    /// The engine could not be reached, for this reason, and was not asked.
    NotAsked(String),
    /// The connection failed, for this reason; the run may have stopped.
    Unknown(String),
}

/// Copies a run to another engine while it continues.
///
/// The other engine recomputes the few tokens generated since the copy, so the run need not
/// be stopped for a final copy, which might queue on the link until after the engine has left.
pub async fn move_run(shared: &Rc<Shared>, run: RunKey, id: &str) -> MoveOutcome {
    let mut tried = Vec::new();
    loop {
        gossip::report::refresh(shared).await;
        let Some(ends) = pick_ends(shared, run, &tried) else {
            return MoveOutcome::NoRoom;
        };
        if let Some(run) = shared.state.borrow_mut().run_mut(run) {
            run.target = Some(ends.target_key);
        }
        let started_at = clock::now();
        let result = call(shared, &ends, id, false).await;
        let result = result.map_err(|failure| failure.why);
        let took = clock::now().since(started_at);
        log::info!(
            id, endpoint = shared.endpoint_name(ends.source_key),
            target = shared.endpoint_name(ends.target_key), ms = took.as_millis(), result:?; "copied"
        );
        return match result {
            Ok(MoveResult::Copied { handle, .. }) => MoveOutcome::Ready(RunCopy {
                address: ends.source,
                handle,
                key: ends.target_key,
            }),
            Ok(MoveResult::Refused(_)) => {
                if took >= REFUSAL_TIMEOUT && shared.keeps_move_room() {
                    check_target(shared, ends.target_key);
                }
                tried.push(ends.target_key);
                continue;
            }
            Ok(MoveResult::NoRun) => {
                MoveOutcome::Deferred("engine does not have the run".to_string())
            }
            Ok(MoveResult::Busy) => MoveOutcome::Deferred("a move is in progress".to_string()),
            Err(why) => MoveOutcome::Deferred(why),
        };
    }
}

/// Stops a run and moves it to another engine with room. If `duplicate` names an engine that may
/// also be running it, that engine is not chosen unless there is no other; the run then resumes at
/// its own engine.
///
/// Waits for as long as the engine takes: it stops the run first, and answers once the copy is
/// complete.
pub async fn stop(
    shared: &Rc<Shared>,
    run: RunKey,
    id: &str,
    duplicate: Option<EndpointKey>,
) -> StopOutcome {
    let tries = if duplicate.is_some() {
        MAX_STOP_TRIES
    } else {
        1
    };
    for _ in 1..tries {
        match try_stop(shared, run, id, duplicate).await {
            StopOutcome::Busy => sleep(STOP_RETRY_DELAY).await,
            settled => return settled,
        }
    }
    try_stop(shared, run, id, duplicate).await
}

async fn try_stop(
    shared: &Rc<Shared>,
    run: RunKey,
    id: &str,
    duplicate: Option<EndpointKey>,
) -> StopOutcome {
    gossip::report::refresh(shared).await;
    let moved = pick_ends(shared, run, duplicate.as_slice());
    let stays = moved.is_none();
    let Some(ends) = moved.or_else(|| ends_at(shared, run, duplicate?)) else {
        return StopOutcome::Busy;
    };
    let asked_at = clock::now();
    let result = call(shared, &ends, id, true).await;
    log_stop(shared, &ends, id, clock::now().since(asked_at), &result);
    match result {
        Ok(MoveResult::Busy) => StopOutcome::Busy,
        Ok(MoveResult::Copied { handle, .. }) => StopOutcome::Stopped(RunCopy {
            address: ends.source,
            handle,
            key: if stays {
                ends.source_key
            } else {
                ends.target_key
            },
        }),
        Ok(MoveResult::NoRun) => StopOutcome::NoRun,
        Ok(MoveResult::Refused(Some(handle))) => StopOutcome::Stopped(RunCopy {
            address: ends.source,
            handle,
            key: ends.source_key,
        }),
        Ok(MoveResult::Refused(None)) => StopOutcome::Refused,
        Err(failure) if failure.is_unsent => StopOutcome::NotAsked(failure.why),
        Err(failure) => StopOutcome::Unknown(failure.why),
    }
}

/// What an engine is known to do with a run that a stream has left there.
#[derive(Debug)]
pub enum StopAnswer {
    /// It cannot stop it yet.
    Busy,
    /// It does not work on it, and keeps this.
    Ended(Option<StoppedCopy>),
    /// There is no such engine any more, or none that can stop runs.
    Gone,
    /// It has not answered.
    Unknown,
}

/// What an engine keeps of a run that it has stopped.
#[derive(Debug)]
pub struct StoppedCopy {
    ends: MoveEnds,
    handle: String,
    /// Whether the target has a copy as well.
    is_copied: bool,
}

impl StoppedCopy {
    /// The copies from which the run can continue, the best one first.
    #[must_use]
    pub fn run_copies(&self) -> Vec<RunCopy> {
        let target = self.is_copied.then_some(self.ends.target_key);
        let keys = target.into_iter().chain([self.ends.source_key]);
        let copies = keys.map(|key| RunCopy {
            address: self.ends.source,
            handle: self.handle.clone(),
            key,
        });
        copies.collect()
    }

    /// Frees the copy, which would take a slot and memory of two engines.
    pub async fn release(&self, shared: &Shared) {
        let request = engine::release_request(self.ends.source, &self.handle);
        let released = match request {
            Ok(request) => path::call(shared, self.ends.source_key, request).await,
            Err(error) => Err(error.into()),
        };
        if let Err(error) = released {
            log::info!(handle = self.handle, error:%; "copy not released");
        }
    }
}

/// Asks an engine to stop a run that a stream has left there.
pub async fn stop_abandoned(shared: &Shared, abandoned: &Abandoned) -> StopAnswer {
    let (engine, id) = (abandoned.engine, &abandoned.id);
    let target = pick_stop_target(shared, abandoned.run, engine);
    let Some(ends) = target.and_then(|target| ends_between(shared, engine, target)) else {
        return StopAnswer::Gone;
    };
    let asked_at = clock::now();
    let result = call(shared, &ends, id, true).await;
    log_stop(shared, &ends, id, clock::now().since(asked_at), &result);
    let (handle, is_copied) = match result {
        Ok(MoveResult::NoRun) => return StopAnswer::Ended(None),
        Ok(MoveResult::Copied { handle, .. }) => (handle, true),
        Ok(MoveResult::Refused(Some(handle))) => (handle, false),
        Ok(MoveResult::Busy | MoveResult::Refused(None)) => return StopAnswer::Busy,
        Err(failure) if failure.is_refused => return StopAnswer::Gone,
        Err(_) => return StopAnswer::Unknown,
    };
    StopAnswer::Ended(Some(StoppedCopy {
        ends,
        handle,
        is_copied,
    }))
}

fn log_stop(
    shared: &Shared,
    ends: &MoveEnds,
    id: &str,
    took: Duration,
    result: &Result<MoveResult, CallFailure>,
) {
    log::info!(
        id, endpoint = shared.endpoint_name(ends.source_key),
        target = shared.endpoint_name(ends.target_key), ms = took.as_millis(), result:?;
        "stop requested from engine"
    );
    shared.metrics.record_stop(match result {
        Ok(MoveResult::Busy) => "busy",
        Ok(MoveResult::Copied { .. }) => "copied",
        Ok(MoveResult::NoRun) => "no_run",
        Ok(MoveResult::Refused(Some(_))) => "stopped",
        Ok(MoveResult::Refused(None)) => "refused",
        Err(_) => "unanswered",
    });
}

/// Why a call for a move got no answer.
#[derive(Debug)]
struct CallFailure {
    /// Whether the engine accepts no connections, since it has ended.
    is_refused: bool,
    /// Whether the engine has received nothing of it.
    is_unsent: bool,
    why: String,
}

/// Source and target of a move.
#[derive(Debug)]
struct MoveEnds {
    source: SocketAddr,
    source_key: EndpointKey,
    target: SocketAddr,
    target_key: EndpointKey,
}

/// Asks a target whether it lives on, once for all runs that it has refused late.
fn check_target(shared: &Rc<Shared>, key: EndpointKey) {
    let may_check = shared.state.borrow().may_check(clock::now(), key);
    if may_check {
        shared.check_liveness(key);
    }
}

/// Where an engine that a stream has left is told to copy the run: to one with room while the stream is at no other engine.
fn pick_stop_target(shared: &Shared, run: RunKey, engine: EndpointKey) -> Option<EndpointKey> {
    let mut state = shared.state.borrow_mut();
    let target = state.stop_target(run, engine)?;
    if state.run(run).is_none_or(|run| run.endpoint != engine) {
        return Some(target);
    }
    state.pick_target(clock::now(), run, &[]).or(Some(target))
}

/// The engine that has the run, and another one with room.
fn pick_ends(shared: &Shared, run: RunKey, tried: &[EndpointKey]) -> Option<MoveEnds> {
    let target = {
        let mut state = shared.state.borrow_mut();
        state.pick_target(clock::now(), run, tried)?
    };
    ends_at(shared, run, target)
}

/// The engine that has the run, and the given target.
fn ends_at(shared: &Shared, run: RunKey, target_key: EndpointKey) -> Option<MoveEnds> {
    let source_key = shared.state.borrow().run(run)?.endpoint;
    ends_between(shared, source_key, target_key)
}

fn ends_between(
    shared: &Shared,
    source_key: EndpointKey,
    target_key: EndpointKey,
) -> Option<MoveEnds> {
    Some(MoveEnds {
        source: shared.endpoint_address(source_key)?.0,
        source_key,
        target: shared.endpoint_address(target_key)?.0,
        target_key,
    })
}

async fn call(
    shared: &Shared,
    ends: &MoveEnds,
    id: &str,
    stop: bool,
) -> Result<MoveResult, CallFailure> {
    let failure = |is_unsent, why: String| CallFailure {
        is_refused: false,
        is_unsent,
        why,
    };
    let (source, target) = (ends.source, ends.target);
    let request = engine::move_request(source, id, target, stop);
    let request = request.map_err(|error| failure(true, error.to_string()))?;
    let answer = path::call(shared, ends.source_key, request).await;
    let answer = answer.map_err(|error| CallFailure {
        is_refused: error.is_refused(),
        is_unsent: error.unwritten(),
        why: error.to_string(),
    })?;
    let status = answer.status();
    let body = answer.read_body(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| failure(false, error.to_string()))?;
    engine::move_result(status, &body).map_err(|error| failure(false, error.to_string()))
}
