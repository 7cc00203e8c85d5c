//! Generations in the OpenAI shape.

use crate::{collect::Collect, prelude::*, problem::set};

/// Path of the completion API.
const COMPLETIONS: &str = "/v1/completions";

/// Path of the chat API.
const CHAT: &str = "/v1/chat/completions";

/// Output tokens assumed as the limit where the caller names none.
const LIMIT_DEFAULT: u32 = 16_384;

/// Bytes of text taken for one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Header with the caller's own deadline, in seconds.
const TIMEOUT: &str = "x-request-timeout";

/// `POST /v1/completions`.
#[salvo::handler]
pub async fn completions(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    answer(request, depot, response, COMPLETIONS).await;
}

/// `POST /v1/chat/completions`.
#[salvo::handler]
pub async fn chat_completions(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    answer(request, depot, response, CHAT).await;
}

/// `GET` of either path with `Last-Event-ID`, as an event source reconnects.
#[salvo::handler]
pub async fn resume(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    if request.headers().contains_key("last-event-id") {
        answer(request, depot, response, COMPLETIONS).await;
        return;
    }
    let error = Error::Header("last-event-id", "present, to take up a stream by GET");
    Problem::from(error).write_openai(response);
}

/// How an answer is to be given.
struct Form {
    chat: bool,
    prompt: u32,
    stream: bool,
}

async fn answer(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    path: &'static str,
) {
    let Ok(gate) = depot.get_typed::<HandlerState>().cloned() else {
        return;
    };
    if let Err(error) = begin(&gate, request, response, path).await {
        Problem::from(error).write_openai(response);
    }
}

async fn begin(
    gate: &HandlerState,
    request: &mut Request,
    response: &mut Response,
    path: &'static str,
) -> Result<(), Error> {
    let credential = credential(request.headers())?;
    let wait = wait(request.headers())?;
    let (ask, form) = match last_event(gate, &credential, request.headers())? {
        Some(handle) => (
            RequestKind::Resume {
                endpoint: handle.endpoint,
                generation: handle.generation,
                next: handle.index + 1,
            },
            Form {
                chat: false,
                prompt: 0,
                stream: true,
            },
        ),
        None => ask(&read(gate, request).await?, path)?,
    };
    let mut pieces = gate.submit(ask, credential, wait, response).await?;
    if form.stream {
        stream(gate, &credential, pieces, response).await;
    } else {
        whole(&mut pieces, &form, response).await;
    }
    Ok(())
}

/// Streams the answer once its first token is there; until then it may be refused.
async fn stream(
    gate: &HandlerState,
    credential: &[u8; 32],
    mut pieces: Receiver<ResponseEvent>,
    response: &mut Response,
) {
    let mut prefix = String::new();
    loop {
        match pieces.recv().await {
            None => return Problem::from(MayHaveRun::ConnectionLost).write_openai(response),
            Some(ResponseEvent::Started(endpoint, generation)) => {
                prefix = Handle::prefix(&gate.handle_secret, credential, &endpoint, generation);
            }
            Some(ResponseEvent::End(outcome)) if !matches!(outcome, Outcome::Answered(None)) => {
                return finish(outcome, response);
            }
            Some(first) => {
                set(response, "content-type", "text/event-stream");
                set(response, "cache-control", "no-store");
                response.stream(Events::new(prefix, first, pieces));
                return;
            }
        }
    }
}

async fn whole(pieces: &mut Receiver<ResponseEvent>, form: &Form, response: &mut Response) {
    let mut collect = Collect::default();
    while let Some(piece) = pieces.recv().await {
        match piece {
            ResponseEvent::Started(..) => {}
            ResponseEvent::End(Outcome::Answered(None)) => {
                set(response, "content-type", "application/json");
                response.body(collect.answer(form.chat, form.prompt).to_string());
                return;
            }
            ResponseEvent::End(outcome) => return finish(outcome, response),
            ResponseEvent::Token(_, data) => {
                if let Err(error) = collect.take(&data) {
                    log::warn!(error:%; "engine sent a token that is not JSON");
                }
            }
        }
    }
    Problem::from(MayHaveRun::ConnectionLost).write_openai(response);
}

