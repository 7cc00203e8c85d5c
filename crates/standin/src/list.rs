//! The platform's lagging list of live and leaving instances.

use {crate::prelude::*, std::io};

/// One row of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Unique name.
    pub name: String,
    /// `engine`, `entry` or `service`.
    pub role: String,
    /// Name of the service, for services.
    #[serde(default)]
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

impl Row {
    /// A live row; `service` counts for services only.
    #[must_use]
    pub fn live(role: &str, name: &str, address: &str, domain: &str, service: &str) -> Self {
        Self {
            address: address.to_string(),
            domain: domain.to_string(),
            name: name.to_string(),
            role: role.to_string(),
            service: service.to_string(),
            state: "live".to_string(),
        }
    }
}

/// The list, with the versions it went through.
#[derive(Clone, Debug)]
pub struct List {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    lag: Duration,
    outage: bool,
    /// Number of the version that is seen now, its tag.
    seen: u64,
    versions: VecDeque<(Instant, Vec<Row>)>,
}

/// Faults that can be set while it runs; absent fields stay as they are.
#[derive(Debug, Deserialize, Serialize)]
pub struct Control {
    /// How late a change is seen, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether everything is refused.
    pub outage: Option<bool>,
}

impl List {
    /// An empty list whose changes are seen `lag` later.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        let inner = Inner {
            lag,
            outage: false,
            seen: 0,
            versions: VecDeque::from([(Instant::now(), Vec::new())]),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Starts to serve it.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn listen(self, listen: &str) -> io::Result<Running> {
        let router = Router::new()
            .push(Router::with_path("control").post(set_control))
            .push(Router::with_path("instances").get(read).post(put))
            .push(Router::with_path("instances/{name}").delete(remove));
        serve(listen, self, router).await
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Row>)) {
        let mut inner = self.inner.lock().expect("the list is never poisoned");
        let mut rows = inner
            .versions
            .back()
            .map(|(_, rows)| rows.clone())
            .unwrap_or_default();
        change(&mut rows);
        inner.versions.push_back((Instant::now(), rows));
    }
}

/// `GET /instances`.
#[handler]
async fn read(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let mut inner = list.inner.lock().expect("the list is never poisoned");
    if inner.outage {
        return text(response, StatusCode::SERVICE_UNAVAILABLE, "outage");
    }
    let lag = inner.lag;
    while inner.versions.len() > 1 && inner.versions[1].0.elapsed() >= lag {
        inner.versions.pop_front();
        inner.seen += 1;
    }
    let tag = format!("\"{}\"", inner.seen);
    if request.header::<String>("if-none-match").as_ref() == Some(&tag) {
        return text(response, StatusCode::NOT_MODIFIED, "");
    }
    if let Ok(tag) = tag.parse() {
        response.headers_mut().insert("etag", tag);
    }
    response.body(json!(inner.versions[0].1).to_string());
}

/// `POST /instances`: adds or replaces a row.
#[handler]
async fn put(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let Ok(row) = request.parse_json::<Row>().await else {
        return text(response, StatusCode::BAD_REQUEST, "not a row");
    };
    list.change(|rows| {
        rows.retain(|old| old.name != row.name);
        rows.push(row);
    });
    response.body("{}");
}

/// `DELETE /instances/{name}`.
#[handler]
async fn remove(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let name = request.param::<String>("name").unwrap_or_default();
    list.change(|rows| rows.retain(|row| row.name != name));
    response.body("{}");
}

/// `POST /control`.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return text(response, StatusCode::BAD_REQUEST, "not a control");
    };
    let mut inner = list.inner.lock().expect("the list is never poisoned");
    if let Some(lag) = new.lag_ms {
        inner.lag = Duration::from_millis(lag);
    }
    if let Some(outage) = new.outage {
        inner.outage = outage;
    }
    response.body("{}");
}
