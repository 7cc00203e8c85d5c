//! A model engine in the OpenAI shape, with resume, cancel and a late load report.

use {
    crate::{
        cache::Cache,
        decode::{Batch, EngineProfile, Progress},
        prelude::*,
    },
    std::{fmt::Write as _, io},
};

/// How long it refuses everything after it was overrun while cold.
const DOWN: Duration = Duration::from_secs(2);

/// Marks the output length in a prompt, so that a test can choose it.
const LENGTH: &str = "tokens=";

/// What an engine is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// How late the load report is.
    pub lag: Duration,
    /// Models that it serves, adapters included.
    pub models: Vec<String>,
    /// Sizes and times.
    pub profile: EngineProfile,
}

/// Faults that can be set while it runs; absent fields stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Control {
    /// Makes it cold again.
    pub cold: Option<bool>,
    /// Makes it say that it is leaving.
    pub leaving: Option<bool>,
    /// Makes every connection that is open now silent for good.
    pub mute: Option<bool>,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    added: Arc<Notify>,
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
    loads: VecDeque<(Instant, String)>,
    muted: Instant,
    settings: Settings,
    started: u64,
    starts: u64,
}

impl Engine {
    /// An engine that has just started.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let since = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let inner = Inner {
            batch: Batch::new(settings.profile),
            cache: Cache::default(),
            fence: 0,
            cold_until: now + settings.profile.cold_for,
            down_until: now,
            highest_cold: 0,
            leaving: false,
            loads: VecDeque::new(),
            muted: now,
            settings,
            started: u64::try_from(since.as_millis()).unwrap_or_default(),
            starts: 0,
        };
        Self {
            added: Arc::new(Notify::new()),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Starts to decode and to serve.
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
            .push(Router::with_path("orders").post(take_order))
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
                let _ =
                    tokio::time::timeout(Duration::from_millis(50), self.added.notified()).await;
                due = tokio::time::Instant::now();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the engine is never poisoned")
    }
}

impl Inner {
    /// Whether a new generation is taken; overrun while cold, it falls over.
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
        self.batch.fall_over(now);
        self.down_until = now + DOWN;
        false
    }

    fn load(&mut self, now: Instant) -> String {
        let (running, waiting) = self.batch.counts();
        let load = json!({
          "capacity_tokens": self.settings.profile.capacity,
          "leaving": self.leaving,
          "models": self.settings.models,
          "running": running,
          "started": self.started,
          "used_tokens": self.batch.used(),
          "waiting": waiting,
        });
        self.loads.push_back((now, load.to_string()));
        let lag = self.settings.lag;
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
        self.loads[0].1.clone()
    }
}

/// A body as far as the engine reads it.
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
        return text(
            response,
            StatusCode::BAD_REQUEST,
            "not a completion request",
        );
    };
    let prompt = format!("{}{}", body.prompt, body.messages);
    let target = length(&prompt).min(body.max_tokens.unwrap_or(u32::MAX));
    {
        let mut inner = engine.lock();
        if !inner.admit(Instant::now()) {
            return text(response, StatusCode::SERVICE_UNAVAILABLE, "not taken");
        }
        let length = u32::try_from(prompt.len() / 4).unwrap_or(u32::MAX);
        // A known prefix costs no computing; its memory is counted all the same.
        let known = inner.cache.touch(&prompt, Instant::now());
        inner
            .batch
            .add(&id, &body.model, length, target, body.priority, known);
    };
    engine.added.notify_one();
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
    let known = engine
        .lock()
        .batch
        .get(&id)
        .is_some_and(|kept| !kept.progress.borrow().broken);
    if !known {
        return text(response, StatusCode::NOT_FOUND, "not kept");
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
    let read = inner
        .batch
        .get(&id)
        .is_some_and(|generation| generation.readers > 0);
    if !(unattached && read) {
        inner.batch.cancel(&id, Instant::now());
    }
    drop(inner);
    text(response, StatusCode::NO_CONTENT, "");
}

/// `GET /cache/events?from=0`: changes of the prefix cache, late and with gaps.
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

/// An order of an operator's system to an engine.
#[derive(Deserialize)]
struct Order {
    /// Fencing number; a higher one is newer.
    fence: u64,
    /// A model to load.
    load: Option<String>,
    /// A model to let go.
    unload: Option<String>,
}

