//! Instances that are partitioned from endpoints, while callers, the store and peers reach them.

mod common;
#[path = "forwarding/instance.rs"]
mod instance;
#[path = "soak/loopback.rs"]
mod loopback;

use {
    crate::{
        instance::Instance,
        loopback::{FaultProxy, LinkState, Partition},
    },
    http::StatusCode,
    platform::standin::{
        Engine, PlainService, Store,
        caller::{CallerRequest, config, send_request},
        engine::SharedRuns,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Mutex, MutexGuard},
        task::JoinHandle,
        time::sleep,
    },
};

/// Held by each test: finding the owner of a connection takes longer with each connection of the machine.
static DEPLOYMENT: Mutex<()> = Mutex::const_new(());

/// Time after the start of a partition from which callers of all instances are to be served.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// How long requests are counted after that.
const OBSERVED: Duration = Duration::from_secs(4);

/// How long a sound endpoint may be silent.
const SILENCE: Duration = Duration::from_secs(1);

const EVENTS_PER_STREAM: u32 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
const ROUTES: [&str; 4] = ["/draft/x", "/look/x", "/order/x", "/tag/x"];

/// Endpoints behind proxies, and instances.
struct Deployment {
    desks: Vec<(PlainService, FaultProxy)>,
    engines: Vec<(Engine, FaultProxy)>,
    instances: Vec<Instance>,
    _alone: MutexGuard<'static, ()>,
    _store: Store,
}

/// What the callers of one instance got for requests that were sent in the counted time.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Deployment {
    /// Starts three desks and four engines, and an instance in each of `domains`.
    async fn start(domains: &[&str]) -> Self {
        let alone = DEPLOYMENT.lock().await;
        let store = Store::start().await;
        store.write_operator_record("config", &config(1, &["key-1"], 2000));
        let mut desks = Vec::new();
        for domain in ["a", "b", "c"] {
            let id = format!("desk-{domain}");
            let mut desk = PlainService::start(&id).await;
            let proxy = FaultProxy::start(desk.address).await;
            desk.address = proxy.address;
            store.write_endpoint_entry(&id, &desk.entry("desk", domain, "ready"));
            desks.push((desk, proxy));
        }
        let runs = Arc::<SharedRuns>::default();
        let mut engines = Vec::new();
        for (number, domain) in ["a", "b", "c", "a"].into_iter().enumerate() {
            let id = format!("m{number}");
            let mut engine = Engine::start(&runs, &id, EVENTS_PER_STREAM, EVENT_INTERVAL).await;
            let proxy = FaultProxy::start(engine.address).await;
            engine.set_address(proxy.address);
            store.write_endpoint_entry(&id, &engine.entry("model", domain, "ready"));
            engines.push((engine, proxy));
        }
        let mut instances = Vec::new();
        for (number, domain) in domains.iter().enumerate() {
            let name = format!("e{number}");
            instances.push(Instance::start(&name, domain, &store).await);
        }
        let deployment = Self {
            desks,
            engines,
            instances,
            _alone: alone,
            _store: store,
        };
        let pids = deployment.pids(domains.len());
        for proxy in deployment.proxies() {
            proxy.set_known_pids(&pids);
        }
        deployment
    }

    /// Proxies of all endpoints.
    fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        let desks = self.desks.iter().map(|(_, proxy)| proxy);
        desks.chain(self.engines.iter().map(|(_, proxy)| proxy))
    }

    /// Process ids of the first `count` instances.
    fn pids(&self, count: usize) -> Vec<u32> {
        let instances = self.instances.iter().take(count);
        instances.map(Instance::pid).collect()
    }

    /// Partitions the first `count` instances from all endpoints while callers use all instances, and
    /// counts what they get after the stability window.
    async fn count_under(&self, partition: Partition, count: usize) -> Vec<Count> {
        // Leaves idle connections to all endpoints, as in an instance that has run for a while.
        let before = self.call_all(Instant::now(), Duration::from_secs(1));
        for callers in before {
            callers.await.expect("the callers do not panic");
        }
        let pids = self.pids(count);
        for proxy in self.proxies() {
            proxy.partition(partition, &pids);
        }
        let counted_from = Instant::now() + STABILITY_WINDOW;
        let mut counts = Vec::new();
        for callers in self.call_all(counted_from, STABILITY_WINDOW + OBSERVED) {
            counts.push(callers.await.expect("the callers do not panic"));
        }
        println!("{partition:?}: {counts:?}");
        counts
    }

    /// Starts callers of all instances.
    fn call_all(&self, counted_from: Instant, length: Duration) -> Vec<JoinHandle<Count>> {
        let instances = self.instances.iter().enumerate();
        let started = instances.map(|(number, instance)| {
            let address = instance.caller_address;
            tokio::spawn(call(address, number, counted_from, length))
        });
        started.collect()
    }

    /// Asserts that no order ran twice.
    fn assert_ran_once(&self) {
        self.assert_ran_once_but("");
    }

    /// The same, without the order with id `repeated`, which the test itself repeats.
    fn assert_ran_once_but(&self, repeated: &str) {
        let calls = self
            .desks
            .iter()
            .flat_map(|(desk, _)| desk.executed_calls());
        let orders = calls.filter(|call| call.path.starts_with("/order"));
        let orders = orders.filter(|call| call.id() != repeated);
        let mut ids = orders.map(|call| call.id().to_string()).collect::<Vec<_>>();
        let count = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), count, "orders ran twice");
    }
}

