//! What the loop does for each action of the state.

use {
    super::{
        instance::{Instance, lock},
        tail,
        timeline::Moment,
    },
    crate::prelude::*,
    decision::{
        gossip::{Heard, Known},
        snapshot::Snapshot,
    },
    endpoint::{engine, service, tell},
    fellow::Answer,
    streamlog::stream::{self, Stream},
};

/// How long an engine may take to report its load.
const LOAD_WAIT: Duration = Duration::from_millis(800);

impl Instance {
    /// Carries out everything the state has asked for.
    pub(super) fn perform(&mut self) {
        let mut gone = Vec::new();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
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
                        .map(|to| to.outlet.try_send(ResponseEvent::Token(index, data)));
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
                Action::Gossip(address) => self.gossip(&address),
                Action::Poll(endpoint) => self.poll(endpoint),
                Action::Resume {
                    attempt,
                    endpoint,
                    next,
                } => self.resume(attempt, endpoint, next),
                Action::Snapshot(snapshot) => self.snapshot(snapshot),
                Action::Send {
                    attempt,
                    endpoint,
                    model,
                    wait,
                } => self.send(attempt, endpoint, model.as_deref(), wait),
            }
        }
        // The allocation is used again: one for each token would be felt.
        if self.actions.is_empty() {
            self.actions = actions;
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
    fn drop_caller(&mut self, key: request::Key, error: &mpsc::error::TrySendError<ResponseEvent>) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                log::warn!(request:% = exchange.id; "caller reads too slowly and is let go");
            }
            let (closed, _) = mpsc::channel(1);
            exchange.outlet = closed;
        }
        self.step(Event::Gone(key));
    }

    /// Appends a snapshot, part after part; one that breaks off is never whole.
    fn snapshot(&mut self, snapshot: Snapshot) {
        self.note(Moment {
            what: "snapshot".to_string(),
            detail: format!("up to offset {}", snapshot.next.saturating_sub(1)),
            ..Moment::default()
        });
        let stream = self.snapshots.clone();
        tokio::spawn(async move {
            if let Err(error) = append_parts(&stream, &snapshot).await {
                log::warn!(error:%; "snapshot could not be appended");
            }
        });
    }

    fn address(&self, endpoint: target::Key) -> Option<String> {
        Some(self.state.endpoints.get(endpoint)?.member.address.clone())
    }

    fn append(&self, batch: &Batch) {
        let (stream, events) = (self.claims.clone(), self.events.clone());
        let data = streamlog::codec::encode(batch);
        tokio::spawn(async move {
            let result = match data {
                Ok(data) => stream.append(data).await,
                Err(error) => Err(error),
            };
            if let Err(error) = &result {
                log::warn!(error:%; "claims could not be appended");
            }
            tell(&events, Event::Appended(stream::settled(&result))).await;
        });
    }

    fn finish(&mut self, key: request::Key, outcome: Outcome) {
        let Some(exchange) = self.exchanges.remove(key) else {
            return;
        };
        self.note(Moment {
            what: "finished".to_string(),
            request: exchange.id.to_string(),
            detail: format!("{outcome:?}").chars().take(MOST_DETAIL).collect(),
            ..Moment::default()
        });
        if let Err(mpsc::error::TrySendError::Full(piece)) =
            exchange.outlet.try_send(ResponseEvent::End(outcome))
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

    fn gossip(&self, address: &str) {
        let (Some(link), Ok(to)) = (self.link.clone(), address.parse()) else {
            return;
        };
        let (hello, clock, events) = (self.hello(), self.clock, self.events.clone());
        let timeline = Arc::clone(&self.timeline);
        tokio::spawn(async move {
            let asked = clock.now();
            match link.exchange(to, &hello).await {
                Ok(answer) => {
                    lock(&timeline).receive(clock.wall(), answer.hello.stamp);
                    tell(&events, Event::Heard(heard(asked, answer))).await;
                }
                Err(error) => log::debug!(address:% = to, error:%; "no word of a fellow instance"),
            }
        });
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
            tell(&events, event).await;
        });
    }

    fn resume(&mut self, attempt: Attempt, endpoint: target::Key, next: u32) {
        let Some(address) = self.address(endpoint) else {
            return;
        };
        let (client, events) = (self.client.clone(), self.events.clone());
        self.begun("resumed", attempt, endpoint);
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
        self.begun("sent", attempt, endpoint);
        let Some(exchange) = self.exchanges.get_mut(attempt.request) else {
            return;
        };
        let task = match &mut exchange.ask {
            RequestKind::Call { payload, .. } => {
                let call = service::Call {
                    attempt,
                    body: payload.body.clone(),
                    idempotent,
                    key: payload.idempotency_key.clone(),
                    media: payload.content_type.clone(),
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
                let start = engine::Start {
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

    /// Notes where a request went, and tells the caller's side for its resume handles.
    fn begun(&mut self, what: &str, attempt: Attempt, endpoint: target::Key) {
        let (Some(exchange), Some(target)) = (
            self.exchanges.get(attempt.request),
            self.state.endpoints.get(endpoint),
        ) else {
            return;
        };
        let name = target.member.name.clone();
        let moment = Moment {
            what: what.to_string(),
            request: exchange.id.to_string(),
            endpoint: name.clone(),
            domain: target.member.domain.clone(),
            detail: format!("as {}", attempt.generation),
            ..Moment::default()
        };
        let piece = ResponseEvent::Started(name, attempt.generation);
        if exchange.outlet.try_send(piece).is_err() {
            log::debug!(request:% = exchange.id; "the caller left or reads slowly");
        }
        self.note(moment);
    }

    fn priority(&self, key: request::Key) -> u8 {
        let request = self.state.requests.get(key);
        let customer =
            request.and_then(|request| self.state.config.customers.get(request.customer));
        customer.map_or(0, |customer| customer.priority)
    }
}

async fn append_parts(stream: &Stream, snapshot: &Snapshot) -> Result<(), streamlog::Error> {
    for part in streamlog::codec::split(snapshot, rand::random())? {
        stream.append(part).await?;
    }
    Ok(())
}

/// Longest description of an outcome in the time line, in characters.
const MOST_DETAIL: usize = 160;

fn heard(asked: Time, answer: Answer) -> Heard {
    let lines = answer.lines.into_iter();
    Heard {
        asked,
        known: Known {
            age: answer.hello.age_ms.map(Duration::from_millis),
            next: answer.hello.next,
        },
        lines: lines
            .map(|line| tail::line(line.offset, &Bytes::from(line.data)))
            .collect(),
        snapshot: answer.snapshot,
    }
}
