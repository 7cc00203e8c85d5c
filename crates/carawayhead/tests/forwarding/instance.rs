//! Starts an instance as a child process.

#![allow(dead_code, reason = "not every test program uses all of these helpers")]

use {
    platform::standin::{caller, store::Store},
    std::{
        io::{BufRead as _, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Timeout for a condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// A running instance, killed on drop.
pub struct Instance {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Address of the caller listener.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    pub settings_path: std::path::PathBuf,
    /// Address of the metrics listener.
    pub metrics_address: SocketAddr,
}

impl Instance {
    /// Starts an instance in a failure domain and waits until it is ready.
    pub async fn start(name: &str, domain: &str, store: &Store) -> Self {
        let instance = Self::start_without_waiting(name, domain, store).await;
        instance.wait_until_ready().await;
        instance
    }

    /// Starts an instance and waits until it listens, not until it is ready.
    pub async fn start_without_waiting(name: &str, domain: &str, store: &Store) -> Self {
        Self::start_with_store(name, domain, store.address).await
    }

    /// Starts an instance with the store at this address and waits until it listens.
    pub async fn start_with_store(name: &str, domain: &str, store: SocketAddr) -> Self {
        Self::start_with_files(name, domain, store, 0).await
    }

    /// Starts an instance that may have this number of file descriptors, any if it is zero.
    pub async fn start_with_files(
        name: &str,
        domain: &str,
        store: SocketAddr,
        max_files: u32,
    ) -> Self {
        let limits = format!("max_files = {max_files}");
        Self::start_with_limits(name, domain, store, &limits).await
    }

    /// Starts an instance with these lines of settings that limit it, and waits until it listens.
    pub async fn start_with_limits(
        name: &str,
        domain: &str,
        store: SocketAddr,
        limits: &str,
    ) -> Self {
        Self::start_with_settings(name, domain, store, limits, "").await
    }

    /// Starts an instance with this time between SIGTERM and its end, and waits until it is ready.
    pub async fn start_with_grace(name: &str, domain: &str, store: &Store, grace_s: f64) -> Self {
        let settings = format!("grace_s = {grace_s}");
        let instance = Self::start_with_limits(name, domain, store.address, &settings).await;
        instance.wait_until_ready().await;
        instance
    }

    /// Starts an instance with these features of its decisions and waits until it is ready.
    pub async fn start_with_features(
        name: &str,
        domain: &str,
        store: &Store,
        features: &[&str],
    ) -> Self {
        let decisions = format!("[decisions]\nenabled = {features:?}\n");
        let instance = Self::start_with_settings(name, domain, store.address, "", &decisions).await;
        instance.wait_until_ready().await;
        instance
    }

    async fn wait_until_ready(&self) {
        wait_until("the instance is ready", || async {
            caller::is_ready(self.readiness_address).await
        })
        .await;
    }

    async fn start_with_settings(
        name: &str,
        domain: &str,
        store: SocketAddr,
        limits: &str,
        decisions: &str,
    ) -> Self {
        let folder = std::env::temp_dir();
        let file = folder.join(format!(
            "forwarding-{}-{name}-{}.toml",
            std::process::id(),
            store.port()
        ));
        let any = "127.0.0.1:0";
        let grace = if limits.contains("grace_s") {
            ""
        } else {
            "grace_s = 8\n"
        };
        let settings = format!(
            "[instance]\ndomain = \"{domain}\"\nfellows = \"{any}\"\n{grace}\
             listen = \"{any}\"\n{limits}\nmetrics = \"{any}\"\nname = \"{name}\"\nready = \"{any}\"\n\
             [joint]\ncanary_requests = 50\ncanary_share = 0.1\nretry_burst = 50\nretry_ratio = 0.2\nretry_window_s = 10\n\
             revocation_ms = 5000\n[store]\naddress = \"{store}\"\n{decisions}"
        );
        std::fs::write(&file, settings).expect("the settings file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawayhead"))
            .args(["forward", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let sink = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                sink.lock().expect("not poisoned").push(line);
            }
        });
        wait_until("the instance listens", || async {
            lines
                .lock()
                .expect("not poisoned")
                .iter()
                .any(|line| line.contains("\"started\""))
        })
        .await;
        let startup_lines = lines.lock().expect("not poisoned").clone();
        let address = |role: &str| {
            let lines = startup_lines.iter();
            let parsed = lines.map(|line| serde_json::from_str::<serde_json::Value>(line));
            let found = parsed
                .filter_map(Result::ok)
                .find(|line| line["event"] == "listening" && line["role"] == role);
            let found = found.expect("the log has a line for each listener");
            let address = found["address"].as_str().expect("the address is a string");
            address.parse().expect("the address is valid")
        };
        Self {
            caller_address: address("Callers"),
            metrics_address: address("Metrics"),
            readiness_address: address("Ready"),
            settings_path: file,
            child,
            lines,
        }
    }

    /// Log lines so far that contain `text`.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("not poisoned");
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process can be signalled");
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child
            .try_wait()
            .expect("the process can be waited for")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Polls a condition and panics if it does not hold within `WAIT_TIMEOUT`.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let poll_interval = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while waited < WAIT_TIMEOUT {
        if check().await {
            return;
        }
        sleep(poll_interval).await;
        waited += poll_interval;
    }
    panic!("timed out waiting until {what}");
}
