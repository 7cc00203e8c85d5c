//! Calls of plain services.

use crate::{
    generation::{body, credential, wait, write},
    prelude::*,
};

/// Header that names an order.
const KEY: &str = "idempotency-key";

/// What is allowed as an order key.
const KEY_ALLOWED: &str =
    "a UUID of version 7, whose time of birth tells how long repeats are known";

/// Any method on `/services/{service}/{**rest}`.
#[salvo::handler]
pub async fn call(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(gate) = depot.get_typed::<HandlerState>().cloned() else {
        return;
    };
    if let Err(error) = answer(&gate, request, response).await {
        Problem::from(error).write_problem(response);
    }
}

async fn answer(
    gate: &HandlerState,
    request: &mut Request,
    response: &mut Response,
) -> Result<(), Error> {
    let credential = credential(request.headers())?;
    let wait = wait(request.headers())?;
    let service = request.param::<String>("service").unwrap_or_default();
    let payload = payload(gate, request).await?;
    let order = order(&payload)?;
    let ask = RequestKind::Call {
        order,
        payload,
        service,
    };
    let mut pieces = gate.submit(ask, credential, wait, response).await?;
    while let Some(piece) = pieces.recv().await {
        if let ResponseEvent::End(outcome) = piece {
            finish(outcome, response);
            return Ok(());
        }
    }
    // The loop let go of the request; it may have been sent before.
    Problem::from(MayHaveRun::ConnectionLost).write_problem(response);
    Ok(())
}

fn finish(outcome: Outcome, response: &mut Response) {
    match outcome {
        Outcome::Answered(None) => {}
        Outcome::Answered(Some(answer)) => write(answer, response),
        Outcome::MayHaveRun(why) => Problem::from(why).write_problem(response),
        Outcome::NotRun(refused) => Problem::from(refused).write_problem(response),
    }
}

async fn payload(gate: &HandlerState, request: &mut Request) -> Result<Payload, Error> {
    let body = body(gate.max_body_bytes, request).await?;
    let rest = request.param::<String>("rest").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let media = request
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let key = match request.headers().get(KEY) {
        None => None,
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_invisible| Error::Header(KEY, KEY_ALLOWED))?;
            Some(text.trim().trim_matches('"').to_string())
        }
    };
    Ok(Payload {
        body,
        idempotency_key: key,
        content_type: media.unwrap_or_default().to_string(),
        method: request.method().clone(),
        path: format!("/{rest}{query}"),
    })
}

fn order(payload: &Payload) -> Result<Option<Order>, Error> {
    let Some(key) = &payload.idempotency_key else {
        return Ok(None);
    };
    let uuid = Uuid::parse_str(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7);
    let uuid = uuid.ok_or(Error::Header(KEY, KEY_ALLOWED))?;
    Ok(Some(Order {
        body: digest(payload),
        uuid: uuid.as_u128(),
    }))
}

/// Digest of everything that makes two orders the same.
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