/// Sends requests to an instance for some time, each on a new connection and not again if it fails.
async fn call(
    address: SocketAddr,
    instance: usize,
    counted_from: Instant,
    length: Duration,
) -> Count {
    let end = Instant::now() + length;
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0_usize;
    while Instant::now() < end {
        number += 1;
        let is_counted = Instant::now() >= counted_from;
        tasks.spawn(async move {
            let id = format!("{instance}-{number}-{is_counted}");
            let path = ROUTES[number % ROUTES.len()];
            let mut request = CallerRequest::new(&id, path);
            request.deadline_ms = 2000;
            let response = send_request(address, &request).await;
            let served = response
                .is_some_and(|response| response.complete && response.status == StatusCode::OK);
            (is_counted, served)
        });
        sleep(Duration::from_millis(40)).await;
    }
    let mut count = Count::default();
    while let Some(ended) = tasks.join_next().await {
        let (is_counted, served) = ended.expect("the request does not panic");
        count.sent += usize::from(is_counted);
        count.served += usize::from(is_counted && served);
    }
    count
}

/// Asserts that the first `cut_off` instances served at least two thirds as large a share of first tries
/// as the others, and failed no more than ten and one in fifty.
fn assert_served_alike(counts: &[Count], cut_off: usize) {
    let sum = |counts: &[Count]| {
        let sent = counts.iter().map(|count| count.sent).sum::<usize>();
        let served = counts.iter().map(|count| count.served).sum::<usize>();
        (sent, served)
    };
    let (sent, served) = sum(&counts[..cut_off]);
    let (others_sent, others_served) = sum(&counts[cut_off..]);
    assert!(
        3 * served * others_sent >= 2 * others_served * sent,
        "partitioned instances served {served} of {sent}, the others {others_served} of {others_sent}"
    );
    let failed = sent - served;
    assert!(failed <= 10 + sent / 50, "{failed} of {sent} failed");
}

/// An instance whose connections to all endpoints hang has to serve its callers through its peers. It
/// refused them all, although its peers were well and an open connection of a caller stays with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_when_connections_to_endpoints_hang() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let counts = deployment.count_under(Partition::Silent, 1).await;
    assert_served_alike(&counts, 1);
    deployment.assert_ran_once();
}

/// The same where endpoints still receive what the instance sends, but nothing comes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_when_endpoints_cannot_answer() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let counts = deployment.count_under(Partition::SilentFromTarget, 1).await;
    assert_served_alike(&counts, 1);
    deployment.assert_ran_once();
}