/// `POST /orders`: loads or lets go a model, unless the fencing number is old.
#[handler]
async fn take_order(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let Ok(order) = request.parse_json::<Order>().await else {
        return text(response, StatusCode::BAD_REQUEST, "not an order");
    };
    let mut inner = engine.lock();
    if inner.settings.checks_fencing && order.fence < inner.fence {
        return text(response, StatusCode::CONFLICT, "old fencing number");
    }
    inner.fence = inner.fence.max(order.fence);
    let models = &mut inner.settings.models;
    models
        .retain(|model| Some(model) != order.unload.as_ref() && Some(model) != order.load.as_ref());
    models.extend(order.load);
    drop(inner);
    response.body("{}");
}

/// `GET /load`.
#[handler]
async fn get_load(depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let load = engine.lock().load(Instant::now());
    response.body(load);
}

/// `GET /control`: what it went through.
#[handler]
async fn get_stats(depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let inner = engine.lock();
    let (running, waiting) = inner.batch.counts();
    let stats = json!({
      "fell_over": inner.batch.fell_over,
      "highest_cold": inner.highest_cold,
      "preemptions": inner.batch.preemptions,
      "running": running,
      "starts": inner.starts,
      "tokens": inner.batch.tokens,
      "used_tokens": inner.batch.used(),
      "waiting": waiting,
    });
    response.body(stats.to_string());
}

/// `POST /control`.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(engine) = depot.get_typed::<Engine>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return text(response, StatusCode::BAD_REQUEST, "not a control");
    };
    let mut inner = engine.lock();
    let now = Instant::now();
    if new.cold == Some(true) {
        inner.cold_until = now + inner.settings.profile.cold_for;
        inner.started += 1;
    }
    if let Some(leaving) = new.leaving {
        inner.leaving = leaving;
    }
    if new.mute == Some(true) {
        inner.muted = now;
    }
    response.body("{}");
}

/// Counts a connection that reads a generation, for as long as it is open.
struct Reader {
    engine: Engine,
    id: String,
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(generation) = self.engine.lock().batch.get(&self.id) {
            generation.readers -= 1;
        }
    }
}

/// Where a stream stands.
struct Cursor {
    chat: bool,
    done: bool,
    model: String,
    next: u32,
    opened: Instant,
    progress: watch::Receiver<Progress>,
    reader: Reader,
    target: u32,
}

/// Streams a generation from token `next` on.
fn stream(engine: &Engine, id: &str, next: u32, chat: bool, response: &mut Response) {
    let cursor = {
        let mut inner = engine.lock();
        let Some(generation) = inner.batch.get(id) else {
            drop(inner);
            return text(response, StatusCode::NOT_FOUND, "not kept");
        };
        generation.readers += 1;
        Cursor {
            chat,
            done: false,
            model: generation.model.clone(),
            next,
            opened: Instant::now(),
            progress: generation.progress.subscribe(),
            reader: Reader {
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

/// Waits for the next tokens and renders them.
async fn advance(mut cursor: Cursor) -> Option<(io::Result<Bytes>, Cursor)> {
    if cursor.done {
        return None;
    }
    loop {
        let progress = *cursor.progress.borrow_and_update();
        let muted = cursor.reader.engine.lock().muted;
        if muted > cursor.opened {
            std::future::pending::<()>().await;
        }
        if progress.broken {
            cursor.done = true;
            return Some((Err(io::Error::other("generation ended early")), cursor));
        }
        if progress.produced > cursor.next {
            let part = render(&mut cursor, progress.produced);
            return Some((Ok(part), cursor));
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
    let mut part = String::new();
    let (id, model) = (&cursor.reader.id, &cursor.model);
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let sent = since.unwrap_or_default().as_micros();
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
      part,
      "id: {id}:{index}\ndata: {{\"id\":\"cmpl-{id}\",\"object\":\"text_completion\",\"model\":\"{model}\",\"sent_us\":{sent},\"choices\":[{choice}]}}\n\n"
    )
    .expect("writing to a String cannot fail");
        cursor.next += 1;
    }
    if cursor.next >= cursor.target {
        part.push_str("data: [DONE]\n\n");
        cursor.done = true;
    }
    part.into()
}

/// Output length of a prompt: marked in it, or drawn from its hash with a long tail.
fn length(prompt: &str) -> u32 {
    if let Some((_, rest)) = prompt.split_once(LENGTH) {
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
