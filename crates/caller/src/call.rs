//! Handler for calls of plain services.

use crate::{
    generation::{credential_hash, read_body, request_timeout, write_answer},
    prelude::*,
};

/// Header with the idempotency key of an order.
const KEY_HEADER: &str = "idempotency-key";

/// Accepted format of the idempotency key.
const KEY_FORMAT: &str =
    "a UUID of version 7, whose time of birth tells how long repeats are known";

/// Any method on `/services/{service}/{**rest}`.
#[salvo::handler]
pub async fn call(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<HandlerState>().cloned() else {
        return;
    };
    if let Err(error) = handle_call(&state, request, response).await {
        Problem::from(error).write_problem(response);
    }
}

async fn handle_call(
    state: &HandlerState,
    request: &mut Request,
    response: &mut Response,
) -> Result<(), Error> {
    let credential = credential_hash(request.headers())?;
    let timeout = request_timeout(request.headers())?;
    let service = request.param::<String>("service").unwrap_or_default();
    let payload = read_payload(state, request).await?;
    let order = parse_order(&payload)?;
    let kind = RequestKind::Call {
        order,
        payload,
        service,
    };
    let mut events = state.submit(kind, credential, timeout, response).await?;
    while let Some(event) = events.recv().await {
        if let ResponseEvent::End(outcome) = event {
            write_outcome(outcome, response);
            return Ok(());
        }
    }
    // The event loop dropped the request, which may already have been sent to the service.
    Problem::from(MayHaveRun::ConnectionLost).write_problem(response);
    Ok(())
}

fn write_outcome(outcome: Outcome, response: &mut Response) {
    match outcome {
        Outcome::Answered(None) => {}
        Outcome::Answered(Some(answer)) => write_answer(answer, response),
        Outcome::MayHaveRun(reason) => Problem::from(reason).write_problem(response),
        Outcome::NotRun(refused) => Problem::from(refused).write_problem(response),
    }
}

async fn read_payload(state: &HandlerState, request: &mut Request) -> Result<Payload, Error> {
    let body = read_body(state.max_body_bytes, request).await?;
    let rest = request.param::<String>("rest").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let content_type = request
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let idempotency_key = match request.headers().get(KEY_HEADER) {
        None => None,
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_not_ascii| Error::Header(KEY_HEADER, KEY_FORMAT))?;
            Some(text.trim().trim_matches('"').to_string())
        }
    };
    Ok(Payload {
        body,
        idempotency_key,
        content_type: content_type.unwrap_or_default().to_string(),
        method: request.method().clone(),
        path: format!("/{rest}{query}"),
    })
}

fn parse_order(payload: &Payload) -> Result<Option<Order>, Error> {
    let Some(key) = &payload.idempotency_key else {
        return Ok(None);
    };
    let uuid = Uuid::parse_str(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7);
    let uuid = uuid.ok_or(Error::Header(KEY_HEADER, KEY_FORMAT))?;
    Ok(Some(Order {
        body: digest(payload),
        uuid: uuid.as_u128(),
    }))
}

/// Digest of method, path and body, to detect a key that is reused for another request.
fn digest(payload: &Payload) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(payload.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(payload.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&payload.body);
    let hash = hasher.finalize();
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk::<16>()
        .expect("a hash has 32 bytes");
    u128::from_le_bytes(*first)
}
