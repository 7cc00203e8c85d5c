//! The loop that owns the state of one instance.

use {
    super::{
        exchange::Exchange,
        metrics::Shared,
        operator_side,
        snapshot::Snapshot,
        tail,
        timeline::{Moment, Timeline},
    },
    crate::prelude::*,
    caller::{
        HandlerState,
        server::{self, Pem},
    },
    fellow::{Asked, Hello, Link},
    std::net::SocketAddr,
    streamlog::stream::Stream,
    tokio::{sync::oneshot, time::MissedTickBehavior},
};

/// How often the state is told that time passed.
const TICK: Duration = Duration::from_millis(20);

/// Events and requests that may wait for the loop.
const QUEUE: usize = 4096;

/// Events taken in one turn before time and other inputs are looked at again.
const MOST_EVENTS: usize = 256;

/// How long a stopping instance waits for its last bytes and log entries.
const FLUSH: Duration = Duration::from_secs(15);

/// How long a connection to an endpoint or the platform may take to open.
const CONNECT: Duration = Duration::from_millis(500);

/// Stream that operators publish the configuration on.
pub const CONFIG: &str = "config";

/// Stream of the claims on order keys.
pub const CLAIMS: &str = "claims";

/// Stream of the snapshots of the configuration.
pub const SNAPSHOTS: &str = "snapshots";

/// An instance that runs.
#[derive(Debug)]
pub struct Running {
    /// Where callers are listened for.
    pub caller: SocketAddr,
    /// Where fellow instances are listened for, if they are.
    pub fellow: Option<SocketAddr>,
    /// Where operators are listened for.
    pub operator: SocketAddr,
    /// Tells it to leave without cutting a request.
    pub drain: oneshot::Sender<()>,
    /// Ends when the instance has.
    pub task: tokio::task::JoinHandle<()>,
}

/// The loop and everything it owns.
#[derive(Debug)]
pub struct Instance {
    pub(super) actions: Vec<Action>,
    asked: Receiver<Asked>,
    pub(super) claims: Stream,
    pub(super) snapshots: Stream,
    pub(super) client: Client,
    pub(super) clock: Clock,
    drain_notice: Duration,
    pub(super) events: Sender<Event>,
    pub(super) exchanges: SecondaryMap<request::Key, Exchange>,
    inbox: Receiver<Event>,
    inbound: Receiver<InboundRequest>,
    pub(super) link: Option<Link>,
    longest_turn: Duration,
    ready: Arc<AtomicBool>,
    shared: Shared,
    pub(super) state: State,
    pub(super) timeline: Arc<Mutex<Timeline>>,
}

/// Starts an instance.
///
/// # Errors
///
/// An address cannot be bound, or a certificate cannot be read.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let (events, inbox) = mpsc::channel(QUEUE);
    let (sender, inbound) = mpsc::channel(QUEUE);
    let clock = Clock::new();
    let client = Client::new(CONNECT);
    let ready = Arc::new(AtomicBool::new(false));
    let shared = Shared::default();
    let handler_state = HandlerState {
        max_body_bytes: settings.caller.body_limit,
        event_buffer_len: settings.caller.buffer,
        inbound: sender,
        ready: Arc::clone(&ready),
        handle_secret: settings.caller.handle_secret,
    };
    let listener = server::listen(handler_state, &settings.caller.listen, pem(&settings)?)
        .await
        .map_err(|error| Error::Listen(settings.caller.listen.clone(), error.to_string()))?;
    let timeline = Arc::new(Mutex::new(Timeline::default()));
    let operator = operator_side::listen(
        Arc::clone(&shared),
        Arc::clone(&timeline),
        &settings.operator.listen,
    )
    .await?;
    let (questions, asked) = mpsc::channel(QUEUE);
    let link = link(&settings, questions)?;
    let fellow = link.as_ref().map(Link::address).transpose()?;
    follow(&settings, &client, clock, &events);
    let seed = rand::random();
    let instance = Instance {
        actions: Vec::new(),
        asked,
        claims: stream(&settings, &client, CLAIMS),
        snapshots: stream(&settings, &client, SNAPSHOTS),
        client,
        clock,
        drain_notice: settings.operator.drain_notice,
        events,
        exchanges: SecondaryMap::new(),
        inbound,
        inbox,
        link,
        longest_turn: Duration::ZERO,
        ready,
        shared,
        state: State::new(
            &settings.name,
            &settings.domain,
            settings.limits.clone(),
            seed,
        ),
        timeline,
    };
    let (drain, drained) = oneshot::channel();
    let caller = listener.address;
    let task = tokio::spawn(instance.run(listener, drained));
    Ok(Running {
        caller,
        fellow,
        operator,
        drain,
        task,
    })
}

/// A stream of the log.
#[must_use]
pub fn stream(settings: &Settings, client: &Client, name: &'static str) -> Stream {
    Stream {
        address: settings.platform.log.clone(),
        client: client.clone(),
        name,
    }
}