/// Writes an end that came instead of tokens.
fn finish(outcome: Outcome, response: &mut Response) {
    match outcome {
        Outcome::Answered(None) => {}
        Outcome::Answered(Some(answer)) => write(answer, response),
        Outcome::MayHaveRun(why) => Problem::from(why).write_openai(response),
        Outcome::NotRun(refused) => Problem::from(refused).write_openai(response),
    }
}

/// Writes an endpoint's answer as it is.
pub(crate) fn write(answer: Answer, response: &mut Response) {
    response.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    if !answer.media.is_empty() {
        set(response, "content-type", &answer.media);
    }
    response.body(answer.body);
}

fn ask(body: &[u8], path: &'static str) -> Result<(RequestKind, Form), Error> {
    let body = serde_json::from_slice::<Map<String, Value>>(body)
        .map_err(|error| Error::Json(error.to_string()))?;
    let model = match body.get("model") {
        Some(Value::String(model)) => model.clone(),
        _ => return Err(Error::Field("model", "the name of a model, as text")),
    };
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(Error::Field("stream", "true or false")),
    };
    let chat = path == CHAT;
    let prompt = prompt(&body, chat)?;
    let limit = limit(&body)?;
    let ask = RequestKind::Generation {
        body,
        limit,
        model,
        path,
        prompt,
    };
    let form = Form {
        chat,
        prompt,
        stream,
    };
    Ok((ask, form))
}

fn prompt(body: &Map<String, Value>, chat: bool) -> Result<u32, Error> {
    let bytes = if chat {
        match body.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => {
                Value::to_string(&json!(messages)).len()
            }
            _ => return Err(Error::Field("messages", "a list with at least one message")),
        }
    } else {
        match body.get("prompt") {
            Some(Value::String(prompt)) => prompt.len(),
            Some(Value::Array(prompt)) => prompt.len() * BYTES_PER_TOKEN,
            _ => return Err(Error::Field("prompt", "a text or a list of tokens")),
        }
    };
    Ok(u32::try_from(bytes / BYTES_PER_TOKEN)
        .unwrap_or(u32::MAX)
        .max(1))
}

fn limit(body: &Map<String, Value>) -> Result<u32, Error> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(LIMIT_DEFAULT),
        Some(value) => {
            let limit = value.as_u64().and_then(|limit| u32::try_from(limit).ok());
            limit
                .filter(|limit| *limit > 0)
                .ok_or(Error::Field("max_tokens", "a whole number above 0"))
        }
    }
}

async fn read(gate: &HandlerState, request: &mut Request) -> Result<Bytes, Error> {
    body(gate.max_body_bytes, request).await
}

/// Reads a request body of at most `most` bytes.
pub(crate) async fn body(most: usize, request: &mut Request) -> Result<Bytes, Error> {
    match request.payload_with_max_size(most).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(Error::BodyTooLarge(most)),
        Err(error) => Err(Error::BodyUnread(error.to_string())),
    }
}

/// Hash of the bearer key.
pub(crate) fn credential(headers: &HeaderMap) -> Result<[u8; 32], Error> {
    let header = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = header.and_then(|header| header.strip_prefix("Bearer "));
    let key = key
        .map(str::trim)
        .filter(|key| !key.is_empty())
        .ok_or(Error::Unauthorized)?;
    Ok(blake3::hash(key.as_bytes()).into())
}

/// The caller's own deadline.
pub(crate) fn wait(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<f64>().ok());
    let wait = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match wait.filter(|wait| !wait.is_zero()) {
        Some(wait) => Ok(Some(wait)),
        None => Err(Error::Header(TIMEOUT, "a number of seconds above 0")),
    }
}

fn last_event(
    gate: &HandlerState,
    credential: &[u8; 32],
    headers: &HeaderMap,
) -> Result<Option<Handle>, Error> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match Handle::parse(&gate.handle_secret, credential, text) {
        Some(handle) => Ok(Some(handle)),
        None => Err(Error::Header(
            "last-event-id",
            "an event id that this system gave to the same key",
        )),
    }
}
