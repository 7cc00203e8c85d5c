//! Callers of resumable streams leave after a model server has crashed under them. See claim.txt.

#[path = "../standins-2/engine.rs"]
mod engine;
#[path = "../standins-2/platform.rs"]
mod platform;

use {
    engine::Engine,
    platform::*,
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Places of a model server.
const SLOTS: usize = 12;

/// Model servers; one of them crashes.
const SERVERS: usize = 7;

/// After this time no request may reach a server for a caller that has left.
const BOUND: Duration = Duration::from_millis(500);

/// "More than a few".
const A_FEW: usize = 5;

const CONFIG: &str = r#"{"version":3,
 "routes":[
  {"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,
   "gapAimMs":180,"priority":1,"service":"writers","maxAttempts":1,"allowAnonymous":true,"stickySessions":true,"resumeStreams":false},
  {"name":"tag","host":"desk.example","pathPrefix":"/tag/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,
   "gapAimMs":180,"priority":1,"service":"writers","maxAttempts":2,"allowAnonymous":true,"stickySessions":true,"resumeStreams":true}],
 "services":[{"name":"writers","healthPath":"/health","maxConnections":442,"coldStartS":1.0,"coldPerS":34.0,
  "engine":{"slots":12,"kvCapacityTokens":34390,"moves":true,"backups":true,"stride":4,"handleS":5.0}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[]}"#;

/// A caller's stream.
struct Call {
    id: String,
    stream: TcpStream,
    events: Arc<AtomicUsize>,
}

/// Sends a request for a stream and reads its events in the background.
fn open(callers: SocketAddr, path: &str, id: &str, record: &Record) -> Call {
    let mut stream = TcpStream::connect(callers).expect("the instance accepts callers");
    let headers = [
        ("Carawayhead-Deadline-Ms", "39000".to_string()),
        ("Carawayhead-Token-Count", "400,60".to_string()),
        ("Carawayhead-Model", "m".to_string()),
        ("Carawayhead-Prompt-Prefix", format!("{id}:400")),
    ];
    record.line(&format!("caller sends {id} to {path}"));
    let text = request("POST", path, id, &headers, id);
    stream.write_all(text.as_bytes()).expect("the request is sent");
    let events = Arc::new(AtomicUsize::new(0));
    let (mut reading, seen) = (BufReader::new(stream.try_clone().unwrap()), Arc::clone(&events));
    let (id_of_call, record) = (id.to_string(), record.clone());
    thread::spawn(move || {
        let Ok(Some(head)) = read_head(&mut reading) else {
            return record.line(&format!("{id_of_call}: channel closed without an answer"));
        };
        if head.status() != 200 {
            return record.line(&format!("{id_of_call}: {}", head.start));
        }
        loop {
            match read_chunk(&mut reading) {
                Ok(Some(chunk)) => {
                    let text = String::from_utf8_lossy(&chunk).into_owned();
                    seen.fetch_add(text.matches("data:").count(), Ordering::SeqCst);
                }
                Ok(None) => return record.line(&format!("{id_of_call}: stream complete")),
                Err(error) => return record.line(&format!("{id_of_call}: stream cut, {error}")),
            }
        }
    });
    Call {
        id: id.to_string(),
        stream,
        events,
    }
}

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("a path for the record"));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let start = |index: usize| {
        Engine::start(&format!("i-{index}"), 2000, Duration::from_millis(100), &record)
    };
    let mut engines = (0..SERVERS - 1).map(start).collect::<Vec<_>>();
    let list = |engine: &Engine| {
        let zone = "qc-est-a";
        store.put("keyed.servers", &engine.id, &entry(engine.address, "writers", zone, SLOTS as u32, "ready"));
    };
    engines.iter().for_each(|engine| list(engine));
    let instance = Instance::start("front-1", "qc-est-a", address);

    // Other callers take all places of six servers.
    let mut others = Vec::new();
    for number in 0..(SERVERS - 1) * SLOTS {
        others.push(open(instance.callers, "/draft/x", &format!("other-{number}"), &record));
        thread::sleep(Duration::from_millis(90));
    }
    // The seventh gets the streams of callers that may resume theirs.
    let last = start(SERVERS - 1);
    list(&last);
    engines.push(Arc::clone(&last));
    thread::sleep(Duration::from_millis(600));
    let mut leaving = Vec::new();
    for number in 0..SLOTS {
        leaving.push(open(instance.callers, "/tag/x", &format!("leaving-{number}"), &record));
        thread::sleep(Duration::from_millis(380));
    }
    thread::sleep(Duration::from_secs(1));
    let began = |calls: &[Call]| {
        let begun = calls.iter().filter(|call| call.events.load(Ordering::SeqCst) > 0);
        begun.count()
    };
    let here = last.arrivals.lock().unwrap().len();
    if began(&others) < others.len() || began(&leaving) < leaving.len() || here < SLOTS {
        record.line(&format!("begun: {} others, {}; {here} at the last server", began(&others), began(&leaving)));
        drop(instance);
        unusable("not all streams have begun where they should");
    }

    if trouble() {
        last.crash();
    } else {
        record.line("no server crashes");
    }
    thread::sleep(Duration::from_millis(100));
    let left = Mutex::new(Vec::new());
    for call in leaving {
        let _ = call.stream.shutdown(std::net::Shutdown::Both);
        record.line(&format!("caller of {} closes its channel", call.id));
        left.lock().unwrap().push((call.id, Instant::now()));
    }
    // Streams of other callers come to their ends, so that their servers have room.
    thread::sleep(Duration::from_millis(700));
    record.line("the streams of other callers come to their ends");
    for engine in &engines {
        engine.finishes.set();
    }
    thread::sleep(Duration::from_secs(4));

    let mut late = 0;
    for (id, closed_at) in left.lock().unwrap().iter() {
        for engine in &engines {
            for arrival in engine.arrivals.lock().unwrap().iter() {
                if arrival.id == *id && arrival.at > *closed_at + BOUND {
                    let ms = (arrival.at - *closed_at).as_millis();
                    record.line(&format!("{id} reached server {} {ms} ms after its caller had left", engine.id));
                    late += 1;
                }
            }
        }
    }
    drop(instance);
    let verdict = if late > A_FEW { "broken" } else { "held" };
    record.line(&format!("GONE {verdict}: {late} requests reached a server over 500 ms after their callers had left"));
    println!("GONE {verdict}: {late} late requests");
    std::process::exit(i32::from(late > A_FEW));
}
