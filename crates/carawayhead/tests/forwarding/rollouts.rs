//! Rollouts of new versions over several instances.

use {
    crate::instance::{Instance, wait_until},
    http::StatusCode,
    platform::standin::{
        Engine, Store,
        caller::{CallerRequest, config, send_request},
        engine::SharedRuns,
        service::{PlainService, ServiceBehavior},
    },
    std::{
        cell::{Cell, RefCell},
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Requests that a bad version may get, over all instances.
const MAX_EXPOSED: usize = 50;

/// Seconds within which a rollout has to be decided.
const DURATION_S: f64 = 8.0;

const INSTANCES: [&str; 3] = ["e1", "e2", "e3"];

/// Path of a request; every other one is idempotent.
const fn path(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "/look/7"
    } else {
        "/order/7"
    }
}

struct Deployment {
    instances: Vec<Instance>,
    new: Vec<PlainService>,
    old: Vec<PlainService>,
    store: Store,
}

impl Deployment {
    /// Starts two endpoints of either version and three instances; the order is not given yet.
    async fn start() -> Self {
        let store = Store::start().await;
        store.write_operator_record("config", &config(1, &["key-1"], 30_000));
        let (mut old, mut new) = (Vec::new(), Vec::new());
        for number in 1..=2 {
            let id = format!("d{number}");
            let service = PlainService::start(&id).await;
            store.write_endpoint_entry(&id, &service.entry("desk", "a", "ready"));
            old.push(service);
            new.push(PlainService::start(&format!("n{number}")).await);
        }
        let mut instances = Vec::new();
        for name in INSTANCES {
            instances.push(Instance::start(name, "a", &store).await);
        }
        Self {
            instances,
            new,
            old,
            store,
        }
    }

    /// Orders the rollout, and then starts the endpoints of the new version.
    fn order(&self) {
        self.store.order_rollout("desk", "v2", DURATION_S);
        for (number, service) in self.new.iter().enumerate() {
            let id = format!("n{}", number + 1);
            let entry = service.entry_of_version("desk", "a", "ready", "v2");
            self.store.write_endpoint_entry(&id, &entry);
        }
    }

    /// Sends requests to all instances until the status of the rollout is `state`; returns the
    /// statuses of the responses.
    async fn serve_until(&self, state: &str) -> Vec<StatusCode> {
        let statuses = RefCell::new(Vec::new());
        let number = Cell::new(0_usize);
        wait_until("the rollout is decided", || async {
            number.set(number.get() + 1);
            let id = format!("r{}", number.get());
            let instance = &self.instances[number.get() % self.instances.len()];
            let request = CallerRequest::new(&id, path(number.get()));
            let response = send_request(instance.caller_address, &request).await;
            let status = response.expect("the instance responds").status;
            statuses.borrow_mut().push(status);
            self.state() == Some(state.to_string())
        })
        .await;
        statuses.into_inner()
    }

    /// The state that operators have been told.
    fn state(&self) -> Option<String> {
        let statuses = self.store.rollout_statuses("desk");
        let state = statuses.last()?["state"].as_str()?;
        Some(state.to_string())
    }

    fn exposed(&self) -> usize {
        let calls = self
            .new
            .iter()
            .map(|service| service.executed_calls().len());
        calls.sum()
    }
}

/// A good version replaces the old one: operators are told of each step once and in order, no
/// request fails, and nothing goes to the old version afterwards, whose endpoints stop.
#[tokio::test]
async fn good_version_is_completed() {
    let deployment = Deployment::start().await;
    deployment.order();
    let statuses = deployment.serve_until("completed").await;
    wait_until("only the stage and what was told are kept", || async {
        deployment.store.newest_rollout_records() == 2
    })
    .await;
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
    let told = deployment.store.rollout_statuses("desk");
    let states = told.iter().map(|status| status["state"].as_str());
    let states = states.collect::<Vec<_>>();
    assert_eq!(states, [Some("running"), Some("completed")]);
    assert!(told.iter().all(|status| status["target"] == "v2"));
    let before = deployment
        .old
        .iter()
        .map(|service| service.executed_calls().len());
    let before = before.collect::<Vec<_>>();
    for number in 0..12 {
        let instance = &deployment.instances[number % INSTANCES.len()];
        let id = format!("after-{number}");
        let request = CallerRequest::new(&id, path(number));
        let response = send_request(instance.caller_address, &request).await;
        let response = response.expect("the instance responds");
        assert_eq!(response.status, StatusCode::OK);
    }
    let after = deployment
        .old
        .iter()
        .map(|service| service.executed_calls().len());
    assert_eq!(before, after.collect::<Vec<_>>());
}

/// A version that fails its answers must be rolled back after few requests, at all instances, and
/// also at one that starts afterwards and knows of it from the store only.
#[tokio::test]
async fn failing_version_is_rolled_back() {
    let deployment = Deployment::start().await;
    for service in &deployment.new {
        service.set_behavior(ServiceBehavior::Failing);
    }
    deployment.order();
    deployment.serve_until("rolled_back").await;
    assert!(
        deployment.exposed() <= MAX_EXPOSED,
        "{}",
        deployment.exposed()
    );
    wait_until("all instances know of it", || async {
        deployment.instances.iter().all(|instance| {
            let lines = instance.log_lines_containing("\"rollout stage\"");
            lines.iter().any(|line| line.contains("rolled_back"))
        })
    })
    .await;
    let exposed = deployment.exposed();
    let late = Instance::start("e4", "a", &deployment.store).await;
    wait_until("the new instance knows of it", || async {
        let lines = late.log_lines_containing("\"rollout stage\"");
        lines.iter().any(|line| line.contains("rolled_back"))
    })
    .await;
    for number in 0..24 {
        let instances = deployment.instances.iter().chain([&late]);
        let instances = instances.collect::<Vec<_>>();
        let id = format!("after-{number}");
        let request = CallerRequest::new(&id, path(number));
        let instance = instances[number % instances.len()];
        let response = send_request(instance.caller_address, &request).await;
        let response = response.expect("the instance responds");
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(deployment.exposed(), exposed);
}

/// Endpoints of a new version are listed before the order reaches an instance, or without a valid
/// one. Nothing may be decided, and a malformed order must not stop the rest.
#[tokio::test]
async fn malformed_order_is_ignored() {
    let deployment = Deployment::start().await;
    let order = r#"{"service":"desk","target":"v2","durationS":0}"#;
    let store = &deployment.store;
    store.write_operator_record("rollout/desk", order);
    wait_until("the order is rejected", || async {
        deployment.instances.iter().all(|instance| {
            let lines = instance.log_lines_containing("invalid operator record");
            lines.iter().any(|line| line.contains("durationS"))
        })
    })
    .await;
    let request = CallerRequest::new("r1", path(0));
    let response = send_request(deployment.instances[0].caller_address, &request).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    assert_eq!((store.rollout_records(), deployment.state()), (0, None));
}

/// A version replaces another one while generations run there. The old engines stop with the
/// completion, so each run must have moved by then, without a lost or repeated event.
#[tokio::test]
async fn runs_move_before_the_old_engines_stop() {
    const EVENTS: u32 = 200;
    let store = Store::start().await;
    store.write_operator_record("config", &config(1, &["key-1"], 60_000));
    let shared_runs = Arc::<SharedRuns>::default();
    let interval = Duration::from_millis(15);
    let mut engines = Vec::new();
    for (number, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let id = format!("m{number}");
        let engine = Engine::start(&shared_runs, &id, EVENTS, interval).await;
        engines.push((id, version, engine));
    }
    let list = |version: &str| {
        for (id, _, engine) in engines.iter().filter(|(_, other, _)| *other == version) {
            let entry = engine.entry_of_version("model", "a", "ready", version);
            store.write_endpoint_entry(id, &entry);
        }
    };
    list("v1");
    let instance = Instance::start("e1", "a", &store).await;
    store.order_rollout("model", "v2", DURATION_S);
    list("v2");
    let address = instance.caller_address;
    let mut streams = Vec::new();
    let is_completed = || {
        let statuses = store.rollout_statuses("model");
        statuses
            .last()
            .is_some_and(|status| status["state"] == "completed")
    };
    for number in 0..200 {
        let id = format!("r{number}");
        streams.push(tokio::spawn(async move {
            let mut request = CallerRequest::new(&id, "/draft/7");
            request.deadline_ms = 60_000;
            send_request(address, &request).await
        }));
        sleep(Duration::from_millis(200)).await;
        if is_completed() {
            break;
        }
    }
    let steps = instance.log_lines_containing("\"rollout stage recorded\"");
    assert!(is_completed(), "{steps:#?}");
    for (_, _, engine) in engines.iter().filter(|(_, version, _)| *version == "v1") {
        engine.crash();
    }
    let expected = (1..=EVENTS).map(|number| format!("id: {number}\ndata: token {number}\n\n"));
    let expected = expected.collect::<String>();
    for stream in streams {
        let response = stream.await.expect("the task does not panic");
        let response = response.expect("the instance responds");
        assert_eq!((response.status, response.complete), (StatusCode::OK, true));
        assert_eq!(response.body, expected);
    }
    assert!(shared_runs.max_engines_per_run() <= 2);
}
