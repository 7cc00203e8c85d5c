//! Model servers that stream events, copy their runs and go on from copies, as PROTOCOL says.

use crate::{
    lib::{Message, answer, chunk, ms, read_request, serve},
    note,
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Runs that began at a server, and what became of them.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: &'static str,
    pub began: Instant,
    /// When it last worked on it.
    pub last: Instant,
    /// Whether it went on from a copy.
    pub goes_on: bool,
    pub ended: bool,
}

/// What the servers of one service share.
#[derive(Default)]
pub struct Pool {
    /// Copies: address of the server that made or keeps it and handle, and the id of the run.
    copies: Mutex<BTreeMap<(String, String), String>>,
    pub runs: Mutex<Vec<Run>>,
}

pub struct Engine {
    pub id: &'static str,
    pub address: Mutex<String>,
    pub draining: AtomicBool,
    /// Whether it works on a request whose channel has closed.
    pub works_on: bool,
    /// Ids of runs that it was asked to stop.
    stopped: Mutex<Vec<String>>,
    handles: AtomicU32,
    pool: Arc<Pool>,
    events: u32,
    interval: Duration,
}

impl Engine {
    pub fn start(
        pool: &Arc<Pool>,
        id: &'static str,
        events: u32,
        interval: Duration,
        works_on: bool,
    ) -> (Arc<Self>, SocketAddr) {
        let engine = Arc::new(Self {
            id,
            address: Mutex::default(),
            draining: AtomicBool::new(false),
            works_on,
            stopped: Mutex::default(),
            handles: AtomicU32::new(0),
            pool: Arc::clone(pool),
            events,
            interval,
        });
        let shared = Arc::clone(&engine);
        let address = serve(move |stream| {
            shared.channel(stream);
        });
        *engine.address.lock().unwrap() = address.to_string();
        (engine, address)
    }

    fn channel(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader)?;
            let path = request.path().to_string();
            match path.as_str() {
                "/v1/report" => writer.write_all(&self.report()).ok()?,
                "/v1/kv-move" => writer.write_all(&self.copy(&request)).ok()?,
                "/health" => {
                    let headers = [("Carawayhead-Instance-Id", self.id)];
                    writer.write_all(&answer("200 OK", &headers, b"")).ok()?;
                }
                path if path.starts_with("/v1/") => writer.write_all(&answer("200 OK", &[], b"{}")).ok()?,
                _ => self.run(&request, &mut writer)?,
            }
        }
    }

    fn report(&self) -> Vec<u8> {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let runs = self.pool.runs.lock().unwrap();
        let running = runs.iter().filter(|run| run.server == self.id && !run.ended);
        let rows = running.map(|run| format!("[\"{}\",3000,1,1]", run.id)).collect::<Vec<_>>();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":0,\"waiting\":0,\"running\":{},\"kvUsed\":3000,\"kvTotal\":34457,\"handles\":0,\
             \"state\":\"{state}\",\"runs\":[{}]}}",
            rows.len(),
            rows.join(",")
        );
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    /// Copies a run to another server; with `last` the run stops first.
    fn copy(&self, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).replace(' ', "");
        let text = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
            rest.split('"').next().map(str::to_string)
        };
        let (id, target) = (text("id").unwrap_or_default(), text("target").unwrap_or_default());
        let last = body.contains("\"last\":true");
        let has_run = {
            let runs = self.pool.runs.lock().unwrap();
            runs.iter().any(|run| run.server == self.id && run.id == id && !run.ended)
        };
        note!("{} is asked to copy {id} to {target}{}", self.id, if last { " and to stop it" } else { "" });
        if !has_run {
            return answer("404 Not Found", &[], b"");
        }
        if last {
            self.stopped.lock().unwrap().push(id.clone());
        }
        thread::sleep(ms(60));
        let handle = format!("h{}", self.handles.fetch_add(1, Ordering::Relaxed));
        let own = self.address.lock().unwrap().clone();
        self.pool.copies.lock().unwrap().insert((own, handle.clone()), id);
        let body = format!("{{\"handle\":\"{handle}\",\"createRev\":1}}");
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.id().to_string();
        let echo = ("Carawayhead-Request-Id", id.as_str());
        if request.header("carawayhead-expect-instance").is_some_and(|other| other != self.id) {
            return writer.write_all(&answer("421 Misdirected Request", &[echo], b"")).ok();
        }
        let goes_on = request.header("kv-from");
        if let Some(source) = goes_on {
            let key = source.split_once('/').map(|(from, handle)| (from.to_string(), handle.to_string()));
            let found = {
                let copies = self.pool.copies.lock().unwrap();
                key.is_some_and(|key| copies.get(&key) == Some(&id))
            };
            if !found {
                note!("{} has no copy for {id} ({source})", self.id);
                let headers = [echo, ("Carawayhead-Not-Executed", "1")];
                return writer.write_all(&answer("503 Service Unavailable", &headers, b"")).ok();
            }
        }
        if let Some(backup) = request.header("carawayhead-kv-backup") {
            let mut copies = self.pool.copies.lock().unwrap();
            copies.insert((backup.to_string(), id.clone()), id.clone());
        }
        let from = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        note!("{} begins {id} after event {from}{}", self.id,
            goes_on.map(|source| format!(" from the copy {source}")).unwrap_or_default());
        self.stopped.lock().unwrap().retain(|other| *other != id);
        let index = {
            let now = Instant::now();
            let mut runs = self.pool.runs.lock().unwrap();
            let run = Run {
                id: id.clone(),
                server: self.id,
                began: now,
                last: now,
                goes_on: goes_on.is_some(),
                ended: false,
            };
            runs.push(run);
            runs.len() - 1
        };
        let outcome = self.stream(&id, from, index, writer);
        self.pool.runs.lock().unwrap()[index].ended = true;
        note!("{} ends its work on {id}", self.id);
        outcome
    }

    fn stream(&self, id: &str, from: u32, index: usize, writer: &mut TcpStream) -> Option<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nCarawayhead-Request-Id: {id}\r\nCarawayhead-Weight-Versions: 1\r\n\
             Carawayhead-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(ms(40));
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        for number in from + 1..=self.events {
            thread::sleep(self.interval);
            if self.stopped.lock().unwrap().iter().any(|other| other == id) {
                return None;
            }
            self.pool.runs.lock().unwrap()[index].last = Instant::now();
            if is_open {
                let event = format!("id: {number}\ndata: token {number}\n\n");
                is_open = writer.write_all(&chunk(&event)).is_ok() && !is_closed(writer);
                if !is_open {
                    note!("{} sees that the channel of {id} is closed, at event {number}", self.id);
                }
            }
            if !is_open && !self.works_on {
                return None;
            }
        }
        if !is_open {
            return None;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

/// Whether the other side has closed a channel on which it waits for an answer.
fn is_closed(stream: &mut TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let read = stream.read(&mut [0; 1]);
    let _set = stream.set_nonblocking(false);
    match read {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