/// The same where connections to endpoints are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_when_connections_to_endpoints_are_reset() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let counts = deployment.count_under(Partition::Reset, 1).await;
    assert_served_alike(&counts, 1);
    deployment.assert_ran_once();
}

/// The same where open connections to endpoints live on and new ones are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_when_new_connections_to_endpoints_are_reset() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let counts = deployment.count_under(Partition::ResetNew, 1).await;
    assert_served_alike(&counts, 1);
    deployment.assert_ran_once();
}

/// All instances of a failure domain and one of another are partitioned from all endpoints, so that one
/// peer is left to serve their callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_when_most_instances_are_partitioned() {
    let deployment = Deployment::start(&["a", "a", "b", "b"]).await;
    let counts = deployment.count_under(Partition::Silent, 3).await;
    assert_served_alike(&counts, 3);
    deployment.assert_ran_once();
}

/// A sound endpoint may fall silent for a second and go on. It must not be taken for lost: orders that it
/// holds are answered late, and no service counts as partitioned.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_are_served_when_endpoints_are_silent_for_a_second() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let started = Instant::now();
    let callers = deployment.call_all(started, STABILITY_WINDOW + OBSERVED);
    for _ in 0..2 {
        sleep(SILENCE).await;
        let silent = [&deployment.desks[0].1, &deployment.engines[0].1];
        for proxy in silent {
            proxy.set(LinkState::Blocked);
        }
        sleep(SILENCE).await;
        for proxy in silent {
            proxy.set(LinkState::Open);
        }
    }
    for callers in callers {
        let count = callers.await.expect("the callers do not panic");
        println!("silent endpoints: {count:?}");
        let failed = count.sent - count.served;
        assert!(failed <= 10 + count.sent / 50, "{count:?}");
    }
    deployment.assert_ran_once();
    for instance in &deployment.instances {
        let lines = instance.log_lines_containing("endpoints cannot be reached directly");
        assert!(lines.is_empty(), "{lines:?}");
    }
}

