//! Settings of an instance that runs `serve`.

use crate::prelude::*;

/// Settings read at startup.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listener for callers.
    pub caller: Caller,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listener for peer instances, if enabled.
    pub peer: Option<Peer>,
    /// Limits and timeouts.
    pub limits: Limits,
    /// Name of the instance, unique among running instances.
    pub name: String,
    /// Listener for operators.
    pub operator: Operator,
    /// Services of the platform.
    pub platform: Platform,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Number of tokens buffered for a caller that reads slowly.
    pub buffer: usize,
    /// Secret that signs resume handles; must be the same on all instances.
    pub handle_secret: [u8; 32],
    /// IP address and port.
    pub listen: String,
    /// TLS files, if TLS is enabled.
    pub tls: Option<Tls>,
}

/// Settings of the listener for peer instances.
#[derive(Clone, Debug)]
pub struct Peer {
    /// PEM file of the certificate authority that signs the certificates of all instances.
    pub authority: String,
    /// IP address and port.
    pub listen: String,
    /// Certificate and key of this instance.
    pub tls: Tls,
}

/// Settings of the listener for operators.
#[derive(Clone, Debug)]
pub struct Operator {
    /// How long a draining instance still accepts requests, so that the load balancer can
    /// notice that it is not ready.
    pub drain_notice: Duration,
    /// IP address and port of health, metrics and status.
    pub listen: String,
}

/// Addresses of the services of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// IP address and port of the instance list.
    pub list: String,
    /// How often the instance list is read.
    pub list_interval: Duration,
    /// IP address and port of the log.
    pub log: String,
}

/// PEM files of a certificate and its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// Certificate chain.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

impl Settings {
    /// Parses settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every fault found, sorted by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let reader = Reader::new(file, text);
        let table = reader.parse();
        let settings = read(&reader, &table);
        drop(table);
        let faults = reader.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}

fn read<'a>(reader: &'a Reader<'a>, table: &'a DeTable<'a>) -> Settings {
    let root = reader.root(table);
    let instance = root.section("instance");
    let settings = Settings {
        caller: caller(&root),
        domain: instance.identifier("domain"),
        peer: peer(&root),
        limits: limits(&root),
        name: instance.identifier("name"),
        operator: operator(&root),
        platform: platform(&root),
    };
    instance.finish();
    root.finish();
    settings
}

fn caller(root: &Section) -> Caller {
    let section = root.section("caller");
    let caller = Caller {
        body_limit: to_usize(section.integer("body_limit", Some(1 << 20), 1024..=1 << 26)),
        buffer: to_usize(section.integer("buffer", Some(1024), 16..=1 << 20)),
        handle_secret: secret(&section),
        listen: section.address("listen", None),
        tls: tls(&section),
    };
    section.finish();
    caller
}

fn peer(root: &Section) -> Option<Peer> {
    let section = root.section("fellow");
    if !section.is_present() {
        return None;
    }
    let peer = Peer {
        authority: section.string("authority", None),
        listen: section.address("listen", None),
        tls: Tls {
            certificate: section.string("certificate", None),
            key: section.string("key", None),
        },
    };
    section.finish();
    Some(peer)
}

fn limits(root: &Section) -> Limits {
    let section = root.section("limits");
    let default = Limits::default();
    let ms = Duration::from_millis;
    let limits = Limits {
        append_interval: section.duration(
            "append_interval",
            default.append_interval,
            ms(1)..=ms(5_000),
        ),
        claim_wait: section.duration("claim_wait", default.claim_wait, ms(100)..=ms(600_000)),
        deadline: section.duration("deadline", default.deadline, ms(100)..=ms(86_400_000)),
        gossip_interval: section.duration(
            "gossip_interval",
            default.gossip_interval,
            ms(10)..=ms(60_000),
        ),
        grace: section.duration("grace", default.grace, ms(0)..=ms(600_000)),
        order_window: section.duration(
            "order_window",
            default.order_window,
            ms(1_000)..=ms(604_800_000),
        ),
        poll_interval: section.duration(
            "poll_interval",
            default.poll_interval,
            ms(10)..=ms(60_000),
        ),
        queue: to_usize(section.integer("queue", Some(1024), 0..=65_536)),
        retry_percent: section.integer_u32("retry_percent", Some(default.retry_percent), 0..=100),
        silence: section.duration("silence", default.silence, ms(50)..=ms(600_000)),
        skew: section.duration("skew", default.skew, ms(0)..=ms(3_600_000)),
        snapshot_interval: section.duration(
            "snapshot_interval",
            default.snapshot_interval,
            ms(1_000)..=ms(604_800_000),
        ),
        staleness: section.duration("staleness", default.staleness, ms(1_000)..=ms(600_000)),
    };
    section.finish();
    limits
}

fn operator(root: &Section) -> Operator {
    let section = root.section("operator");
    let (min, max) = (Duration::ZERO, Duration::from_mins(10));
    let operator = Operator {
        drain_notice: section.duration("drain_notice", Duration::from_secs(3), min..=max),
        listen: section.address("listen", Some("127.0.0.1:0")),
    };
    section.finish();
    operator
}

fn platform(root: &Section) -> Platform {
    let section = root.section("platform");
    let (min, max) = (Duration::from_millis(10), Duration::from_mins(1));
    let platform = Platform {
        list: section.address("list", None),
        list_interval: section.duration("list_interval", Duration::from_millis(500), min..=max),
        log: section.address("log", None),
    };
    section.finish();
    platform
}

fn tls(section: &Section) -> Option<Tls> {
    match (
        section.optional_string("certificate"),
        section.optional_string("key"),
    ) {
        (Some(certificate), Some(key)) => Some(Tls { certificate, key }),
        (None, None) => None,
        (Some(_), None) => {
            section.fault(
                "key",
                "nothing",
                "the private key that belongs to the certificate",
            );
            None
        }
        (None, Some(_)) => {
            section.fault(
                "certificate",
                "nothing",
                "the certificate that belongs to the key",
            );
            None
        }
    }
}

fn secret(section: &Section) -> [u8; 32] {
    let text = section.string("handle_secret", None);
    if text.is_empty() {
        return [0; 32];
    }
    if let Some(secret) = decode_hex(&text) {
        return secret;
    }
    section.fault(
        "handle_secret",
        "another text",
        "64 hexadecimal digits, the same at all instances",
    );
    [0; 32]
}

/// Decodes 32 bytes from 64 hexadecimal digits.
#[must_use]
pub fn decode_hex(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
