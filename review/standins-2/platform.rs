//! Small stand-ins for the platform, its servers and its callers, and a starter of instances. Standard library only.
//!
//! They speak what the users' protocol page says, over loopback addresses and the real clock.

#![allow(dead_code, reason = "each case uses a part of it")]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.3} s  {text}").expect("the record can be written");
    }
}

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_string())
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }

    /// The id of the request, empty if there is none.
    pub fn id(&self) -> String {
        self.header("carawayhead-request-id")
            .unwrap_or_default()
            .to_string()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start.is_empty() {
            message.start = line.to_string();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let value = value.trim().to_string();
            message.headers.push((name.trim().to_string(), value));
        }
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_bad| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads a message with its body, which has a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse::<usize>().unwrap_or_default();
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// A listener at a free loopback port whose connections are each handled by a thread.
pub fn listen<F>(handle: F) -> SocketAddr
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// The platform's store: a log with keyed topics of one partition each.
#[derive(Default)]
pub struct Store {
    changed: Condvar,
    topics: Mutex<BTreeMap<String, Vec<(String, Vec<u8>)>>>,
}

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let serving = Arc::clone(&store);
        let address = listen(move |stream| {
            let _ended = serving.serve(stream);
        });
        (store, address)
    }

    /// Appends a record, as the operator and servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        records.push((key.to_string(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader)? {
            let topic = call.parameter("topic").unwrap_or_default();
            match call.path() {
                "/v1/log-read" => {
                    let body = self.read(&call, &topic);
                    answer(&mut stream, "200 OK", &[], &body)?;
                }
                "/v1/log-newest" => {
                    let body = self.newest(&topic);
                    answer(&mut stream, "200 OK", &[], body.as_bytes())?;
                }
                "/v1/log-append" => {
                    let (status, body) = self.append(&call, &topic);
                    answer(&mut stream, status, &[], body.as_bytes())?;
                }
                _ => answer(&mut stream, "404 Not Found", &[], b"{}")?,
            }
        }
        Ok(())
    }

    fn read(&self, call: &Message, topic: &str) -> Vec<u8> {
        let number = |name: &str| {
            let value = call.parameter(name);
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
                for (key, value) in records.iter().skip(from) {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        format!("{{\"items\":[{items}],\"morePages\":false,\"end\":{end}}}")
    }

    fn append(&self, call: &Message, topic: &str) -> (&'static str, String) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return ("403 Forbidden", "{}".to_string());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        let offset = records.len();
        if let Some(at) = call.parameter("at")
            && at != offset.to_string()
        {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}"));
        }
        let mut rest = call.body.as_slice();
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            records.push((key, record[key_end..].to_vec()));
            rest = &rest[4 + length..];
        }
        let end = records.len();
        self.changed.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let at = |index: usize| u32::from(block.get(index).copied().unwrap_or_default());
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for position in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * position) & 63) as usize];
            let is_padding = position > block.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}

/// Entry of a server in the store.
pub fn entry(address: SocketAddr, service: &str, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"address\":\"{address}\",\"coldRemainingMs\":0,\"sequence\":1,\"service\":\"{service}\",\
         \"slots\":{slots},\"state\":\"{state}\",\"version\":\"v1\",\"zone\":\"{zone}\"}}"
    )
}

/// Ends the process when dropped.
pub struct Instance {
    child: Child,
    folder: PathBuf,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Has a process end with the one that started it (`PR_SET_PDEATHSIG`, `SIGKILL`).
fn end_with_parent() -> io::Result<()> {
    unsafe { prctl(1, 9_u64) };
    Ok(())
}

impl Instance {
    /// Starts an instance as the deploy file does, with settings like those of a small installation, and waits until it is
    /// ready.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Self {
        let port = || {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            listener.local_addr().expect("a bound address")
        };
        let (callers, ready, metrics) = (port(), port(), port());
        let fellows = {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            socket.local_addr().expect("a bound address")
        };
        let folder = std::env::temp_dir().join(format!("case-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = folder.join("settings.toml");
        let text = format!(
            "[instance]\ndomain = \"{zone}\"\nfellows = \"{fellows}\"\ngrace_s = 8\nlisten = \"{callers}\"\n\
             max_files = 4100\nmemory_mb = 110\nmetrics = \"{metrics}\"\nname = \"{name}\"\nprocessor = 0.25\n\
             ready = \"{ready}\"\n[decisions]\nenabled = [\"domain_overflow\", \"engine_profiles\", \"move_room\"]\n\
             [joint]\nretry_burst = 56\nretry_ratio = 0.2\nretry_window_s = 10\nrevocation_ms = 5000\n\
             [store]\naddress = \"{store}\"\n"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = File::create(folder.join("log")).expect("a log");
        let mut command = Command::new("target/release/carawayhead");
        command
            .arg("forward")
            .env("CARAWAYHEAD_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log));
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .spawn()
            .unwrap_or_else(|error| unusable(&format!("the program does not start: {error}")));
        let instance = Self {
            child,
            folder,
            callers,
            ready,
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !instance.is_ready() {
            if Instant::now() > until {
                drop(instance);
                unusable("the instance is not ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
        instance
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(request.as_bytes());
        let answered = read_message(&mut BufReader::new(stream));
        sent.is_ok() && matches!(answered, Ok(Some(message)) if message.status() == 200)
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, number: i32) {
        unsafe { kill(self.child.id() as i32, number) };
    }

    /// What it has written to its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Ok(path) = std::env::var("KEEP_LOG") {
            let _ = std::fs::copy(self.folder.join("log"), path);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends the case, which could not run.
pub fn unusable(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(2);
}

/// A request of a caller.
pub fn request(method: &str, path: &str, id: &str, headers: &[(&str, String)], body: &str) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nCarawayhead-Request-Id: {id}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// A flag that several threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn clear(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
