//! Instances, engines, plain services and a store, connected through fault proxies.

use {
    crate::{
        callers::{FATAL_BODY, FATAL_PART},
        instance::{Instance, wait_until},
        loopback::FaultProxy,
    },
    platform::standin::{
        Engine, PlainService, Store,
        caller::{self, config},
        engine::SharedRuns,
        fault::Fault,
        service::ServiceBehavior,
    },
    rustix::process::Signal,
    std::{sync::Arc, time::Duration},
};

/// Events of a stream; at 15 ms each it lasts 0.9 s.
pub const EVENTS_PER_STREAM: u32 = 60;

/// Time in which a run is copied where that takes time.
const COPY_TIME: Duration = Duration::from_millis(150);

/// The same where many runs move at once.
const SHORT_COPY_TIME: Duration = Duration::from_millis(20);

/// Share of the answers of faulty servers that have a fault, and how many times as often as another one this is a late
/// second copy.
const FAULT_SHARE: f64 = 0.3;
const LATE_COPY_WEIGHT: usize = 10;

/// The same for plain services, most faults of which are late second copies of refusals. Other answers have as many faults as
/// those of engines.
const SERVICE_FAULT_SHARE: f64 = 0.9;
const REFUSAL_COPY_WEIGHT: usize = 2 * (Fault::ALL.len() + LATE_COPY_WEIGHT);

/// Of so many requests, faulty plain services reject one.
const REJECTED_EACH: usize = 25;

/// Seconds within which a rollout has to be decided.
const ROLLOUT_S: f64 = 5.0;

/// Share of the requests that faulty engines run and leave without an answer, and of those whose connections they close.
const UNANSWERED_SHARE: f64 = 0.1;

/// Failure domains.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Failure domains of the engines of a small deployment.
const ENGINE_DOMAINS: [&str; 4] = ["a", "b", "c", "a"];

/// Number of parts of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    pub engines: usize,
    pub services: usize,
}

impl Size {
    /// One instance in each failure domain.
    pub const SMALL: Self = Self {
        instances: 3,
        engines: 4,
        services: 2,
    };
}

/// An endpoint behind its fault proxy.
pub struct ProxiedServer<T> {
    pub server: T,
    pub proxy: FaultProxy,
    pub id: String,
    pub domain: &'static str,
}

/// An instance and what is needed to restart it.
pub struct InstanceSlot {
    /// Log lines of the processes before.
    pub earlier_lines: Vec<String>,
    pub instance: Option<Instance>,
    pub proxy: FaultProxy,
    name: String,
    domain: &'static str,
}

impl InstanceSlot {
    /// Starts the instance of this slot.
    pub async fn start(&mut self) {
        if let Some(instance) = self.instance.take() {
            self.earlier_lines.extend(instance.log_lines_containing(""));
        }
        let started = Instance::start_with_store(&self.name, self.domain, self.proxy.address).await;
        self.instance = Some(started);
    }

    /// Sends a signal to the instance, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(instance) = &self.instance {
            instance.signal(signal);
        }
    }

    /// Whether the instance reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        match &self.instance {
            Some(instance) => caller::is_ready(instance.readiness_address).await,
            None => false,
        }
    }
}

/// Faults to draw from.
fn fault_kinds() -> Vec<Fault> {
    let mut kinds = Fault::ALL.to_vec();
    kinds.extend([Fault::LateSecondCopy; LATE_COPY_WEIGHT]);
    kinds
}

fn set_faults(engine: &Engine, seed: u64) {
    engine.faults().set(FAULT_SHARE, &fault_kinds(), seed);
    engine.leave_unanswered(UNANSWERED_SHARE, seed);
    engine.refuse_first_moves();
    engine.ignore_disconnects();
}

/// All processes and stand-ins of a soak run.
pub struct Deployment {
    pub services: Vec<ProxiedServer<PlainService>>,
    pub engines: Vec<ProxiedServer<Engine>>,
    /// Engines that were replaced, kept for the calls they ran.
    pub removed_engines: Vec<Engine>,
    pub keys: Vec<&'static str>,
    pub slots: Vec<InstanceSlot>,
    pub store: Store,
    /// Seed of the faults of servers; `None` if they have none.
    fault_seed: Option<u64>,
    engines_started: u32,
    services_restarted: u32,
    config_version: u64,
    shared_runs: Arc<SharedRuns>,
    /// Endpoints of the version that is rolled out, and whether it is bad.
    pub canaries: Vec<PlainService>,
    pub is_bad_version: bool,
}

