//! Injects faults and planned changes that are drawn from a seed.

use {
    crate::{
        callers::Addresses,
        deployment::{DOMAINS, Deployment},
        loopback::{FaultProxy, LinkState, Partition},
    },
    platform::standin::{service::ServiceBehavior, store::StoreBehavior},
    rand::{RngExt as _, rngs::SmallRng},
    rustix::process::Signal,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
};

/// Longer than any undo is scheduled ahead, so that all of them are due.
const UNDO_ALL_HORIZON: Duration = Duration::from_hours(1);

/// Shortest notice of an engine that leaves; longer than a stream of 0.9 s, so that one that just started can complete.
const MIN_NOTICE: Duration = Duration::from_millis(1800);

/// Share of the changes with which plain services start again.
const RESTART_SHARE: f64 = 0.3;

/// Which changes a soak run makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Faults and planned changes.
    Faults,
    /// The same, and instances that are partitioned from all endpoints.
    Partitions,
    /// Faults and planned changes, and prompts with a part that crashes engines, most of which go to one instance.
    Prompts,
    /// Planned changes only: stops, reloads, configurations, announced engine departures.
    Planned,
    /// Planned changes, and engines that are paused, up to all of them.
    Silences,
    /// Planned changes, and plain services that work on each request for up to a second.
    Work,
    /// Planned changes, and servers that send answers twice, break connections off, work on after they are closed and start
    /// again with new ids.
    Servers,
}

/// The undo of a change; indexes refer to the lists of the deployment. Engines have their ids, since those that are lost are
/// replaced meanwhile.
#[derive(Clone, Debug)]
enum Undo {
    /// The plain service is not listed.
    Unlisted(usize),
    /// The entry of a plain service that has ended is listed.
    Listed(String),
    Service(usize),
    ServiceLink(usize),
    Domain(usize),
    Partition,
    EngineLink(String),
    Leave(String),
    StoreBehavior,
    Resume(usize),
    Restart(usize),
    StoreHistory,
    StoreLink(usize),
    Thaw,
}

/// Injects faults and planned changes into a deployment.
pub struct FaultInjector {
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    /// Number of changes so far, for the report.
    pub changes: u32,
    /// Revoked keys with the times of their revocation and restoration.
    pub revoked: Vec<(&'static str, Instant, Option<Instant>)>,
    random: SmallRng,
    mode: Mode,
    pending_undos: Vec<(Instant, Undo)>,
}

impl FaultInjector {
    pub fn new(mode: Mode, random: SmallRng) -> (Self, Addresses) {
        let (addresses, listening) = watch::channel(Vec::new());
        let injector = Self {
            addresses,
            changes: 0,
            random,
            revoked: Vec::new(),
            mode,
            pending_undos: Vec::new(),
        };
        (injector, listening)
    }

    /// Publishes the caller addresses of the running instances.
    pub fn publish_addresses(&self, deployment: &Deployment) {
        let instances = deployment
            .slots
            .iter()
            .filter_map(|slot| slot.instance.as_ref());
        let listening = instances.map(|instance| instance.caller_address).collect();
        self.addresses.send_replace(listening);
    }

