//! Event streams from the first event to the end, across moves and lost engines.

mod attempt;
mod failover;
mod pace;
mod silence;

use {
    self::attempt::{Attempt, Settled},
    crate::{
        clock,
        exchange::Original,
        memory::{Held, Reason},
        placement::Kept,
        prelude::*,
        progress::Progress,
        relocate::RunCopy,
        reply::{self, BodyPart},
        shared::RunGuard,
        takeover::{EventSource, MAX_TAKEOVER_OVERLAP, TakeoverContext},
    },
    endpoint::sse,
    forward::{
        part_suspects::PROOF_DELAY,
        profile::Window,
        request::Ticket,
        rollout::tally::{Outcome, Timing},
        sequence::Sequence,
        silence::CHECK_AFTER,
    },
    tokio::sync::mpsc,
};

/// Longest allowed gap between events where the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(180);

/// Number of unread bytes from which on a stream is read from its engine only now and then.
const MAX_UNREAD_BYTES: usize = 256 << 10;

/// How long an engine's stream may stay unread. Engines cut off a response that stays unread for some seconds.
const ENGINE_READ_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which an engine is asked to stop a run that another engine may be working on.
const STOP_INTERVAL: Duration = Duration::from_millis(40);

/// Number of events after which an answer counts in the judgement of its engine's version.
const OBSERVED_EVENTS: u32 = 12;

/// Relays the events of one stream to its caller.
#[derive(Debug)]
pub struct Relay {
    /// How the connection to the current engine ended, if it has.
    broken: Option<Break>,
    /// Further copies from which the run may continue if its engine is lost; the last one is used first.
    copies: Vec<RunCopy>,
    /// Copy from which the run is being continued.
    continuing: Option<RunCopy>,
    /// Number of events before the current engine's.
    earlier_events: u32,
    /// Counts what the caller has not read.
    held: Rc<Held>,
    first_event_delay: Duration,
    /// What the engine before keeps of the run.
    kept: Option<Kept>,
    /// Whether the connection to the current engine is open, for attempts in progress.
    is_connected: Rc<Cell<bool>>,
    /// Whether the events are told apart by their numbers, for attempts in progress.
    is_numbered: Rc<Cell<bool>>,
    /// When the current engine's first event was received.
    began_at: Option<Time>,
    last_event_at: Time,
    last_event: Rc<RefCell<Option<String>>>,
    longest_pause: Duration,
    /// Whether the engine may have stopped the run.
    stop: Stop,
    /// When the silence is looked at next.
    next_look: Time,
    next_move: Time,
    original: Rc<Original>,
    /// Counts an event that is incomplete.
    partial: Held,
    /// When the engine is read again although the caller is behind.
    read_on_at: Time,
    /// Since when the engine has been silent; reset after each attempt to stop the run.
    quiet_since: Time,
    out: mpsc::UnboundedSender<BodyPart>,
    progress: Progress,
    /// How often engines with copies were asked again.
    repeats: u32,
    running: RunGuard,
    sequence: Sequence,
    shared: Rc<Shared>,
    /// When the silence was last logged; `None` until it is.
    silence_logged_at: Option<Time>,
    source: EventSource,
    /// When the current engine was last asked to stop the run.
    stop_asked_at: Option<Time>,
    /// A request to stop the run whose answer is awaited beside another attempt: the engine may obey it.
    stopping: Option<Attempt>,
    takeovers: u32,
    ticket: Ticket,
    /// Whether the answer is to count in the judgement of its engine's version.
    unjudged: bool,
    /// Intervals between the events of the current engine.
    window: Window,
    /// Whether it has been logged that only its own engine can continue the run.
    waits_for_engine: bool,
}

/// Initial state of a [`Relay`].
#[derive(Debug)]
pub struct RelayStart {
    /// Counts what the caller has not read.
    pub held: Rc<Held>,
    /// The caller's request.
    pub original: Rc<Original>,
    /// Channel to the caller's response body.
    pub out: mpsc::UnboundedSender<BodyPart>,
    /// Counts an event that is incomplete.
    pub partial: Held,
    /// Attempts made so far.
    pub progress: Progress,
    /// The run at its engine.
    pub running: RunGuard,
    /// Source of the events.
    pub source: EventSource,
    /// The request's ticket.
    pub ticket: Ticket,
}