fn follow(settings: &Settings, client: &Client, clock: Clock, events: &Sender<Event>) {
    let config = stream(settings, client, CONFIG);
    let claims = stream(settings, client, CLAIMS);
    let platform = &settings.platform;
    let snapshots = stream(settings, client, SNAPSHOTS);
    tokio::spawn(tail::config(
        config,
        snapshots.clone(),
        clock,
        events.clone(),
    ));
    tokio::spawn(tail::snapshots(snapshots, events.clone()));
    tokio::spawn(tail::claims(claims, clock, events.clone()));
    tokio::spawn(tail::list(
        client.clone(),
        platform.list.clone(),
        platform.list_interval,
        events.clone(),
    ));
}

fn link(settings: &Settings, questions: Sender<Asked>) -> Result<Option<Link>, Error> {
    let Some(side) = &settings.fellow else {
        return Ok(None);
    };
    let configs = fellow::tls::configs(&fellow::tls::Files {
        authority: side.authority.clone(),
        certificate: side.tls.certificate.clone(),
        key: side.tls.key.clone(),
    })?;
    let listen = side
        .listen
        .parse()
        .map_err(|_checked| Error::Listen(side.listen.clone(), "not an address".to_string()))?;
    Ok(Some(Link::listen(listen, configs, questions)?))
}

fn pem(settings: &Settings) -> Result<Option<Pem>, Error> {
    let Some(tls) = &settings.caller.tls else {
        return Ok(None);
    };
    Ok(Some(Pem {
        certificate: read(&tls.certificate)?,
        key: read(&tls.key)?,
    }))
}

fn read(file: &str) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|error| Error::Io(file.to_string(), error))
}

impl Instance {
    /// Runs until drained.
    async fn run(mut self, listener: server::Running, drained: oneshot::Receiver<()>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut drained = Some(drained);
        let mut leaving = None;
        let mut idle = None;
        loop {
            tokio::select! {
                Some(event) = self.inbox.recv() => self.events(event),
                Some(inbound) = self.inbound.recv() => self.arrive(inbound),
                Some(asked) = self.asked.recv() => self.answer(asked),
                _ = tick.tick() => self.tick(),
                () = wait(&mut drained) => {
                    drained = None;
                    leaving = Some(Instant::now());
                    self.state.draining = true;
                    self.note(Moment { what: "leaving".to_string(), ..Moment::default() });
                }
            }
            let Some(since) = leaving else {
                continue;
            };
            if since.elapsed() >= self.drain_notice && !listener.task.is_finished() {
                listener.handle.stop_graceful(None);
            }
            if !self.left(since) {
                idle = None;
                continue;
            }
            // The listener may hold the last bytes of an answer, or a request whose body
            // is still coming: the loop goes on for it until its connections are closed.
            let waited = idle.get_or_insert_with(Instant::now).elapsed();
            if listener.task.is_finished() {
                break;
            }
            if waited >= FLUSH {
                log::warn!("connections were still open at the end");
                break;
            }
        }
        log::info!(instance = self.state.name; "left");
    }

    /// Whether nothing is in progress any more.
    fn left(&self, since: Instant) -> bool {
        let served = self.exchanges.is_empty() && self.inbound.is_empty();
        let noticed = since.elapsed() >= self.drain_notice;
        // With the log out the last entries cannot be appended; waiting for it without
        // a bound would keep the instance for as long as the outage lasts.
        let told = self.state.batch.is_empty() || since.elapsed() >= self.drain_notice + FLUSH;
        served && noticed && told
    }

    /// Takes in what waits, at one time for all of it: reading clocks for each token
    /// cost more than deciding about it.
    fn events(&mut self, first: Event) {
        let begun = Instant::now();
        let (now, wall) = (self.clock.at(begun), self.clock.wall());
        self.step_at(now, wall, first);
        for _ in 1..MOST_EVENTS {
            let Ok(event) = self.inbox.try_recv() else {
                break;
            };
            self.step_at(now, wall, event);
        }
        self.longest_turn = self.longest_turn.max(begun.elapsed());
    }

    pub(super) fn step(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.step_at(now, wall, event);
    }

    fn step_at(&mut self, now: Time, wall: Wall, event: Event) {
        let next = self.state.config.next();
        self.state.step(now, wall, event, &mut self.actions);
        if self.state.config.next() != next {
            self.note(Moment {
                what: "configured".to_string(),
                detail: format!("up to offset {}", self.state.config.next() - 1),
                ..Moment::default()
            });
        }
        self.perform();
    }

