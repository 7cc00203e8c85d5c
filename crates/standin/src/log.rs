//! An append-only log with offsets, retention, a rate limit and simulated outages.

use {
    crate::prelude::*,
    base64::{Engine as _, prelude::BASE64_STANDARD},
    std::io,
};

/// Maximum number of records that one read returns.
const MAX_RECORDS_PER_READ: usize = 2000;

/// Maximum duration of a long poll, in milliseconds.
const MAX_LONG_POLL_MS: u64 = 10_000;

/// Faults to inject at run time; absent fields leave the current value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Control {
    /// Delay of the response to an append, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Fraction (0 to 1) of appends that are stored but answered with an error.
    pub lose_answers: Option<f64>,
    /// Whether appends and reads are rejected.
    pub outage: Option<bool>,
    /// Maximum number of appends per second over all streams.
    pub rate: Option<u32>,
    /// Age at which records are dropped, in milliseconds.
    pub retention_ms: Option<u64>,
}

/// The log.
#[derive(Clone, Debug)]
pub struct Log {
    record_added: Arc<Notify>,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    tokens: f64,
    appends: u64,
    control: Control,
    refilled_at: Instant,
    refused: u64,
    rng: StdRng,
    streams: Vec<(String, Stream)>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<(u64, Bytes)>,
}

impl Log {
    /// Creates an empty log; `seed` determines which responses are lost.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let control = Control {
            delay_ms: Some(0),
            lose_answers: Some(0.0),
            outage: Some(false),
            rate: Some(300),
            retention_ms: Some(86_400_000),
        };
        let inner = Inner {
            tokens: 300.0,
            appends: 0,
            control,
            refilled_at: Instant::now(),
            refused: 0,
            rng: StdRng::seed_from_u64(seed),
            streams: Vec::new(),
        };
        Self {
            record_added: Arc::new(Notify::new()),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn listen(self, listen: &str) -> io::Result<Running> {
        let router = Router::new()
            .push(
                Router::with_path("control")
                    .get(get_stats)
                    .post(set_control),
            )
            .push(
                Router::with_path("streams/{name}/records")
                    .get(read)
                    .post(append),
            );
        serve(listen, self, router).await
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("log lock poisoned")
    }
}

impl Inner {
    fn admit(&mut self) -> bool {
        let rate = f64::from(self.control.rate.unwrap_or(300));
        let elapsed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.appends += 1;
        true
    }

    fn append(&mut self, name: &str, data: Bytes) -> u64 {
        let stream = self.stream(name);
        stream.records.push_back((now(), data));
        stream.first + stream.records.len() as u64 - 1
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = match self
            .streams
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
        {
            Ok(index) => index,
            Err(index) => {
                self.streams
                    .insert(index, (name.to_string(), Stream::default()));
                index
            }
        };
        &mut self.streams[index].1
    }

    fn trim(&mut self, name: &str) {
        let oldest = now().saturating_sub(self.control.retention_ms.unwrap_or(u64::MAX));
        let stream = self.stream(name);
        while stream.records.front().is_some_and(|(at, _)| *at < oldest) {
            stream.records.pop_front();
            stream.first += 1;
        }
    }
}

/// `POST /streams/{name}/records`: appends a record.
#[handler]
async fn append(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(log) = depot.get_typed::<Log>().cloned() else {
        return;
    };
    let name = request.param::<String>("name").unwrap_or_default();
    let Ok(data) = request.payload_with_max_size(1 << 20).await.cloned() else {
        return write_text(
            response,
            StatusCode::BAD_REQUEST,
            "unreadable or oversized body",
        );
    };
    let (offset, lost, delay) = {
        let mut inner = log.lock();
        if inner.control.outage == Some(true) {
            return write_text(
                response,
                StatusCode::SERVICE_UNAVAILABLE,
                "simulated outage",
            );
        }
        if !inner.admit() {
            return write_text(
                response,
                StatusCode::TOO_MANY_REQUESTS,
                "rate limit exceeded",
            );
        }
        let lose = inner.control.lose_answers.unwrap_or_default();
        let lost = inner.rng.random_bool(lose);
        (
            inner.append(&name, data),
            lost,
            inner.control.delay_ms.unwrap_or_default(),
        )
    };
    log.record_added.notify_waiters();
    tokio::time::sleep(Duration::from_millis(delay)).await;
    if lost {
        return write_text(
            response,
            StatusCode::GATEWAY_TIMEOUT,
            "simulated loss of the response",
        );
    }
    response.body(json!({ "offset": offset }).to_string());
}

/// `GET /streams/{name}/records?from=0&wait_ms=500`: reads records with a long poll.
#[handler]
async fn read(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(log) = depot.get_typed::<Log>().cloned() else {
        return;
    };
    let name = request.param::<String>("name").unwrap_or_default();
    let from = request.query::<u64>("from").unwrap_or_default();
    let poll_timeout_ms = request
        .query::<u64>("wait_ms")
        .unwrap_or_default()
        .min(MAX_LONG_POLL_MS);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(poll_timeout_ms);
    loop {
        let added = log.record_added.notified();
        if log.lock().control.outage == Some(true) {
            return write_text(
                response,
                StatusCode::SERVICE_UNAVAILABLE,
                "simulated outage",
            );
        }
        if let Some(body) = render_records(&log, &name, from, false) {
            response.body(body);
            return;
        }
        if tokio::time::timeout_at(deadline, added).await.is_err() {
            response.body(render_records(&log, &name, from, true).unwrap_or_default());
            return;
        }
    }
}

/// Renders the records from offset `from` on; `None` if there are none and `allow_empty` is false.
fn render_records(log: &Log, name: &str, from: u64, allow_empty: bool) -> Option<String> {
    let mut inner = log.lock();
    inner.trim(name);
    let stream = inner.stream(name);
    let next = stream.first + stream.records.len() as u64;
    let start = from.max(stream.first);
    if start >= next && !allow_empty && from >= stream.first {
        return None;
    }
    let skip = usize::try_from(start - stream.first).unwrap_or(usize::MAX);
    let records = stream
        .records
        .iter()
        .skip(skip)
        .take(MAX_RECORDS_PER_READ)
        .zip(start..);
    let records = records
    .map(|((at, data), offset)| json!({"at": at, "data": BASE64_STANDARD.encode(data), "offset": offset}))
    .collect::<Vec<_>>();
    let body = json!({"first": stream.first, "next": next, "now": now(), "records": records});
    Some(body.to_string())
}

/// `POST /control`: injects faults.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(log) = depot.get_typed::<Log>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return write_text(response, StatusCode::BAD_REQUEST, "invalid control request");
    };
    let mut inner = log.lock();
    let old = &mut inner.control;
    old.delay_ms = new.delay_ms.or(old.delay_ms);
    old.lose_answers = new.lose_answers.or(old.lose_answers);
    old.outage = new.outage.or(old.outage);
    old.rate = new.rate.or(old.rate);
    old.retention_ms = new.retention_ms.or(old.retention_ms);
    drop(inner);
    log.record_added.notify_waiters();
    response.body("{}");
}

/// `GET /control`: numbers of accepted and rejected appends.
#[handler]
async fn get_stats(depot: &mut Depot, response: &mut Response) {
    let Ok(log) = depot.get_typed::<Log>().cloned() else {
        return;
    };
    let inner = log.lock();
    response.body(json!({"appends": inner.appends, "refused": inner.refused}).to_string());
}

/// Milliseconds since the Unix epoch.
fn now() -> u64 {
    let unix_time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX)
}
