//! An OpenAI-compatible model engine with resume, cancel and a delayed load report.

use {
    crate::{
        cache::Cache,
        decode::{Batch, EngineProfile, Progress},
        prelude::*,
    },
    std::{fmt::Write as _, io},
};

/// How long it rejects new generations after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);

/// Precedes the output length in a prompt, with which a test sets it.
const OUTPUT_LENGTH_MARKER: &str = "tokens=";

/// A prompt with this text crashes the engine.
const CRASH_MARKER: &str = "crash-engine";

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether it rejects orders with a stale fencing number.
    pub checks_fencing: bool,
    /// Delay of the load report and of cache events.
    pub lag: Duration,
    /// Names of the models that it serves, adapters included.
    pub models: Vec<String>,
    /// Capacity and timing.
    pub profile: EngineProfile,
}

/// Faults to inject at run time; absent fields leave the current value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Control {
    /// Makes it cold again, as after a restart; its generations stay.
    pub cold: Option<bool>,
    /// Whether it reports that it is leaving.
    pub leaving: Option<bool>,
    /// Stalls all streams that are open now, without closing them.
    pub mute: Option<bool>,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    generation_added: Arc<Notify>,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    batch: Batch,
    cache: Cache,
    fence: u64,
    cold_until: Instant,
    down_until: Instant,
    highest_cold: usize,
    leaving: bool,
    load_reports: VecDeque<(Instant, String)>,
    muted_at: Instant,
    settings: Settings,
    incarnation: u64,
    starts: u64,
}