/// Outcome of waiting for a stream's next events.
enum Step {
    CallerLeft,
    Events(Vec<Bytes>),
    Ended,
    /// This instance is about to exit.
    Exits,
    Expired,
    /// The response is let go.
    LetGo(Reason),
    Lost(Break),
    /// The caller has caught up, or the engine's stream has been unread for as long as it may be.
    ReadOn,
    /// The engine before has answered with what it keeps of the run.
    Kept(Vec<RunCopy>),
    /// An attempt to continue elsewhere has not ended in time after the connection broke.
    Overdue,
    /// Another engine may still be working on the run.
    Overlaps,
    Settled(Settled),
    /// The request to stop the run was answered while another attempt was in progress.
    SettledStop(Settled),
    /// No event for a while.
    Silent,
    /// Equal requests have crashed too many engines.
    Stopped,
}

/// The end of the connection to an engine before that of the stream.
#[derive(Clone, Debug)]
struct Break {
    /// Whether the engine may have crashed.
    is_crash: bool,
    /// Whether the stream may have come to its end, which nothing delimits, rather than have been stopped.
    is_end: bool,
    /// Until when an attempt that was in progress is awaited.
    until: Time,
    why: String,
}

/// Whether an engine has stopped a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    /// It was not asked to, or has answered that it has not.
    NotAsked,
    /// It was asked to, and may still answer, or has done so.
    Asked,
    /// The connection failed on which it was asked, so that later answers do not show it either.
    Unknown,
}

/// How a stream ended.
enum Ending {
    CallerLeft,
    Complete,
    Expired,
    LetGo(Reason),
    Lost(String),
}

impl Ending {
    const fn label(&self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::Complete => "complete",
            Self::Expired => "timed_out",
            Self::LetGo(_) => "let_go",
            Self::Lost(_) => "lost",
        }
    }
}

impl Relay {
    /// A relay for a stream whose first events have been read.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, start: RelayStart) -> Self {
        let now = clock::now();
        let inbound = &start.original.inbound;
        let resume_after = start.ticket.resume_after(inbound);
        let sequence = Sequence::after(resume_after);
        Self {
            broken: None,
            copies: Vec::new(),
            continuing: None,
            earlier_events: 0,
            held: start.held,
            kept: None,
            first_event_delay: now.since(inbound.arrived),
            began_at: None,
            is_connected: Rc::new(Cell::new(true)),
            is_numbered: Rc::new(Cell::new(sequence.is_numbered())),
            last_event_at: now,
            last_event: Rc::new(RefCell::new(resume_after.map(str::to_string))),
            longest_pause: Duration::ZERO,
            stop: Stop::NotAsked,
            next_move: Time::default(),
            out: start.out,
            partial: start.partial,
            read_on_at: now,
            progress: start.progress,
            quiet_since: now,
            repeats: 0,
            next_look: now.after(CHECK_AFTER),
            running: start.running,
            sequence,
            shared: Rc::clone(shared),
            silence_logged_at: None,
            source: start.source,
            stop_asked_at: None,
            stopping: None,
            takeovers: 0,
            original: start.original,
            ticket: start.ticket,
            unjudged: true,
            waits_for_engine: false,
            window: Window::default(),
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self, blocks: Vec<Bytes>, ended: bool) {
        let ending = self.relay(blocks, ended).await;
        // An engine that is lost before its first event may close the body as if it were complete.
        if matches!(ending, Ending::Complete) && self.sequence.count() > 0 {
            self.shared.record_completion(&self.original);
        }
        if matches!(ending, Ending::Complete) {
            self.source.placement.end();
        }
        if matches!(ending, Ending::Complete) && self.out.send(BodyPart::End).is_err() {
            log::debug!(id = self.original.inbound.id; "caller disconnected at the end");
        }
        let took = clock::now().since(self.original.inbound.arrived);
        let why = match &ending {
            Ending::LetGo(reason) => reason.label(),
            Ending::Lost(why) => why.as_str(),
            _ => "",
        };
        let level = match &ending {
            Ending::Lost(_) => log::Level::Warn,
            _ => log::Level::Info,
        };
        let judgement = self
            .shared
            .state
            .borrow()
            .judgement(clock::now(), self.running.key);
        let judgement = judgement.unwrap_or_default();
        let endpoint = self.shared.endpoint_address(self.source.key);
        let endpoint = endpoint.map(|(_, id)| id).unwrap_or_default();
        log::log!(
            level, id = self.original.inbound.id, route = self.ticket.route.name,
            customer = self.ticket.customer.as_deref().unwrap_or_default(), endpoint,
            outcome = ending.label(), why, events = self.sequence.count(),
            takeovers = self.takeovers, first_ms = self.first_event_delay.as_millis(),
            target_ms = self.ticket.route.target.as_millis(),
            gap_ms = self.ticket.route.gap.unwrap_or(DEFAULT_MAX_GAP).as_millis(),
            pace_us = judgement.pace.as_micros(), usual_us = judgement.usual.as_micros(),
            usual_risk = judgement.usual_risk,
            pause_ms = self.longest_pause.as_millis(), ms = took.as_millis(); "stream ended"
        );
        self.shared
            .metrics
            .record_end(&self.ticket.route.name, ending.label(), took);
        if self.longest_pause > self.ticket.route.gap.unwrap_or(DEFAULT_MAX_GAP) {
            self.shared
                .metrics
                .record_late_pause(&self.ticket.route.name);
        }
    }