impl Deployment {
    /// Starts all parts and waits until every instance is ready.
    pub async fn start(seed: u64, size: Size) -> Self {
        let store = Store::start().await;
        let mut deployment = Self {
            services: Vec::new(),
            engines: Vec::new(),
            removed_engines: Vec::new(),
            keys: vec!["key-1", "key-2"],
            slots: Vec::new(),
            store,
            fault_seed: None,
            engines_started: 0,
            services_restarted: 0,
            config_version: 0,
            shared_runs: Arc::default(),
            canaries: Vec::new(),
            is_bad_version: false,
        };
        deployment.shared_runs.crash_engines_on(FATAL_BODY, 0);
        deployment.shared_runs.crash_engines_on_part(FATAL_PART);
        deployment.publish();
        for domain in ENGINE_DOMAINS.into_iter().cycle().take(size.engines) {
            deployment.add_engine(domain).await;
        }
        for (number, domain) in (0..size.services).zip(DOMAINS.into_iter().cycle()) {
            let id = format!("desk-{number}");
            let mut server = PlainService::start(&id).await;
            let proxy = FaultProxy::start(server.address).await;
            server.address = proxy.address;
            deployment.services.push(ProxiedServer {
                server,
                proxy,
                id,
                domain,
            });
            deployment.add_service_entry(number);
        }
        for (number, domain) in (0..size.instances).zip(DOMAINS.into_iter().cycle()) {
            let proxy = FaultProxy::start(deployment.store.address).await;
            let name = format!("soak-{seed}-{number}");
            let mut slot = InstanceSlot {
                earlier_lines: Vec::new(),
                instance: None,
                proxy,
                name,
                domain,
            };
            slot.start().await;
            deployment.slots.push(slot);
        }
        deployment.tell_pids();
        deployment.wait_until_ready().await;
        deployment
    }

    /// Process ids of the running instances.
    pub fn pids(&self) -> Vec<u32> {
        let instances = self.slots.iter().filter_map(|slot| slot.instance.as_ref());
        instances.map(Instance::pid).collect()
    }

