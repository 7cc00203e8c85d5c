//! Starts stand-ins and instances as processes on loopback for the end-to-end tests.

#![allow(dead_code, reason = "no test file uses all of these helpers")]

use {
    bytes::Bytes,
    endpoint::{Client, client::Reply},
    http::Request,
    http_body_util::Full,
    serde_json::{Value, json},
    std::{
        io::{BufRead as _, BufReader},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

pub const API_KEY: &str = "workshop-key";
const HANDLE_SECRET: &str = "4242424242424242424242424242424242424242424242424242424242424242";

/// Timeout for a condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process, killed on drop.
pub struct Process {
    pub address: String,
    pub peer_address: String,
    pub name: String,
    pub operator: String,
    child: Child,
}

impl Process {
    fn start(name: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawayhead"))
            .args(arguments)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or_else(|_unset| "warn".to_string()),
            )
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the process prints its address");
        let address_after = |prefix: &str| {
            let address = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(prefix));
            address.unwrap_or_default().to_string()
        };
        let plain_address = line
            .trim()
            .strip_prefix("listening ")
            .unwrap_or_default()
            .to_string();
        let caller_address = address_after("caller=");
        Self {
            address: if caller_address.is_empty() {
                plain_address
            } else {
                caller_address
            },
            child,
            peer_address: address_after("fellow="),
            name: name.to_string(),
            operator: address_after("operator="),
        }
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process can be signalled");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Whether the process exited successfully; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self
            .child
            .try_wait()
            .expect("the process can be waited for");
        status.map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            self.signal(rustix::process::Signal::CONT);
            self.kill();
        }
    }
}

/// The stand-ins and instances of one test.
pub struct Cluster {
    pub client: Client,
    pub engines: Vec<Process>,
    pub instances: Vec<Process>,
    pub list: Process,
    pub log: Process,
    pub services: Vec<Process>,
    pub folder: std::path::PathBuf,
    limits: String,
    tls: bool,
}

fn stand_in(kind: &str, rest: &[&str]) -> Vec<String> {
    let mut arguments = vec!["stand-in".to_string(), kind.to_string()];
    arguments.extend(rest.iter().map(ToString::to_string));
    arguments
}

/// The processes a test starts, by failure domain.
pub struct Builder {
    pub engine_flags: Vec<&'static str>,
    pub engine_domains: Vec<&'static str>,
    pub instance_domains: Vec<&'static str>,
    pub limits: &'static str,
    pub tls: bool,
    pub service_domains: Vec<&'static str>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            engine_flags: Vec::new(),
            engine_domains: vec!["north", "south"],
            instance_domains: vec!["north", "south"],
            limits: "",
            tls: false,
            service_domains: vec!["north"],
        }
    }
}

