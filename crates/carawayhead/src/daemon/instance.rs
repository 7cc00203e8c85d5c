//! The event loop that owns the state of an instance.

use {
    super::{
        exchange::Exchange,
        metrics::SharedStatus,
        operator_listener,
        status::Status,
        tail,
        timeline::{Timeline, TimelineEntry},
    },
    crate::prelude::*,
    caller::{
        HandlerState,
        server::{self, Pem},
    },
    decision::{fingerprint::Fingerprint, part::Part},
    peer::{
        Hello, IncomingRequest, RequestSocket,
        tunnel::{Incoming, Usage},
    },
    std::net::SocketAddr,
    streamlog::stream::Stream,
    tokio::{sync::oneshot, time::MissedTickBehavior},
};

/// Interval of the tick event.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Capacity of each channel into the event loop.
const CHANNEL_CAPACITY: usize = 4096;

/// Maximum number of events handled per iteration before the clock and the other inputs are
/// checked again.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// How long a draining instance waits for open connections and for pending log entries.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout for opening a connection to an endpoint or the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Name of the stream of configuration records.
pub const CONFIG_STREAM: &str = "config";

/// Name of the stream of claims on order keys.
pub const CLAIMS_STREAM: &str = "claims";

/// Name of the stream of crashes of endpoints under a request. Instances of earlier versions do not
/// read it.
pub const CRASHES_STREAM: &str = "crashes";

/// Name of the stream of configuration snapshots.
pub const SNAPSHOTS_STREAM: &str = "snapshots";

/// A running instance.
#[derive(Debug)]
pub struct Running {
    /// Address of the listener for callers.
    pub caller: SocketAddr,
    /// Address of the listener for peer instances, if enabled.
    pub peer: Option<SocketAddr>,
    /// Address of the listener for operators.
    pub operator: SocketAddr,
    /// Starts draining: the instance stops once all requests have ended.
    pub drain: oneshot::Sender<()>,
    /// Completes when the instance has stopped.
    pub task: tokio::task::JoinHandle<()>,
}

/// The event loop and everything it owns.
#[derive(Debug)]
pub struct Instance {
    pub(super) actions: Vec<Action>,
    peer_requests: Receiver<IncomingRequest>,
    pub(super) claims: Stream,
    pub(super) crashes: Stream,
    pub(super) snapshots: Stream,
    pub(super) client: Client,
    pub(super) clock: Clock,
    drain_notice: Duration,
    pub(super) events: Sender<Event>,
    pub(super) exchanges: SecondaryMap<request::Key, Exchange>,
    inbox: Receiver<Event>,
    inbound: Receiver<InboundRequest>,
    pub(super) peer_socket: Option<RequestSocket>,
    tunnel_requests: Receiver<Incoming>,
    /// Held by each tunnel of a peer through this instance.
    pub(super) tunnel_usage: Usage,
    longest_iteration: Duration,
    ready: Arc<AtomicBool>,
    shared: SharedStatus,
    pub(super) state: State,
    pub(super) timeline: Arc<Mutex<Timeline>>,
}

