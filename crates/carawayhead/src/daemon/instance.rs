//! The loop that owns the state of one instance.

use {
    super::{exchange::Exchange, metrics::Shared, operator_side, snapshot::Snapshot, tail},
    crate::prelude::*,
    caller::{
        Gate,
        server::{self, Pem},
    },
    endpoint::{engine, service},
    platform::stream::{self, Stream},
    std::net::SocketAddr,
    tokio::{sync::oneshot, time::MissedTickBehavior},
};

/// How often the state is told that time passed.
const TICK: Duration = Duration::from_millis(20);

/// Events and requests that may wait for the loop.
const QUEUE: usize = 4096;

/// Events taken in one turn before time and other inputs are looked at again.
const MOST_EVENTS: usize = 256;

/// How long a connection to an endpoint or the platform may take to open.
const CONNECT: Duration = Duration::from_millis(500);

/// How long an engine may take to report its load.
const LOAD_WAIT: Duration = Duration::from_millis(800);

/// Stream that operators publish the configuration on.
pub const CONFIG: &str = "config";

/// Stream of the claims on order keys.
pub const CLAIMS: &str = "claims";

/// An instance that runs.
#[derive(Debug)]
pub struct Running {
    /// Where callers are listened for.
    pub caller: SocketAddr,
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
    actions: Vec<Action>,
    claims: Stream,
    client: Client,
    clock: Clock,
    drain_notice: Duration,
    events: Sender<Event>,
    exchanges: SecondaryMap<request::Key, Exchange>,
    inbox: Receiver<Event>,
    inbound: Receiver<Inbound>,
    longest_turn: Duration,
    ready: Arc<AtomicBool>,
    shared: Shared,
    state: State,
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
    let gate = Gate {
        body_limit: settings.caller.body_limit,
        buffer: settings.caller.buffer,
        inbound: sender,
        ready: Arc::clone(&ready),
        secret: settings.caller.handle_secret,
    };
    let listener = server::listen(gate, &settings.caller.listen, pem(&settings)?)
        .await
        .map_err(|error| Error::Listen(settings.caller.listen.clone(), error.to_string()))?;
    let operator = operator_side::listen(Arc::clone(&shared), &settings.operator.listen).await?;
    follow(&settings, &client, clock, &events);
    let seed = rand::random();
    let instance = Instance {
        actions: Vec::new(),
        claims: stream(&settings, &client, CLAIMS),
        client,
        clock,
        drain_notice: settings.operator.drain_notice,
        events,
        exchanges: SecondaryMap::new(),
        inbound,
        inbox,
        longest_turn: Duration::ZERO,
        ready,
        shared,
        state: State::new(
            &settings.name,
            &settings.domain,
            settings.limits.clone(),
            seed,
        ),
    };
    let (drain, drained) = oneshot::channel();
    let caller = listener.address;
    let task = tokio::spawn(instance.run(listener, drained));
    Ok(Running {
        caller,
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
    tokio::spawn(tail::config(config, clock, events.clone()));
    tokio::spawn(tail::claims(claims, clock, events.clone()));
    tokio::spawn(tail::list(
        client.clone(),
        platform.list.clone(),
        platform.list_interval,
        events.clone(),
    ));
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
        loop {
            tokio::select! {
              Some(event) = self.inbox.recv() => self.events(event),
              Some(inbound) = self.inbound.recv() => self.arrive(inbound),
              _ = tick.tick() => self.tick(leaving.is_some()),
              () = wait(&mut drained) => {
                drained = None;
                leaving = Some(Instant::now());
                log::info!(instance = self.state.name; "leaving");
              }
            }
            let Some(since) = leaving else {
                continue;
            };
            if since.elapsed() >= self.drain_notice && !listener.task.is_finished() {
                listener.handle.stop_graceful(None);
            }
            if self.left(since) {
                break;
            }
        }
        log::info!(instance = self.state.name; "left");
    }

    /// Whether nothing is in progress any more.
    fn left(&self, since: Instant) -> bool {
        let idle =
            self.exchanges.is_empty() && self.inbound.is_empty() && self.state.batch.is_empty();
        since.elapsed() >= self.drain_notice && idle
    }

    fn events(&mut self, first: Event) {
        let begun = Instant::now();
        self.step(first);
        for _ in 1..MOST_EVENTS {
            let Ok(event) = self.inbox.try_recv() else {
                break;
            };
            self.step(event);
        }
        self.longest_turn = self.longest_turn.max(begun.elapsed());
    }

    fn step(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.state.step(now, wall, event, &mut self.actions);
        self.perform();
    }

    fn tick(&mut self, leaving: bool) {
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
        let ready = self.state.ready() && !leaving;
        self.ready.store(ready, Ordering::Relaxed);
        let turn = u64::try_from(self.longest_turn.as_micros()).unwrap_or(u64::MAX);
        let snapshot = Snapshot::of(&self.state, self.clock.now(), ready, turn);
        *self.shared.lock().expect("the snapshot is never poisoned") = snapshot;
        self.longest_turn = begun.elapsed();
    }

    fn arrive(&mut self, inbound: Inbound) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let wait = inbound
            .wait
            .unwrap_or(self.state.limits.deadline)
            .min(self.state.limits.deadline);
        let arrival = Arrival {
            credential: inbound.credential,
            deadline: now.after(wait),
            work: self.work(&inbound.ask),
        };
        log::info!(request:% = inbound.id, work:? = arrival.work; "arrived");
        let key = self.state.arrive(now, wall, arrival, &mut self.actions);
        self.exchanges
            .insert(key, Exchange::new(inbound.ask, inbound.id, inbound.outlet));
        self.perform();
        self.state.flush(now, &mut self.actions);
        self.perform();
    }

