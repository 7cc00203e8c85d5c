//! TWICE: a second copy of the answer to a health probe is taken for the answer to an order.

use crate::{
    Outcome,
    lib::{Beat, Entry, Instance, Pace, Request, Store, answer, beat, config, ms, read_request, send, serve, trouble},
    note,
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Instant,
};

const ROUNDS: usize = 4;

/// Orders of a round, one after the other, and the one before which a lookup is sent.
const ORDERS: usize = 60;
const LOOKUP_BEFORE: usize = 30;

/// The server that spoils two of its answers in a round; the other one is sound.
const FAULTY: &str = "i-7f3a91c2";

/// A server of the plain service.
#[derive(Default)]
struct Server {
    id: &'static str,
    /// Whether it truncates its next answer to a lookup.
    truncates: Mutex<bool>,
    /// Whether it sends its next answer to a probe a second time, late.
    doubles: Mutex<bool>,
    /// Until when requests of other machines take all of its slots: for a moment after each lookup, in both variants.
    full_until: Mutex<Option<Instant>>,
    /// Ids of the orders that it ran.
    ran: Mutex<Vec<String>>,
    answers: AtomicU32,
    spoilt: AtomicU32,
}

impl Server {
    fn start(id: &'static str) -> (Arc<Self>, SocketAddr) {
        let server = Arc::new(Self { id, ..Self::default() });
        let shared = Arc::clone(&server);
        let address = serve(move |stream| {
            shared.channel(stream);
        });
        (server, address)
    }

    fn channel(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        // A second copy of an answer, which comes where the next answer is expected.
        let mut extra = None::<Vec<u8>>;
        loop {
            let request = read_request(&mut reader)?;
            let is_full = self.full_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
            let id = request.id().to_string();
            let echo = [("Carawayhead-Request-Id", id.as_str())];
            let echo = if id.is_empty() { &echo[..0] } else { &echo[..] };
            let path = request.path().to_string();
            let reply = if request.header("carawayhead-expect-instance").is_some_and(|other| other != self.id) {
                answer("421 Misdirected Request", &[echo, &[("Carawayhead-Instance-Id", self.id)]].concat(), b"")
            } else if is_full {
                // A probe is rejected in the same way as any other request.
                answer("503 Service Unavailable", &[echo, &[("Carawayhead-Not-Executed", "1")]].concat(), b"")
            } else if path == "/health" {
                answer("200 OK", &[("Carawayhead-Instance-Id", self.id)], b"")
            } else if id.is_empty() {
                answer("400 Bad Request", &[("Carawayhead-Not-Executed", "1")], b"")
            } else {
                if request.method() == "POST" {
                    self.ran.lock().unwrap().push(id.clone());
                }
                thread::sleep(ms(30));
                let seal = [("Carawayhead-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")];
                answer("200 OK", &[echo, &seal].concat(), format!("{id} done at {}", self.id).as_bytes())
            };
            self.answers.fetch_add(1, Ordering::Relaxed);
            let status = String::from_utf8_lossy(&reply).lines().next().unwrap_or("").to_string();
            note!("{} answers {} {path} {id}: {status}", self.id, request.method());
            if let Some(extra) = extra.take() {
                let status = String::from_utf8_lossy(&extra).lines().next().unwrap_or("").to_string();
                note!("{} sends a second copy of its earlier answer before that one: {status}", self.id);
                writer.write_all(&extra).ok()?;
            }
            if self.id == FAULTY && path.starts_with("/look/") && !is_full {
                *self.full_until.lock().unwrap() = Some(Instant::now() + ms(250));
                if std::mem::take(&mut *self.truncates.lock().unwrap()) {
                    note!("{} truncates its answer to {id}", self.id);
                    self.spoilt.fetch_add(1, Ordering::Relaxed);
                    writer.write_all(&reply[..reply.len() - 5]).ok()?;
                    return None;
                }
            }
            writer.write_all(&reply).ok()?;
            if path == "/health" && std::mem::take(&mut *self.doubles.lock().unwrap()) {
                self.spoilt.fetch_add(1, Ordering::Relaxed);
                extra = Some(reply);
            }
        }
    }
}

pub fn play() -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 2000));
    let (one, one_address) = Server::start(FAULTY);
    let (two, two_address) = Server::start("i-02d9e6b4");
    let entries = vec![
        Beat::new(Entry::new(FAULTY, "desk", one_address, "zone-a")),
        Beat::new(Entry::new("i-02d9e6b4", "desk", two_address, "zone-b")),
    ];
    beat(&store, entries);
    let Some(instance) = Instance::start("front-zone-a-1", "zone-a", &store) else {
        return Outcome::NotRun;
    };
    thread::sleep(ms(500));
    let mut unanswered = 0;
    for round in 0..ROUNDS {
        for number in 0..ORDERS {
            if number == LOOKUP_BEFORE {
                *one.truncates.lock().unwrap() = trouble();
                *one.doubles.lock().unwrap() = trouble();
                let request = Request::new(format!("look{round}"), "GET", "/look/2f", 4000);
                let look = send(instance.front, &request, Pace::default());
                note!("consumer: look{round} is answered {} (sealed: {})", look.status, look.sealed());
            }
            let request = Request::new(format!("order{round}-{number}"), "POST", "/order/2f", 4000);
            let order = send(instance.front, &request, Pace::default());
            unanswered += u32::from(order.status != 200);
            thread::sleep(ms(50));
        }
        *one.doubles.lock().unwrap() = false;
    }
    note!("{unanswered} orders were not answered with 200");
    note!("{} has spoilt {} of {} answers", one.id, one.spoilt.load(Ordering::Relaxed),
        one.answers.load(Ordering::Relaxed));
    let mut runs = BTreeMap::new();
    for server in [&one, &two] {
        for id in server.ran.lock().unwrap().iter() {
            runs.entry(id.clone()).or_insert_with(Vec::new).push(server.id);
        }
    }
    if runs.is_empty() {
        return Outcome::NotRun;
    }
    let mut outcome = Outcome::Held;
    for (id, servers) in runs.iter().filter(|(_, servers)| servers.len() > 1) {
        note!("{id} ran at {}", servers.join(" and "));
        for line in instance.log_lines(&format!("\"{id}\"")) {
            note!("log of the instance: {line}");
        }
        outcome = Outcome::Broken;
    }
    note!("{} orders ran", runs.len());
    outcome
}