impl Engine {
    /// Creates an engine that starts cold.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let unix_time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let inner = Inner {
            batch: Batch::new(settings.profile),
            cache: Cache::default(),
            fence: 0,
            cold_until: now + settings.profile.cold_duration,
            down_until: now,
            highest_cold: 0,
            leaving: false,
            load_reports: VecDeque::new(),
            muted_at: now,
            settings,
            incarnation: u64::try_from(unix_time.as_millis()).unwrap_or_default(),
            starts: 0,
        };
        Self {
            generation_added: Arc::new(Notify::new()),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Starts the decoding task and the HTTP server.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn listen(self, listen: &str) -> io::Result<Running> {
        tokio::spawn(self.clone().decode());
        let router = Router::new()
            .push(
                Router::with_path("control")
                    .get(get_stats)
                    .post(set_control),
            )
            .push(Router::with_path("cache/events").get(cache_events))
            .push(Router::with_path("load").get(get_load))
            .push(Router::with_path("orders").post(execute_order))
            .push(Router::with_path("v1/completions").post(start))
            .push(Router::with_path("v1/chat/completions").post(start))
            .push(
                Router::with_path("v1/generations/{id}")
                    .get(resume)
                    .delete(cancel),
            );
        serve(listen, self, router).await
    }

    async fn decode(self) {
        let mut due = tokio::time::Instant::now();
        loop {
            let step = {
                let mut inner = self.lock();
                let now = Instant::now();
                let cold = inner.cold_until > now;
                let step = inner.batch.step(now, cold);
                let (running, waiting) = inner.batch.counts();
                (running + waiting > 0).then_some(step)
            };
            if let Some(step) = step {
                due += step;
                tokio::time::sleep_until(due).await;
            } else {
                let _ = tokio::time::timeout(
                    Duration::from_millis(50),
                    self.generation_added.notified(),
                )
                .await;
                due = tokio::time::Instant::now();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("engine lock poisoned")
    }
}

impl Inner {
    /// Returns whether a new generation is accepted; crashes if there are too many while cold.
    fn admit(&mut self, now: Instant) -> bool {
        if self.down_until > now || self.leaving {
            return false;
        }
        self.starts += 1;
        if self.cold_until <= now {
            return true;
        }
        let (running, waiting) = self.batch.counts();
        let live = running + waiting + 1;
        self.highest_cold = self.highest_cold.max(live);
        if live <= self.settings.profile.cold_limit {
            return true;
        }
        self.crash(now);
        false
    }

    fn crash(&mut self, now: Instant) {
        self.batch.crash(now);
        self.down_until = now + CRASH_DOWNTIME;
        self.incarnation += 1;
    }

    fn load_report(&mut self, now: Instant) -> String {
        let (running, waiting) = self.batch.counts();
        let load = json!({
          "capacity_tokens": self.settings.profile.capacity,
          "leaving": self.leaving,
          "models": self.settings.models,
          "running": running,
          "started": self.incarnation,
          "used_tokens": self.batch.used_tokens(),
          "waiting": waiting,
        });
        self.load_reports.push_back((now, load.to_string()));
        let lag = self.settings.lag;
        while self.load_reports.len() > 1 && now.duration_since(self.load_reports[1].0) >= lag {
            self.load_reports.pop_front();
        }
        self.load_reports[0].1.clone()
    }
}

/// The fields of a completion request that the engine uses.
#[derive(Deserialize)]
struct Body {
    max_tokens: Option<u32>,
    model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    prompt: Value,
}

/// `POST /v1/completions` and `/v1/chat/completions`.
#[handler]
async fn start(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let id = request.header::<String>("x-request-id").unwrap_or_default();
    let chat = request.uri().path().contains("chat");
    let Ok(body) = request.parse_json_with_max_size::<Body>(1 << 22).await else {
        return write_text(
            response,
            StatusCode::BAD_REQUEST,
            "invalid completion request",
        );
    };
    let prompt = format!("{}{}", body.prompt, body.messages);
    let target = output_length(&prompt).min(body.max_tokens.unwrap_or(u32::MAX));
    {
        let mut inner = engine.lock();
        if !inner.admit(Instant::now()) {
            return write_text(
                response,
                StatusCode::SERVICE_UNAVAILABLE,
                "not accepting generations",
            );
        }
        let prompt_tokens = u32::try_from(prompt.len() / 4).unwrap_or(u32::MAX);
        // A cached prefix needs no prefill but still takes KV cache.
        let prefix_cached = inner.cache.touch(&prompt, Instant::now());
        inner.batch.enqueue(
            &id,
            &body.model,
            prompt_tokens,
            target,
            body.priority,
            prefix_cached,
        );
        if prompt.contains(CRASH_MARKER) {
            inner.crash(Instant::now());
        }
    };
    engine.generation_added.notify_one();
    stream(&engine, &id, 0, chat, response);
}

/// `GET /v1/generations/{id}?from=0`.
#[handler]
async fn resume(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let id = request.param::<String>("id").unwrap_or_default();
    let from = request.query::<u32>("from").unwrap_or_default();
    let available = engine
        .lock()
        .batch
        .get(&id)
        .is_some_and(|generation| !generation.progress.borrow().aborted);
    if !available {
        return write_text(response, StatusCode::NOT_FOUND, "generation not found");
    }
    stream(&engine, &id, from, false, response);
}

/// `DELETE /v1/generations/{id}?unattached=true`.
#[handler]
async fn cancel(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let id = request.param::<String>("id").unwrap_or_default();
    let unattached = request.query::<bool>("unattached").unwrap_or_default();
    let mut inner = engine.lock();
    let has_readers = inner
        .batch
        .get(&id)
        .is_some_and(|generation| generation.readers > 0);
    if !(unattached && has_readers) {
        inner.batch.cancel(&id, Instant::now());
    }
    drop(inner);
    write_text(response, StatusCode::NO_CONTENT, "");
}

/// `GET /cache/events?from=0`: changes of the prefix cache, with a delay and with gaps.
#[handler]
async fn cache_events(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let from = request.query::<u64>("from").unwrap_or_default();
    let inner = engine.lock();
    let events = inner.cache.events(from, inner.settings.lag, Instant::now());
    drop(inner);
    response.body(json!(events).to_string());
}

/// An order of the operator to an engine.
#[derive(Deserialize)]
struct Order {
    /// Fencing number; an order with a higher one is newer.
    fence: u64,
    /// Model to load.
    load: Option<String>,
    /// Model to unload.
    unload: Option<String>,
}

/// `POST /orders`: loads or unloads a model, unless the fencing number is stale.
#[handler]
async fn execute_order(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let Ok(order) = request.parse_json::<Order>().await else {
        return write_text(response, StatusCode::BAD_REQUEST, "invalid order");
    };
    let mut inner = engine.lock();
    if inner.settings.checks_fencing && order.fence < inner.fence {
        return write_text(response, StatusCode::CONFLICT, "stale fencing number");
    }
    inner.fence = inner.fence.max(order.fence);
    let models = &mut inner.settings.models;
    models
        .retain(|model| Some(model) != order.unload.as_ref() && Some(model) != order.load.as_ref());
    models.extend(order.load);
    drop(inner);
    response.body("{}");
}

/// `GET /load`: the delayed load report.
#[handler]
async fn get_load(depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let load = engine.lock().load_report(Instant::now());
    response.body(load);
}

/// `GET /control`: counters of the engine.
#[handler]
async fn get_stats(depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let inner = engine.lock();
    let (running, waiting) = inner.batch.counts();
    let stats = json!({
      "fell_over": inner.batch.crashes,
      "highest_cold": inner.highest_cold,
      "preemptions": inner.batch.preemptions,
      "running": running,
      "starts": inner.starts,
      "tokens": inner.batch.tokens,
      "used_tokens": inner.batch.used_tokens(),
      "waiting": waiting,
    });
    response.body(stats.to_string());
}

/// `POST /control`: injects faults.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return write_text(response, StatusCode::BAD_REQUEST, "invalid control request");
    };
    let mut inner = engine.lock();
    let now = Instant::now();
    if new.cold == Some(true) {
        inner.cold_until = now + inner.settings.profile.cold_duration;
        inner.incarnation += 1;
    }
    if let Some(leaving) = new.leaving {
        inner.leaving = leaving;
    }
    if new.mute == Some(true) {
        inner.muted_at = now;
    }
    response.body("{}");
}

