//! Stand-ins for the platform, servers and consumers, and the start of instances, for the scripts of this
//! review. The standard library only; compiled with `rustc` by `build.sh`.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- the record of a run

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &str) {
    let file = File::create(path).expect("the record can be created");
    let record = Record { file: Mutex::new(file), start: Instant::now() };
    assert!(RECORD.set(record).is_ok());
}

/// Seconds since the start of the script.
pub fn at(instant: Instant) -> f64 {
    let start = RECORD.get().expect("the record is open").start;
    instant.saturating_duration_since(start).as_secs_f64()
}

pub fn note(text: &str) {
    let record = RECORD.get().expect("the record is open");
    let line = format!("{:8.3} {text}\n", record.start.elapsed().as_secs_f64());
    let mut file = record.file.lock().unwrap();
    file.write_all(line.as_bytes()).expect("the record can be written");
}

#[macro_export]
macro_rules! note {
    ($($text:tt)*) => { $crate::lib::note(&format!($($text)*)) };
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP/1.1

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("carawayhead-request-id").unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line).ok()?;
    if count == 0 || !line.ends_with(b"\n") {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_string())
}

fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    Some(Message { first, headers, body: Vec::new() })
}

/// Reads a request with its body; `None` if the channel ends first.
pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut request = read_head(reader)?;
    if let Some(length) = request.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        request.body = body;
    } else if request.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
            let mut part = vec![0; size];
            reader.read_exact(&mut part).ok()?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
            request.body.extend(part);
        }
    }
    Some(request)
}

/// A whole answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

/// Serves each channel in a thread of its own until the script ends.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _nodelay = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

// ---------------------------------------------------------------- the platform's store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..part.len()].copy_from_slice(part);
        let number = u32::from(block[0]) << 16 | u32::from(block[1]) << 8 | u32::from(block[2]);
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}

fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// The store: a log with keyed topics of one partition, as PROTOCOL says. It loses nothing.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let inner = Arc::new((Mutex::new(Topics::new()), Condvar::new()));
        let shared = Arc::clone(&inner);
        let address = serve(move |stream| Self::channel(&shared, stream));
        Self { address, inner }
    }

    /// Writes a record; an empty value drops its key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        records.push((key.to_string(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    fn channel(inner: &(Mutex<Topics>, Condvar), stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let reply = Self::reply(inner, &request);
            if writer.write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn reply(inner: &(Mutex<Topics>, Condvar), request: &Message) -> Vec<u8> {
        let json = [("Content-Type", "application/json")];
        let topic = request.parameter("topic").unwrap_or("").to_string();
        let (topics, changed) = inner;
        match request.path() {
            "/v1/log-newest" => {
                let topics = topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut newest = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                newest.retain(|_, (_, value)| !value.is_empty());
                let items = newest.iter().map(|(key, (offset, value))| {
                    let (key, value) = (quoted(key), base64(value));
                    format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}")
                });
                let items = items.collect::<Vec<_>>().join(",");
                let end = records.len();
                let body = format!("{{\"items\":[{items}],\"morePages\":false,\"end\":{end}}}");
                answer("200 OK", &json, body.as_bytes())
            }
            "/v1/log-read" => {
                let number = |name| request.parameter(name).and_then(|value| value.parse().ok());
                let from: usize = number("from").unwrap_or(0);
                let until = Instant::now() + ms(number("waitMs").unwrap_or(0) as u64);
                let mut topics = topics.lock().unwrap();
                loop {
                    let end = topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    topics = changed.wait_timeout(topics, left).unwrap().0;
                }
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                answer("200 OK", &[], &body)
            }
            "/v1/log-append" => {
                let mut topics = topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let end = records.len();
                let wanted = request.parameter("at").and_then(|at| at.parse::<usize>().ok());
                if wanted.is_some_and(|wanted| wanted != end) {
                    let body = format!("{{\"end\":{end}}}");
                    return answer("412 Precondition Failed", &json, body.as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() > 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let content = &rest[4..4 + length];
                    let key = content[0] as usize;
                    let name = String::from_utf8_lossy(&content[1..=key]).into_owned();
                    records.push((name, content[1 + key..].to_vec()));
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                changed.notify_all();
                answer("200 OK", &json, body.as_bytes())
            }
            _ => answer("404 Not Found", &[], b""),
        }
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// The entry of a server in the store.
pub struct Entry {
    pub id: &'static str,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub born: u128,
}

impl Entry {
    pub fn new(id: &'static str, service: &'static str, address: SocketAddr, zone: &'static str) -> Self {
        let slots = if service == "model" { 48 } else { 6 };
        Self { id, service, address, zone, slots, born: unix_ms() }
    }

    pub fn write(&self, store: &Store, state: &str, sequence: u32) {
        let Self { id, service, address, zone, slots, born } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{born}}}"
        );
        store.put("keyed.servers", id, &value);
    }
}

