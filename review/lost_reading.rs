//! LOST: a process that is told to stop ends while a consumer still reads its answer, long before its grace ends.

use crate::{
    Outcome,
    lib::{Beat, Entry, Instance, Pace, Request, Store, answer, at, beat, config, ms, read_request, send, serve, trouble},
    note,
};
use std::{
    io::{BufReader, Write},
    net::TcpStream,
    thread,
    time::Instant,
};

/// Size of the answer, and how the consumer reads it: in 5 s, well within the grace of 8 s.
const ANSWER_BYTES: usize = 2_000_000;
const PACE: Pace = Pace { free: 0, rate: 400_000 };

fn channel(stream: TcpStream) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        if request.path() == "/health" {
            writer.write_all(&answer("200 OK", &[("Carawayhead-Instance-Id", "i-7f3a91c2")], b"")).ok()?;
            continue;
        }
        let id = request.id();
        note!("server runs {id}");
        let headers = [("Carawayhead-Request-Id", id), ("Carawayhead-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")];
        writer.write_all(&answer("200 OK", &headers, &vec![b'x'; ANSWER_BYTES])).ok()?;
        note!("server has answered {id} in whole");
    }
}

pub fn play() -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &config(1, 15_000));
    let address = serve(|stream| {
        channel(stream);
    });
    beat(&store, vec![Beat::new(Entry::new("i-7f3a91c2", "desk", address, "zone-a"))]);
    let Some(mut instance) = Instance::start("front-zone-a-1", "zone-a", &store) else {
        return Outcome::NotRun;
    };
    thread::sleep(ms(500));
    let front = instance.front;
    let consumer = thread::spawn(move || {
        let sent_at = Instant::now();
        let received = send(front, &Request::new("order1", "POST", "/order/2f", 15_000), PACE);
        (received, sent_at, Instant::now())
    });
    thread::sleep(ms(500));
    let stopped_at = Instant::now();
    if trouble() {
        instance.signal("TERM");
    }
    let mut ended_at = None;
    while !consumer.is_finished() {
        if ended_at.is_none() && instance.has_ended() {
            ended_at = Some(Instant::now());
            note!("the process has ended, {:.2} s after SIGTERM", stopped_at.elapsed().as_secs_f64());
        }
        thread::sleep(ms(20));
    }
    let Ok((received, sent_at, end)) = consumer.join() else {
        return Outcome::NotRun;
    };
    note!(
        "consumer: order1, sent at {:.3}, is answered {} with {} of {ANSWER_BYTES} bytes at {:.3}: {}",
        at(sent_at), received.status, received.body.len(), at(end),
        if received.complete { "complete" } else { &received.why }
    );
    if received.status != 200 {
        return Outcome::NotRun;
    }
    if received.complete { Outcome::Held } else { Outcome::Broken }
}
