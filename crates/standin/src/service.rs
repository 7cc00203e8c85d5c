//! A plain service that counts what it ran.

use {crate::prelude::*, std::io};

/// Faults that can be set while it runs; absent fields stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Control {
    /// Whether a second call with the same key is answered without running it.
    pub deduplicate: Option<bool>,
    /// Time each call takes, in milliseconds.
    pub delay_ms: Option<u64>,
    /// How many of the next calls run while their answer is lost.
    pub lose: Option<u32>,
    /// Whether calls are refused before they run.
    pub refuse: Option<bool>,
}

/// One call that was run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// The idempotency key, empty if there was none.
    pub key: String,
    /// The path.
    pub path: String,
}

/// The service.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    control: Control,
    runs: Vec<Run>,
}

impl PlainService {
    /// Starts to serve it.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn listen(self, listen: &str) -> io::Result<Running> {
        let router = Router::new()
            .push(Router::with_path("control").get(runs).post(set_control))
            .push(Router::with_path("{**rest}").goal(call));
        serve(listen, self, router).await
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the service is never poisoned")
    }
}

/// Any call.
#[handler]
async fn call(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(desk) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    let key = request
        .header::<String>("idempotency-key")
        .unwrap_or_default();
    let path = request.uri().path().to_string();
    let (delay, lose, number) = {
        let mut inner = desk.lock();
        if inner.control.refuse == Some(true) {
            return text(response, StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let known = !key.is_empty() && inner.runs.iter().any(|run| run.key == key);
        if !(known && inner.control.deduplicate == Some(true)) {
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
        let broken = futures_util::stream::iter([Err::<Bytes, _>(io::Error::other("answer lost"))]);
        response.stream(broken);
        return;
    }
    response.headers_mut().insert(
        "content-type",
        salvo::http::HeaderValue::from_static("application/json"),
    );
    response.body(json!({"key": key, "run": number}).to_string());
}

/// `GET /control`: every run.
#[handler]
async fn runs(depot: &mut Depot, response: &mut Response) {
    let Ok(desk) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    response.body(json!(desk.lock().runs).to_string());
}

/// `POST /control`.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(desk) = depot.get_typed::<PlainService>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return text(response, StatusCode::BAD_REQUEST, "not a control");
    };
    let mut inner = desk.lock();
    let old = &mut inner.control;
    old.deduplicate = new.deduplicate.or(old.deduplicate);
    old.delay_ms = new.delay_ms.or(old.delay_ms);
    old.lose = new.lose.or(old.lose);
    old.refuse = new.refuse.or(old.refuse);
    response.body("{}");
}
