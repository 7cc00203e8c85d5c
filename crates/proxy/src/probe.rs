//! Probes that ask engines whether they are leaving, while the endpoint list may be stale.

use {
    crate::{clock, prelude::*},
    platform::engine,
    tokio::task::spawn_local,
};

/// How often to check for due probes.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long to wait for a response, which does not depend on room at the engine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

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
    }
}

async fn probe_engine(shared: Rc<Shared>, key: EndpointKey) {
    let Some((address, endpoint)) = shared.endpoint_address(key) else {
        return;
    };
    let asked = timeout(ANSWER_TIMEOUT, answer(&shared, address));
    let answered = asked
        .await
        .unwrap_or_else(|_| Err("no response within the time limit".to_string()));
    let age = shared.state.borrow().list_freshness.age(clock::now());
    let list_age_ms = age.unwrap_or(Duration::MAX).as_millis();
    match answered {
        Ok(false) => {}
        Ok(true) => {
            log::info!(endpoint, list_age_ms; "probe: engine is leaving");
            if let Some(endpoint) = shared.state.borrow_mut().endpoint_mut(key) {
                endpoint.mark_leaving(clock::now());
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

async fn answer(shared: &Shared, address: SocketAddr) -> Result<bool, String> {
    let request = engine::report_request(address).map_err(|error| error.to_string())?;
    let answer = shared.client.send(&address.to_string(), request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let status = answer.status();
    let body = answer.read_body(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    engine::is_leaving(status, &body).map_err(|error| error.to_string())
}
