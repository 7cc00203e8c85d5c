//! Daemons and stand-ins as processes of their own, on loopback.

use {
    crate::prelude::*,
    standin::list::Row,
    std::{
        fs,
        io::{BufRead as _, BufReader},
        process::{Child, Command, Stdio},
    },
};

/// Caller key used in all measurements.
pub const KEY: &str = "bench-key";

/// Signs the resume handles of measurements.
const SECRET: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// Processor ticks per second that `/proc` counts in.
const TICKS: f64 = 100.0;

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    /// Where it listens; for a daemon, where it listens for callers.
    pub address: String,
    /// Where a daemon listens for operators.
    pub operator: String,
    child: Child,
}

impl Process {
    /// Starts the shipped binary with these arguments.
    ///
    /// # Errors
    ///
    /// It cannot be started; `cargo build --release --workspace` builds it.
    pub fn start(arguments: &[String]) -> Result<Self, Error> {
        let binary = std::env::current_exe()?.with_file_name("carawayhead");
        let mut child = Command::new(binary)
            .args(arguments)
            .env("RUST_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let word = |prefix: &str| {
            let found = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(prefix));
            found.unwrap_or_default().to_string()
        };
        let caller = word("caller=");
        let plain = line.trim().strip_prefix("listening ").unwrap_or_default();
        Ok(Self {
            address: if caller.is_empty() {
                plain.to_string()
            } else {
                caller
            },
            child,
            operator: word("operator="),
        })
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn stand_in(kind: &str, rest: &[&str]) -> Result<Self, Error> {
        let mut arguments = vec!["stand-in".to_string(), kind.to_string()];
        arguments.extend(rest.iter().map(ToString::to_string));
        Self::start(&arguments)
    }

    /// Starts a daemon against a log and an instance list.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn daemon(name: &str, domain: &str, log: &str, list: &str) -> Result<Self, Error> {
        let folder = std::env::temp_dir().join(format!("carawayhead-bench-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let file = folder.join(format!("{name}.toml"));
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndomain = \"{domain}\"\n\
             [caller]\nlisten = \"127.0.0.1:0\"\nhandle_secret = \"{SECRET}\"\n\
             [operator]\nlisten = \"127.0.0.1:0\"\n\
             [platform]\nlog = \"{log}\"\nlist = \"{list}\"\nlist_interval = \"200ms\"\n"
        );
        fs::write(&file, settings)?;
        let file = file.display().to_string();
        Self::start(&["serve".to_string(), "--settings".to_string(), file])
    }

    /// Processor time used so far, user and system, in seconds.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn processor(&self) -> Result<f64, Error> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields = fields.split_whitespace().collect::<Vec<_>>();
        let ticks = |place: usize| {
            fields
                .get(place)
                .and_then(|field| field.parse::<f64>().ok())
        };
        Ok((ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS)
    }

    /// Resident memory in KiB.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn memory(&self) -> Result<u64, Error> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(number.unwrap_or_default())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self
            .child
            .kill()
            .and_then(|()| self.child.wait().map(|_status| ()))
        {
            eprintln!("a process could not be ended: {error}");
        }
    }
}

/// Posts a body and expects success.
///
/// # Errors
///
/// The other side cannot be reached.
pub async fn post(client: &Client, address: &str, path: &str, body: &str) -> Result<(), Error> {
    let request = Request::post(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    client
        .send(address, request)
        .await?
        .read_body(1 << 20)
        .await?;
    Ok(())
}

/// Puts a row into an instance list.
///
/// # Errors
///
/// The list cannot be reached.
pub async fn register(client: &Client, list: &Process, row: &Row) -> Result<(), Error> {
    post(client, &list.address, "/instances", &json!(row).to_string()).await
}

/// The JSON at an address.
///
/// # Errors
///
/// The other side cannot be reached.
pub async fn get(client: &Client, address: &str, path: &str) -> Result<Value, Error> {
    let request = Request::get(path)
        .header("host", address)
        .body(Full::default())?;
    let body = client
        .send(address, request)
        .await?
        .read_body(1 << 24)
        .await?;
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}