impl Builder {
    /// Starts all processes and waits until each instance is ready.
    pub async fn start(self) -> Cluster {
        let folder = std::env::temp_dir().join(format!("carawayhead-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).expect("the settings folder can be created");
        let mut cluster = Cluster {
            client: Client::new(Duration::from_secs(2)),
            engines: Vec::new(),
            instances: Vec::new(),
            list: Process::start("list", &stand_in("list", &["--lag-ms=50"])),
            log: Process::start("log", &stand_in("log", &[])),
            services: Vec::new(),
            folder,
            limits: self.limits.to_string(),
            tls: self.tls,
        };
        for (number, domain) in self.engine_domains.iter().enumerate() {
            let engine = format!("engine-{number}");
            let engine = cluster
                .add_engine(&engine, domain, &self.engine_flags)
                .await;
            cluster.engines.push(engine);
        }
        for (number, domain) in self.service_domains.iter().enumerate() {
            let service = cluster.add_service(&format!("desk-{number}"), domain).await;
            cluster.services.push(service);
        }
        cluster.append(&initial_config()).await;
        for (number, domain) in self.instance_domains.iter().enumerate() {
            cluster
                .add_instance(&format!("entry-{number}"), domain)
                .await;
        }
        for number in 0..cluster.instances.len() {
            cluster.wait_until_ready(number).await;
        }
        cluster
    }
}

fn initial_config() -> String {
    let hash = blake3::hash(API_KEY.as_bytes()).to_hex();
    let endpoints = (0..8).map(|number| {
        format!("[endpoint.engine-{number}]\ncold_limit = 1000\ncold_time = \"0ms\"\n")
    });
    format!(
        "schema = 1\n[customer.workshop]\nkey_hashes = [\"{hash}\"]\n\
     [route.survey]\nversions = [{{ model = \"survey-1\" }}]\n[service.desk]\nidempotent = [\"/lookup\"]\n{}\
     [endpoint.desk-0]\ncold_limit = 1000\n",
        endpoints.collect::<String>()
    )
}

impl Cluster {
    /// Starts an engine and adds it to the instance list.
    pub async fn add_engine(&self, name: &str, domain: &str, flags: &[&str]) -> Process {
        let mut rest = vec!["--model=survey-1", "--lag-ms=20"];
        if !flags.iter().any(|flag| flag.starts_with("--step-base")) {
            rest.push("--step-base=2000");
        }
        rest.extend(flags);
        let engine = Process::start(name, &stand_in("engine", &rest));
        self.register(&engine, domain, "engine", "live").await;
        engine
    }

    /// Starts a service and adds it to the instance list.
    pub async fn add_service(&self, name: &str, domain: &str) -> Process {
        let service = Process::start(name, &stand_in("service", &[]));
        self.register(&service, domain, "service", "live").await;
        service
    }

    /// Starts an instance and adds it to the instance list.
    pub async fn add_instance(&mut self, name: &str, domain: &str) {
        let log = self.log.address.clone();
        self.add_instance_with_log(name, domain, &log).await;
    }

    /// Starts an instance with an unreachable log address.
    pub async fn add_instance_without_log(&mut self, name: &str, domain: &str) {
        self.add_instance_with_log(name, domain, "127.0.0.1:9")
            .await;
    }

    /// Removes an instance from the instance list.
    pub async fn unregister(&self, name: &str) {
        let request = Request::delete(format!("/instances/{name}")).header("host", "list");
        let request = request
            .body(Full::default())
            .expect("the request is well formed");
        let reply = self
            .client
            .send(&self.list.address, request)
            .await
            .expect("the list answers");
        reply
            .read_body(1 << 20)
            .await
            .expect("the response body is complete");
    }

    async fn add_instance_with_log(&mut self, name: &str, domain: &str, log: &str) {
        let certificate = Command::new(env!("CARGO_BIN_EXE_carawayhead"))
            .args(["certificate", name, "--folder"])
            .arg(&self.folder)
            .status();
        assert!(certificate.expect("the binary starts").success());
        let keys = self.folder.display();
        let tls = if self.tls {
            format!("certificate = \"{keys}/{name}.pem\"\nkey = \"{keys}/{name}.key\"\n")
        } else {
            String::new()
        };
        let file = self.folder.join(format!("{name}.toml"));
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndomain = \"{domain}\"\n\
       [caller]\nlisten = \"127.0.0.1:0\"\nhandle_secret = \"{HANDLE_SECRET}\"\n{tls}\
       [operator]\nlisten = \"127.0.0.1:0\"\ndrain_notice = \"200ms\"\n\
       [platform]\nlog = \"{}\"\nlist = \"{}\"\nlist_interval = \"50ms\"\n\
             [fellow]\nlisten = \"127.0.0.1:0\"\nauthority = \"{keys}/authority.pem\"\n\
             certificate = \"{keys}/{name}.pem\"\nkey = \"{keys}/{name}.key\"\n\
       [limits]\npoll_interval = \"50ms\"\n{}\n",
            log, self.list.address, self.limits
        );
        std::fs::write(&file, settings).expect("settings can be written");
        let file = file.to_string_lossy().to_string();
        let instance = Process::start(name, &["serve".to_string(), "--settings".to_string(), file]);
        self.register(&instance, domain, "entry", "live").await;
        self.instances.push(instance);
    }

    /// Adds a process to the instance list.
    pub async fn register(&self, process: &Process, domain: &str, role: &str, state: &str) {
        let entry = role == "entry";
        let address = if entry {
            &process.peer_address
        } else {
            &process.address
        };
        let row = json!({
          "name": process.name, "address": address, "domain": domain,
          "role": role, "service": "desk", "state": state,
        });
        self.post(&self.list.address, "/instances", &row).await;
    }

    /// Appends a configuration record.
    pub async fn append(&self, record: &str) {
        let request = Request::post("/streams/config/records")
            .header("host", "log")
            .body(Full::new(Bytes::from(record.to_string())))
            .expect("the request is well formed");
        let reply = self
            .client
            .send(&self.log.address, request)
            .await
            .expect("the log answers");
        assert!(reply.status().is_success(), "the log accepts the record");
    }

    /// Waits until an instance is ready and every engine and service is usable.
    pub async fn wait_until_ready(&self, number: usize) {
        let address = &self.instances[number].operator;
        let engines = self.engines.len() + self.services.len();
        self.wait_until("the daemon is ready", async || {
            let status = self.get(address, "/status").await;
            status["ready"] == json!(true) && status["usable"] == json!(engines)
        })
        .await;
    }

    /// Waits until every instance has applied the records below this offset.
    pub async fn wait_for_config(&self, next: u64) {
        for instance in &self.instances {
            self.wait_until("the records are applied", async || {
                self.get(&instance.operator, "/status").await["config_next_offset"] == json!(next)
            })
            .await;
        }
    }

    /// Polls a condition and panics if it does not hold within `WAIT_TIMEOUT`.
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let started = Instant::now();
        while !condition().await {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until {what}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Gets JSON; `Value::Null` if the request fails.
    pub async fn get(&self, address: &str, path: &str) -> Value {
        let request = Request::get(path)
            .header("host", "test")
            .body(Full::default());
        let request = request.expect("the request is well formed");
        let Ok(reply) = self.client.send(address, request).await else {
            return Value::Null;
        };
        let body = reply.read_body(1 << 24).await.unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Posts JSON to a stand-in.
    pub async fn post(&self, address: &str, path: &str, body: &Value) {
        let request = Request::post(path)
            .header("host", "test")
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is well formed");
        let reply = self
            .client
            .send(address, request)
            .await
            .expect("the stand-in answers");
        assert!(reply.status().is_success(), "{path} accepts {body}");
        reply
            .read_body(1 << 20)
            .await
            .expect("the response body is complete");
    }

    /// Sends a request to an instance and returns the response as soon as its head arrives.
    pub async fn send(
        &self,
        number: usize,
        request: CallerRequest,
    ) -> Result<Reply, endpoint::Error> {
        let mut built = Request::builder()
            .method(request.method)
            .uri(&request.path)
            .header("host", "test")
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("content-type", "application/json");
        for (name, value) in &request.headers {
            built = built.header(*name, value);
        }
        let body = Full::new(Bytes::from(request.body));
        let built = built.body(body).expect("the request is well formed");
        self.client
            .send_new(&self.instances[number].address, built)
            .await
    }

    /// Starts a stream through the first instance and reads its first `count` events.
    pub async fn begin_stream(&self, tokens: u32, count: usize) -> (Reply, Events) {
        let sent = self.send(0, CallerRequest::generation(tokens, true)).await;
        let mut reply = sent.expect("a response");
        let mut events = Events::default();
        assert!(events.read(&mut reply, count).await, "the stream starts");
        (reply, events)
    }

    /// Sends a request and returns the status and body of its response.
    pub async fn call(&self, number: usize, request: CallerRequest) -> (u16, Value) {
        let reply = self
            .send(number, request)
            .await
            .expect("the daemon answers");
        let status = reply.status().as_u16();
        let body = reply
            .read_body(1 << 24)
            .await
            .expect("the response body is complete");
        (status, serde_json::from_slice(&body).unwrap_or_default())
    }

    /// Number of orders with this idempotency key that the services ran.
    pub async fn run_count(&self, key: &str) -> usize {
        let mut count = 0;
        for service in &self.services {
            let runs = self.get(&service.address, "/control").await;
            let runs = runs.as_array().cloned().unwrap_or_default();
            count += runs.iter().filter(|run| run["key"] == json!(key)).count();
        }
        count
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A caller's request to an instance.
pub struct CallerRequest {
    body: String,
    headers: Vec<(&'static str, String)>,
    method: &'static str,
    path: String,
}

impl CallerRequest {
    /// Requests the generation of this many tokens.
    pub fn generation(tokens: u32, stream: bool) -> Self {
        let body =
            json!({"model": "survey", "prompt": format!("tokens={tokens}"), "stream": stream});
        Self::post("/v1/completions", &body.to_string())
    }

    /// Requests an order with an idempotency key.
    pub fn order(key: &str, body: &str) -> Self {
        Self::post("/services/desk/orders", body).header("idempotency-key", key)
    }

    pub fn post(path: &str, body: &str) -> Self {
        Self {
            body: body.to_string(),
            headers: Vec::new(),
            method: "POST",
            path: path.to_string(),
        }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

pub fn new_idempotency_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// The events of a stream received so far.
#[derive(Default)]
pub struct Events {
    pub data: Vec<String>,
    pub last_id: String,
    text: String,
}

impl Events {
    /// Reads until `count` events are received; false if the stream ends before.
    pub async fn read(&mut self, reply: &mut Reply, count: usize) -> bool {
        while self.data.len() < count {
            let Ok(Some(part)) = reply.chunk().await else {
                return false;
            };
            self.text.push_str(&String::from_utf8_lossy(&part));
            while let Some((event, rest)) = self.text.split_once("\n\n") {
                for line in event.lines() {
                    if let Some(data) = line.strip_prefix("data: ") {
                        self.data.push(data.to_string());
                    } else if let Some(id) = line.strip_prefix("id: ") {
                        self.last_id = id.to_string();
                    }
                }
                self.text = rest.to_string();
            }
        }
        true
    }

    pub async fn read_to_end(&mut self, reply: &mut Reply) {
        self.read(reply, usize::MAX).await;
    }

    /// The text of each token, and whether the stream ended with `[DONE]`.
    pub fn words(&self) -> (Vec<String>, bool) {
        let done = self.data.last().is_some_and(|data| data == "[DONE]");
        let words = self.data.iter().filter_map(|data| {
            let data = serde_json::from_str::<Value>(data).ok()?;
            Some(data["choices"][0]["text"].as_str()?.trim().to_string())
        });
        (words.collect(), done)
    }
}

/// The words of a complete generation of this many tokens.
pub fn expected_words(tokens: u32) -> Vec<String> {
    (0..tokens).map(|index| format!("w{index}")).collect()
}
