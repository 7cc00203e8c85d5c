//! LOST: consumers that read large answers slowly bring a process over its memory, and it is killed.

use crate::{
    Outcome,
    lib::{Beat, Entry, Instance, Pace, Request, Store, answer, at, beat, config, ms, read_request, send, send_on, serve, trouble},
    note,
};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `limits.memoryMb` of the small deployment.
const MEMORY_KB: u64 = 110 * 1024;

/// Answers to lookups, and how slow consumers read them: the last quarter takes 10 s. No pause comes near the idle
/// time-out of 15 s.
const ANSWER_BYTES: usize = 2_000_000;
const SLOW: Pace = Pace { free: 1_500_000, rate: 50_000 };
const SLOW_CONSUMERS: usize = 60;

/// Consumers with a kept channel, which send one order after the other.
const KEPT: usize = 10;
const WORK: Duration = Duration::from_millis(200);

fn channel(stream: TcpStream, began: &Mutex<Vec<String>>) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        if request.path() == "/health" {
            writer.write_all(&answer("200 OK", &[("Carawayhead-Instance-Id", "i-7f3a91c2")], b"")).ok()?;
            continue;
        }
        let id = request.id().to_string();
        let headers =
            [("Carawayhead-Request-Id", id.as_str()), ("Carawayhead-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")];
        let reply = if request.method() == "GET" {
            answer("200 OK", &headers, &vec![b'x'; ANSWER_BYTES])
        } else {
            began.lock().unwrap().push(id.clone());
            thread::sleep(WORK);
            answer("200 OK", &headers, b"booked")
        };
        writer.write_all(&reply).ok()?;
    }
}

/// Sends orders on one channel for as long as it is kept open; returns the one that got no answer.
fn keep_sending(front: std::net::SocketAddr, number: usize, stop: &AtomicBool) -> Option<String> {
    let stream = TcpStream::connect(front).ok()?;
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        let request = Request::new(format!("order{number}-{turn}"), "POST", "/order/2f", 4000);
        let mut received = crate::lib::Received::default();
        send_on(&stream, &request, Pace::default(), Instant::now() + ms(4000), &mut received);
        if !received.complete {
            note!("consumer: {} on a kept channel has no answer: {}", request.id, received.why);
            return (received.status == 0).then_some(request.id);
        }
        if received.status != 200 {
            note!("consumer: {} is answered {}", request.id, received.status);
        }
        thread::sleep(ms(20));
    }
    None
}

pub fn play() -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 15_000));
    let began = Arc::new(Mutex::new(Vec::new()));
    let mut beats = Vec::new();
    for id in ["i-7f3a91c2", "i-02d9e6b4", "i-5b11c0de", "i-6c22d1ef"] {
        let began = Arc::clone(&began);
        let address = serve(move |stream| {
            channel(stream, &began);
        });
        beats.push(Beat::new(Entry::new(id, "desk", address, "zone-a")));
    }
    beat(&store, beats);
    let Some(mut instance) = Instance::start("front-zone-a-1", "zone-a", &store) else {
        return Outcome::NotRun;
    };
    thread::sleep(ms(500));
    let front = instance.front;
    let stop = Arc::new(AtomicBool::new(false));
    let kept = (0..KEPT).map(|number| {
        let stop = Arc::clone(&stop);
        thread::spawn(move || keep_sending(front, number, &stop))
    });
    let kept = kept.collect::<Vec<_>>();
    let slow = thread::spawn(move || {
        let mut consumers = Vec::new();
        for number in 0..SLOW_CONSUMERS {
            let pace = if trouble() { SLOW } else { Pace::default() };
            consumers.push(thread::spawn(move || {
                let received = send(front, &Request::new(format!("look{number}"), "GET", "/look/2f", 15_000), pace);
                (received.status, received.body.len(), received.complete)
            }));
            thread::sleep(ms(60));
        }
        consumers.into_iter().filter_map(|consumer| consumer.join().ok()).collect::<Vec<_>>()
    });
    // The platform's limit on the memory of a process.
    let (mut most, mut killed_at) = (0, None);
    let mut noted_at = Instant::now();
    while !slow.is_finished() {
        if let Some(memory) = instance.memory_kb().filter(|_| killed_at.is_none()) {
            most = most.max(memory);
            if noted_at.elapsed() >= ms(1000) {
                noted_at = Instant::now();
                note!("the process holds {memory} kB");
            }
            if memory > MEMORY_KB {
                note!("platform: the process holds {memory} kB, over {MEMORY_KB} kB, and is killed");
                instance.signal("KILL");
                killed_at = Some(Instant::now());
            }
        } else if killed_at.is_none() && instance.has_ended() {
            note!("the process has ended by itself");
            killed_at = Some(Instant::now());
        }
        thread::sleep(ms(20));
    }
    stop.store(true, Ordering::Relaxed);
    let unanswered = kept.into_iter().filter_map(|consumer| consumer.join().ok().flatten()).collect::<Vec<_>>();
    let looks = slow.join().unwrap_or_default();
    let began = began.lock().unwrap();
    let passed_on = unanswered.iter().filter(|id| began.contains(id)).count();
    let whole = looks.iter().filter(|(_, _, complete)| *complete).count();
    note!("lookups: {} of {SLOW_CONSUMERS} complete; statuses and bytes: {looks:?}", whole);
    note!("most memory: {most} kB of {MEMORY_KB} kB");
    let let_go = instance.log_lines("response is let go").len();
    note!("log of the instance: {let_go} answers were let go for want of memory, or since they were not read");
    note!("kept channels that were closed without an answer after their request was passed on: {passed_on}");
    if began.is_empty() {
        return Outcome::NotRun;
    }
    if let Some(killed_at) = killed_at {
        note!("the process ended at {:.3}", at(killed_at));
        return if passed_on > 3 { Outcome::Broken } else { Outcome::Held };
    }
    Outcome::Held
}
