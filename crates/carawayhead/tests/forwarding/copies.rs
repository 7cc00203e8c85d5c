//! Copies of refusals that come late, on connections that carry the same request again.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        PlainService, Store,
        caller::{CallerRequest, CallerResponse, config, send_request},
        fault::Fault,
        service::ServiceBehavior,
    },
    tokio::{net::TcpSocket, task::JoinHandle},
};

/// Time limit of the routes. Orders wait for an endpoint for half of it.
const TIMEOUT_MS: u32 = 16_000;

/// Shows that the connection with the copy was open.
const PASSED_OVER: &str = "idle connections have carried the request before";

const DRAFT: &str = "/draft/7";
const ORDER: &str = "/order/7";

/// What refuses a request, and how it comes back to the same address, within the time of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// The server started again under a new id; its old and its new entry are listed.
    BothListed,
    /// The server started again under a new id, whose entry comes while the request waits.
    ListedLate,
    /// The server rejects the request as not executed, then has a new id, whose entry comes while the request waits for an
    /// endpoint that cannot be reached.
    RejectedBefore,
}

/// What changes between a refused request and one with the same id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    /// Nothing.
    Nothing,
    /// The entry goes and returns.
    Relisted,
    /// The server has a new id.
    Renamed,
    /// The server has a new id and belongs to another service, with a route of its own.
    TakenOver,
    /// The same, and the route of the refused request moves to that service.
    RouteMoved,
}

/// An instance before a server that copies its refusals.
struct Deployment {
    instance: Instance,
    server: PlainService,
    store: Store,
}

impl Deployment {
    /// The server has the id `d1`, and is listed for this service.
    async fn start(service: &str) -> Self {
        let store = Store::start().await;
        store.write_operator_record("config", &config(1, &["key-1"], TIMEOUT_MS));
        let server = PlainService::start("d1").await;
        server.faults().set(1.0, &[Fault::LateRefusalCopy], 1);
        store.write_endpoint_entry("d1", &server.entry(service, "a", "ready"));
        let instance = Instance::start("e1", "a", &store).await;
        Self {
            instance,
            server,
            store,
        }
    }

    /// Sends the request `r1`.
    fn send(&self, path: &'static str) -> JoinHandle<Option<CallerResponse>> {
        let address = self.instance.caller_address;
        tokio::spawn(async move { send_request(address, &CallerRequest::new("r1", path)).await })
    }

    async fn wait_for_log(&self, event: &str, detail: &str) {
        wait_until(event, || async {
            let lines = self.instance.log_lines_containing(event);
            lines.iter().any(|line| line.contains(detail))
        })
        .await;
    }

    /// Lists the server as `d2`, in another failure domain, so that `d1` is chosen first.
    fn list_again(&self, service: &str) {
        let entry = self.server.entry(service, "b", "ready");
        self.store.write_endpoint_entry("d2", &entry);
    }

