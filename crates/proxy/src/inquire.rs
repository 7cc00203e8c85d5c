//! Asking engines whether they leave, while the store does not say so.

use {
    crate::{clock, prelude::*},
    platform::engine,
    tokio::task::spawn_local,
};

/// How often it is looked which engines are to be asked.
const LOOK: Duration = Duration::from_millis(100);

/// How long an answer is waited for; it needs no place at the engine.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Answers list an engine's runs, some 60 bytes each.
const MOST_ANSWER: usize = 1 << 18;

/// Asks for ever.
pub async fn run(shared: Rc<Shared>) {
    loop {
        sleep(LOOK).await;
        let due = shared.state.borrow_mut().inquiries(clock::now());
        for key in due {
            spawn_local(ask(Rc::clone(&shared), key));
        }
    }
}

async fn ask(shared: Rc<Shared>, key: EndpointKey) {
    let Some((address, endpoint)) = shared.target(key) else {
        return;
    };
    let asked = timeout(ANSWER_WAIT, answer(&shared, address));
    let answered = asked
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_string()));
    let age = shared.state.borrow().list_freshness.age(clock::now());
    let list_age_ms = age.unwrap_or(Duration::MAX).as_millis();
    match answered {
        Ok(false) => {}
        Ok(true) => {
            log::info!(endpoint, list_age_ms; "engine says that it leaves");
            if let Some(endpoint) = shared.state.borrow_mut().endpoint_mut(key) {
                endpoint.leaves(clock::now());
            }
        }
        Err(why) => {
            log::info!(endpoint, list_age_ms, why; "engine did not say whether it leaves");
            shared.state.borrow_mut().unanswered(clock::now(), key);
        }
    }
}

async fn answer(shared: &Shared, address: SocketAddr) -> Result<bool, String> {
    let request = engine::report_request(address).map_err(|error| error.to_string())?;
    let answer = shared.client.send(&address.to_string(), request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let status = answer.status();
    let body = answer.read_body(MOST_ANSWER).await;
    let body = body.map_err(|error| error.to_string())?;
    engine::is_leaving(status, &body).map_err(|error| error.to_string())
}