/// Writes the entries of ready servers every 1,200 ms, as servers do, until the script ends.
pub fn beat(store: &Store, entries: Vec<Arc<Beat>>) {
    let store = store.clone();
    let mut sequence = 1;
    for beat in &entries {
        beat.write(&store, sequence);
    }
    thread::spawn(move || loop {
        thread::sleep(ms(1200));
        sequence += 1;
        for beat in &entries {
            beat.write(&store, sequence);
        }
    });
}

/// A server that reports its state.
pub struct Beat {
    pub entry: Entry,
    pub state: Mutex<&'static str>,
}

impl Beat {
    pub fn new(entry: Entry) -> Arc<Self> {
        Arc::new(Self { entry, state: Mutex::new("ready") })
    }

    fn write(&self, store: &Store, sequence: u32) {
        let state = *self.state.lock().unwrap();
        self.entry.write(store, state, sequence);
    }

    /// Reports a new state at once.
    pub fn report(&self, store: &Store, state: &'static str) {
        *self.state.lock().unwrap() = state;
        self.entry.write(store, state, 1_000_000);
    }
}

pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// The configuration: streams at `/draft/`, unsafe requests at `/order/`, safe ones at `/look/`.
pub fn config(version: u32, plain_timeout_ms: u32) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"allowAnonymous\":false,\
             \"stickySessions\":{},\"resumeStreams\":false,\"gapAimMs\":180}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("draft", "streaming", "model", 39_000, 1800, 1),
        route("order", "unsafe", "desk", plain_timeout_ms, 300, 1),
        route("look", "safe", "desk", plain_timeout_ms, 300, 2),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConnections\":372,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":1.0,\"coldPerS\":28.0,\"engine\":{{\"slots\":48,\
         \"kvCapacityTokens\":34457,\"kvTokenBytes\":18432,\"linkMbps\":2700.0,\"moves\":true,\
         \"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

// ---------------------------------------------------------------- instances

/// A process of the system, started as the deploy file says.
pub struct Instance {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: std::path::PathBuf,
}

/// Processes that this script has started and not ended, by their ids.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script, and what it started, after 115 s.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        note!("the script takes too long");
        for pid in CHILDREN.lock().unwrap().iter() {
            let _killed = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        std::process::exit(2);
    });
}

fn free_port() -> u16 {
    // Both must be free: callers use TCP, the other instances UDP.
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    /// Starts an instance with `platform/settings.template` filled in, and waits until it is ready.
    pub fn start(name: &str, zone: &str, store: &Store) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let ports = [0; 4].map(|_| free_port());
        let [front, ready, metrics, fellows] = ports.map(|port| format!("127.0.0.1:{port}"));
        let settings = format!(
            "[instance]\ndomain = \"{zone}\"\nfellows = \"{fellows}\"\ngrace_s = 8\nlisten = \"{front}\"\n\
             max_files = 4100\nmemory_mb = 110\nmetrics = \"{metrics}\"\nname = \"{name}\"\n\
             processor = 0.25\nready = \"{ready}\"\n\n[decisions]\n\
             enabled = [\"domain_overflow\", \"engine_profiles\", \"move_room\"]\n\n[joint]\n\
             retry_burst = 54\nretry_ratio = 0.2\nretry_window_s = 10\nrevocation_ms = 5000\n\n\
             [store]\naddress = \"{}\"\n",
            store.address
        );
        let file = folder.join("settings.toml");
        std::fs::write(&file, settings).ok()?;
        let log = File::create(folder.join("log")).ok()?;
        let child = Command::new("target/release/carawayhead")
            .arg("forward")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CARAWAYHEAD_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        CHILDREN.lock().unwrap().push(child.id());
        let instance = Self {
            child,
            name: name.to_string(),
            front: front.parse().ok()?,
            ready: ready.parse().ok()?,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if instance.is_ready() {
                note!("instance {name} is ready");
                return Some(instance);
            }
            thread::sleep(ms(50));
        }
        None
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    pub fn signal(&self, signal: &str) {
        note!("SIG{signal} to instance {}", self.name);
        let pid = self.child.id().to_string();
        let _sent = Command::new("kill").arg(format!("-{signal}")).arg(pid).status();
    }

    /// Memory of the process in kB that is resident; `None` once it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Log lines that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
        if std::env::var("KEEP").is_err() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The platform's question to a readiness address.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&address, ms(900)).ok()?;
        stream.set_read_timeout(Some(ms(900))).ok()?;
        stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n").ok()?;
        read_head(&mut BufReader::new(stream))
    };
    ask().is_some_and(|head| head.first.contains(" 200 "))
}

