//! Probes: whether engines are leaving, while the endpoint list may be stale, whether endpoints can be
//! reached, and whether those whose connections broke live on.

use {
    crate::{clock, gossip::statements, path, prelude::*},
    endpoint::client::Reply,
    forward::{condition::Conditions, state::Answer},
    http_body_util::Full,
    platform::{condition, engine},
    tokio::task::spawn_local,
};

/// How often to check for due probes.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long to wait for a response, which does not depend on room at the engine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long to wait for the answer of an engine that may be paused.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Size limit of a response, which lists the engine's runs.
const MAX_ANSWER_BYTES: usize = 1 << 18;

/// Sends probes; never returns.
pub async fn run(shared: Rc<Shared>) {
    loop {
        sleep(PROBE_POLL_INTERVAL).await;
        let due = shared.state.borrow_mut().due_probes(clock::now());
        for key in due {
            spawn_local(probe_engine(Rc::clone(&shared), key));
        }
        let due = shared.state.borrow_mut().due_path_checks(clock::now());
        for key in due {
            spawn_local(check_path(Rc::clone(&shared), key));
        }
        let due = shared.state.borrow_mut().due_loss_checks(clock::now());
        for key in due {
            spawn_local(check_loss(Rc::clone(&shared), key));
        }
    }
}

/// Checks whether the engine of a silent run lives on.
pub async fn check_liveness(shared: Rc<Shared>, key: EndpointKey) {
    let Some((_, request)) = check_request(&shared, key) else {
        shared.end_check(key);
        return;
    };
    let asked = async {
        let reply = path::call(&shared, key, request).await?;
        reply.read_body(MAX_ANSWER_BYTES).await
    };
    let answered = timeout(LIVENESS_TIMEOUT, asked).await;
    shared.end_check(key);
    match answered {
        Ok(Ok(_)) => shared.record_heard(key),
        Ok(Err(error)) => log_unanswered(&shared, key, &error.to_string()),
        Err(_) => log_unanswered(&shared, key, "no response within the time limit"),
    }
}

fn log_unanswered(shared: &Shared, key: EndpointKey, why: &str) {
    if let Some((_, endpoint)) = shared.endpoint_address(key) {
        log::info!(endpoint, why; "silent engine does not answer");
    }
}

async fn probe_engine(shared: Rc<Shared>, key: EndpointKey) {
    let Some((address, endpoint)) = shared.endpoint_address(key) else {
        return;
    };
    let incarnation = shared.incarnation_of(key);
    let asked = timeout(ANSWER_TIMEOUT, answer(&shared, key, address));
    let answered = asked
        .await
        .unwrap_or_else(|_| Err("no response within the time limit".to_string()));
    let age = shared.state.borrow().list_freshness.age(clock::now());
    let list_age_ms = age.unwrap_or(Duration::MAX).as_millis();
    match answered {
        Ok(false) => {}
        Ok(true) => {
            log::info!(endpoint, list_age_ms; "probe: engine is leaving");
            let now = clock::now();
            let is_new = shared.state.borrow_mut().record_leaving(now, incarnation);
            if is_new {
                statements::announce_leaving(&shared, incarnation);
            }
        }
        Err(why) => {
            log::info!(endpoint, list_age_ms, why; "probe of engine failed");
            shared
                .state
                .borrow_mut()
                .record_unanswered_probe(clock::now(), key);
        }
    }
}

/// Checks whether an endpoint answers on a new direct connection; any answer will do.
async fn check_path(shared: Rc<Shared>, key: EndpointKey) {
    let Some((address, request)) = check_request(&shared, key) else {
        return;
    };
    let sent = (clock::now(), shared.incarnation_of(key));
    let asked = shared.client.send_alone(&address, request);
    match timeout(ANSWER_TIMEOUT, asked).await {
        Ok(Ok(reply)) => {
            record_rejection(&shared, key, &reply, sent);
            path::record_reached(&shared, key);
        }
        Ok(Err(error)) => path::record_unreached(&shared, key, path::is_timeout(&error)),
        Err(_) => path::record_unreached(&shared, key, true),
    }
}

/// Checks whether an endpoint whose connections broke lives on, directly or through a peer.
async fn check_loss(shared: Rc<Shared>, key: EndpointKey) {
    for route in [path::Route::Direct, path::Route::Peer] {
        let Some((_, request)) = check_request(&shared, key) else {
            return;
        };
        let sent = (clock::now(), shared.incarnation_of(key));
        let asked = async {
            let reply = path::call_by(&shared, key, request, route).await.ok()?;
            record_rejection(&shared, key, &reply, sent);
            reply.read_body(MAX_ANSWER_BYTES).await.ok()
        };
        if let Ok(Some(body)) = timeout(ANSWER_TIMEOUT, asked).await {
            let started_at = engine::started_at(&body);
            shared.record_alive(key, started_at);
            return;
        }
    }
}

/// Records the cooldown that an endpoint asks for as it rejects a check. `sent` is when that was sent, and to which
/// incarnation. Nothing else in the answer shows which start of the endpoint it is of.
fn record_rejection(shared: &Shared, key: EndpointKey, reply: &Reply, sent: (Time, u32)) {
    let cooldown = condition::read(reply.status(), reply.headers()).cooldown;
    if cooldown.is_none() {
        return;
    }
    let (sent_at, incarnation) = sent;
    let answer = Answer {
        conditions: Conditions {
            cooldown,
            ..Conditions::default()
        },
        incarnation,
        rejected: true,
        sent_at,
    };
    let mut state = shared.state.borrow_mut();
    state.record_statement(clock::now(), key, &answer);
}

/// Address of an endpoint, and a request that it answers without working on it for long. A plain service takes the
/// request for one like any other, and gets none in its cooldown.
fn check_request(shared: &Shared, key: EndpointKey) -> Option<(String, Request<Full<Bytes>>)> {
    let state = shared.state.borrow();
    let listing = &state.endpoint(key)?.listing;
    let request = match state.service(&listing.service) {
        Some(service) if service.engine.is_none() => {
            if state.cooldown_left(clock::now(), key).is_some() {
                return None;
            }
            engine::health_request(listing.address, &service.health_path)
        }
        Some(_) | None => engine::report_request(listing.address),
    };
    let request = request
        .inspect_err(|error| log::warn!(error:%; "cannot build the check of an endpoint"))
        .ok()?;
    Some((listing.address.to_string(), request))
}

async fn answer(shared: &Shared, key: EndpointKey, address: SocketAddr) -> Result<bool, String> {
    let request = engine::report_request(address).map_err(|error| error.to_string())?;
    let answer = path::call(shared, key, request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let status = answer.status();
    let body = answer.read_body(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    let is_leaving = engine::is_leaving(status, &body).map_err(|error| error.to_string())?;
    let state = shared.state.borrow();
    let listed = state
        .endpoint(key)
        .and_then(|endpoint| endpoint.listing.started_at);
    let reported = engine::started_at(&body);
    let is_other_start = listed.is_some() && reported.is_some() && listed != reported;
    Ok(is_leaving && !is_other_start)
}