/// Where no instance reaches endpoints, requests must be refused as not run with a time to come back, rather
/// than look for a way until their time is up, and be served again once the links have healed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_are_refused_as_unreachable_when_all_instances_are_partitioned() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let counts = deployment.count_under(Partition::Reset, 2).await;
    assert!(counts.iter().all(|count| count.served == 0), "{counts:?}");
    let address = deployment.instances[0].caller_address;
    for number in 0..20 {
        let id = format!("refused-{number}");
        let request = CallerRequest::new(&id, ROUTES[number % ROUTES.len()]);
        let response = send_request(address, &request).await.expect("a response");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.retry_after.is_some());
    }
    let refused = deployment.instances[0].log_lines_containing(r#""outcome":"unreachable""#);
    let late = refused.iter().filter(|line| line.contains("refused-"));
    assert!(late.count() >= 10, "{refused:?}");
    for proxy in deployment.proxies() {
        proxy.heal();
    }
    for path in ROUTES {
        instance::wait_until("requests are served again", || async {
            let response = send_request(address, &CallerRequest::new("healed", path)).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }
    deployment.assert_ran_once_but("healed");
}

/// A partition resets all connections of the instances at once. Engines that live on must not count as
/// crashed by the requests that ran there, or all instances refuse these for ten minutes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_reset_by_a_partition_are_no_crashes() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let pids = deployment.pids(2);
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..16 {
        let address = deployment.instances[number % 2].caller_address;
        streams.spawn(async move {
            let id = format!("running-{number}");
            send_request(address, &CallerRequest::new(&id, "/draft/x")).await
        });
    }
    instance::wait_until("streams run at all engines", || async {
        let engines = &deployment.engines;
        engines
            .iter()
            .all(|(engine, _)| !engine.executed_calls().is_empty())
    })
    .await;
    for proxy in deployment.proxies() {
        proxy.partition(Partition::Reset, &pids);
    }
    while streams.join_next().await.is_some() {}
    for proxy in deployment.proxies() {
        proxy.heal();
    }
    sleep(STABILITY_WINDOW).await;
    for instance in &deployment.instances {
        let request = CallerRequest::new("later", "/draft/x");
        let response = send_request(instance.caller_address, &request).await;
        let response = response.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// The same at an instance of `serve`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serve_callers_are_served_when_connections_to_endpoints_hang() {
    let _alone = DEPLOYMENT.lock().await;
    let mut cluster = common::Builder {
        instance_domains: Vec::new(),
        service_domains: Vec::new(),
        ..common::Builder::default()
    }
    .start()
    .await;
    let mut proxies = Vec::new();
    for engine in &mut cluster.engines {
        let target = engine.address.parse().expect("an address");
        let proxy = FaultProxy::start(target).await;
        engine.address = proxy.address.to_string();
        proxies.push(proxy);
    }
    for (engine, domain) in cluster.engines.iter().zip(["north", "south"]) {
        cluster.register(engine, domain, "engine", "live").await;
    }
    for (name, domain) in [("entry-0", "north"), ("entry-1", "south")] {
        cluster.add_instance(name, domain).await;
    }
    let pids = cluster.instances.iter().map(common::Process::pid);
    let pids = pids.collect::<Vec<_>>();
    for proxy in &proxies {
        proxy.set_known_pids(&pids);
    }
    for number in 0..2 {
        cluster.wait_until_ready(number).await;
    }
    for proxy in &proxies {
        proxy.partition(Partition::Silent, &pids[..1]);
    }
    let counted_from = Instant::now() + STABILITY_WINDOW;
    let body = r#"{"model": "survey", "prompt": "tokens=4", "stream": true}"#;
    let mut counts = [Count::default(); 2];
    while Instant::now() < counted_from + OBSERVED {
        for (number, count) in counts.iter_mut().enumerate() {
            let is_counted = Instant::now() >= counted_from;
            let request = common::CallerRequest::post("/v1/completions", body);
            let called = cluster.call(number, request);
            let called = tokio::time::timeout(Duration::from_secs(1), called).await;
            count.sent += usize::from(is_counted);
            count.served +=
                usize::from(is_counted && called.is_ok_and(|(status, _)| status == 200));
        }
    }
    println!("serve: {counts:?}");
    assert_served_alike(&counts, 1);
}

/// Guards against instances that each keep a cooldown by themselves and send through the same peer, which the endpoint
/// takes for their sender, and against callers that are refused since that peer opens no tunnel.
#[tokio::test]
async fn cooldown_of_an_endpoint_is_kept_by_all_that_send_through_one_peer() {
    const COOLDOWN: Duration = Duration::from_secs(3);
    const TRANSIT_TIME: Duration = Duration::from_millis(500);
    let deployment = Deployment::start(&["a", "a", "a", "a", "b"]).await;
    deployment.count_under(Partition::Silent, 4).await;
    let (cooling, _) = &deployment.desks[0];
    cooling.conditions().set_cooldown(Some("3"));
    let before = cooling.executed_calls().len();
    let mut refused = 0;
    for (index, instance) in deployment.instances.iter().enumerate() {
        for number in 0..15 {
            let id = format!("cooling-{index}-{number}");
            let mut request = CallerRequest::new(&id, "/look/x");
            request.deadline_ms = 2000;
            let response = send_request(instance.caller_address, &request).await;
            let served = response.is_some_and(|response| response.status == StatusCode::OK);
            refused += usize::from(!served);
        }
        let is_first = index == 0;
        sleep(if is_first {
            2 * TRANSIT_TIME
        } else {
            TRANSIT_TIME / 4
        })
        .await;
    }
    let rejected = cooling.conditions().rejected_calls();
    let first = rejected.first().expect("the endpoint is asked").at;
    let within = rejected.iter().filter(|call| {
        let since = call.at.duration_since(first);
        since > TRANSIT_TIME && since < COOLDOWN
    });
    assert!(within.count() <= 2, "{} requests in all", rejected.len());
    assert_eq!(cooling.executed_calls().len(), before);
    assert_eq!(refused, 0, "beside endpoints that take requests");
}