    async fn relay(&mut self, blocks: Vec<Bytes>, ended: bool) -> Ending {
        if let Err(ending) = self.pass_on(blocks) {
            return ending;
        }
        if ended {
            return Ending::Complete;
        }
        let mut attempt = None::<Attempt>;
        loop {
            self.start_move(&mut attempt);
            let result = match self.step(&mut attempt).await {
                Step::CallerLeft => return Ending::CallerLeft,
                Step::Ended => return Ending::Complete,
                Step::Exits => return Ending::Lost(Refusal::Stopping.label().to_string()),
                Step::Expired => return Ending::Expired,
                Step::LetGo(reason) => return Ending::LetGo(reason),
                Step::ReadOn => {
                    // The engine was left unread for the caller's sake.
                    self.window.restart();
                    self.end_silence(clock::now());
                    Ok(())
                }
                Step::Stopped => {
                    let why = Refusal::CrashesEndpoints.label().to_string();
                    return Ending::Lost(why);
                }
                Step::Events(blocks) => {
                    self.cancel_takeover(&mut attempt);
                    self.pass_on(blocks)
                }
                Step::Kept(copies) => self.add_kept(&mut attempt, copies).await,
                Step::Lost(broken) => self.lost(&mut attempt, broken).await,
                Step::Overdue => self.overdue(&mut attempt).await,
                Step::Overlaps => Ok(()),
                Step::Settled(settled) => {
                    attempt = None;
                    self.settle(&mut attempt, settled).await
                }
                Step::SettledStop(settled) => self.settle_stop(&mut attempt, settled).await,
                Step::Silent => self.silent(&mut attempt).await,
            };
            if let Err(ending) = result {
                return ending;
            }
        }
    }

    /// Starts to move the run if its engine is leaving, or to stop it if another engine may be working on it as well.
    fn start_move(&mut self, attempt: &mut Option<Attempt>) {
        let now = clock::now();
        let is_due = attempt.is_none() && self.broken.is_none() && now >= self.next_move;
        if !is_due {
            return;
        }
        if let Some((other, since)) = self.successor() {
            if now.since(since) >= MAX_TAKEOVER_OVERLAP {
                self.next_move = now.after(STOP_INTERVAL);
                self.stop_duplicate(attempt, other);
            }
            return;
        }
        if !self.is_leaving() {
            return;
        }
        if self.backup_copy().is_none() && self.ends_soon() {
            // Copying it would take bandwidth from runs that cannot end in time.
            return;
        }
        log::info!(id = self.original.inbound.id, events = self.sequence.count(); "move begins");
        *attempt = Some(Attempt::to_move(
            self.takeover_context(),
            self.backup_copy(),
        ));
    }

