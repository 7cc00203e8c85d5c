//! Instances, engines, desks and a store, with a proxy on each way.

use {
    crate::{
        instance::{Instance, until},
        loopback::Loopback,
    },
    platform::standin::{
        Engine, PlainService, Store,
        caller::{self, config},
        engine::SharedRuns,
    },
    rustix::process::Signal,
    std::{sync::Arc, time::Duration},
};

/// Events of a stream; at 15 ms each it lasts 0.9 s.
pub const EVENTS: u32 = 60;

/// Failure domains; there is an instance in each.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A back end behind its proxy.
pub struct Placed<T> {
    pub server: T,
    pub proxy: Loopback,
    pub id: String,
    pub domain: &'static str,
}

/// One place for an instance, which is started again there.
pub struct Seat {
    pub instance: Option<Instance>,
    pub proxy: Loopback,
    name: String,
    domain: &'static str,
}

impl Seat {
    /// Starts an instance there.
    pub async fn start(&mut self) {
        let started = Instance::start_at(&self.name, self.domain, self.proxy.address).await;
        self.instance = Some(started);
    }

    /// Sends its instance a signal, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(instance) = &self.instance {
            instance.signal(signal);
        }
    }

    /// Whether its instance says that callers may be sent to it.
    pub async fn is_ready(&self) -> bool {
        match &self.instance {
            Some(instance) => caller::is_ready(instance.ready).await,
            None => false,
        }
    }
}

/// Everything that a soak runs against.
pub struct Deployment {
    pub desks: Vec<Placed<PlainService>>,
    pub engines: Vec<Placed<Engine>>,
    /// Engines and desks that are gone, with what they ran.
    pub gone: Vec<Engine>,
    pub keys: Vec<&'static str>,
    pub seats: Vec<Seat>,
    pub store: Store,
    started: u32,
    version: u64,
    world: Arc<SharedRuns>,
}

impl Deployment {
    /// Starts everything and waits until callers may come.
    pub async fn start(seed: u64) -> Self {
        let store = Store::start().await;
        let mut deployment = Self {
            desks: Vec::new(),
            engines: Vec::new(),
            gone: Vec::new(),
            keys: vec!["key-1", "key-2"],
            seats: Vec::new(),
            store,
            started: 0,
            version: 0,
            world: Arc::default(),
        };
        deployment.publish();
        for domain in ["a", "b", "c", "a"] {
            deployment.add_engine(domain).await;
        }
        for domain in ["a", "b"] {
            let id = format!("desk-{domain}");
            let mut server = PlainService::start(&id).await;
            let proxy = Loopback::start(server.address).await;
            server.address = proxy.address;
            deployment
                .store
                .write_endpoint_entry(&id, &server.entry("desk", domain, "ready"));
            deployment.desks.push(Placed {
                server,
                proxy,
                id,
                domain,
            });
        }
        for domain in DOMAINS {
            let proxy = Loopback::start(deployment.store.address).await;
            let name = format!("soak-{seed}-{domain}");
            let mut seat = Seat {
                instance: None,
                proxy,
                name,
                domain,
            };
            seat.start().await;
            deployment.seats.push(seat);
        }
        deployment.settle().await;
        deployment
    }

    /// Waits until every instance may be sent callers.
    pub async fn settle(&self) {
        for seat in &self.seats {
            until("an instance is ready", || seat.is_ready()).await;
        }
    }

    /// Publishes the next version of the configuration.
    pub fn publish(&mut self) {
        self.version += 1;
        self.store
            .write_operator_record("config", &config(self.version, &self.keys, 10_000));
    }

    /// Starts an engine and lists it.
    pub async fn add_engine(&mut self, domain: &'static str) {
        self.started += 1;
        let id = format!("m{}", self.started);
        let gap = Duration::from_millis(15);
        let mut server = Engine::start(&self.world, &id, EVENTS, gap).await;
        let proxy = Loopback::start(server.address).await;
        server.set_address(proxy.address);
        self.store
            .write_endpoint_entry(&id, &server.entry("model", domain, "ready"));
        self.engines.push(Placed {
            server,
            proxy,
            id,
            domain,
        });
    }

    /// An engine says that it leaves.
    pub fn announce(&self, place: usize) {
        let engine = &self.engines[place];
        let entry = engine.server.leaving_entry("model", engine.domain);
        self.store.write_endpoint_entry(&engine.id, &entry);
    }

    /// An engine dies; another one takes its place under a new id.
    pub async fn replace(&mut self, place: usize) {
        let engine = self.engines.remove(place);
        engine.server.crash();
        engine.proxy.reset();
        self.store.write_endpoint_entry(&engine.id, "");
        self.gone.push(engine.server);
        self.add_engine(engine.domain).await;
    }
}
