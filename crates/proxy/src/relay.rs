//! Streams of events: from the first event to the end, across moves and lost engines.

use {
    crate::{
        clock,
        exchange::Original,
        listen::Busy,
        plain::place,
        prelude::*,
        progress::Progress,
        relocate::{self, Takeover},
        reply::Part,
        shared::Running,
        transfer::{self, Opened, Relocated, Source, Transfer},
    },
    endpoint::sse,
    forward::{choice::Need, request::Ticket, sequence::Sequence},
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

/// Times that a stream may go on elsewhere; an engine lives some ten seconds at the least,
/// a generation about as long.
const MOST_TAKEOVERS: u32 = 8;

/// Longest time that a caller may take to read before it counts as gone.
const SLOW_READER: Duration = Duration::from_secs(5);

/// How long the end of a stopped run's stream is waited for; its last events are on
/// their way when the move is answered.
const LAST_EVENTS: Duration = Duration::from_millis(30);

/// Longest time that a place is waited for to begin a stream again. Callers bear a pause of
/// two seconds at the least, of which the prompt takes half a second to be read again.
const RESUME_WAIT: Duration = Duration::from_millis(1200);

/// Pause before a move is tried again.
const MOVE_PAUSE: Duration = Duration::from_millis(100);

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

/// What happened next.
enum Step {
    CallerLeft,
    Events(Vec<Bytes>),
    Ended,
    Expired,
    Lost(String),
    Moved(Relocated),
    Quiet,
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
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part that only its maker has; all are moved in"
    )]
    #[must_use]
    pub fn new(
        shared: &Rc<Shared>,
        original: &Rc<Original>,
        ticket: Ticket,
        running: Running,
        out: mpsc::Sender<Part>,
        source: Source,
        busy: Option<Busy>,
        progress: Progress,
    ) -> Self {
        let behind = ticket.resumes_behind(&original.inbound);
        let sequence = Sequence::behind(behind);
        Self {
            asked_copy: false,
            busy,
            first: clock::now().since(original.inbound.arrived),
            last_at: clock::now(),
            last_event: Rc::new(RefCell::new(behind.map(str::to_string))),
            longest_pause: Duration::ZERO,
            next_move: Time::default(),
            original: Rc::clone(original),
            quiet_since: clock::now(),
            out,
            progress,
            running,
            sequence,
            shared: Rc::clone(shared),
            source,
            takeovers: 0,
            ticket,
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
            part = self.source.answer.part() => self.events(part),
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
            Ok(None) if self.source.cutter.unfinished() => {
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
            if !self.sequence.take(sse::id(&block)) {
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

    /// The engine broke the stream off: because it was told to stop for a move, or died.
    async fn lost(&mut self, moving: Option<Moving>, why: &str) -> Result<(), Ending> {
        if let Some(moving) = moving
            && let Ok(Relocated::Opened(opened)) = timeout(relocate::MOVE_WAIT, moving).await
        {
            self.switch(*opened);
            return Ok(());
        }
        self.go_on_elsewhere(why).await
    }

    async fn moved(&mut self, relocated: Relocated) -> Result<(), Ending> {
        match relocated {
            Relocated::Opened(opened) => self.switch(*opened),
            Relocated::Unsure(key) => {
                // Both engines may work on the run now. The one that can be reached is
                // stopped, and the run goes on from there at a third one.
                self.shared.unreachable(key);
                return self.silent().await;
            }
            Relocated::NotYet(why) => {
                log::info!(id = self.original.inbound.id, why; "move put off");
                self.next_move = clock::now().after(MOVE_PAUSE);
            }
        }
        Ok(())
    }

    /// Reads what a stopped run had still sent.
    async fn last_events(&mut self) -> Result<(), Ending> {
        while let Ok(Ok(Some(part))) = timeout(LAST_EVENTS, self.source.answer.part()).await {
            let Ok(blocks) = self.source.cutter.feed(part) else {
                break;
            };
            self.pass_on(blocks).await?;
        }
        Ok(())
    }

    /// No event for long: the engine may have died without a word, or the run waits.
    async fn silent(&mut self) -> Result<(), Ending> {
        let run = self.running.key;
        let id = self.original.inbound.id.clone();
        log::info!(id, events = self.sequence.count(); "stream is silent");
        let stopped = relocate::stop(&self.shared, run, &id).await;
        match stopped {
            relocate::Stop::Unreachable => {
                self.shared.unreachable(self.source.key);
                self.go_on_or_wait("silent").await
            }
            relocate::Stop::Gone => self.go_on_or_wait("gone").await,
            relocate::Stop::Busy => Ok(()),
            relocate::Stop::Stopped(takeover) => {
                self.last_events().await?;
                self.go_on(takeover, "silent").await
            }
        }
    }

    /// The engine cannot be reached, or has the run no more. It may be at work behind a
    /// partition, or have ended the run with its last events still on their way, which come
    /// late when that heals. So the stream is lost only once another engine may have gone on
    /// with it, or its connection breaks.
    async fn go_on_or_wait(&mut self, why: &str) -> Result<(), Ending> {
        let refused = match self.backup_takeover() {
            None => "no copy".to_string(),
            Some(takeover) => match self.transfer().open(&takeover, why).await {
                Ok(opened) => {
                    self.switch(opened);
                    return Ok(());
                }
                Err(transfer::Failure::NotRun(why)) => why,
                Err(transfer::Failure::Unknown(error)) => {
                    return self.begin_again(why, format!("{why}; copy {error}")).await;
                }
            },
        };
        if self.may_run_again() {
            return self.begin_again(why, refused).await;
        }
        log::info!(id = self.original.inbound.id, why = refused; "waits for its engine");
        Ok(())
    }

    /// The engine is lost: goes on from the copy, else begins again behind the last event
    /// where that is allowed.
    async fn go_on_elsewhere(&mut self, why: &str) -> Result<(), Ending> {
        match self.backup_takeover() {
            None => self.begin_again(why, format!("{why}; no copy")).await,
            Some(takeover) => self.go_on(takeover, why).await,
        }
    }

    /// Begins again behind the last event, if the stream is resumable; else it is lost.
    async fn begin_again(&mut self, why: &str, lost: String) -> Result<(), Ending> {
        self.progress.ran(self.source.key, why.to_string());
        while self.progress.may_send(&self.shared, &self.ticket) {
            match self.resume(why).await {
                Ok(Some(opened)) => {
                    self.settle(opened);
                    return Ok(());
                }
                Ok(None) => {}
                Err(why) => return Err(Ending::Lost(why)),
            }
        }
        Err(Ending::Lost(lost))
    }

    /// Whether the stream may begin again behind its last event once this run is given up.
    fn may_run_again(&self) -> bool {
        self.ticket.may_run_again(self.progress.runs + 1)
    }

    /// Asks another engine to begin behind the last event; `None` if it would not.
    async fn resume(&mut self, why: &str) -> Result<Option<Opened>, String> {
        let until = clock::now().after(RESUME_WAIT).min(self.ticket.expires);
        let left = self.left();
        let placed = place(
            &self.shared,
            &self.ticket,
            left,
            &self.progress.tried,
            until,
        )
        .await;
        let Some((key, _)) = placed else {
            return Err(format!("{why}; no engine with room"));
        };
        match self.shared.readmit(&self.original, &mut self.ticket) {
            Ok(true) => {}
            Ok(false) => return Err(format!("{why}; its route goes to another service")),
            Err(refusal) => return Err(format!("{why}; {}", refusal.label())),
        }
        self.progress.sends += 1;
        match self.transfer().resume(key, why).await {
            Ok(opened) => Ok(Some(opened)),
            Err(transfer::Failure::NotRun(why)) => {
                self.progress.turned_down(key, why);
                Ok(None)
            }
            Err(transfer::Failure::Unknown(why)) => {
                self.shared.unreachable(key);
                self.progress.ran(key, why);
                Ok(None)
            }
        }
    }

    /// What the rest of the run needs.
    fn left(&self) -> Need {
        let state = self.shared.state.borrow();
        let run = state.run(self.running.key);
        run.map_or_else(Need::default, |run| Need {
            output: run.left(),
            prompt: run.prompt.saturating_add(run.made()),
        })
    }

    /// The copy that was made while the run went on.
    fn backup_takeover(&self) -> Option<Takeover> {
        let key = {
            let state = self.shared.state.borrow();
            let key = state.run(self.running.key)?.backup?;
            state.may_go_on_at(clock::now(), key).then_some(key)?
        };
        Some(Takeover {
            address: self.shared.target(key)?.0,
            handle: self.original.inbound.id.clone(),
            key,
        })
    }

    /// Goes on from a copy, with the run before it stopped or dead.
    async fn go_on(&mut self, takeover: Takeover, why: &str) -> Result<(), Ending> {
        self.takeovers += 1;
        if self.takeovers > MOST_TAKEOVERS {
            return Err(Ending::Lost(format!("{why}; moved too often")));
        }
        match self.transfer().open(&takeover, why).await {
            Ok(opened) => {
                self.settle(opened);
                Ok(())
            }
            Err(error) => self.begin_again(why, format!("{why}; copy {error}")).await,
        }
    }

    /// Goes on at an engine that has taken the run over, and drops the run before it.
    fn switch(&mut self, opened: Opened) {
        self.takeovers += 1;
        self.settle(opened);
    }

    fn settle(&mut self, opened: Opened) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(run) = state.run_mut(self.running.key) {
            run.endpoint = opened.source.key;
            run.backup = opened.backup;
            run.target = None;
        }
        drop(state);
        self.shared.load.notify_one();
        self.quiet_since = clock::now();
        self.asked_copy = false;
        self.source = opened.source;
    }
}

/// The end of a move, if one is in progress.
async fn ended(moving: &mut Option<Moving>) -> Relocated {
    match moving {
        Some(moving) => moving.await,
        None => std::future::pending().await,
    }
}