/// Counts a connection as a reader of a generation until dropped.
struct ReaderGuard {
    engine: Engine,
    id: String,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        if let Some(generation) = self.engine.lock().batch.get(&self.id) {
            generation.readers -= 1;
        }
    }
}

/// State of a response stream.
struct Cursor {
    chat: bool,
    done: bool,
    model: String,
    next: u32,
    opened: Instant,
    progress: watch::Receiver<Progress>,
    reader: ReaderGuard,
    target: u32,
}

/// Responds with the stream of a generation from token `next` on.
fn stream(engine: &Engine, id: &str, next: u32, chat: bool, response: &mut Response) {
    let cursor = {
        let mut inner = engine.lock();
        let Some(generation) = inner.batch.get(id) else {
            drop(inner);
            return write_text(response, StatusCode::NOT_FOUND, "generation not found");
        };
        generation.readers += 1;
        Cursor {
            chat,
            done: false,
            model: generation.model.clone(),
            next,
            opened: Instant::now(),
            progress: generation.progress.subscribe(),
            reader: ReaderGuard {
                engine: engine.clone(),
                id: id.to_string(),
            },
            target: generation.target,
        }
    };
    response.headers_mut().insert(
        "content-type",
        salvo::http::HeaderValue::from_static("text/event-stream"),
    );
    response.stream(futures_util::stream::unfold(cursor, advance));
}

/// Waits for further tokens and renders them; `None` at the end of the stream.
async fn advance(mut cursor: Cursor) -> Option<(io::Result<Bytes>, Cursor)> {
    if cursor.done {
        return None;
    }
    loop {
        let progress = *cursor.progress.borrow_and_update();
        let muted_at = cursor.reader.engine.lock().muted_at;
        if muted_at > cursor.opened {
            std::future::pending::<()>().await;
        }
        if progress.aborted {
            cursor.done = true;
            return Some((Err(io::Error::other("generation aborted")), cursor));
        }
        if progress.produced > cursor.next {
            let chunk = render(&mut cursor, progress.produced);
            return Some((Ok(chunk), cursor));
        }
        if cursor.next >= cursor.target {
            cursor.done = true;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), cursor));
        }
        if cursor.progress.changed().await.is_err() {
            cursor.done = true;
            return Some((Err(io::Error::other("generation dropped")), cursor));
        }
    }
}

fn render(cursor: &mut Cursor, produced: u32) -> Bytes {
    let mut chunk = String::new();
    let (id, model) = (&cursor.reader.id, &cursor.model);
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let sent = unix_time.unwrap_or_default().as_micros();
    while cursor.next < produced {
        let index = cursor.next;
        let finish = if index + 1 == cursor.target {
            "\"stop\""
        } else {
            "null"
        };
        let choice = if cursor.chat {
            format!(r#"{{"index":0,"delta":{{"content":" w{index}"}},"finish_reason":{finish}}}"#)
        } else {
            format!(r#"{{"index":0,"text":" w{index}","finish_reason":{finish}}}"#)
        };
        write!(
      chunk,
      "id: {id}:{index}\ndata: {{\"id\":\"cmpl-{id}\",\"object\":\"text_completion\",\"model\":\"{model}\",\"sent_us\":{sent},\"choices\":[{choice}]}}\n\n"
    )
    .expect("writing to a String cannot fail");
        cursor.next += 1;
    }
    if cursor.next >= cursor.target {
        chunk.push_str("data: [DONE]\n\n");
        cursor.done = true;
    }
    chunk.into()
}

/// Returns the output length for a prompt, in tokens: the number after `OUTPUT_LENGTH_MARKER`,
/// or else one derived from the prompt's hash, with a long-tailed distribution.
fn output_length(prompt: &str) -> u32 {
    if let Some((_, rest)) = prompt.split_once(OUTPUT_LENGTH_MARKER) {
        let digits = rest
            .chars()
            .take_while(char::is_ascii_digit)
            .collect::<String>();
        if let Ok(length) = digits.parse::<u32>() {
            return length.max(1);
        }
    }
    let hash = blake3::hash(prompt.as_bytes());
    let draw = u32::from(hash.as_bytes()[0]) + 1;
    25_600 / (draw * 10) + 4
}