/// Starts an instance.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a certificate cannot be read.
pub async fn start(settings: Settings) -> Result<Running, Error> {
    let (events, inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (sender, inbound) = mpsc::channel(CHANNEL_CAPACITY);
    let clock = Clock::new();
    let client = Client::new(CONNECT_TIMEOUT);
    let ready = Arc::new(AtomicBool::new(false));
    let shared = SharedStatus::default();
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
    let operator = operator_listener::listen(
        Arc::clone(&shared),
        Arc::clone(&timeline),
        &settings.operator.listen,
    )
    .await?;
    let (peer_sender, peer_requests) = mpsc::channel(CHANNEL_CAPACITY);
    let (tunnel_sender, tunnel_requests) = mpsc::channel(CHANNEL_CAPACITY);
    let peer_socket = peer_socket(&settings, peer_sender, tunnel_sender)?;
    let peer = peer_socket
        .as_ref()
        .map(RequestSocket::address)
        .transpose()?;
    start_followers(&settings, &client, clock, &events);
    let seed = rand::random();
    let instance = Instance {
        actions: Vec::new(),
        peer_requests,
        claims: stream(&settings, &client, CLAIMS_STREAM),
        crashes: stream(&settings, &client, CRASHES_STREAM),
        snapshots: stream(&settings, &client, SNAPSHOTS_STREAM),
        client,
        clock,
        drain_notice: settings.operator.drain_notice,
        events,
        exchanges: SecondaryMap::new(),
        inbound,
        inbox,
        peer_socket,
        longest_iteration: Duration::ZERO,
        ready,
        shared,
        state: State::new(
            &settings.name,
            &settings.domain,
            settings.limits.clone(),
            seed,
        ),
        timeline,
        tunnel_requests,
        tunnel_usage: Usage::default(),
    };
    let (drain, drain_request) = oneshot::channel();
    let caller = listener.address;
    let task = tokio::spawn(instance.run(listener, drain_request));
    Ok(Running {
        caller,
        peer,
        operator,
        drain,
        task,
    })
}

/// Returns the stream `name` of the log.
#[must_use]
pub fn stream(settings: &Settings, client: &Client, name: &'static str) -> Stream {
    Stream {
        address: settings.platform.log.clone(),
        client: client.clone(),
        name,
    }
}

fn start_followers(settings: &Settings, client: &Client, clock: Clock, events: &Sender<Event>) {
    let config = stream(settings, client, CONFIG_STREAM);
    let claims = stream(settings, client, CLAIMS_STREAM);
    let platform = &settings.platform;
    let snapshots = stream(settings, client, SNAPSHOTS_STREAM);
    tokio::spawn(tail::config(
        config,
        snapshots.clone(),
        clock,
        events.clone(),
    ));
    tokio::spawn(tail::snapshots(snapshots, events.clone()));
    tokio::spawn(tail::claims(claims, clock, events.clone()));
    let crashes = stream(settings, client, CRASHES_STREAM);
    tokio::spawn(tail::crashes(crashes, events.clone()));
    tokio::spawn(tail::list(
        client.clone(),
        platform.list.clone(),
        platform.list_interval,
        events.clone(),
    ));
}

fn peer_socket(
    settings: &Settings,
    requests: Sender<IncomingRequest>,
    tunnels: Sender<Incoming>,
) -> Result<Option<RequestSocket>, Error> {
    let Some(peer) = &settings.peer else {
        return Ok(None);
    };
    let configs = peer::tls::configs(&peer::tls::Files {
        authority: peer.authority.clone(),
        certificate: peer.tls.certificate.clone(),
        key: peer.tls.key.clone(),
    })?;
    let listen = peer
        .listen
        .parse()
        .map_err(|_error| Error::Listen(peer.listen.clone(), "not an address".to_string()))?;
    Ok(Some(RequestSocket::listen(
        listen, configs, requests, tunnels,
    )?))
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
    /// Runs the event loop until draining is complete.
    async fn run(mut self, listener: server::Running, drain_request: oneshot::Receiver<()>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut drain_request = Some(drain_request);
        let mut drain_start = None;
        let mut idle_since = None;
        loop {
            tokio::select! {
                Some(event) = self.inbox.recv() => self.handle_events(event),
                Some(inbound) = self.inbound.recv() => self.handle_request(inbound),
                Some(request) = self.peer_requests.recv() => self.answer_peer(request),
                Some(incoming) = self.tunnel_requests.recv() => self.connect_tunnel(incoming),
                _ = tick.tick() => self.tick(),
                () = drain_requested(&mut drain_request) => {
                    drain_request = None;
                    drain_start = Some(Instant::now());
                    self.state.draining = true;
                    self.record(TimelineEntry { what: "leaving".to_string(), ..TimelineEntry::default() });
                }
            }
            let Some(since) = drain_start else {
                continue;
            };
            if since.elapsed() >= self.drain_notice && !listener.task.is_finished() {
                listener.handle.stop_graceful(None);
            }
            if !self.is_drained(since) {
                idle_since = None;
                continue;
            }
            // The listener may still be writing the end of an answer or receiving the body of a
            // request, so the loop runs until all its connections are closed.
            let idle = idle_since.get_or_insert_with(Instant::now).elapsed();
            if listener.task.is_finished() {
                break;
            }
            if idle >= FLUSH_TIMEOUT {
                log::warn!("flush timeout expired: stopping with open connections");
                break;
            }
        }
        log::info!(instance = self.state.name; "stopped");
    }

    /// Whether the drain notice has passed and no request or log entry is pending.
    fn is_drained(&self, since: Instant) -> bool {
        let idle = self.exchanges.is_empty() && self.inbound.is_empty() && self.open_tunnels() == 0;
        let notice_passed = since.elapsed() >= self.drain_notice;
        // While the log is unavailable, pending entries cannot be appended. The timeout keeps
        // an outage of the log from blocking the exit.
        let flushed =
            self.state.appends.is_empty() || since.elapsed() >= self.drain_notice + FLUSH_TIMEOUT;
        idle && notice_passed && flushed
    }

    /// Handles the queued events with a single clock reading, as reading the clocks for every
    /// token is more expensive than handling it.
    fn handle_events(&mut self, first: Event) {
        let begun = Instant::now();
        let (now, wall) = (self.clock.at(begun), self.clock.wall());
        self.step_at(now, wall, first);
        for _ in 1..MAX_EVENTS_PER_ITERATION {
            let Ok(event) = self.inbox.try_recv() else {
                break;
            };
            self.step_at(now, wall, event);
        }
        self.longest_iteration = self.longest_iteration.max(begun.elapsed());
    }

    /// Records that endpoints of some kind can be reached directly no more, or again.
    fn record_partitions(&mut self, before: usize) {
        let now = self.state.reachability.partitioned();
        let what = match now.cmp(&before) {
            std::cmp::Ordering::Equal => return,
            std::cmp::Ordering::Greater => "partitioned",
            std::cmp::Ordering::Less => "partition ended",
        };
        self.record(TimelineEntry {
            what: what.to_string(),
            detail: format!("{now} kinds of endpoints are reached through peers"),
            ..TimelineEntry::default()
        });
    }

    pub(super) fn step(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.step_at(now, wall, event);
    }

    fn step_at(&mut self, now: Time, wall: Wall, event: Event) {
        let next = self.state.config.next();
        let partitioned = self.state.reachability.partitioned();
        self.state.step(now, wall, event, &mut self.actions);
        self.record_partitions(partitioned);
        if self.state.config.next() != next {
            self.record(TimelineEntry {
                what: "configured".to_string(),
                detail: format!("up to offset {}", self.state.config.next() - 1),
                ..TimelineEntry::default()
            });
        }
        self.perform_actions();
    }

    fn tick(&mut self) {
        let begun = Instant::now();
        let closed = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.event_sender.is_closed());
        let closed = closed.map(|(key, _)| key).collect::<Vec<_>>();
        for key in closed {
            self.step(Event::CallerDisconnected(key));
        }
        self.step(Event::Tick);
        let ready = self.state.ready() && !self.state.draining;
        self.ready.store(ready, Ordering::Relaxed);
        let longest_iteration =
            u64::try_from(self.longest_iteration.as_micros()).unwrap_or(u64::MAX);
        let status = Status::of(&self.state, self.clock.now(), ready, longest_iteration);
        *self.shared.lock().expect("the status lock is not poisoned") = status;
        self.longest_iteration = begun.elapsed();
    }

    fn handle_request(&mut self, inbound: InboundRequest) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let wait = inbound
            .timeout
            .unwrap_or(self.state.limits.deadline)
            .min(self.state.limits.deadline);
        let arrival = Arrival {
            credential: inbound.credential,
            deadline: now.after(wait),
            fingerprint: fingerprint(&inbound),
            parts: parts(&inbound.kind),
            work: self.work(&inbound.kind),
        };
        self.record(TimelineEntry {
            what: "arrived".to_string(),
            request: inbound.id.to_string(),
            detail: describe(&arrival.work),
            ..TimelineEntry::default()
        });
        let key = self.state.arrive(now, wall, arrival, &mut self.actions);
        self.exchanges.insert(
            key,
            Exchange::new(inbound.kind, inbound.id, inbound.event_sender),
        );
        self.perform_actions();
        self.state.flush(now, &mut self.actions);
        self.perform_actions();
    }

    /// Records an entry in the timeline and logs it.
    pub(super) fn record(&mut self, entry: TimelineEntry) {
        let entry = TimelineEntry {
            instance: self.state.name.clone(),
            ..entry
        };
        log::info!(
            request = entry.request,
            endpoint = entry.endpoint,
            domain = entry.domain,
            detail = entry.detail;
            "{}", entry.what
        );
        let wall = self.clock.wall();
        lock(&self.timeline).record(wall, entry);
    }

    /// Returns the message that this instance sends to its peers.
    pub(super) fn hello(&self) -> Hello {
        let known = self.state.watermark(self.clock.now());
        let age = known.age.map(|age| age.as_millis());
        Hello {
            age_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            name: self.state.name.clone(),
            next: known.next,
            stamp: lock(&self.timeline).send(self.clock.wall()),
        }
    }

    /// Answers a peer instance with the records that it lacks, or a snapshot if they are no longer
    /// kept.
    fn answer_peer(&self, request: IncomingRequest) {
        lock(&self.timeline).receive(self.clock.wall(), request.hello.stamp);
        let next = request.hello.next;
        let records = self.state.history.records_from(next).into_iter();
        let own = self.state.config.next();
        let lacking = self.state.history.needs_snapshot(next, own) && self.state.config.complete();
        let answer = peer::Answer {
            hello: self.hello(),
            snapshot: lacking.then(|| self.state.config.snapshot()),
            records: records
                .map(|(offset, data)| peer::Record {
                    data: data.to_vec(),
                    offset,
                })
                .collect(),
        };
        if request.reply.send(answer).is_err() {
            log::debug!(fellow = request.hello.name; "peer instance disconnected before it was answered");
        }
    }

    fn work(&self, request_kind: &RequestKind) -> Work {
        match request_kind {
            RequestKind::Call {
                order,
                payload,
                service,
            } => Work::Call {
                idempotent: self.is_idempotent(service, payload),
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

    /// Whether the call is idempotent by its method (RFC 9110) or by the record of the service.
    fn is_idempotent(&self, service: &str, payload: &Payload) -> bool {
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

/// Locks the timeline.
pub(super) fn lock(timeline: &Mutex<Timeline>) -> std::sync::MutexGuard<'_, Timeline> {
    timeline.lock().expect("the timeline lock is not poisoned")
}

/// Returns a short description of the work, for the timeline.
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

/// Completes when draining is requested. Never completes once `drain_request` is `None`.
async fn drain_requested(drain_request: &mut Option<oneshot::Receiver<()>>) {
    match drain_request {
        Some(receiver) => {
            if receiver.await.is_err() {
                // The sender was dropped without a request to drain.
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}

/// The fingerprint of a request, whose caller is known by its credential.
fn fingerprint(inbound: &InboundRequest) -> Fingerprint {
    let caller = Some(format!("{:x?}", inbound.credential));
    let new = |host: &str, target: &str, body: &[u8]| {
        Fingerprint::new(caller.as_deref(), host, target, body)
    };
    match &inbound.kind {
        RequestKind::Call {
            payload, service, ..
        } => new(service, &payload.path, &payload.body),
        RequestKind::Generation {
            body, model, path, ..
        } => new(model, path, json!(body).to_string().as_bytes()),
        RequestKind::Resume {
            endpoint,
            generation,
            ..
        } => new(endpoint, &generation.to_string(), &[]),
    }
}

/// Maximum number of parts of a prompt that are told apart.
const MAX_PARTS: usize = 64;

/// The parts of a prompt that others may share: all messages of a chat but the last.
pub(super) fn parts(kind: &RequestKind) -> Vec<Part> {
    let RequestKind::Generation { body, .. } = kind else {
        return Vec::new();
    };
    let messages = body.get("messages").and_then(Value::as_array);
    let shared = messages.map_or(&[][..], |messages| {
        &messages[..messages.len().saturating_sub(1).min(MAX_PARTS)]
    });
    let mut parts = Vec::new();
    for message in shared {
        let part = Part::of_text(&message.to_string());
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}