// ---------------------------------------------------------------- consumers

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub headers: Vec<(&'static str, String)>,
    pub body: &'static str,
}

impl Request {
    pub fn new(id: impl Into<String>, method: &'static str, path: &'static str, deadline_ms: u64) -> Self {
        let body = if method == "GET" { "" } else { "a request of a consumer" };
        Self { id: id.into(), method, path, deadline_ms, headers: Vec::new(), body }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let Self { id, method, path, deadline_ms, headers, body } = self;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nCarawayhead-Request-Id: {id}\r\n\
             Carawayhead-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if *method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        text.push_str(body);
        text.into_bytes()
    }
}

/// What a consumer has received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Status; zero if the channel ended before the head of an answer.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the body has come to its end.
    pub complete: bool,
    pub why: String,
}

impl Received {
    pub fn sealed(&self) -> bool {
        self.head.header("carawayhead-response-seal").is_some()
    }
}

/// How a consumer reads its answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Bytes that it reads at once.
    pub free: usize,
    /// Bytes a second after these; no limit if zero.
    pub rate: usize,
}

/// Sends a request on a new channel and reads its answer.
pub fn send(address: SocketAddr, request: &Request, pace: Pace) -> Received {
    let mut received = Received::default();
    let deadline = Instant::now() + ms(request.deadline_ms);
    let stream = match TcpStream::connect_timeout(&address, ms(1000)) {
        Ok(stream) => stream,
        Err(error) => {
            received.why = format!("not connected: {error}");
            return received;
        }
    };
    if pace.rate > 0 {
        set_small_buffer(&stream);
    }
    let _set = stream.set_nodelay(true);
    send_on(&stream, request, pace, deadline, &mut received);
    received
}

/// Sends a request on a channel that is open, and reads its answer until a deadline.
pub fn send_on(stream: &TcpStream, request: &Request, pace: Pace, deadline: Instant, received: &mut Received) {
    let mut writer = stream;
    if let Err(error) = writer.write_all(&request.bytes()) {
        received.why = format!("not sent: {error}");
        return;
    }
    let paced = Paced { stream, pace, started: None, read: 0, deadline };
    let mut reader = BufReader::with_capacity(16384, paced);
    let Some(head) = read_head(&mut reader) else {
        received.why = "no answer".to_string();
        return;
    };
    received.status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    received.head = head.clone();
    let mut buffer = [0; 4096];
    if let Some(length) = head.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        while received.body.len() < length {
            let wanted = buffer.len().min(length - received.body.len());
            match reader.read(&mut buffer[..wanted]) {
                Ok(0) => {
                    received.why = "the channel ended inside the body".to_string();
                    return;
                }
                Ok(count) => received.body.extend_from_slice(&buffer[..count]),
                Err(error) => {
                    received.why = format!("the channel broke inside the body: {error}");
                    return;
                }
            }
        }
        received.complete = true;
        return;
    }
    if head.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(&mut reader).and_then(|line| usize::from_str_radix(&line, 16).ok());
            let Some(size) = size else {
                received.why = "the channel ended inside the body".to_string();
                return;
            };
            let mut part = vec![0; size + 2];
            if reader.read_exact(&mut part).is_err() {
                received.why = "the channel ended inside the body".to_string();
                return;
            }
            if size == 0 {
                received.complete = true;
                return;
            }
            received.body.extend_from_slice(&part[..size]);
        }
    }
    received.complete = reader.read_to_end(&mut received.body).is_ok();
}

/// Reads a channel at a pace, until a deadline.
struct Paced<'a> {
    stream: &'a TcpStream,
    pace: Pace,
    /// When it began to read slowly.
    started: Option<Instant>,
    read: usize,
    deadline: Instant,
}

impl Read for Paced<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.pace.rate > 0 && self.read >= self.pace.free {
            let started = *self.started.get_or_insert_with(Instant::now);
            let slow = (self.read - self.pace.free) as f64 / self.pace.rate as f64;
            let due = started + Duration::from_secs_f64(slow);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut stream = self.stream;
        let count = stream.read(buffer)?;
        self.read += count;
        Ok(count)
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A small receive buffer, as a consumer that reads slowly has on a real network.
fn set_small_buffer(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes = 65536;
    // SAFETY: the descriptor is open, and the value lives through the call.
    let _set = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}