    /// Makes changes for the given duration, then undoes all of them.
    pub async fn run(&mut self, deployment: &mut Deployment, length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            sleep(Duration::from_millis(self.random.random_range(50..350))).await;
            self.undo_due(deployment, Instant::now()).await;
            deployment.replace_crashed().await;
            self.changes += 1;
            match self.mode {
                Mode::Partitions if self.random.random_bool(0.2) => self.partition(deployment),
                Mode::Faults | Mode::Partitions | Mode::Prompts if self.random.random_bool(0.7) => {
                    self.inject_fault(deployment).await;
                }
                Mode::Silences if self.random.random_bool(0.4) => self.pause_engines(deployment),
                Mode::Faults
                | Mode::Partitions
                | Mode::Planned
                | Mode::Prompts
                | Mode::Silences => {
                    self.apply_planned_change(deployment);
                }
                Mode::Servers => {
                    self.restart_services(deployment);
                    if self.random.random_bool(0.5) {
                        self.change_servers(deployment);
                    } else {
                        self.apply_planned_change(deployment);
                    }
                }
                Mode::Work => {
                    self.change_work(deployment);
                    self.apply_planned_change(deployment);
                }
            }
        }
        // A draining instance takes up to its grace time to exit before it can be restarted.
        while !self.pending_undos.is_empty() {
            self.undo_due(deployment, Instant::now() + UNDO_ALL_HORIZON)
                .await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn schedule_undo(&mut self, min_ms: u64, max_ms: u64, undo: Undo) {
        let wait = Duration::from_millis(self.random.random_range(min_ms..max_ms));
        self.pending_undos.push((Instant::now() + wait, undo));
    }

    fn has_pending_undo(&self, predicate: impl Fn(&Undo) -> bool) -> bool {
        self.pending_undos.iter().any(|(_, undo)| predicate(undo))
    }

    fn apply_planned_change(&mut self, deployment: &mut Deployment) {
        match self.random.random_range(0..6) {
            0 => self.stop_instance(deployment, Signal::TERM),
            1 => {
                let index = self.random.random_range(0..deployment.slots.len());
                deployment.slots[index].signal(Signal::HUP);
            }
            2 => deployment.publish(),
            3 => self.change_key(deployment),
            4 if !self.has_pending_undo(|undo| matches!(undo, Undo::Domain(_))) => {
                let index = self.random.random_range(0..DOMAINS.len());
                deployment.store.set_domain(DOMAINS[index], true);
                self.schedule_undo(500, 2500, Undo::Domain(index));
            }
            5 if !self.has_pending_undo(|undo| matches!(undo, Undo::Leave(_))) => {
                let index = self.random.random_range(0..deployment.engines.len());
                deployment.announce_leaving(index);
                let id = deployment.engines[index].id.clone();
                self.schedule_undo(1800, 2600, Undo::Leave(id));
            }
            _ => {}
        }
    }

    /// Sets how long a plain service works on each request from now on.
    fn change_work(&mut self, deployment: &Deployment) {
        let index = self.random.random_range(0..deployment.services.len());
        let work = Duration::from_millis(self.random.random_range(100..1000));
        let service = &deployment.services[index].server;
        service.set_behavior(ServiceBehavior::Working(work));
    }

    /// Has a service reject requests for a moment, engines break their streams off, or one leave without backup copies of its runs.
    fn change_servers(&mut self, deployment: &Deployment) {
        if self.random.random_bool(0.7) {
            let share = [0.3, 0.6, 1.0][self.random.random_range(0..3)];
            for engine in &deployment.engines {
                if self.random.random_bool(share) {
                    engine.server.cut_connections();
                }
            }
            return;
        }
        let leaves = self.has_pending_undo(|undo| matches!(undo, Undo::Leave(_)));
        if !leaves && self.random.random_bool(0.5) {
            deployment.drop_copies();
            let index = self.random.random_range(0..deployment.engines.len());
            deployment.announce_leaving(index);
            let id = deployment.engines[index].id.clone();
            self.schedule_undo(1800, 2600, Undo::Leave(id));
            return;
        }
        let index = self.random.random_range(0..deployment.services.len());
        let service = &deployment.services[index].server;
        service.set_behavior(ServiceBehavior::Rejecting);
        self.schedule_undo(50, 500, Undo::Service(index));
    }

    /// Has any number of plain services start again now and then. The entries that they had are removed at once or later, and those
    /// that they have then are late.
    fn restart_services(&mut self, deployment: &mut Deployment) {
        let unlisted = self.has_pending_undo(|undo| matches!(undo, Undo::Unlisted(_)));
        if unlisted || !self.random.random_bool(RESTART_SHARE) {
            return;
        }
        let share = [0.5, 1.0][self.random.random_range(0..2)];
        for index in 0..deployment.services.len() {
            if self.random.random_bool(share) {
                let ended = deployment.restart_service(index);
                self.schedule_undo(0, 600, Undo::Unlisted(index));
                let max_ms = [1, 1500][self.random.random_range(0..2)];
                self.schedule_undo(0, max_ms, Undo::Listed(ended));
            }
        }
    }

    /// Pauses any number of engines, unless some are already.
    fn pause_engines(&mut self, deployment: &Deployment) {
        if self.has_pending_undo(|undo| matches!(undo, Undo::Thaw)) {
            return;
        }
        let share = [0.3, 0.6, 1.0][self.random.random_range(0..3)];
        for engine in &deployment.engines {
            if self.random.random_bool(share) {
                engine.server.freeze();
            }
        }
        self.schedule_undo(300, 2500, Undo::Thaw);
    }

    /// Partitions any number of instances from all endpoints, unless some are already.
    fn partition(&mut self, deployment: &mut Deployment) {
        if self.has_pending_undo(|undo| matches!(undo, Undo::Partition)) {
            return;
        }
        let kinds = [
            Partition::Silent,
            Partition::SilentFromTarget,
            Partition::Reset,
            Partition::ResetNew,
        ];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        let pids = deployment.pids();
        let pids = pids.into_iter().filter(|_| self.random.random_bool(0.6));
        let pids = pids.collect::<Vec<_>>();
        for proxy in deployment.endpoint_proxies() {
            proxy.partition(kind, &pids);
        }
        self.schedule_undo(500, 5000, Undo::Partition);
    }

    async fn inject_fault(&mut self, deployment: &mut Deployment) {
        let fault = self.random_link_fault();
        match self.random.random_range(0..9) {
            0 => self.stop_instance(deployment, Signal::KILL),
            1 => {
                let index = self.random.random_range(0..deployment.slots.len());
                if !self.is_stopped(index) {
                    deployment.slots[index].signal(Signal::STOP);
                    self.schedule_undo(100, 6500, Undo::Resume(index));
                }
            }
            2 => {
                let index = self.random.random_range(0..deployment.slots.len());
                self.apply_link_fault(&deployment.slots[index].proxy, fault);
                self.schedule_undo(200, 7000, Undo::StoreLink(index));
            }
            3 => {
                let index = self.random.random_range(0..deployment.engines.len());
                let engine = &deployment.engines[index];
                self.apply_link_fault(&engine.proxy, fault);
                self.schedule_undo(200, 3000, Undo::EngineLink(engine.id.clone()));
            }
            4 => {
                let index = self.random.random_range(0..deployment.services.len());
                self.apply_link_fault(&deployment.services[index].proxy, fault);
                self.schedule_undo(200, 3000, Undo::ServiceLink(index));
            }
            5 => {
                let behavior = [StoreBehavior::Rejecting, StoreBehavior::Unresponsive]
                    [self.random.random_range(0..2)];
                deployment.store.set_behavior(behavior);
                self.schedule_undo(200, 7000, Undo::StoreBehavior);
            }
            6 => {
                deployment
                    .store
                    .drop_history(self.random.random_range(0..4));
                self.schedule_undo(500, 4000, Undo::StoreHistory);
            }
            7 if !self.has_pending_undo(|undo| matches!(undo, Undo::Leave(_))) => {
                let index = self.random.random_range(0..deployment.engines.len());
                deployment.replace(index).await;
            }
            8 => {
                let index = self.random.random_range(0..deployment.services.len());
                let behaviors = [
                    ServiceBehavior::WrongId,
                    ServiceBehavior::Rejecting,
                    ServiceBehavior::NoAnswer,
                    ServiceBehavior::Slow,
                    ServiceBehavior::Unsealed,
                ];
                let behavior = behaviors[self.random.random_range(0..behaviors.len())];
                deployment.services[index].server.set_behavior(behavior);
                self.schedule_undo(200, 2000, Undo::Service(index));
            }
            _ => {}
        }
    }

    fn random_link_fault(&mut self) -> Option<LinkState> {
        let delay = Duration::from_millis(self.random.random_range(5..300));
        let candidates = [
            Some(LinkState::Delayed(delay)),
            Some(LinkState::BlockedToTarget),
            Some(LinkState::BlockedFromTarget),
            Some(LinkState::Blocked),
            None,
        ];
        candidates[self.random.random_range(0..candidates.len())]
    }

    /// Sets the state of a proxy, or without one resets or stalls its open connections.
    fn apply_link_fault(&mut self, proxy: &FaultProxy, fault: Option<LinkState>) {
        match fault {
            Some(fault) => proxy.set(fault),
            None if self.random.random_bool(0.5) => proxy.reset_connections(),
            None => proxy.stall_connections(),
        }
    }

    /// Whether an instance is being restarted or is paused.
    fn is_stopped(&self, slot: usize) -> bool {
        self.has_pending_undo(
            |undo| matches!(undo, Undo::Resume(index) | Undo::Restart(index) if *index == slot),
        )
    }

    /// Stops an instance unless it would leave none running.
    fn stop_instance(&mut self, deployment: &Deployment, signal: Signal) {
        let index = self.random.random_range(0..deployment.slots.len());
        let stopped = (0..deployment.slots.len())
            .filter(|slot| self.is_stopped(*slot))
            .count();
        if self.is_stopped(index) || stopped + 1 >= deployment.slots.len() {
            return;
        }
        deployment.slots[index].signal(signal);
        self.schedule_undo(100, 1500, Undo::Restart(index));
    }

    fn change_key(&mut self, deployment: &mut Deployment) {
        let now = Instant::now();
        if deployment.keys.len() > 1 {
            let key = deployment.keys.remove(self.random.random_range(0..2));
            deployment.publish();
            self.revoked.push((key, now, None));
        } else {
            if let Some((_, _, restored_at)) = self.revoked.last_mut() {
                *restored_at = Some(now);
            }
            deployment.keys = vec!["key-1", "key-2"];
            deployment.publish();
        }
    }

    /// Makes the undos that are due by `until`. An engine that is leaving always keeps its notice:
    /// without it, its departure would not be a planned one.
    async fn undo_due(&mut self, deployment: &mut Deployment, until: Instant) {
        let mut due = Vec::new();
        let now = Instant::now();
        self.pending_undos.retain(|(at, undo)| {
            let until = match undo {
                Undo::Leave(_) => now,
                _ => until,
            };
            if *at <= until {
                due.push(undo.clone());
            }
            *at > until
        });
        let is_paused = due.iter().any(|undo| matches!(undo, Undo::Thaw))
            || self.has_pending_undo(|undo| matches!(undo, Undo::Thaw));
        for undo in due {
            match undo {
                Undo::Unlisted(index) => deployment.add_service_entry(index),
                Undo::Listed(id) => deployment.store.write_endpoint_entry(&id, ""),
                Undo::Service(index) => deployment.services[index]
                    .server
                    .set_behavior(ServiceBehavior::Healthy),
                Undo::ServiceLink(index) => deployment.services[index].proxy.set(LinkState::Open),
                Undo::Domain(index) => deployment.store.set_domain(DOMAINS[index], false),
                Undo::Partition => {
                    for proxy in deployment.endpoint_proxies() {
                        proxy.heal();
                    }
                }
                Undo::EngineLink(id) => {
                    if let Some(index) = deployment.engine_index(&id) {
                        deployment.engines[index].proxy.set(LinkState::Open);
                    }
                }
                // A paused engine cannot use its notice, and would end as if it had crashed.
                Undo::Leave(id) if is_paused => {
                    self.pending_undos
                        .push((Instant::now() + MIN_NOTICE, Undo::Leave(id)));
                }
                Undo::Leave(id) => {
                    if let Some(index) = deployment.engine_index(&id) {
                        deployment.replace(index).await;
                    }
                }
                Undo::StoreBehavior => deployment.store.set_behavior(StoreBehavior::Healthy),
                Undo::Resume(index) => deployment.slots[index].signal(Signal::CONT),
                Undo::Restart(index) => self.restart(deployment, index).await,
                Undo::StoreHistory => deployment.store.catch_up(),
                Undo::StoreLink(index) => deployment.slots[index].proxy.set(LinkState::Open),
                Undo::Thaw => {
                    for engine in &deployment.engines {
                        engine.server.thaw();
                    }
                    for (at, undo) in &mut self.pending_undos {
                        if matches!(undo, Undo::Leave(_)) {
                            *at = (*at).max(Instant::now() + MIN_NOTICE);
                        }
                    }
                }
            }
        }
    }

    /// Restarts an instance once its previous process has exited.
    async fn restart(&mut self, deployment: &mut Deployment, index: usize) {
        let exited = deployment.slots[index]
            .instance
            .as_mut()
            .is_none_or(|instance| instance.exit_status().is_some());
        if !exited {
            self.pending_undos.push((
                Instant::now() + Duration::from_millis(100),
                Undo::Restart(index),
            ));
            return;
        }
        deployment.slots[index].start().await;
        deployment.tell_pids();
        self.publish_addresses(deployment);
    }
}