    fn tick(&mut self) {
        let begun = Instant::now();
        let closed = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.outlet.is_closed());
        let closed = closed.map(|(key, _)| key).collect::<Vec<_>>();
        for key in closed {
            self.step(Event::Gone(key));
        }
        self.step(Event::Tick);
        let ready = self.state.ready() && !self.state.draining;
        self.ready.store(ready, Ordering::Relaxed);
        let turn = u64::try_from(self.longest_turn.as_micros()).unwrap_or(u64::MAX);
        let snapshot = Snapshot::of(&self.state, self.clock.now(), ready, turn);
        *self.shared.lock().expect("the snapshot is never poisoned") = snapshot;
        self.longest_turn = begun.elapsed();
    }

    fn arrive(&mut self, inbound: InboundRequest) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let wait = inbound
            .timeout
            .unwrap_or(self.state.limits.deadline)
            .min(self.state.limits.deadline);
        let arrival = Arrival {
            credential: inbound.credential,
            deadline: now.after(wait),
            work: self.work(&inbound.kind),
        };
        self.note(Moment {
            what: "arrived".to_string(),
            request: inbound.id.to_string(),
            detail: describe(&arrival.work),
            ..Moment::default()
        });
        let key = self.state.arrive(now, wall, arrival, &mut self.actions);
        self.exchanges.insert(
            key,
            Exchange::new(inbound.kind, inbound.id, inbound.event_sender),
        );
        self.perform();
        self.state.flush(now, &mut self.actions);
        self.perform();
    }

    /// Notes a moment for the time line, and as a log line.
    pub(super) fn note(&mut self, moment: Moment) {
        let moment = Moment {
            instance: self.state.name.clone(),
            ..moment
        };
        log::info!(
            request = moment.request,
            endpoint = moment.endpoint,
            domain = moment.domain,
            detail = moment.detail;
            "{}", moment.what
        );
        let wall = self.clock.wall();
        lock(&self.timeline).note(wall, moment);
    }

    /// What this instance tells its fellows.
    pub(super) fn hello(&self) -> Hello {
        let known = self.state.known(self.clock.now());
        let age = known.age.map(|age| age.as_millis());
        Hello {
            age_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            name: self.state.name.clone(),
            next: known.next,
            stamp: lock(&self.timeline).send(self.clock.wall()),
        }
    }

    /// Answers a fellow instance with the records it lacks.
    fn answer(&self, asked: Asked) {
        lock(&self.timeline).receive(self.clock.wall(), asked.hello.stamp);
        let next = asked.hello.next;
        let lines = self.state.history.after(next).into_iter();
        let own = self.state.config.next();
        let lacking = self.state.history.lacks(next, own) && self.state.config.complete();
        let answer = fellow::Answer {
            hello: self.hello(),
            snapshot: lacking.then(|| self.state.config.snapshot()),
            lines: lines
                .map(|(offset, data)| fellow::Line {
                    data: data.to_vec(),
                    offset,
                })
                .collect(),
        };
        if asked.reply.send(answer).is_err() {
            log::debug!(fellow = asked.hello.name; "the fellow instance did not wait");
        }
    }

    fn work(&self, ask: &RequestKind) -> Work {
        match ask {
            RequestKind::Call {
                order,
                payload,
                service,
            } => Work::Call {
                idempotent: self.idempotent(service, payload),
                order: *order,
                service: service.clone(),
            },
            RequestKind::Generation {
                limit,
                model,
                prompt,
                ..
            } => Work::Generation {
                limit: *limit,
                model: model.clone(),
                prompt: *prompt,
            },
            RequestKind::Resume {
                endpoint,
                generation,
                next,
            } => Work::Resume {
                endpoint: endpoint.clone(),
                generation: *generation,
                next: *next,
            },
        }
    }

    /// Idempotent by its method (RFC 9110), or by what the service's record says.
    fn idempotent(&self, service: &str, payload: &Payload) -> bool {
        if payload.method.is_idempotent() {
            return true;
        }
        let record = self.state.config.service(service);
        record.is_some_and(|record| {
            record
                .idempotent
                .iter()
                .any(|prefix| payload.path.starts_with(prefix.as_str()))
        })
    }
}

/// The time line, for a short while.
pub(super) fn lock(timeline: &Mutex<Timeline>) -> std::sync::MutexGuard<'_, Timeline> {
    timeline.lock().expect("the time line is never poisoned")
}

/// What is asked for, in a few words.
fn describe(work: &Work) -> String {
    match work {
        Work::Call {
            service,
            order: Some(order),
            ..
        } => {
            format!("order at {service} under {}", Uuid::from_u128(order.uuid))
        }
        Work::Call { service, .. } => format!("call of {service}"),
        Work::Generation { model, .. } => format!("generation by {model}"),
        Work::Resume {
            generation, next, ..
        } => format!("rest of {generation} from {next}"),
    }
}

/// Waits for the word to leave; after it came, for ever.
async fn wait(drained: &mut Option<oneshot::Receiver<()>>) {
    match drained {
        Some(receiver) => {
            if receiver.await.is_err() {
                // The owner of the sender is gone without having asked to leave.
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}
