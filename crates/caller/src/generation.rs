//! Handlers of the OpenAI-compatible API.

use crate::{completion::CompletionBuilder, prelude::*, problem::set_header};

/// Path of the completion API.
const COMPLETIONS: &str = "/v1/completions";

/// Path of the chat API.
const CHAT: &str = "/v1/chat/completions";

/// Output token limit of a request that sets none.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 16_384;

/// Bytes of text per token, for the estimate of the prompt length.
const BYTES_PER_TOKEN: usize = 4;

/// Header with the caller's timeout, in seconds.
const TIMEOUT_HEADER: &str = "x-request-timeout";

/// `POST /v1/completions`.
#[salvo::handler]
pub async fn completions(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    handle_generation(request, depot, response, COMPLETIONS).await;
}

/// `POST /v1/chat/completions`.
#[salvo::handler]
pub async fn chat_completions(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    handle_generation(request, depot, response, CHAT).await;
}

/// `GET` of either path with `Last-Event-ID`, as sent by a reconnecting `EventSource`.
#[salvo::handler]
pub async fn resume(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    if request.headers().contains_key("last-event-id") {
        handle_generation(request, depot, response, COMPLETIONS).await;
        return;
    }
    let error = Error::Header("last-event-id", "present, to take up a stream by GET");
    Problem::from(error).write_openai(response);
}

/// Response format that the caller requested.
struct ResponseFormat {
    chat: bool,
    prompt: u32,
    stream: bool,
}

async fn handle_generation(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    path: &'static str,
) {
    let Ok(state) = depot.get_typed::<HandlerState>().cloned() else {
        return;
    };
    if let Err(error) = respond(&state, request, response, path).await {
        Problem::from(error).write_openai(response);
    }
}

async fn respond(
    state: &HandlerState,
    request: &mut Request,
    response: &mut Response,
    path: &'static str,
) -> Result<(), Error> {
    let credential = credential_hash(request.headers())?;
    let timeout = request_timeout(request.headers())?;
    let (kind, format) = match resume_handle(state, &credential, request.headers())? {
        Some(handle) => (
            RequestKind::Resume {
                endpoint: handle.endpoint,
                generation: handle.generation,
                next: handle.index + 1,
            },
            ResponseFormat {
                chat: false,
                prompt: 0,
                stream: true,
            },
        ),
        None => parse_request(&read_generation_body(state, request).await?, path)?,
    };
    let mut events = state.submit(kind, credential, timeout, response).await?;
    if format.stream {
        write_stream(state, &credential, events, response).await;
    } else {
        write_completion(&mut events, &format, response).await;
    }
    Ok(())
}

/// Sends the response head once the first token has arrived; until then a failure still gets
/// its own HTTP status.
async fn write_stream(
    state: &HandlerState,
    credential: &[u8; 32],
    mut events: Receiver<ResponseEvent>,
    response: &mut Response,
) {
    let mut prefix = String::new();
    loop {
        match events.recv().await {
            None => return Problem::from(MayHaveRun::ConnectionLost).write_openai(response),
            Some(ResponseEvent::Started(endpoint, generation)) => {
                prefix = Handle::prefix(&state.handle_secret, credential, &endpoint, generation);
            }
            Some(ResponseEvent::End(outcome)) if !matches!(outcome, Outcome::Answered(None)) => {
                return write_outcome(outcome, response);
            }
            Some(first) => {
                set_header(response, "content-type", "text/event-stream");
                set_header(response, "cache-control", "no-store");
                response.stream(EventStream::new(prefix, first, events));
                return;
            }
        }
    }
}

async fn write_completion(
    events: &mut Receiver<ResponseEvent>,
    format: &ResponseFormat,
    response: &mut Response,
) {
    let mut builder = CompletionBuilder::default();
    while let Some(event) = events.recv().await {
        match event {
            ResponseEvent::Started(..) => {}
            ResponseEvent::End(Outcome::Answered(None)) => {
                set_header(response, "content-type", "application/json");
                response.body(builder.build(format.chat, format.prompt).to_string());
                return;
            }
            ResponseEvent::End(outcome) => return write_outcome(outcome, response),
            ResponseEvent::Token(_, data) => {
                if let Err(error) = builder.push_token(&data) {
                    log::warn!(error:%; "engine sent a token that is not JSON");
                }
            }
        }
    }
    Problem::from(MayHaveRun::ConnectionLost).write_openai(response);
}

/// Writes the outcome of a request that ended before its first token.
fn write_outcome(outcome: Outcome, response: &mut Response) {
    match outcome {
        Outcome::Answered(None) => {}
        Outcome::Answered(Some(answer)) => write_answer(answer, response),
        Outcome::MayHaveRun(reason) => Problem::from(reason).write_openai(response),
        Outcome::NotRun(refused) => Problem::from(refused).write_openai(response),
    }
}

/// Forwards an endpoint's response unchanged.
pub(crate) fn write_answer(answer: Answer, response: &mut Response) {
    response.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    if !answer.media.is_empty() {
        set_header(response, "content-type", &answer.media);
    }
    response.body(answer.body);
}

fn parse_request(body: &[u8], path: &'static str) -> Result<(RequestKind, ResponseFormat), Error> {
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
    let prompt = estimate_prompt_tokens(&body, chat)?;
    let limit = parse_max_tokens(&body)?;
    let kind = RequestKind::Generation {
        body,
        limit,
        model,
        path,
        prompt,
    };
    let format = ResponseFormat {
        chat,
        prompt,
        stream,
    };
    Ok((kind, format))
}

fn estimate_prompt_tokens(body: &Map<String, Value>, chat: bool) -> Result<u32, Error> {
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

fn parse_max_tokens(body: &Map<String, Value>) -> Result<u32, Error> {
    let value = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(DEFAULT_MAX_OUTPUT_TOKENS),
        Some(value) => {
            let limit = value.as_u64().and_then(|limit| u32::try_from(limit).ok());
            limit
                .filter(|limit| *limit > 0)
                .ok_or(Error::Field("max_tokens", "a whole number above 0"))
        }
    }
}

async fn read_generation_body(state: &HandlerState, request: &mut Request) -> Result<Bytes, Error> {
    read_body(state.max_body_bytes, request).await
}

/// Reads a request body of at most `max_bytes` bytes.
pub(crate) async fn read_body(max_bytes: usize, request: &mut Request) -> Result<Bytes, Error> {
    match request.payload_with_max_size(max_bytes).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(Error::BodyTooLarge(max_bytes)),
        Err(error) => Err(Error::BodyUnread(error.to_string())),
    }
}

/// BLAKE3 hash of the caller's bearer key.
pub(crate) fn credential_hash(headers: &HeaderMap) -> Result<[u8; 32], Error> {
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

/// Timeout that the caller set, if any.
pub(crate) fn request_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<f64>().ok());
    let timeout = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    match timeout.filter(|timeout| !timeout.is_zero()) {
        Some(timeout) => Ok(Some(timeout)),
        None => Err(Error::Header(TIMEOUT_HEADER, "a number of seconds above 0")),
    }
}

fn resume_handle(
    state: &HandlerState,
    credential: &[u8; 32],
    headers: &HeaderMap,
) -> Result<Option<Handle>, Error> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    match Handle::parse(&state.handle_secret, credential, text) {
        Some(handle) => Ok(Some(handle)),
        None => Err(Error::Header(
            "last-event-id",
            "an event id that this system gave to the same key",
        )),
    }
}
