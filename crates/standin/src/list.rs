//! The platform's list of live and leaving instances, which shows changes with a delay.

use {crate::prelude::*, std::io};

/// An instance in the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Unique instance name.
    pub name: String,
    /// `engine`, `entry` or `service`.
    pub role: String,
    /// Name of the service; empty for other roles.
    #[serde(default)]
    pub service: String,
    /// `live` or `leaving`.
    pub state: String,
}

impl Row {
    /// Creates the row of a live instance; `service` is the empty string for other roles.
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

/// The instance list with its versions that are not yet visible.
#[derive(Clone, Debug)]
pub struct List {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    lag: Duration,
    outage: bool,
    /// Number of the visible version, sent as its `ETag`.
    visible_version: u64,
    versions: VecDeque<(Instant, Vec<Row>)>,
}

/// Faults to inject at run time; absent fields leave the current value.
#[derive(Debug, Deserialize, Serialize)]
pub struct Control {
    /// Delay until a change is visible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether reads are rejected.
    pub outage: Option<bool>,
}

impl List {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        let inner = Inner {
            lag,
            outage: false,
            visible_version: 0,
            versions: VecDeque::from([(Instant::now(), Vec::new())]),
        };
        Self {
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
            .push(Router::with_path("control").post(set_control))
            .push(Router::with_path("instances").get(read).post(put))
            .push(Router::with_path("instances/{name}").delete(remove));
        serve(listen, self, router).await
    }

    fn update(&self, update: impl FnOnce(&mut Vec<Row>)) {
        let mut inner = self.inner.lock().expect("list lock poisoned");
        let mut rows = inner
            .versions
            .back()
            .map(|(_, rows)| rows.clone())
            .unwrap_or_default();
        update(&mut rows);
        inner.versions.push_back((Instant::now(), rows));
    }
}

/// `GET /instances`: the visible version.
#[handler]
async fn read(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let mut inner = list.inner.lock().expect("list lock poisoned");
    if inner.outage {
        return write_text(
            response,
            StatusCode::SERVICE_UNAVAILABLE,
            "simulated outage",
        );
    }
    let lag = inner.lag;
    while inner.versions.len() > 1 && inner.versions[1].0.elapsed() >= lag {
        inner.versions.pop_front();
        inner.visible_version += 1;
    }
    let tag = format!("\"{}\"", inner.visible_version);
    if request.header::<String>("if-none-match").as_ref() == Some(&tag) {
        return write_text(response, StatusCode::NOT_MODIFIED, "");
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
        return write_text(response, StatusCode::BAD_REQUEST, "invalid row");
    };
    list.update(|rows| {
        rows.retain(|old| old.name != row.name);
        rows.push(row);
    });
    response.body("{}");
}

/// `DELETE /instances/{name}`: removes a row.
#[handler]
async fn remove(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let name = request.param::<String>("name").unwrap_or_default();
    list.update(|rows| rows.retain(|row| row.name != name));
    response.body("{}");
}

/// `POST /control`: injects faults.
#[handler]
async fn set_control(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(list) = depot.get_typed::<List>().cloned() else {
        return;
    };
    let Ok(new) = request.parse_json::<Control>().await else {
        return write_text(response, StatusCode::BAD_REQUEST, "invalid control request");
    };
    let mut inner = list.inner.lock().expect("list lock poisoned");
    if let Some(lag) = new.lag_ms {
        inner.lag = Duration::from_millis(lag);
    }
    if let Some(outage) = new.outage {
        inner.outage = outage;
    }
    response.body("{}");
}
