//! Streams of events: from the first event to the end, across moves and lost engines.

mod loss;

use {
    crate::{
        clock,
        exchange::Original,
        listen::Busy,
        prelude::*,
        progress::Progress,
        relocate::Takeover,
        reply::Part,
        shared::Running,
        transfer::{Relocated, Source, Transfer},
    },
    endpoint::sse,
    forward::{request::Ticket, sequence::Sequence},
    std::pin::Pin,
    tokio::sync::mpsc,
};

/// Silence after which an engine is asked whether it still has the run. Events come some
/// 30 ms apart, and pauses over 180 ms already count as late; a preempted run may pause
/// longer, so the engine is asked before anything else is tried.
const SILENCE: Duration = Duration::from_millis(600);

/// Part of the longest pause that a route allows after which a stream goes on at the engine
/// with its copy. When the way to an engine is cut without a reset, nothing is heard of it:
/// events just stop. The other engine needs some 25 ms, so callers see no late event.
const QUIET_SHARE: f64 = 0.5;

/// Longest pause between events where a route names none.
const USUAL_GAP: Duration = Duration::from_millis(180);

/// Longest time that a caller may take to read before it counts as gone.
const SLOW_READER: Duration = Duration::from_secs(5);

/// A move in progress.
type Moving = Pin<Box<dyn Future<Output = Relocated>>>;

/// A stream on its way to the caller.
#[derive(Debug)]
pub struct Relay {
    /// Whether the engine with the copy was asked in this silence.
    asked_copy: bool,
    busy: Option<Busy>,
    first: Duration,
    last_at: Time,
    last_event: Rc<RefCell<Option<String>>>,
    longest_pause: Duration,
    next_move: Time,
    original: Rc<Original>,
    /// Since when the engine is silent, counted anew after each attempt to go on elsewhere.
    quiet_since: Time,
    out: mpsc::Sender<Part>,
    progress: Progress,
    running: Running,
    sequence: Sequence,
    shared: Rc<Shared>,
    source: Source,
    takeovers: u32,
    ticket: Ticket,
}

/// What a stream begins with.
#[derive(Debug)]
pub struct Start {
    /// Counts the request as in progress.
    pub busy: Option<Busy>,
    /// The caller's request.
    pub original: Rc<Original>,
    /// Where events go.
    pub out: mpsc::Sender<Part>,
    /// What has come of the request so far.
    pub progress: Progress,
    /// The run at its engine.
    pub running: Running,
    /// Where events come from.
    pub source: Source,
    /// The request's ticket.
    pub ticket: Ticket,
}

/// What happened next.
enum Step {
    CallerLeft,
    Events(Vec<Bytes>),
    Ended,
    Expired,
    Lost(String),
    Moved(Relocated),
    /// No event for a part of the pause that the route allows.
    Quiet,
    /// No event for long.
    Silent,
}

/// How a stream ended.
enum Ending {
    CallerLeft,
    Complete,
    Expired,
    Lost(String),
}

impl Ending {
    const fn label(&self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::Complete => "complete",
            Self::Expired => "timed_out",
            Self::Lost(_) => "lost",
        }
    }
}

