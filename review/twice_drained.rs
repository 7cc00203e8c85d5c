//! TWICE: a stream goes on at another server while the one that drains still works on it.

use crate::{
    Outcome,
    engine::{Engine, Pool},
    lib::{Beat, Entry, Instance, Pace, Request, Store, beat, config, ms, send, trouble},
    note,
};
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
};

const EVENTS: u32 = 200;
const STREAMS: usize = 6;

/// One of six drains.
const SERVERS: [&str; 6] = ["i-7f3a91c2", "i-02d9e6b4", "i-5b11c0de", "i-6c22d1ef", "i-7d33e2f0", "i-8e44f301"];

pub fn play() -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 2000));
    let pool = Arc::new(Pool::default());
    let mut engines = Vec::new();
    let mut beats = Vec::new();
    for (index, id) in SERVERS.into_iter().enumerate() {
        let (engine, address) = Engine::start(&pool, id, EVENTS, ms(30), true);
        let zone = if index % 2 == 0 { "zone-a" } else { "zone-b" };
        beats.push(Beat::new(Entry::new(id, "model", address, zone)));
        engines.push(engine);
    }
    beat(&store, beats.clone());
    let Some(instance) = Instance::start("front-zone-a-1", "zone-a", &store) else {
        return Outcome::NotRun;
    };
    thread::sleep(ms(1500));
    let front = instance.front;
    let consumers = (0..STREAMS).map(|number| {
        let mut request = Request::new(format!("draft{number}"), "POST", "/draft/2f", 39_000);
        request.headers = vec![
            ("Carawayhead-Model", "m".to_string()),
            ("Carawayhead-Token-Count", "1460,800".to_string()),
            ("Carawayhead-Prompt-Prefix", format!("5c1e07a2:800,e4402b7d{number}:660")),
        ];
        thread::sleep(ms(100));
        thread::spawn(move || send(front, &request, Pace::default()))
    });
    let consumers = consumers.collect::<Vec<_>>();
    thread::sleep(ms(1500));
    if trouble() {
        let first = pool.runs.lock().unwrap().first().map(|run| run.server);
        let Some(index) = engines.iter().position(|engine| Some(engine.id) == first) else {
            return Outcome::NotRun;
        };
        note!("{} reports that it drains", engines[index].id);
        engines[index].draining.store(true, Ordering::Relaxed);
        beats[index].report(&store, "draining");
    }
    let mut answered = 0;
    for (number, consumer) in consumers.into_iter().enumerate() {
        let Ok(received) = consumer.join() else {
            return Outcome::NotRun;
        };
        let text = String::from_utf8_lossy(&received.body).into_owned();
        let events = text.matches("\ndata: ").count();
        note!("consumer: draft{number} is answered {} with {events} events, complete: {} {}", received.status,
            received.complete, received.why);
        answered += u32::from(received.complete);
    }
    if answered == 0 {
        return Outcome::NotRun;
    }
    // A server that goes on works on the request no longer than it takes to make its events.
    thread::sleep(ms(1500));
    let runs = pool.runs.lock().unwrap().clone();
    let mut outcome = Outcome::Held;
    for next in runs.iter().filter(|run| run.goes_on) {
        for before in runs.iter().filter(|run| run.id == next.id && run.began < next.began) {
            let overlap = before.last.saturating_duration_since(next.began);
            note!("{} went on at {}; {} worked on it for {} ms more", next.id, next.server, before.server,
                overlap.as_millis());
            if overlap > ms(400) {
                outcome = Outcome::Broken;
            }
        }
    }
    outcome
}