    /// Proxies of all endpoints.
    pub fn endpoint_proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        let engines = self.engines.iter().map(|engine| &engine.proxy);
        engines.chain(self.services.iter().map(|service| &service.proxy))
    }

    /// Tells the proxies of endpoints which processes may be partitioned.
    pub fn tell_pids(&self) {
        let pids = self.pids();
        for proxy in self.endpoint_proxies() {
            proxy.set_known_pids(&pids);
        }
    }

    /// Waits until every instance is ready.
    pub async fn wait_until_ready(&self) {
        for slot in &self.slots {
            wait_until("an instance is ready", || slot.is_ready()).await;
        }
    }

    /// Orders that the plain service moves to another version, which fails its answers if it is bad.
    pub async fn start_rollout(&mut self, is_bad: bool) {
        self.is_bad_version = is_bad;
        self.store.order_rollout("desk", "v2", ROLLOUT_S);
        for domain in ["a", "b"] {
            let id = format!("new-desk-{domain}");
            let server = PlainService::start(&id).await;
            if is_bad {
                server.set_behavior(ServiceBehavior::Failing);
            }
            let entry = server.entry_of_version("desk", domain, "ready", "v2");
            self.store.write_endpoint_entry(&id, &entry);
            self.canaries.push(server);
        }
    }

    /// Publishes the next version of the configuration.
    pub fn publish(&mut self) {
        self.config_version += 1;
        self.store
            .write_operator_record("config", &config(self.config_version, &self.keys, 10_000));
    }

    /// Starts an engine and adds its entry to the store.
    pub async fn add_engine(&mut self, domain: &'static str) {
        self.engines_started += 1;
        let id = format!("m{}", self.engines_started);
        let gap = Duration::from_millis(15);
        let mut server = Engine::start(&self.shared_runs, &id, EVENTS_PER_STREAM, gap).await;
        let proxy = FaultProxy::start(server.address).await;
        server.set_address(proxy.address);
        self.store
            .write_endpoint_entry(&id, &server.entry("model", domain, "ready"));
        proxy.set_known_pids(&self.pids());
        if let Some(seed) = self.fault_seed {
            set_faults(&server, seed + u64::from(self.engines_started));
        }
        self.engines.push(ProxiedServer {
            server,
            proxy,
            id,
            domain,
        });
    }

    /// Starts a plain service again with a new ID at the same address, as after a crash. Returns its old ID; the entries are
    /// left as they are.
    pub fn restart_service(&mut self, index: usize) -> String {
        self.services_restarted += 1;
        let id = format!("desk-{index}-{}", self.services_restarted);
        let service = &mut self.services[index];
        service.server.restart_as(&id);
        std::mem::replace(&mut service.id, id)
    }

    /// Adds the entry of a plain service to the store.
    pub fn add_service_entry(&self, index: usize) {
        let service = &self.services[index];
        let entry = service.server.entry("desk", service.domain, "ready");
        self.store.write_endpoint_entry(&service.id, &entry);
    }

    /// Index of the engine with this id, unless it was replaced.
    pub fn engine_index(&self, id: &str) -> Option<usize> {
        self.engines.iter().position(|engine| engine.id == id)
    }

    /// Announces in the store that an engine is leaving.
    pub fn announce_leaving(&self, index: usize) {
        let engine = &self.engines[index];
        let entry = engine.server.leaving_entry("model", engine.domain);
        self.store.write_endpoint_entry(&engine.id, &entry);
    }

    /// From now on, servers send answers twice and break connections off, and engines work on after they are closed.
    pub fn set_server_faults(&mut self, seed: u64) {
        self.fault_seed = Some(seed);
        for (engine, number) in self.engines.iter().zip(1..) {
            set_faults(&engine.server, seed + number);
        }
        for (service, number) in self.services.iter().zip(1..) {
            let mut kinds = fault_kinds();
            kinds.extend([Fault::LateRefusalCopy; REFUSAL_COPY_WEIGHT]);
            let faults = service.server.faults();
            faults.set(SERVICE_FAULT_SHARE, &kinds, seed.wrapping_sub(number));
            service.server.reject_each(REJECTED_EACH);
        }
        self.shared_runs.set_copy_time(SHORT_COPY_TIME);
    }

    /// Ends the faults of servers.
    pub fn clear_server_faults(&mut self) {
        self.fault_seed = None;
        for engine in &self.engines {
            engine.server.faults().clear();
            engine.server.leave_unanswered(0.0, 0);
        }
        for service in &self.services {
            service.server.faults().clear();
            service.server.reject_each(0);
        }
    }

    /// Drops the backup copies of all runs.
    pub fn drop_copies(&self) {
        self.shared_runs.drop_copies();
    }

    /// Number of requests to continue a run from the copy of another one.
    pub fn foreign_copies(&self) -> usize {
        self.shared_runs.foreign_copies()
    }

    /// Highest number of events that an engine sent of a run after another engine had begun it.
    pub fn max_overlapping_events(&self) -> u32 {
        self.shared_runs.max_overlapping_events()
    }

    /// From now on, copies of runs take time, one after the other at each engine.
    pub fn slow_copies(&self) {
        self.shared_runs.set_copy_time(COPY_TIME);
    }

    /// Replaces the engines that a request has crashed.
    pub async fn replace_crashed(&mut self) {
        while let Some(index) = self
            .engines
            .iter()
            .position(|engine| engine.server.is_crashed())
        {
            self.replace(index).await;
        }
    }

    /// Number of engines that ran a request with [`FATAL_BODY`], and so crashed.
    pub fn fatal_crashes(&self) -> usize {
        let engines = self.engines.iter().map(|engine| &engine.server);
        let crashed = engines.chain(&self.removed_engines).filter(|engine| {
            let calls = engine.executed_calls();
            calls.iter().any(|call| call.body == FATAL_BODY.as_bytes())
        });
        crashed.count()
    }

    /// Number of prompts with [`FATAL_PART`] that engines have begun to run.
    pub fn fatal_prompts(&self) -> usize {
        let engines = self.engines.iter().map(|engine| &engine.server);
        let calls = engines.chain(&self.removed_engines);
        let calls = calls.flat_map(Engine::executed_calls);
        calls.filter(|call| call.id().contains(FATAL_PART)).count()
    }

    /// Crashes an engine and starts another one with a new ID.
    pub async fn replace(&mut self, index: usize) {
        let engine = self.engines.remove(index);
        engine.server.crash();
        engine.proxy.reset_connections();
        self.store.write_endpoint_entry(&engine.id, "");
        self.removed_engines.push(engine.server);
        self.add_engine(engine.domain).await;
    }
}
