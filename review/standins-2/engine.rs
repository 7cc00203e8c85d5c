//! A model server that streams events, as the users' protocol page describes it.

#![allow(dead_code, reason = "each case uses a part of it")]

use super::platform::*;
use std::{
    io::{self, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Tokens in an event of a stream.
const TOKENS_PER_EVENT: u32 = 4;

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub last_event: Option<String>,
}

pub struct Engine {
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Number of events of a stream.
    events: u32,
    /// Once set, streams end after their next event.
    pub finishes: Flag,
    pub id: String,
    interval: Duration,
    /// Taken by the copy that uses the link of the server; copies run one after another.
    link: Mutex<()>,
    /// Copies that moves have made, by handle: the id of the run, and the address of the server that may use it.
    moves: Arc<Mutex<Moves>>,
    open: Mutex<Vec<TcpStream>>,
    /// Taken by the prompt that is being read; prompts are read one after another.
    reading: Mutex<()>,
    /// How long it reads one token of a prompt; the answer begins afterwards.
    pub read_time: Mutex<Duration>,
    /// When runs ended here, by id.
    pub ends: Mutex<Vec<(String, Instant)>>,
    record: Record,
    /// Until when it is cold, and the requests a second at which it crashes then.
    pub cold: Mutex<Option<(Instant, usize)>>,
    crashed: Flag,
    /// Runs at work here: their ids, the last event of each, and the tokens of its prompt.
    runs: Mutex<Vec<(String, u32, u32)>>,
    /// Ids of runs that were asked to stop.
    stopped: Mutex<Vec<String>>,
}

/// What all servers know of moves, as their links would carry it.
#[derive(Default)]
pub struct Moves {
    /// How long one token takes on the link between two servers of one zone; twice as long between zones.
    pub token_time: Duration,
    /// Zones of servers, by address.
    pub zones: Vec<(String, String)>,
    pub copies: Vec<(String, String, String)>,
    /// Copies that were asked for, in order: the id of the run, the source and the target.
    pub asked: Vec<(String, String, String)>,
}

impl Moves {
    fn time(&self, tokens: u32, source: &str, target: &str) -> Duration {
        let zone = |address: &str| {
            let found = self.zones.iter().find(|(other, _)| other == address);
            found.map(|(_, zone)| zone.as_str())
        };
        let factor = if zone(source) == zone(target) { 1 } else { 2 };
        self.token_time.saturating_mul(tokens * factor)
    }
}

impl Engine {
    pub fn start(id: &str, events: u32, interval: Duration, record: &Record) -> Arc<Self> {
        Self::start_with(id, events, interval, record, &Arc::default())
    }

    /// Starts a server that can move runs to others.
    pub fn start_with(
        id: &str,
        events: u32,
        interval: Duration,
        record: &Record,
        moves: &Arc<Mutex<Moves>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let engine = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            arrivals: Mutex::default(),
            events,
            finishes: Flag::default(),
            id: id.to_string(),
            interval,
            link: Mutex::default(),
            moves: Arc::clone(moves),
            open: Mutex::default(),
            reading: Mutex::default(),
            read_time: Mutex::default(),
            ends: Mutex::default(),
            record: record.clone(),
            cold: Mutex::default(),
            crashed: Flag::default(),
            runs: Mutex::default(),
            stopped: Mutex::default(),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            while !serving.crashed.is_set() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                serving.open.lock().unwrap().extend(stream.try_clone());
                let engine = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ended = engine.serve(stream);
                });
            }
        });
        engine
    }

    /// Ends like a process that is killed: nothing listens any more, and all connections are closed.
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.id));
        self.crashed.set();
        thread::sleep(Duration::from_millis(3));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Whether it is cold and got more requests within a second than it bears.
    fn is_overrun(&self) -> bool {
        let now = Instant::now();
        let cold = *self.cold.lock().unwrap();
        cold.is_some_and(|(until, limit)| {
            let arrivals = self.arrivals.lock().unwrap();
            let recent = |arrival: &&Arrival| now - arrival.at < Duration::from_secs(1);
            now < until && !self.crashed.is_set() && arrivals.iter().filter(recent).count() > limit
        })
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader)? {
            let id = call.id();
            if id.is_empty() {
                let report = "{\"state\":\"ready\",\"busy\":false,\"runs\":[]}";
                match call.path() {
                    "/v1/report" => answer(&mut stream, "200 OK", &[], report.as_bytes())?,
                    "/v1/kv-move" => self.move_run(&mut stream, &call)?,
                    path if path.starts_with("/v1/kv-handle/") => {
                        answer(&mut stream, "200 OK", &[], b"{}")?;
                    }
                    _ => answer(&mut stream, "404 Not Found", &[], b"{}")?,
                }
                continue;
            }
            let named = ("Carawayhead-Request-Id", id.clone());
            if call.header("carawayhead-expect-instance") != Some(&self.id) {
                answer(&mut stream, "421 Misdirected Request", &[named], b"")?;
                continue;
            }
            if call.header("kv-from").is_some_and(|source| !self.take_copy(source, &id)) {
                let not_run = ("Carawayhead-Not-Executed", "1".to_string());
                answer(&mut stream, "503 Service Unavailable", &[named, not_run], b"")?;
                continue;
            }
            let last_event = call.header("last-event-id").map(str::to_string);
            self.record.line(&format!(
                "server {} runs {id}, last event {last_event:?}",
                self.id
            ));
            self.arrivals.lock().unwrap().push(Arrival {
                at: Instant::now(),
                id: id.clone(),
                last_event: last_event.clone(),
            });
            if self.is_overrun() {
                self.crash();
            }
            let from = last_event.and_then(|last| last.parse::<u32>().ok());
            let tokens = call.header("carawayhead-token-count").unwrap_or_default();
            let prompt = tokens.split(',').next().and_then(|prompt| prompt.trim().parse().ok());
            let prompt = prompt.unwrap_or_default();
            let result = self.stream(&mut stream, &id, from.unwrap_or_default(), prompt);
            self.ends.lock().unwrap().push((id, Instant::now()));
            result?;
        }
        Ok(())
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        from: u32,
        prompt: u32,
    ) -> io::Result<()> {
        if !self.read_prompt(stream, prompt) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCarawayhead-Request-Id: {id}\r\n\
             Carawayhead-Response-Seal: seal-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        self.stopped.lock().unwrap().retain(|other| other != id);
        self.runs.lock().unwrap().push((id.to_string(), from, prompt));
        let streamed = self.events(stream, id, from);
        self.runs.lock().unwrap().retain(|(other, ..)| other != id);
        if !streamed? {
            self.record.line(&format!("server {} stops {id}", self.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        write!(stream, "0\r\n\r\n")
    }

    /// Reads a prompt behind those that came before; `false` if the channel is closed meanwhile.
    fn read_prompt(&self, stream: &TcpStream, prompt: u32) -> bool {
        let time = self.read_time.lock().unwrap().saturating_mul(prompt);
        if time.is_zero() {
            return true;
        }
        let _reading = self.reading.lock().unwrap();
        wait_while_open(stream, time)
    }

    /// Sends the events of a run; `false` if it was stopped.
    fn events(&self, stream: &mut TcpStream, id: &str, from: u32) -> io::Result<bool> {
        for number in from + 1..=self.events {
            if !wait_while_open(stream, self.interval) {
                // Its channel is closed.
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            if self.stopped.lock().unwrap().iter().any(|other| other == id) {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            for (_, last, _) in self.runs.lock().unwrap().iter_mut().filter(|(other, ..)| other == id) {
                *last = number;
            }
            if self.finishes.is_set() {
                break;
            }
        }
        Ok(true)
    }

    /// Copies a run to another server; with `last` it stops first.
    fn move_run(&self, stream: &mut TcpStream, call: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
            Some(rest.split('"').next()?.to_string())
        };
        let (id, target) = (field("id").unwrap_or_default(), field("target").unwrap_or_default());
        let is_last = body.replace(' ', "").contains("\"last\":true");
        let found = |engine: &Self| {
            let runs = engine.runs.lock().unwrap();
            runs.iter().find(|(other, ..)| *other == id).cloned()
        };
        if found(self).is_none() {
            return answer(stream, "404 Not Found", &[], b"{}");
        }
        if is_last {
            self.stopped.lock().unwrap().push(id.clone());
        }
        self.record.line(&format!("server {} is to copy {id} to {target}, last {is_last}", self.id));
        let own = self.address.to_string();
        let asked = (id.clone(), own.clone(), target.clone());
        self.moves.lock().unwrap().asked.push(asked);
        let link = self.link.lock().unwrap();
        let (_, made, prompt) = found(self).unwrap_or_default();
        let time = self.moves.lock().unwrap().time(prompt + made * TOKENS_PER_EVENT, &own, &target);
        thread::sleep(time);
        let mut moves = self.moves.lock().unwrap();
        let handle = format!("{}-{}", self.id, moves.copies.len());
        self.record.line(&format!("server {} has copied {id} to {target}", self.id));
        moves.copies.push((handle.clone(), id.clone(), target));
        drop((moves, link));
        let body = format!("{{\"handle\":\"{handle}\",\"createRev\":{made}}}");
        answer(stream, "200 OK", &[], body.as_bytes())
    }

    /// Uses the copy named by a source, once.
    fn take_copy(&self, source: &str, id: &str) -> bool {
        let handle = source.split_once('/').map(|(_, handle)| handle);
        let mut moves = self.moves.lock().unwrap();
        let own = self.address.to_string();
        let found = moves.copies.iter().position(|(known, run, target)| {
            Some(known.as_str()) == handle && run == id && *target == own
        });
        found.map(|index| moves.copies.remove(index)).is_some()
    }
}

/// Waits, unless the other end closes the channel meanwhile.
fn wait_while_open(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut byte = [0];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut byte);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(0) => return false,
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return false,
            _ => thread::sleep(left.min(Duration::from_millis(10))),
        }
    }
}
