//! Starts daemons and stand-ins as child processes on loopback.

use {
    crate::prelude::*,
    standin::list::Row,
    std::{
        fs,
        io::{BufRead as _, BufReader},
        process::{Child, Command, Stdio},
    },
};

/// API key that the requests of all measurements carry.
pub const CALLER_KEY: &str = "bench-key";

/// Signing secret of resume handles, hex-encoded.
const HANDLE_SECRET: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// Unit of CPU times in `/proc/PID/stat` (`USER_HZ` on Linux).
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// A child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Listening address, `host:port`; for a daemon, that of the caller listener.
    pub address: String,
    /// Address of a daemon's operator listener; empty for a stand-in.
    pub operator_address: String,
    child: Child,
}

impl Process {
    /// Starts the `carawayhead` binary beside this executable and reads its addresses from the
    /// first line of its output.
    ///
    /// # Errors
    ///
    /// The binary cannot be started (`cargo build --release --workspace` builds it).
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
        let field = |prefix: &str| {
            let value = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(prefix));
            value.unwrap_or_default().to_string()
        };
        let caller_address = field("caller=");
        let stand_in_address = line.trim().strip_prefix("listening ").unwrap_or_default();
        Ok(Self {
            address: if caller_address.is_empty() {
                stand_in_address.to_string()
            } else {
                caller_address
            },
            child,
            operator_address: field("operator="),
        })
    }

    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// The binary cannot be started.
    pub fn stand_in(kind: &str, options: &[&str]) -> Result<Self, Error> {
        let mut arguments = vec!["stand-in".to_string(), kind.to_string()];
        arguments.extend(options.iter().map(ToString::to_string));
        Self::start(&arguments)
    }

    /// Starts a daemon that uses the log and the instance list at these addresses.
    ///
    /// # Errors
    ///
    /// The settings file cannot be written, or the binary cannot be started.
    pub fn daemon(name: &str, domain: &str, log: &str, list: &str) -> Result<Self, Error> {
        let directory =
            std::env::temp_dir().join(format!("carawayhead-bench-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let path = directory.join(format!("{name}.toml"));
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndomain = \"{domain}\"\n\
             [caller]\nlisten = \"127.0.0.1:0\"\nhandle_secret = \"{HANDLE_SECRET}\"\n\
             [operator]\nlisten = \"127.0.0.1:0\"\n\
             [platform]\nlog = \"{log}\"\nlist = \"{list}\"\nlist_interval = \"200ms\"\n"
        );
        fs::write(&path, settings)?;
        let path = path.display().to_string();
        Self::start(&["serve".to_string(), "--settings".to_string(), path])
    }

    /// CPU time used so far, user and system, in seconds.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn cpu_seconds(&self) -> Result<f64, Error> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields = fields.split_whitespace().collect::<Vec<_>>();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
        };
        Ok(
            (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default())
                / CLOCK_TICKS_PER_SECOND,
        )
    }

    /// Resident memory in KiB.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn resident_kib(&self) -> Result<u64, Error> {
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
            eprintln!("could not kill or reap a child process: {error}");
        }
    }
}

/// Posts a JSON body and discards the response, whatever its status.
///
/// # Errors
///
/// The request fails, or the response exceeds 1 MiB.
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

/// Registers a row in the instance list.
///
/// # Errors
///
/// The request to the list fails.
pub async fn register(client: &Client, list: &Process, row: &Row) -> Result<(), Error> {
    post(client, &list.address, "/instances", &json!(row).to_string()).await
}

/// Fetches JSON; a body that does not parse yields null.
///
/// # Errors
///
/// The request fails, or the response exceeds 16 MiB.
pub async fn get_json(client: &Client, address: &str, path: &str) -> Result<Value, Error> {
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
