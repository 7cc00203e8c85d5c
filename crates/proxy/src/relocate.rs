//! Moving the KV memory of runs between engines.

use {
    crate::{clock, prelude::*},
    platform::engine::{self, Move},
};

/// Longest time for a copy: 4,000 tokens take 0.44 s between failure domains, and
/// several may be queued on a link.
pub const MOVE_WAIT: Duration = Duration::from_millis(1800);

/// How long an engine may take to say whether it has a run.
const STOP_WAIT: Duration = Duration::from_millis(350);

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
    /// The run has stopped, and its copy is complete.
    Ready(Takeover),
    /// The run has stopped, without a copy elsewhere; it can go on where it was.
    Stopped(Takeover),
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

/// Copies a run to another engine while it goes on, then stops it with a short last copy.
pub async fn relocate(shared: Rc<Shared>, run: RunKey, id: String) -> Moved {
    let mut tried = Vec::new();
    loop {
        let Some((source, source_key, target, target_key)) = ends(&shared, run, &tried) else {
            return Moved::NotYet("no engine with room".to_string());
        };
        if let Some(run) = shared.state.borrow_mut().run_mut(run) {
            run.target = Some(target_key);
        }
        let began = clock::now();
        match call(&shared, source, &id, target, false, MOVE_WAIT).await {
            Ok(Move::Copied { .. }) => {}
            Ok(Move::Refused(_)) => {
                tried.push(target_key);
                continue;
            }
            Ok(Move::NoRun) => return Moved::NotYet("engine does not have the run".to_string()),
            Ok(Move::Busy) => return Moved::NotYet("a move is under way".to_string()),
            Err(why) => return Moved::NotYet(why),
        }
        let copied = clock::now();
        let last = call(&shared, source, &id, target, true, MOVE_WAIT).await;
        log::info!(
            id, copy_ms = copied.since(began).as_millis(),
            last_ms = clock::now().since(copied).as_millis(); "moved"
        );
        return match last {
            Ok(Move::Copied { handle, .. }) => Moved::Ready(Takeover {
                address: source,
                handle,
                key: target_key,
            }),
            Ok(Move::Refused(Some(handle))) => Moved::Stopped(Takeover {
                address: source,
                handle,
                key: source_key,
            }),
            Ok(other) => Moved::NotYet(format!("last copy: {other:?}")),
            Err(why) => Moved::NotYet(why),
        };
    }
}

/// Stops a run that is silent and moves it to another engine.
pub async fn stop(shared: &Rc<Shared>, run: RunKey, id: &str) -> Stop {
    let Some((source, source_key, target, target_key)) = ends(shared, run, &[]) else {
        return Stop::Busy;
    };
    match call(shared, source, id, target, true, STOP_WAIT).await {
        Ok(Move::Busy) => Stop::Busy,
        Ok(Move::Copied { handle, .. }) => Stop::Stopped(Takeover {
            address: source,
            handle,
            key: target_key,
        }),
        Ok(Move::Refused(Some(handle))) => Stop::Stopped(Takeover {
            address: source,
            handle,
            key: source_key,
        }),
        Ok(Move::NoRun | Move::Refused(None)) => Stop::Gone,
        Err(why) => {
            log::info!(id, why; "engine does not answer");
            Stop::Unreachable
        }
    }
}

/// Both ends of a move: address and key of the engine that has the run, and of another one.
fn ends(
    shared: &Shared,
    run: RunKey,
    tried: &[EndpointKey],
) -> Option<(SocketAddr, EndpointKey, SocketAddr, EndpointKey)> {
    let (source_key, target_key) = {
        let state = shared.state.borrow();
        let target = state.pick_target(clock::now(), run, tried)?;
        (state.run(run)?.endpoint, target)
    };
    let source = shared.target(source_key)?.0;
    let target = shared.target(target_key)?.0;
    Some((source, source_key, target, target_key))
}

async fn call(
    shared: &Shared,
    source: SocketAddr,
    id: &str,
    target: SocketAddr,
    stop: bool,
    wait: Duration,
) -> Result<Move, String> {
    let request =
        engine::move_run(source, id, target, stop).map_err(|error| error.to_string())?;
    let asked = async {
        let address = source.to_string();
        let answer = shared.client.send(&address, request).await;
        let answer = answer.map_err(|error| error.to_string())?;
        let status = answer.status();
        let body = answer.whole(MOST_ANSWER).await;
        let body = body.map_err(|error| error.to_string())?;
        engine::moved(status, &body).map_err(|error| error.to_string())
    };
    timeout(wait, asked)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_string()))
}