impl Relay {
    /// A stream whose first events are there.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, start: Start) -> Self {
        let now = clock::now();
        let inbound = &start.original.inbound;
        let behind = start.ticket.resumes_behind(inbound);
        Self {
            asked_copy: false,
            busy: start.busy,
            first: now.since(inbound.arrived),
            last_at: now,
            last_event: Rc::new(RefCell::new(behind.map(str::to_string))),
            longest_pause: Duration::ZERO,
            next_move: Time::default(),
            out: start.out,
            progress: start.progress,
            quiet_since: now,
            running: start.running,
            sequence: Sequence::behind(behind),
            shared: Rc::clone(shared),
            source: start.source,
            takeovers: 0,
            original: start.original,
            ticket: start.ticket,
        }
    }

    /// Passes events on until the end.
    pub async fn run(mut self, blocks: Vec<Bytes>, ended: bool) {
        let ending = self.relay(blocks, ended).await;
        if matches!(ending, Ending::Complete) && self.out.send(Part::End).await.is_err() {
            log::debug!(id = self.original.inbound.id; "caller left at the end");
        }
        let took = clock::now().since(self.original.inbound.arrived);
        let why = match &ending {
            Ending::Lost(why) => why.as_str(),
            _ => "",
        };
        log::info!(
            id = self.original.inbound.id, route = self.ticket.route.name,
            outcome = ending.label(), why, events = self.sequence.count(),
            takeovers = self.takeovers, first_ms = self.first.as_millis(),
            target_ms = self.ticket.route.target.as_millis(),
            gap_ms = self.ticket.route.gap.unwrap_or(USUAL_GAP).as_millis(),
            pause_ms = self.longest_pause.as_millis(), ms = took.as_millis(); "stream ended"
        );
        self.shared
            .meters
            .ended(&self.ticket.route.name, ending.label(), took);
        drop(self.busy.take());
    }

    async fn relay(&mut self, blocks: Vec<Bytes>, ended: bool) -> Ending {
        if let Err(ending) = self.pass_on(blocks).await {
            return ending;
        }
        if ended {
            return Ending::Complete;
        }
        let mut moving = None::<Moving>;
        loop {
            self.start_move(&mut moving);
            let step = self.step(&mut moving).await;
            let went_on = match step {
                Step::CallerLeft => return Ending::CallerLeft,
                Step::Ended => return Ending::Complete,
                Step::Expired => return Ending::Expired,
                Step::Events(blocks) => self.pass_on(blocks).await,
                Step::Lost(why) => self.lost(moving.take(), &why).await,
                Step::Moved(moved) => {
                    moving = None;
                    self.moved(moved).await
                }
                Step::Quiet => {
                    self.go_on_at_copy(&mut moving);
                    Ok(())
                }
                Step::Silent => {
                    self.quiet_since = clock::now();
                    if moving.is_some() {
                        Ok(())
                    } else {
                        self.silent().await
                    }
                }
            };
            if let Err(ending) = went_on {
                return ending;
            }
        }
    }

    /// Begins to move the run if its engine is leaving.
    fn start_move(&mut self, moving: &mut Option<Moving>) {
        let now = clock::now();
        if moving.is_some() || now < self.next_move || !self.is_leaving() {
            return;
        }
        if self.backup_takeover().is_none() && self.ends_soon() {
            // Its copy would take the link from runs that cannot end in time.
            return;
        }
        log::info!(id = self.original.inbound.id, events = self.sequence.count(); "move begins");
        *moving = Some(Box::pin(self.transfer().relocate(self.backup_takeover())));
    }

    /// Asks the engine with the copy to go on, as nothing comes from the run's own.
    fn go_on_at_copy(&mut self, moving: &mut Option<Moving>) {
        self.asked_copy = true;
        if moving.is_some() {
            return;
        }
        if let Some(takeover) = self.sound_takeover() {
            *moving = Some(Box::pin(self.transfer().go_on(takeover, "quiet")));
        }
    }

    /// The copy, if its engine is in good health.
    fn sound_takeover(&self) -> Option<Takeover> {
        let sound = {
            let state = self.shared.state.borrow();
            state.sound_backup(clock::now(), self.running.key)
        };
        self.backup_takeover()
            .filter(|takeover| Some(takeover.key) == sound)
    }

    /// What a send to another engine needs, without the stream itself.
    fn transfer(&self) -> Transfer {
        Transfer {
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
        self.shared.state.borrow().must_move(self.running.key)
    }

    async fn step(&mut self, moving: &mut Option<Moving>) -> Step {
        let now = clock::now();
        let left = self.ticket.expires.since(now);
        if left.is_zero() {
            return Step::Expired;
        }
        let quiet = self.quiet().filter(|_| !self.asked_copy);
        let until = self.quiet_since.after(quiet.unwrap_or(SILENCE));
        let wait = left.min(until.since(now));
        tokio::select! {
            biased;
            () = self.out.closed() => Step::CallerLeft,
            part = self.source.answer.chunk() => self.events(part),
            moved = ended(moving) => Step::Moved(moved),
            () = sleep(wait) => match quiet {
                _ if wait == left => Step::Expired,
                Some(_) => Step::Quiet,
                None => Step::Silent,
            },
        }
    }

    /// Silence after which the engine with the copy is asked.
    fn quiet(&self) -> Option<Duration> {
        let gap = self.ticket.route.gap.unwrap_or(USUAL_GAP);
        Some(gap.mul_f64(QUIET_SHARE)).filter(|quiet| *quiet < SILENCE)
    }

    fn events(&mut self, part: Result<Option<Bytes>, endpoint::Error>) -> Step {
        match part {
            Err(error) => Step::Lost(error.to_string()),
            Ok(None) if self.source.cutter.has_partial_event() => {
                Step::Lost("ended inside an event".to_string())
            }
            Ok(None) => Step::Ended,
            Ok(Some(part)) => match self.source.cutter.feed(part) {
                Ok(blocks) => Step::Events(blocks),
                Err(error) => Step::Lost(error.to_string()),
            },
        }
    }

    async fn pass_on(&mut self, blocks: Vec<Bytes>) -> Result<(), Ending> {
        for block in blocks {
            if !self.sequence.take(sse::event_id(&block)) {
                continue;
            }
            if self.sequence.broken() {
                return Err(Ending::Lost("an event is missing".to_string()));
            }
            let sent = timeout(SLOW_READER, self.out.send(Part::Data(block))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return Err(Ending::CallerLeft);
            }
        }
        self.last_event
            .replace(self.sequence.last().map(str::to_string));
        let now = clock::now();
        self.quiet_since = now;
        self.asked_copy = false;
        self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        self.last_at = now;
        if let Some(run) = self.shared.state.borrow_mut().run_mut(self.running.key) {
            run.events = self.sequence.count();
        }
        Ok(())
    }
}

/// The end of a move, if one is in progress.
async fn ended(moving: &mut Option<Moving>) -> Relocated {
    match moving {
        Some(moving) => moving.await,
        None => std::future::pending().await,
    }
}
