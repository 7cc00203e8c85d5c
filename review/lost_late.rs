//! LOST: a process that stops takes requests in its last moments, and ends before their answers are there.

use crate::{
    Outcome,
    lib::{Beat, Entry, Instance, Pace, Request, Store, answer, at, beat, config, is_ready, ms, read_request, send, serve, trouble},
    note,
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How long a server works on a request. The route allows 2,000 ms, the consumer 4,000 ms.
const WORK: Duration = Duration::from_millis(700);

fn channel(id: &'static str, stream: TcpStream, began: &Mutex<Vec<(String, Instant)>>) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        if request.path() == "/health" {
            writer.write_all(&answer("200 OK", &[("Carawayhead-Instance-Id", id)], b"")).ok()?;
            continue;
        }
        let request_id = request.id().to_string();
        began.lock().unwrap().push((request_id.clone(), Instant::now()));
        thread::sleep(WORK);
        let headers = [
            ("Carawayhead-Request-Id", request_id.as_str()),
            ("Carawayhead-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        writer.write_all(&answer("200 OK", &headers, b"booked")).ok()?;
    }
}

/// The platform's choice of the machines of a zone that get new channels.
struct Balancer {
    fronts: Vec<(SocketAddr, SocketAddr)>,
    in_rotation: Mutex<Vec<bool>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Asks every machine once a second; two misses take it out until it answers 200 again.
    fn watch(self: &Arc<Self>) {
        for (index, (_, ready)) in self.fronts.clone().into_iter().enumerate() {
            let shared = Arc::clone(self);
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    misses = if is_ready(ready) { 0 } else { misses + 1 };
                    let is_in = misses < 2;
                    let before = std::mem::replace(&mut shared.in_rotation.lock().unwrap()[index], is_in);
                    if before != is_in {
                        note!("platform: machine {} is {} rotation", index + 1, if is_in { "in" } else { "out of" });
                    }
                    thread::sleep(ms(1000));
                }
            });
        }
    }

    /// The machine for a new channel: one in rotation, or any if fewer than half are in rotation.
    fn choose(&self) -> usize {
        let in_rotation = self.in_rotation.lock().unwrap().clone();
        let count = in_rotation.iter().filter(|is_in| **is_in).count();
        let uses_all = 2 * count < in_rotation.len();
        let used = (0..in_rotation.len()).filter(|index| uses_all || in_rotation[*index]);
        let used = used.collect::<Vec<_>>();
        used[self.next.fetch_add(1, Ordering::Relaxed) % used.len()]
    }
}

pub fn play() -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 2000));
    let began = Arc::new(Mutex::new(Vec::new()));
    let mut beats = Vec::new();
    for id in ["i-7f3a91c2", "i-02d9e6b4", "i-5b11c0de", "i-6c22d1ef"] {
        let began = Arc::clone(&began);
        let address = serve(move |stream| {
            channel(id, stream, &began);
        });
        beats.push(Beat::new(Entry::new(id, "desk", address, "zone-a")));
    }
    beat(&store, beats);
    let mut instances = Vec::new();
    for name in ["front-zone-a-1", "front-zone-a-2", "front-zone-a-3"] {
        match Instance::start(name, "zone-a", &store) {
            Some(instance) => instances.push(instance),
            None => return Outcome::NotRun,
        }
    }
    thread::sleep(ms(2000));
    let balancer = Arc::new(Balancer {
        fronts: instances.iter().map(|instance| (instance.front, instance.ready)).collect(),
        in_rotation: Mutex::new(vec![true; 3]),
        next: AtomicUsize::new(0),
    });
    balancer.watch();
    let stop = Arc::new(AtomicBool::new(false));
    let results = Arc::new(Mutex::new(Vec::new()));
    let sender = {
        let (balancer, stop, results) = (Arc::clone(&balancer), Arc::clone(&stop), Arc::clone(&results));
        thread::spawn(move || {
            let mut consumers = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (balancer, results) = (Arc::clone(&balancer), Arc::clone(&results));
                consumers.push(thread::spawn(move || {
                    let machine = balancer.choose();
                    let request = Request::new(format!("order{number}"), "POST", "/order/2f", 4000);
                    let sent_at = Instant::now();
                    let received = send(balancer.fronts[machine].0, &request, Pace::default());
                    results.lock().unwrap().push((request.id, machine, sent_at, Instant::now(), received));
                }));
                thread::sleep(ms(40));
            }
            for consumer in consumers {
                let _ended = consumer.join();
            }
        })
    };
    thread::sleep(ms(3000));
    let mut stopped_at = [None; 3];
    if trouble() {
        for index in [0, 1] {
            instances[index].signal("TERM");
            stopped_at[index] = Some(Instant::now());
            thread::sleep(ms(1000));
        }
    }
    let until = Instant::now() + ms(9000);
    let mut ended = [false; 3];
    while Instant::now() < until {
        for index in 0..3 {
            if !ended[index] && instances[index].has_ended() {
                ended[index] = true;
                let after = stopped_at[index].map_or(0.0, |at: Instant| at.elapsed().as_secs_f64());
                note!("the process of machine {} has ended, {after:.2} s after SIGTERM", index + 1);
            }
        }
        thread::sleep(ms(10));
    }
    stop.store(true, Ordering::Relaxed);
    let _ended = sender.join();
    let began = began.lock().unwrap().clone();
    let results = results.lock().unwrap();
    let mut outcome = Outcome::Held;
    let (mut answered, mut refused) = (0, 0);
    for (id, machine, sent_at, ended_at, received) in results.iter() {
        match received.status {
            200 if received.complete => answered += 1,
            503 => refused += 1,
            _ => note!("consumer: {id} to machine {} is answered {} ({})", machine + 1, received.status, received.why),
        }
        let run = began.iter().find(|(other, _)| other == id);
        let Some(((_, began_at), stopped_at)) = run.zip(stopped_at[*machine]) else {
            continue;
        };
        // Sent more than 3 s after the SIGTERM, so that work in the last sixth of the grace excuses nothing.
        let after = sent_at.saturating_duration_since(stopped_at).as_secs_f64();
        if !received.complete && after > 3.0 && after < 9.0 {
            note!(
                "{id}, sent {after:.2} s after SIGTERM to machine {}, ran from {:.3} on and has no answer at {:.3}",
                machine + 1, at(*began_at), at(*ended_at)
            );
            outcome = Outcome::Broken;
        }
    }
    note!("{} requests, {answered} answered, {refused} refused with 503", results.len());
    if answered == 0 {
        return Outcome::NotRun;
    }
    outcome
}
