//! Carries out the actions that the state requests.

use {
    super::{
        exchange::Exchange,
        instance::{Instance, lock, parts},
        tail,
        timeline::TimelineEntry,
    },
    crate::prelude::*,
    decision::{
        gossip::{PeerUpdate, Watermark},
        outcome::Refusal,
        snapshot::Snapshot,
    },
    endpoint::{engine, send_event, service},
    peer::Answer,
    streamlog::{
        codec,
        stream::{self, Stream},
    },
};

/// Timeout of a load query to an engine.
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);

impl Instance {
    /// Carries out the pending actions.
    pub(super) fn perform_actions(&mut self) {
        let mut failed = Vec::new();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Append(batch) => self.append_claims(&batch),
                Action::Cancel {
                    endpoint,
                    generation,
                    unattached,
                } => {
                    if let Some(address) = self.address(endpoint) {
                        let client = self.client_of(endpoint);
                        tokio::spawn(engine::cancel(client, address, generation, unattached));
                    }
                }
                Action::Check(endpoint) => self.check(endpoint),
                Action::Deliver(key, index, data) => {
                    let sent = self
                        .exchanges
                        .get(key)
                        .map(|to| to.event_sender.try_send(ResponseEvent::Token(index, data)));
                    if let Some(Err(error)) = sent {
                        failed.push((key, error));
                    }
                }
                Action::Detach(key) => {
                    if let Some(exchange) = self.exchanges.get_mut(key) {
                        exchange.detach();
                    }
                }
                Action::DropIdle(endpoint) => {
                    if let Some(address) = self.address(endpoint) {
                        self.client.drop_idle(&address);
                    }
                }
                Action::Finish(key, outcome) => self.finish(key, outcome),
                Action::Gossip(address) => self.gossip(&address),
                Action::Poll(endpoint) => self.poll(endpoint),
                Action::PublishCrash(change) => {
                    log::info!(change:?; "crash of an endpoint is published");
                    self.append_crash(codec::encode_crash(&change));
                }
                Action::PublishPartCrash(change) => {
                    log::info!(change:?; "crash of an engine under a part of prompts is published");
                    self.append_crash(codec::encode_part_change(&change));
                }
                Action::Resume {
                    attempt,
                    endpoint,
                    next,
                } => self.resume(attempt, endpoint, next),
                Action::Snapshot(snapshot) => self.append_snapshot(snapshot),
                Action::Send {
                    attempt,
                    endpoint,
                    model,
                    wait,
                } => self.send(attempt, endpoint, model.as_deref(), wait),
            }
        }
        // Reuses the allocation instead of allocating for every token.
        if self.actions.is_empty() {
            self.actions = actions;
        }
        for (key, error) in failed {
            self.disconnect_caller(key, &error);
        }
    }

    /// Handles a response event that could not be delivered, because the caller has disconnected
    /// or reads too slowly and its buffer is full.
    ///
    /// The connection of a slow caller is closed once the buffered events are sent, which bounds
    /// the memory used for it. The generation is kept for the grace time, so that the caller can
    /// resume it with `Last-Event-ID`.
    fn disconnect_caller(
        &mut self,
        key: request::Key,
        error: &mpsc::error::TrySendError<ResponseEvent>,
    ) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                log::warn!(request:% = exchange.id; "disconnecting a caller that reads too slowly: response buffer full");
            }
            let (closed, _) = mpsc::channel(1);
            exchange.event_sender = closed;
        }
        self.step(Event::CallerDisconnected(key));
    }

    /// Appends a snapshot in chunks; readers ignore it unless all chunks are present.
    fn append_snapshot(&mut self, snapshot: Snapshot) {
        self.record(TimelineEntry {
            what: "snapshot".to_string(),
            detail: format!("up to offset {}", snapshot.next.saturating_sub(1)),
            ..TimelineEntry::default()
        });
        let stream = self.snapshots.clone();
        tokio::spawn(async move {
            if let Err(error) = append_chunks(&stream, &snapshot).await {
                log::warn!(error:%; "snapshot could not be appended");
            }
        });
    }

    fn address(&self, endpoint: target::Key) -> Option<String> {
        Some(self.state.endpoints.get(endpoint)?.member.address.clone())
    }

    fn append_claims(&self, batch: &Batch) {
        let (stream, events) = (self.claims.clone(), self.events.clone());
        let data = streamlog::codec::encode_batch(batch);
        tokio::spawn(async move {
            let result = match data {
                Ok(data) => stream.append(data).await,
                Err(error) => Err(error),
            };
            if let Err(error) = &result {
                log::warn!(error:%; "claims could not be appended");
            }
            send_event(&events, Event::Appended(stream::append_result(&result))).await;
        });
    }

    /// Appends a change of the requests that crash endpoints; the state repeats it until it has been
    /// read.
    fn append_crash(&self, data: Bytes) {
        let stream = self.crashes.clone();
        tokio::spawn(async move {
            if let Err(error) = stream.append(data).await {
                log::warn!(error:%; "crash of an endpoint could not be published");
            }
        });
    }

    fn finish(&mut self, key: request::Key, outcome: Outcome) {
        let Some(exchange) = self.exchanges.remove(key) else {
            return;
        };
        self.log_refusal(&exchange, &outcome);
        self.record(TimelineEntry {
            what: "finished".to_string(),
            request: exchange.id.to_string(),
            detail: format!("{outcome:?}")
                .chars()
                .take(MAX_DETAIL_CHARS)
                .collect(),
            ..TimelineEntry::default()
        });
        if let Err(mpsc::error::TrySendError::Full(event)) =
            exchange.event_sender.try_send(ResponseEvent::End(outcome))
        {
            // The buffer is full of unread tokens. The end is sent once there is room for it,
            // as a complete answer without it would look truncated.
            let event_sender = exchange.event_sender.clone();
            tokio::spawn(async move {
                if event_sender.send(event).await.is_err() {
                    log::debug!("caller disconnected before the end of its answer");
                }
            });
        }
    }

    /// Logs what speaks against the parts of a prompt that is refused since engines crashed.
    fn log_refusal(&self, exchange: &Exchange, outcome: &Outcome) {
        let Outcome::NotRun(not_run) = outcome else {
            return;
        };
        if not_run.refusal != Refusal::CrashesEndpoints {
            return;
        }
        let (now, suspects) = (self.clock.now(), &self.state.part_suspects);
        for part in parts(&exchange.request_kind) {
            let evidence = suspects.evidence(now, part);
            log::info!(
                request:% = exchange.id, part:%, crashes = evidence.crashes, moments = evidence.moments,
                age_ms = evidence.age.as_millis(), trials = evidence.trials,
                found = suspects.is_found(now, part); "part of a refused prompt"
            );
        }
    }

    fn gossip(&self, address: &str) {
        let (Some(peer_socket), Ok(to)) = (self.peer_socket.clone(), address.parse()) else {
            return;
        };
        let (hello, clock, events) = (self.hello(), self.clock, self.events.clone());
        let timeline = Arc::clone(&self.timeline);
        tokio::spawn(async move {
            let sent_at = clock.now();
            match peer_socket.exchange(to, &hello).await {
                Ok(answer) => {
                    lock(&timeline).receive(clock.wall(), answer.hello.stamp);
                    send_event(&events, Event::PeerUpdate(peer_update(sent_at, answer))).await;
                }
                Err(error) => log::debug!(address:% = to, error:%; "gossip exchange failed"),
            }
        });
    }

    /// Checks whether an endpoint can be reached directly.
    fn check(&self, endpoint: target::Key) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let event = match service::check(&client, &address, LOAD_TIMEOUT).await {
                Ok(()) => Event::Reached(endpoint),
                Err(error) => {
                    log::debug!(address, error:%; "check of an endpoint failed");
                    Event::Unreached(endpoint)
                }
            };
            send_event(&events, event).await;
        });
    }

    fn poll(&mut self, endpoint: target::Key) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client_of(endpoint), self.events.clone());
        tokio::spawn(async move {
            let event = match engine::load(&client, &address, LOAD_TIMEOUT).await {
                Ok(report) => Event::Reported(endpoint, report),
                Err(error) => {
                    log::debug!(address, error:%; "load query failed");
                    Event::Unreachable(endpoint)
                }
            };
            send_event(&events, event).await;
        });
    }

    fn resume(&mut self, attempt: Attempt, endpoint: target::Key, next: u32) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client_of(endpoint), self.events.clone());
        self.record_attempt("resumed", attempt, endpoint);
        let Some(exchange) = self.exchanges.get_mut(attempt.request) else {
            return;
        };
        let task = tokio::spawn(engine::resume(client, address, attempt, next, events));
        exchange.attach(task.abort_handle());
    }

    fn send(
        &mut self,
        attempt: Attempt,
        endpoint: target::Key,
        model: Option<&str>,
        wait: Duration,
    ) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client_of(endpoint), self.events.clone());
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
        self.record_attempt("sent", attempt, endpoint);
        let Some(exchange) = self.exchanges.get_mut(attempt.request) else {
            return;
        };
        let task = match &mut exchange.request_kind {
            RequestKind::Call { payload, .. } => {
                let call = service::Call {
                    attempt,
                    body: payload.body.clone(),
                    idempotent,
                    idempotency_key: payload.idempotency_key.clone(),
                    content_type: payload.content_type.clone(),
                    method: payload.method.clone(),
                    path: payload.path.clone(),
                    wait,
                };
                tokio::spawn(service::call(client, address, call, events))
            }
            RequestKind::Generation { body, path, .. } => {
                body.insert("model".to_string(), json!(model));
                body.insert("priority".to_string(), json!(priority));
                body.insert("stream".to_string(), json!(true));
                let start = engine::StartRequest {
                    attempt,
                    body: json!(body).to_string().into(),
                    path,
                    wait,
                };
                tokio::spawn(engine::start(client, address, start, events))
            }
            RequestKind::Resume { .. } => return,
        };
        exchange.attach(task.abort_handle());
    }

    /// Records in the timeline which endpoint an attempt uses, and sends the endpoint's name and
    /// the generation id to the caller's handler, which builds the resume handle from them.
    fn record_attempt(&mut self, what: &str, attempt: Attempt, endpoint: target::Key) {
        let (Some(exchange), Some(target)) = (
            self.exchanges.get(attempt.request),
            self.state.endpoints.get(endpoint),
        ) else {
            return;
        };
        let name = target.member.name.clone();
        let entry = TimelineEntry {
            what: what.to_string(),
            request: exchange.id.to_string(),
            endpoint: name.clone(),
            domain: target.member.domain.clone(),
            detail: format!("as {}", attempt.generation),
            ..TimelineEntry::default()
        };
        let event = ResponseEvent::Started(name, attempt.generation);
        if exchange.event_sender.try_send(event).is_err() {
            log::debug!(request:% = exchange.id; "endpoint name not delivered: caller disconnected or response buffer full");
        }
        self.record(entry);
    }

    fn priority(&self, key: request::Key) -> u8 {
        let request = self.state.requests.get(key);
        let customer =
            request.and_then(|request| self.state.config.customers.get(request.customer));
        customer.map_or(0, |customer| customer.priority)
    }
}

async fn append_chunks(stream: &Stream, snapshot: &Snapshot) -> Result<(), streamlog::Error> {
    for chunk in streamlog::codec::encode_snapshot(snapshot, rand::random())? {
        stream.append(chunk).await?;
    }
    Ok(())
}

/// Maximum length of an outcome in the timeline, in characters.
const MAX_DETAIL_CHARS: usize = 160;

fn peer_update(sent_at: Time, answer: Answer) -> PeerUpdate {
    let records = answer.records.into_iter();
    PeerUpdate {
        sent_at,
        watermark: Watermark {
            age: answer.hello.age_ms.map(Duration::from_millis),
            next: answer.hello.next,
        },
        records: records
            .map(|record| tail::config_record(record.offset, &Bytes::from(record.data)))
            .collect(),
        snapshot: answer.snapshot,
    }
}
