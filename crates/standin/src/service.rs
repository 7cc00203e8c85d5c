//! A plain service that records the calls it runs.

use {crate::prelude::*, std::io};

/// Faults to inject at run time; absent fields leave the current value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Control {
    /// Whether a repeated call with the same key is answered without running it again.
    pub deduplicate: Option<bool>,
    /// Duration of each call, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of further calls that run but whose response is cut off.
    pub lose: Option<u32>,
    /// Whether calls are rejected before they run.
    pub refuse: Option<bool>,
    /// `Retry-After` of rejections.
    pub retry_after: Option<String>,
}

/// A call that was run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// The idempotency key; empty if there was none.
    pub key: String,
    /// The request path.
    pub path: String,
}

/// A plain HTTP service.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    control: Control,
    /// Number of calls that were rejected.
    refused: u32,
    runs: Vec<Run>,
}

impl PlainService {
    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn listen(self, listen: &str) -> io::Result<Running> {
        let router = Router::new()
            .push(Router::with_path("control").get(runs).post(set_control))
            .push(Router::with_path("refused").get(refused))
            .push(Router::with_path("{**rest}").goal(call));
        serve(listen, self, router).await
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("service lock poisoned")
    }
}

/// Handles a call on any path and method.
#[handler]
async fn call(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(service) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    let key = request
        .header::<String>("idempotency-key")
        .unwrap_or_default();
    let path = request.uri().path().to_string();
    let (delay, lose, run_number) = {
        let mut inner = service.lock();
        if inner.control.refuse == Some(true) {
            inner.refused += 1;
            let retry_after = inner.control.retry_after.as_ref();
            if let Some(value) = retry_after.and_then(|value| value.parse().ok()) {
                response.headers_mut().insert("retry-after", value);
            }
            return write_text(response, StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let duplicate = !key.is_empty() && inner.runs.iter().any(|run| run.key == key);
        if !(duplicate && inner.control.deduplicate == Some(true)) {
            inner.runs.push(Run {
                key: key.clone(),
                path,
            });
        }
        let lose = inner.control.lose.unwrap_or_default();
        inner.control.lose = Some(lose.saturating_sub(1));
        (
            inner.control.delay_ms.unwrap_or_default(),
            lose > 0,
            inner.runs.len(),
        )
    };
    tokio::time::sleep(Duration::from_millis(delay)).await;
    if lose {
        let aborted_body = futures_util::stream::iter([Err::<Bytes, _>(io::Error::other(
            "simulated loss of the response",
        ))]);
        response.stream(aborted_body);
        return;
    }
    response.headers_mut().insert(
        "content-type",
        salvo::http::HeaderValue::from_static("application/json"),
    );
    response.body(json!({"key": key, "run": run_number}).to_string());
}

/// `GET /control`: all calls that were run.
#[handler]
async fn runs(depot: &mut Depot, response: &mut Response) {
    let Ok(service) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    response.body(json!(service.lock().runs).to_string());
}

/// `GET /refused`: the number of calls that were rejected.
#[handler]
async fn refused(depot: &mut Depot, response: &mut Response) {
    let Ok(service) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    response.body(json!(service.lock().refused).to_string());
}

/// `POST /control`: injects faults.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(service) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return write_text(response, StatusCode::BAD_REQUEST, "invalid control request");
    };
    let mut inner = service.lock();
    let old = &mut inner.control;
    old.deduplicate = new.deduplicate.or(old.deduplicate);
    old.delay_ms = new.delay_ms.or(old.delay_ms);
    old.lose = new.lose.or(old.lose);
    old.refuse = new.refuse.or(old.refuse);
    old.retry_after = new.retry_after.or_else(|| old.retry_after.take());
    response.body("{}");
}
