//! What goes wrong, drawn from a seed.

use {
    crate::{
        callers::Addresses,
        deployment::{DOMAINS, Deployment},
        loopback::{Link, Loopback},
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

/// Longer than anything is left harmed.
const FAR: Duration = Duration::from_hours(1);

/// What a soak may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Theme {
    /// Everything.
    Faults,
    /// Planned work only: stops, reloads, configurations, engines that announce themselves.
    Planned,
}

/// What is undone at a time.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Conduct(usize),
    DeskLink(usize),
    Domain(usize),
    EngineLink(usize),
    Leave(usize),
    Mood,
    Resume(usize),
    Restart(usize),
    Stale,
    StoreLink(usize),
}

/// Runs a script against a deployment.
pub struct Script {
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    /// Faults so far, for the report.
    pub faults: u32,
    /// Keys, when they were taken away, and when they were given back.
    pub revoked: Vec<(&'static str, Instant, Option<Instant>)>,
    random: SmallRng,
    theme: Theme,
    undo: Vec<(Instant, Undo)>,
}

impl Script {
    pub fn new(theme: Theme, random: SmallRng) -> (Self, Addresses) {
        let (addresses, listening) = watch::channel(Vec::new());
        let script = Self {
            addresses,
            faults: 0,
            random,
            revoked: Vec::new(),
            theme,
            undo: Vec::new(),
        };
        (script, listening)
    }

    /// Tells callers where instances listen.
    pub fn announce(&self, deployment: &Deployment) {
        let instances = deployment
            .seats
            .iter()
            .filter_map(|seat| seat.instance.as_ref());
        let listening = instances.map(|instance| instance.callers).collect();
        self.addresses.send_replace(listening);
    }

