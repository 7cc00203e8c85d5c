//! Moving the KV memory of runs between engines.

use {
    crate::{clock, gossip, prelude::*},
    platform::engine::{self, MoveResult},
};

/// Longest time for a copy: 4,000 tokens take 0.44 s between failure domains, and
/// several may be queued on a link.
pub const MOVE_WAIT: Duration = Duration::from_millis(1800);

/// How long an engine may take to stop a run and copy it. One that is dead is found out
/// sooner, since the question goes on a connection of its own.
const STOP_WAIT: Duration = Duration::from_millis(1200);

/// Answers to moves are a few dozen bytes.
const MOST_ANSWER: usize = 1 << 16;

/// Where a run can go on.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Engine at which the copy is named.
    pub address: SocketAddr,
    /// Name of the copy.
    pub handle: String,
    /// Engine to go on at.
    pub key: EndpointKey,
}

/// What came of a move.
#[derive(Clone, Debug)]
pub enum Moved {
    /// The run goes on where it is; the move may be tried again.
    NotYet(String),
    /// Its copy is complete; the run goes on where it is until it is taken over.
    Ready(Takeover),
}

/// What came of stopping a run that is silent.
#[derive(Clone, Debug)]
pub enum Stop {
    /// A move of the run is under way.
    Busy,
    /// The engine does not have the run.
    Gone,
    /// The run has stopped and can go on there.
    Stopped(Takeover),
    /// The engine does not answer.
    Unreachable,
}

/// Copies a run to another engine while it goes on.
///
/// The other engine can go on from the copy and reads the few tokens anew that were made
/// meanwhile, so the run need not be stopped for a last copy. A last copy waits behind
/// others on the link, and an engine that leaves is often gone before it is through.
pub async fn relocate(shared: &Rc<Shared>, run: RunKey, id: &str) -> Moved {
    let mut tried = Vec::new();
    loop {
        gossip::tell::refresh(shared).await;
        let Some(ends) = ends(shared, run, &tried) else {
            return Moved::NotYet("no engine with room".to_string());
        };
        if let Some(run) = shared.state.borrow_mut().run_mut(run) {
            run.target = Some(ends.target_key);
        }
        let began = clock::now();
        let result = call(shared, &ends, id, false, MOVE_WAIT).await;
        log::info!(id, ms = clock::now().since(began).as_millis(), result:?; "copied");
        return match result {
            Ok(MoveResult::Copied { handle, .. }) => Moved::Ready(Takeover {
                address: ends.source,
                handle,
                key: ends.target_key,
            }),
            Ok(MoveResult::Refused(_)) => {
                tried.push(ends.target_key);
                continue;
            }
            Ok(MoveResult::NoRun) => Moved::NotYet("engine does not have the run".to_string()),
            Ok(MoveResult::Busy) => Moved::NotYet("a move is under way".to_string()),
            Err(why) => Moved::NotYet(why),
        };
    }
}

/// Stops a run that is silent and moves it to another engine with room. If there is none and
/// `beside` names an engine that may be at work on the run too, the run is stopped all the
/// same, with that one for its target, and goes on at its own engine.
pub async fn stop(shared: &Rc<Shared>, run: RunKey, id: &str, beside: Option<EndpointKey>) -> Stop {
    gossip::tell::refresh(shared).await;
    let moved = ends(shared, run, beside.as_slice());
    let stays = moved.is_none();
    let Some(ends) = moved.or_else(|| ends_at(shared, run, beside?)) else {
        return Stop::Busy;
    };
    let result = call(shared, &ends, id, true, STOP_WAIT).await;
    log::info!(id, result:?; "asked a silent engine");
    match result {
        Ok(MoveResult::Busy) => Stop::Busy,
        Ok(MoveResult::Copied { handle, .. }) => Stop::Stopped(Takeover {
            address: ends.source,
            handle,
            key: if stays {
                ends.source_key
            } else {
                ends.target_key
            },
        }),
        Ok(MoveResult::Refused(Some(handle))) => Stop::Stopped(Takeover {
            address: ends.source,
            handle,
            key: ends.source_key,
        }),
        Ok(MoveResult::NoRun | MoveResult::Refused(None)) => Stop::Gone,
        Err(_) => Stop::Unreachable,
    }
}

/// Both ends of a move.
struct Ends {
    source: SocketAddr,
    source_key: EndpointKey,
    target: SocketAddr,
    target_key: EndpointKey,
}

/// The engine that has the run, and another one with room.
fn ends(shared: &Shared, run: RunKey, tried: &[EndpointKey]) -> Option<Ends> {
    let target = {
        let mut state = shared.state.borrow_mut();
        state.pick_target(clock::now(), run, tried)?
    };
    ends_at(shared, run, target)
}

/// The engine that has the run, and another one.
fn ends_at(shared: &Shared, run: RunKey, target_key: EndpointKey) -> Option<Ends> {
    let source_key = shared.state.borrow().run(run)?.endpoint;
    Some(Ends {
        source: shared.target(source_key)?.0,
        source_key,
        target: shared.target(target_key)?.0,
        target_key,
    })
}

async fn call(
    shared: &Shared,
    ends: &Ends,
    id: &str,
    stop: bool,
    wait: Duration,
) -> Result<MoveResult, String> {
    let (source, target) = (ends.source, ends.target);
    let request =
        engine::move_request(source, id, target, stop).map_err(|error| error.to_string())?;
    let asked = async {
        let address = source.to_string();
        let answer = if stop {
            shared.client.send_new(&address, request).await
        } else {
            shared.client.send(&address, request).await
        };
        let answer = answer.map_err(|error| error.to_string())?;
        let status = answer.status();
        let body = answer.read_body(MOST_ANSWER).await;
        let body = body.map_err(|error| error.to_string())?;
        engine::move_result(status, &body).map_err(|error| error.to_string())
    };
    timeout(wait, asked)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_string()))
}