    async fn change(&self, change: Change) {
        let service = match change {
            Change::Nothing => return,
            Change::Relisted | Change::Renamed => "desk",
            Change::TakenOver | Change::RouteMoved => "model",
        };
        self.store.write_endpoint_entry("d1", "");
        self.wait_for_log("endpoint removed", "\"d1\"").await;
        if change == Change::RouteMoved {
            let moved = config(2, &["key-1"], TIMEOUT_MS);
            let moved = moved.replace(r#""service":"desk""#, r#""service":"model""#);
            self.store.write_operator_record("config", &moved);
            let version = "\"version\":2";
            self.wait_for_log("configuration read", version).await;
        }
        if change == Change::Relisted {
            let entry = self.server.entry(service, "a", "ready");
            self.store.write_endpoint_entry("d1", &entry);
        } else {
            self.server.rename("d2");
            self.list_again(service);
        }
    }
}

/// What is wrong with the answer to `r1`, which has to run once, and with its runs at these servers.
fn fault_of(servers: &[&PlainService], response: Option<&CallerResponse>) -> Option<String> {
    let calls = servers.iter().flat_map(|server| server.executed_calls());
    let runs = calls.filter(|call| call.id() == "r1").count();
    let status = response.expect("the instance responds").status;
    let is_truthful = matches!(status.as_u16(), 200 | 502 | 504);
    (runs != 1 || !is_truthful).then(|| format!("{runs} runs, {status}"))
}

/// Has a request come back to the address of its refusal. The entry of another server comes once it has run there, if
/// `has_other`.
async fn send_back(path: &'static str, way: Way, has_other: bool) -> Option<String> {
    let service = match path {
        DRAFT => "model",
        _ => "desk",
    };
    let deployment = Deployment::start(service).await;
    let (server, store) = (&deployment.server, &deployment.store);
    // Connections to it are refused.
    let closed = TcpSocket::new_v4().expect("a socket");
    let any = "127.0.0.1:0".parse().expect("an address");
    closed.bind(any).expect("a free loopback port");
    match way {
        Way::BothListed => {
            server.restart_as("d2");
            deployment.list_again(service);
            deployment.wait_for_log("endpoint listed", "\"d2\"").await;
        }
        Way::ListedLate => server.restart_as("d2"),
        Way::RejectedBefore => {
            server.set_behavior(ServiceBehavior::Rejecting);
            let closed = closed.local_addr().expect("a bound address").to_string();
            let entry = server.entry(service, "b", "ready");
            let entry = entry.replace(&server.address.to_string(), &closed);
            store.write_endpoint_entry("d9", &entry);
            deployment.wait_for_log("endpoint listed", "\"d9\"").await;
        }
    }
    let sent = deployment.send(path);
    if way != Way::BothListed {
        deployment.wait_for_log("request rejected", "\"d1\"").await;
        server.rename("d2");
        server.set_behavior(ServiceBehavior::Healthy);
        deployment.list_again(service);
    }
    wait_until("it has run", || async {
        !server.executed_calls().is_empty()
    })
    .await;
    let other = PlainService::start("d3").await;
    if has_other {
        store.write_endpoint_entry("d3", &other.entry(service, "b", "ready"));
    }
    let response = sent.await.expect("the task does not panic");
    // Connections of refused streams are closed.
    if service == "desk" {
        deployment.wait_for_log(PASSED_OVER, "\"r1\"").await;
    }
    fault_of(&[server, &other], response.as_ref())
}

/// Has a caller send an id again whose first request was refused, after each of these changes; returns what is wrong.
async fn send_again(changes: &[Change]) -> Vec<(Change, String)> {
    let mut faults = Vec::new();
    for change in changes {
        let deployment = Deployment::start("desk").await;
        let server = &deployment.server;
        server.set_behavior(ServiceBehavior::Rejecting);
        let refused = deployment.send(ORDER).await;
        let refused = refused.expect("the task does not panic");
        let status = refused.map(|response| response.status);
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
        server.set_behavior(ServiceBehavior::Healthy);
        deployment.change(*change).await;
        let path = match change {
            Change::TakenOver => DRAFT,
            _ => ORDER,
        };
        let response = deployment.send(path).await;
        let response = response.expect("the task does not panic");
        let fault = fault_of(&[server], response.as_ref());
        faults.extend(fault.map(|fault| (*change, fault)));
    }
    faults
}

/// Guards against an order that is reported as refused though the server ran it, which has an old entry besides its own.
#[tokio::test]
async fn order_that_ran_beside_an_old_entry_is_not_refused() {
    assert_eq!(send_back(ORDER, Way::BothListed, false).await, None);
}

/// Guards against an order that runs at another server too, after the copy of a refusal came from the one that ran it.
#[tokio::test]
async fn order_that_came_back_to_its_address_runs_once() {
    let mut faults = Vec::new();
    for way in [Way::BothListed, Way::ListedLate, Way::RejectedBefore] {
        let fault = send_back(ORDER, way, true).await;
        faults.extend(fault.map(|fault| (way, fault)));
    }
    assert_eq!(faults, []);
}

/// Guards against an order that is reported as refused though the server ran it, whose new entry came while the order waited.
#[tokio::test]
async fn order_that_ran_at_a_late_entry_is_not_refused() {
    assert_eq!(send_back(ORDER, Way::ListedLate, false).await, None);
}

/// Guards against an order that is reported as refused though it ran at the address that had rejected it under another id.
#[tokio::test]
async fn order_that_ran_where_it_was_rejected_is_not_refused() {
    assert_eq!(send_back(ORDER, Way::RejectedBefore, false).await, None);
}

/// Guards against a request that is reported as refused though it ran, since its caller had used its id before at the address.
#[tokio::test]
async fn request_with_the_id_of_a_refused_one_is_not_refused_after_it_ran() {
    let changes = [Change::Nothing, Change::Relisted, Change::Renamed];
    assert_eq!(send_again(&changes).await, []);
}

/// Guards against a request that is reported as refused though it ran at a service that took the address of another one over.
#[tokio::test]
async fn request_that_ran_at_an_address_taken_over_is_not_refused() {
    let changes = [Change::TakenOver, Change::RouteMoved];
    assert_eq!(send_again(&changes).await, []);
}

/// Guards against a stream that is reported as refused though the server ran it, which has an old entry besides its own.
#[tokio::test]
async fn stream_that_ran_beside_an_old_entry_is_not_refused() {
    assert_eq!(send_back(DRAFT, Way::BothListed, false).await, None);
}