    fn work(&self, ask: &Ask) -> Work {
        match ask {
            Ask::Call {
                order,
                payload,
                service,
            } => Work::Call {
                idempotent: self.idempotent(service, payload),
                order: *order,
                service: service.clone(),
            },
            Ask::Generation {
                limit,
                model,
                prompt,
                ..
            } => Work::Generation {
                limit: *limit,
                model: model.clone(),
                prompt: *prompt,
            },
            Ask::Resume {
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

    fn perform(&mut self) {
        let mut gone = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Append(batch) => self.append(&batch),
                Action::Cancel {
                    endpoint,
                    generation,
                    unattached,
                } => {
                    if let Some(address) = self.address(endpoint) {
                        let client = self.client.clone();
                        tokio::spawn(engine::cancel(client, address, generation, unattached));
                    }
                }
                Action::Deliver(key, index, data) => {
                    let sent = self
                        .exchanges
                        .get(key)
                        .map(|to| to.outlet.try_send(Piece::Token(index, data)));
                    if let Some(Err(error)) = sent {
                        gone.push((key, error));
                    }
                }
                Action::Detach(key) => {
                    if let Some(exchange) = self.exchanges.get_mut(key) {
                        exchange.detach();
                    }
                }
                Action::Finish(key, outcome) => self.finish(key, outcome),
                Action::Poll(endpoint) => self.poll(endpoint),
                Action::Resume {
                    attempt,
                    endpoint,
                    next,
                } => self.resume(attempt, endpoint, next),
                Action::Send {
                    attempt,
                    endpoint,
                    model,
                } => self.send(attempt, endpoint, model.as_deref()),
            }
        }
        for (key, error) in gone {
            self.drop_caller(key, &error);
        }
    }

    /// A caller left, or reads so slowly that the buffer is full.
    ///
    /// Its connection is closed after what is buffered; the generation is kept for
    /// the grace time, and the caller may come back with `Last-Event-ID`. Waiting
    /// instead would hold memory for as long as the caller likes.
    fn drop_caller(&mut self, key: request::Key, error: &mpsc::error::TrySendError<Piece>) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                log::warn!(request:% = exchange.id; "caller reads too slowly and is let go");
            }
            let (closed, _) = mpsc::channel(1);
            exchange.outlet = closed;
        }
        self.step(Event::Gone(key));
    }

    fn address(&self, endpoint: target::Key) -> Option<String> {
        Some(self.state.endpoints.get(endpoint)?.member.address.clone())
    }

    fn append(&self, batch: &Batch) {
        let (stream, events) = (self.claims.clone(), self.events.clone());
        let data = platform::codec::encode(batch);
        tokio::spawn(async move {
            let result = match data {
                Ok(data) => stream.append(data).await,
                Err(error) => Err(error),
            };
            if let Err(error) = &result {
                log::warn!(error:%; "claims could not be appended");
            }
            if events
                .send(Event::Appended(stream::settled(&result)))
                .await
                .is_err()
            {
                log::debug!("the loop has ended");
            }
        });
    }

    fn finish(&mut self, key: request::Key, outcome: Outcome) {
        let Some(exchange) = self.exchanges.remove(key) else {
            return;
        };
        log::info!(request:% = exchange.id, outcome:? = outcome; "finished");
        if let Err(mpsc::error::TrySendError::Full(piece)) =
            exchange.outlet.try_send(Piece::End(outcome))
        {
            // The buffer is full of tokens that the caller has yet to read; the end
            // must follow them, or a whole answer would look cut.
            let outlet = exchange.outlet.clone();
            tokio::spawn(async move {
                if outlet.send(piece).await.is_err() {
                    log::debug!("the caller left before the end of its answer");
                }
            });
        }
    }

    fn poll(&self, endpoint: target::Key) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = match engine::load(&client, &address, LOAD_WAIT).await {
                Ok(report) => Event::Reported(endpoint, report),
                Err(error) => {
                    log::debug!(address, error:%; "no load report");
                    Event::Unreachable(endpoint)
                }
            };
            if events.send(event).await.is_err() {
                log::debug!("the loop has ended");
            }
        });
    }

    fn resume(&mut self, attempt: Attempt, endpoint: target::Key, next: u32) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        self.begun(attempt, endpoint);
        let Some(exchange) = self.exchanges.get_mut(attempt.request) else {
            return;
        };
        log::info!(request:% = exchange.id, generation:% = attempt.generation, next; "resuming");
        let task = tokio::spawn(engine::resume(client, address, attempt, next, events));
        exchange.attach(task.abort_handle());
    }

    fn send(&mut self, attempt: Attempt, endpoint: target::Key, model: Option<&str>) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        let work = self
            .state
            .requests
            .get(attempt.request)
            .map(|request| &request.work);
        let idempotent = !matches!(
            work,
            Some(Work::Call {
                idempotent: false,
                ..
            })
        );
        let priority = self.priority(attempt.request);
        self.begun(attempt, endpoint);
        let Some(exchange) = self.exchanges.get_mut(attempt.request) else {
            return;
        };
        log::info!(request:% = exchange.id, generation:% = attempt.generation, address; "sending");
        let task = match &mut exchange.ask {
            Ask::Call { payload, .. } => {
                let call = service::Call {
                    attempt,
                    body: payload.body.clone(),
                    idempotent,
                    key: payload.key.clone(),
                    media: payload.media.clone(),
                    method: payload.method.clone(),
                    path: payload.path.clone(),
                };
                tokio::spawn(service::call(client, address, call, events))
            }
            Ask::Generation { body, path, .. } => {
                body.insert("model".to_string(), json!(model));
                body.insert("priority".to_string(), json!(priority));
                body.insert("stream".to_string(), json!(true));
                let start = engine::Start {
                    attempt,
                    body: json!(body).to_string().into(),
                    path,
                };
                tokio::spawn(engine::start(client, address, start, events))
            }
            Ask::Resume { .. } => return,
        };
        exchange.attach(task.abort_handle());
    }

    /// Tells the caller's side where the generation runs, for its resume handles.
    fn begun(&self, attempt: Attempt, endpoint: target::Key) {
        let (Some(exchange), Some(target)) = (
            self.exchanges.get(attempt.request),
            self.state.endpoints.get(endpoint),
        ) else {
            return;
        };
        let piece = Piece::Begun(target.member.name.clone(), attempt.generation);
        if exchange.outlet.try_send(piece).is_err() {
            log::debug!(request:% = exchange.id; "the caller left or reads slowly");
        }
    }

    fn priority(&self, key: request::Key) -> u8 {
        let request = self.state.requests.get(key);
        let customer =
            request.and_then(|request| self.state.config.customers.get(request.customer));
        customer.map_or(0, |customer| customer.priority)
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