    /// The engine that may have begun to work on the run after the present one has, and when.
    fn successor(&self) -> Option<(EndpointKey, Time)> {
        let placements = self.shared.placements.borrow();
        placements.successor(self.running.key, self.source.key)
    }

    /// The data that a takeover needs, without the stream itself.
    fn takeover_context(&self) -> TakeoverContext {
        TakeoverContext {
            is_connected: Rc::clone(&self.is_connected),
            is_numbered: Rc::clone(&self.is_numbered),
            last_event: Rc::clone(&self.last_event),
            original: Rc::clone(&self.original),
            run: self.running.key,
            shared: Rc::clone(&self.shared),
            ticket: self.ticket.clone(),
        }
    }

    fn ends_soon(&self) -> bool {
        self.shared.state.borrow().ends_soon(self.running.key)
    }

    fn is_leaving(&self) -> bool {
        let state = self.shared.state.borrow();
        state.must_move(clock::now(), self.running.key)
    }

    async fn step(&mut self, attempt: &mut Option<Attempt>) -> Step {
        let now = clock::now();
        let remaining = self.ticket.expires.since(now);
        if remaining.is_zero() {
            return Step::Expired;
        }
        let lags = self.held.bytes() >= MAX_UNREAD_BYTES && now < self.read_on_at;
        let overlaps = attempt.is_none() && self.successor().is_some();
        let (until, due) = match &self.broken {
            Some(broken) => (broken.until, Step::Overdue),
            None if lags => (self.read_on_at, Step::ReadOn),
            None if overlaps && now < self.next_look => {
                (self.next_look.min(now.after(STOP_INTERVAL)), Step::Overlaps)
            }
            None => (self.next_look, Step::Silent),
        };
        let wait = remaining.min(until.since(now));
        let events = self.events_here();
        let is_open = self.broken.is_none();
        tokio::select! {
            biased;
            () = self.out.closed() => Step::CallerLeft,
            reason = self.held.let_go() => Step::LetGo(reason),
            reason = self.partial.let_go() => Step::LetGo(reason),
            chunk = self.source.chunk(), if is_open && !lags => self.events(chunk),
            () = self.held.falls_below(MAX_UNREAD_BYTES), if is_open && lags => Step::ReadOn,
            settled = attempt::settled(attempt) => Step::Settled(settled),
            settled = attempt::settled(&mut self.stopping) => Step::SettledStop(settled),
            copies = kept_copies(&mut self.kept) => Step::Kept(copies),
            () = self.shared.stopped(&self.original, events) => Step::Stopped,
            () = self.shared.exits() => Step::Exits,
            () = sleep(wait) => if wait == remaining { Step::Expired } else { due },
        }
    }

    fn events(&mut self, chunk: Result<Option<Bytes>, endpoint::Error>) -> Step {
        let lost = |is_crash, why: String| {
            Step::Lost(Break {
                is_crash,
                is_end: false,
                until: self.ticket.expires,
                why,
            })
        };
        match chunk {
            Err(error) => lost(error.is_break_of_endpoint(), error.to_string()),
            Ok(None) if self.source.splitter.has_partial_event() => {
                lost(true, "connection closed inside an event".to_string())
            }
            Ok(None) if self.events_here() == 0 && !self.source.answer.is_delimited() => {
                lost(true, "connection closed before the first event".to_string())
            }
            // The engine closes a run that it stops as it does one that has come to its end.
            Ok(None) if self.stop != Stop::NotAsked && !self.source.answer.is_delimited() => {
                Step::Lost(Break {
                    is_crash: false,
                    is_end: true,
                    until: self.ticket.expires,
                    why: "connection closed after a stop was requested".to_string(),
                })
            }
            Ok(None) => {
                self.judge_answer();
                Step::Ended
            }
            Ok(Some(chunk)) => {
                self.shared.record_heard(self.source.key);
                self.read_on_at = clock::now().after(ENGINE_READ_PAUSE);
                match self.source.splitter.feed(chunk) {
                    Ok(blocks) => Step::Events(blocks),
                    Err(error) => lost(false, error.to_string()),
                }
            }
        }
    }