    /// Does one thing after the other for so long, then undoes all of it.
    pub async fn run(&mut self, deployment: &mut Deployment, length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            sleep(Duration::from_millis(self.random.random_range(50..350))).await;
            self.undo(deployment, Instant::now()).await;
            self.faults += 1;
            match self.theme {
                Theme::Faults if self.random.random_bool(0.7) => self.harm(deployment).await,
                Theme::Faults | Theme::Planned => self.plan(deployment),
            }
        }
        // An instance that is told to stop takes up to its grace to end.
        while !self.undo.is_empty() {
            self.undo(deployment, Instant::now() + FAR).await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn later(&mut self, least: u64, most: u64, undo: Undo) {
        let wait = Duration::from_millis(self.random.random_range(least..most));
        self.undo.push((Instant::now() + wait, undo));
    }

    fn pending(&self, wanted: impl Fn(&Undo) -> bool) -> bool {
        self.undo.iter().any(|(_, undo)| wanted(undo))
    }

    /// Planned work.
    fn plan(&mut self, deployment: &mut Deployment) {
        match self.random.random_range(0..6) {
            0 => self.stop(deployment, Signal::TERM),
            1 => {
                let place = self.random.random_range(0..deployment.seats.len());
                deployment.seats[place].signal(Signal::HUP);
            }
            2 => deployment.publish(),
            3 => self.change_key(deployment),
            4 if !self.pending(|undo| matches!(undo, Undo::Domain(_))) => {
                let place = self.random.random_range(0..DOMAINS.len());
                deployment.store.set_domain(DOMAINS[place], true);
                self.later(500, 2500, Undo::Domain(place));
            }
            5 if !self.pending(|undo| matches!(undo, Undo::Leave(_))) => {
                let place = self.random.random_range(0..deployment.engines.len());
                deployment.announce(place);
                // A stream of 0.9 s that has just begun must be able to end there.
                self.later(1800, 2600, Undo::Leave(place));
            }
            _ => {}
        }
    }

    /// Unplanned harm.
    async fn harm(&mut self, deployment: &mut Deployment) {
        let link = self.link();
        match self.random.random_range(0..9) {
            0 => self.stop(deployment, Signal::KILL),
            1 => {
                let place = self.random.random_range(0..deployment.seats.len());
                if !self.busy(place) {
                    deployment.seats[place].signal(Signal::STOP);
                    self.later(100, 6500, Undo::Resume(place));
                }
            }
            2 => {
                let place = self.random.random_range(0..deployment.seats.len());
                self.harm_link(&deployment.seats[place].proxy, link);
                self.later(200, 7000, Undo::StoreLink(place));
            }
            3 => {
                let place = self.random.random_range(0..deployment.engines.len());
                self.harm_link(&deployment.engines[place].proxy, link);
                self.later(200, 3000, Undo::EngineLink(place));
            }
            4 => {
                let place = self.random.random_range(0..deployment.desks.len());
                self.harm_link(&deployment.desks[place].proxy, link);
                self.later(200, 3000, Undo::DeskLink(place));
            }
            5 => {
                let mood = [StoreBehavior::Rejecting, StoreBehavior::Unresponsive]
                    [self.random.random_range(0..2)];
                deployment.store.set_behavior(mood);
                self.later(200, 7000, Undo::Mood);
            }
            6 => {
                deployment
                    .store
                    .drop_history(self.random.random_range(0..4));
                self.later(500, 4000, Undo::Stale);
            }
            7 if !self.pending(|undo| matches!(undo, Undo::Leave(_))) => {
                let place = self.random.random_range(0..deployment.engines.len());
                deployment.replace(place).await;
            }
            8 => {
                let place = self.random.random_range(0..deployment.desks.len());
                let conducts = [
                    ServiceBehavior::WrongId,
                    ServiceBehavior::Rejecting,
                    ServiceBehavior::NoAnswer,
                    ServiceBehavior::Slow,
                    ServiceBehavior::Unsealed,
                ];
                let conduct = conducts[self.random.random_range(0..conducts.len())];
                deployment.desks[place].server.set_behavior(conduct);
                self.later(200, 2000, Undo::Conduct(place));
            }
            _ => {}
        }
    }

    fn link(&mut self) -> Option<Link> {
        let delay = Duration::from_millis(self.random.random_range(5..300));
        let links = [
            Some(Link::Slow(delay)),
            Some(Link::CutThere),
            Some(Link::CutBack),
            Some(Link::Silent),
            None,
        ];
        links[self.random.random_range(0..links.len())]
    }

    /// Harms a way, or its open connections only.
    fn harm_link(&mut self, proxy: &Loopback, link: Option<Link>) {
        match link {
            Some(link) => proxy.set(link),
            None if self.random.random_bool(0.5) => proxy.reset(),
            None => proxy.silence(),
        }
    }

    /// Whether an instance is stopped or paused already.
    fn busy(&self, seat: usize) -> bool {
        self.pending(
            |undo| matches!(undo, Undo::Resume(place) | Undo::Restart(place) if *place == seat),
        )
    }

    /// Stops an instance; one of the others must stay.
    fn stop(&mut self, deployment: &Deployment, signal: Signal) {
        let place = self.random.random_range(0..deployment.seats.len());
        let stopping = (0..deployment.seats.len())
            .filter(|seat| self.busy(*seat))
            .count();
        if self.busy(place) || stopping + 1 >= deployment.seats.len() {
            return;
        }
        deployment.seats[place].signal(signal);
        self.later(100, 1500, Undo::Restart(place));
    }

    fn change_key(&mut self, deployment: &mut Deployment) {
        let now = Instant::now();
        if deployment.keys.len() > 1 {
            let key = deployment.keys.remove(self.random.random_range(0..2));
            deployment.publish();
            self.revoked.push((key, now, None));
        } else {
            if let Some((_, _, back)) = self.revoked.last_mut() {
                *back = Some(now);
            }
            deployment.keys = vec!["key-1", "key-2"];
            deployment.publish();
        }
    }

    async fn undo(&mut self, deployment: &mut Deployment, until: Instant) {
        let mut due = Vec::new();
        self.undo.retain(|(at, undo)| {
            if *at <= until {
                due.push(*undo);
            }
            *at > until
        });
        for undo in due {
            match undo {
                Undo::Conduct(place) => deployment.desks[place]
                    .server
                    .set_behavior(ServiceBehavior::Healthy),
                Undo::DeskLink(place) => deployment.desks[place].proxy.set(Link::Sound),
                Undo::Domain(place) => deployment.store.set_domain(DOMAINS[place], false),
                Undo::EngineLink(place) => deployment.engines[place].proxy.set(Link::Sound),
                Undo::Leave(place) => deployment.replace(place).await,
                Undo::Mood => deployment.store.set_behavior(StoreBehavior::Healthy),
                Undo::Resume(place) => deployment.seats[place].signal(Signal::CONT),
                Undo::Restart(place) => self.restart(deployment, place).await,
                Undo::Stale => deployment.store.catch_up(),
                Undo::StoreLink(place) => deployment.seats[place].proxy.set(Link::Sound),
            }
        }
    }

    /// Starts an instance again once the one before has ended.
    async fn restart(&mut self, deployment: &mut Deployment, place: usize) {
        let ended = deployment.seats[place]
            .instance
            .as_mut()
            .is_none_or(|instance| instance.ended().is_some());
        if !ended {
            self.undo.push((
                Instant::now() + Duration::from_millis(100),
                Undo::Restart(place),
            ));
            return;
        }
        deployment.seats[place].start().await;
        self.announce(deployment);
    }
}
