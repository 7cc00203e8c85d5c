//! One instance as a process of its own.

#![allow(dead_code, reason = "each test program uses a part of it")]

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

/// Bound on everything that a test waits for; far beyond what any of it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// An instance, killed when it is dropped.
pub struct Instance {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where it says whether callers may be sent to it.
    pub readiness_address: SocketAddr,
    /// Its settings file.
    pub settings_path: std::path::PathBuf,
    /// Where its metrics are.
    pub metrics_address: SocketAddr,
}

impl Instance {
    /// Starts one in a failure domain and waits until it is ready.
    pub async fn start(name: &str, domain: &str, store: &Store) -> Self {
        let instance = Self::start_without_waiting(name, domain, store).await;
        wait_until("the instance is ready", || async {
            caller::is_ready(instance.readiness_address).await
        })
        .await;
        instance
    }

    /// Starts one and waits until it listens.
    pub async fn start_without_waiting(name: &str, domain: &str, store: &Store) -> Self {
        Self::start_with_store(name, domain, store.address).await
    }

    /// Starts one that reaches the store at an address, and waits until it listens.
    pub async fn start_with_store(name: &str, domain: &str, store: SocketAddr) -> Self {
        let folder = std::env::temp_dir();
        let file = folder.join(format!(
            "forwarding-{}-{name}-{}.toml",
            std::process::id(),
            store.port()
        ));
        let any = "127.0.0.1:0";
        let settings = format!(
            "[instance]\ndomain = \"{domain}\"\nfellows = \"{any}\"\ngrace_s = 8\n\
             listen = \"{any}\"\nmetrics = \"{any}\"\nname = \"{name}\"\nready = \"{any}\"\n\
             [joint]\nretry_burst = 50\nretry_ratio = 0.2\nretry_window_s = 10\n\
             revocation_ms = 5000\n[store]\naddress = \"{store}\"\n"
        );
        std::fs::write(&file, settings).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_carawayhead"))
            .args(["forward", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("an instance");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().expect("its output"));
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
        let known = lines.lock().expect("not poisoned").clone();
        let address = |role: &str| {
            let lines = known.iter();
            let parsed = lines.map(|line| serde_json::from_str::<serde_json::Value>(line));
            let found = parsed
                .filter_map(Result::ok)
                .find(|line| line["event"] == "listening" && line["role"] == role);
            let found = found.expect("a line for each listener");
            let address = found["address"].as_str().expect("an address");
            address.parse().expect("an address")
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

    /// Its log lines so far that contain a text.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("not poisoned");
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("a running instance");
    }

    /// Whether it has ended, and how.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("a child")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Waits until something holds.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let step = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while waited < WAIT_TIMEOUT {
        if check().await {
            return;
        }
        sleep(step).await;
        waited += step;
    }
    panic!("not seen: {what}");
}