    /// Number of events of the current engine.
    const fn events_here(&self) -> u32 {
        self.sequence.count().saturating_sub(self.earlier_events)
    }

    fn record_crash(&mut self, broken: &Break) {
        if !broken.is_crash {
            return;
        }
        let EventSource { key, sent_at, .. } = &self.source;
        let events = self.events_here();
        if let Some(stop_asked_at) = self.stop_asked_at {
            let ms = clock::now().since(stop_asked_at).as_millis();
            log::info!(id = self.original.inbound.id, ms; "connection broke after a stop was requested");
        }
        self.shared
            .record_break(&self.original, *key, *sent_at, events);
        self.shared.mark_disconnected(*key);
        let route = &self.ticket.route.name;
        self.shared.observe(*key, route, Outcome::Failed);
        self.unjudged = false;
    }

    /// Counts the answer in the judgement of its engine's version.
    fn judge_answer(&mut self) {
        if !std::mem::take(&mut self.unjudged) {
            return;
        }
        let timing = Timing {
            intervals: self.sequence.count().saturating_sub(1),
            prompt: self.original.inbound.prompt,
            took: clock::now().since(self.source.sent_at),
        };
        let outcome = Outcome::Answered(timing.class());
        let route = &self.ticket.route.name;
        self.shared.observe(self.source.key, route, outcome);
    }

    fn end_silence(&mut self, now: Time) {
        self.quiet_since = now;
        self.next_look = now.after(CHECK_AFTER);
        self.silence_logged_at = None;
        self.waits_for_engine = false;
    }

    fn pass_on(&mut self, blocks: Vec<Bytes>) -> Result<(), Ending> {
        let read_at = clock::now();
        let events_before = self.sequence.count();
        for block in blocks {
            let id = sse::event_id(&block);
            if !self.sequence.accept(id) {
                continue;
            }
            if id.is_none() && sse::has_data(&block) {
                self.sequence.record_unnumbered();
            }
            if self.sequence.has_gap() {
                return Err(Ending::Lost("an event is missing".to_string()));
            }
            // A slice keeps the whole buffer alive that it was read into, which is not counted.
            let block = if self.held.bytes() > 0 {
                Bytes::copy_from_slice(&block)
            } else {
                block
            };
            if !self.held.take(reply::part_size(&block)) {
                let reason = self.held.reason().unwrap_or(Reason::OutOfMemory);
                return Err(Ending::LetGo(reason));
            }
            if self.out.send(BodyPart::Data(block)).is_err() {
                return Err(Ending::CallerLeft);
            }
        }
        if !self.partial.resize(self.source.splitter.partial_bytes()) {
            return Err(Ending::LetGo(Reason::OutOfMemory));
        }
        self.last_event
            .replace(self.sequence.last().map(str::to_string));
        self.is_numbered.set(self.sequence.is_numbered());
        let now = clock::now();
        let events = self.sequence.count().saturating_sub(events_before);
        self.observe_pace(read_at, now, events);
        let began_at = *self.began_at.get_or_insert(now);
        if now.since(began_at) >= PROOF_DELAY {
            self.shared.record_proof(&self.original);
        }
        self.end_silence(now);
        self.longest_pause = self.longest_pause.max(now.since(self.last_event_at));
        self.last_event_at = now;
        let mut state = self.shared.state.borrow_mut();
        if let Some(run) = state.run_mut(self.running.key) {
            run.events = self.sequence.count();
        }
        state.record_events(now, self.running.key);
        drop(state);
        if self.sequence.count() >= OBSERVED_EVENTS {
            self.judge_answer();
        }
        Ok(())
    }
}

/// Waits for what an engine keeps of a run; never returns if nothing is awaited.
async fn kept_copies(kept: &mut Option<Kept>) -> Vec<RunCopy> {
    match kept {
        Some(kept) => kept.arrived().await,
        None => std::future::pending().await,
    }
}
