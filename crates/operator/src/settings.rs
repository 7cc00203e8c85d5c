//! Settings of one instance.

use crate::prelude::*;

/// Everything a process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The side towards callers.
    pub caller: Caller,
    /// Failure domain that the instance stands in.
    pub domain: String,
    /// The side towards fellow instances, if there is one.
    pub fellow: Option<Fellow>,
    /// Bounds and times of decisions.
    pub limits: Limits,
    /// Name of the instance, unique among those alive.
    pub name: String,
    /// The side towards operators.
    pub operator: Operator,
    /// The platform's services.
    pub platform: Platform,
}

/// The side towards callers.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Tokens kept for a caller who reads slowly.
    pub buffer: usize,
    /// Secret that signs resume handles, the same at all instances.
    pub handle_secret: [u8; 32],
    /// IP address and port.
    pub listen: String,
    /// TLS, if it is on.
    pub tls: Option<Tls>,
}

/// The side towards fellow instances.
#[derive(Clone, Debug)]
pub struct Fellow {
    /// PEM file of the authority that signs every instance's certificate.
    pub authority: String,
    /// IP address and port.
    pub listen: String,
    /// Certificate and key of this instance.
    pub tls: Tls,
}

/// The side towards operators.
#[derive(Clone, Debug)]
pub struct Operator {
    /// How long a leaving instance goes on taking requests, so that the balancer notices.
    pub drain_notice: Duration,
    /// IP address and port of health, metrics and status.
    pub listen: String,
}

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// IP address and port of the instance list.
    pub list: String,
    /// How often the instance list is read.
    pub list_interval: Duration,
    /// IP address and port of the log.
    pub log: String,
}

/// PEM files of one side's certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// Certificate chain.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

impl Settings {
    /// Reads settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Every fault found, sorted by line.
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
        domain: instance.label("domain"),
        fellow: fellow(&root),
        limits: limits(&root),
        name: instance.label("name"),
        operator: operator(&root),
        platform: platform(&root),
    };
    instance.close();
    root.close();
    settings
}

fn caller(root: &Section) -> Caller {
    let section = root.section("caller");
    let caller = Caller {
        body_limit: bytes(section.integer("body_limit", Some(1 << 20), 1024..=1 << 26)),
        buffer: bytes(section.integer("buffer", Some(1024), 16..=1 << 20)),
        handle_secret: secret(&section),
        listen: section.address("listen", None),
        tls: tls(&section),
    };
    section.close();
    caller
}

fn fellow(root: &Section) -> Option<Fellow> {
    let section = root.section("fellow");
    if !section.present() {
        return None;
    }
    let fellow = Fellow {
        authority: section.string("authority", None),
        listen: section.address("listen", None),
        tls: Tls {
            certificate: section.string("certificate", None),
            key: section.string("key", None),
        },
    };
    section.close();
    Some(fellow)
}

fn limits(root: &Section) -> Limits {
    let section = root.section("limits");
    let default = Limits::default();
    let ms = Duration::from_millis;
    let limits = Limits {
        append_interval: section.span(
            "append_interval",
            default.append_interval,
            ms(1)..=ms(5_000),
        ),
        claim_wait: section.span("claim_wait", default.claim_wait, ms(100)..=ms(600_000)),
        deadline: section.span("deadline", default.deadline, ms(100)..=ms(86_400_000)),
        gossip_interval: section.span(
            "gossip_interval",
            default.gossip_interval,
            ms(10)..=ms(60_000),
        ),
        grace: section.span("grace", default.grace, ms(0)..=ms(600_000)),
        order_window: section.span(
            "order_window",
            default.order_window,
            ms(1_000)..=ms(604_800_000),
        ),
        poll_interval: section.span("poll_interval", default.poll_interval, ms(10)..=ms(60_000)),
        queue: bytes(section.integer("queue", Some(1024), 0..=65_536)),
        retry_percent: section.small("retry_percent", Some(default.retry_percent), 0..=100),
        silence: section.span("silence", default.silence, ms(50)..=ms(600_000)),
        skew: section.span("skew", default.skew, ms(0)..=ms(3_600_000)),
        snapshot_interval: section.span(
            "snapshot_interval",
            default.snapshot_interval,
            ms(1_000)..=ms(604_800_000),
        ),
        staleness: section.span("staleness", default.staleness, ms(1_000)..=ms(600_000)),
    };
    section.close();
    limits
}

fn operator(root: &Section) -> Operator {
    let section = root.section("operator");
    let (least, most) = (Duration::ZERO, Duration::from_mins(10));
    let operator = Operator {
        drain_notice: section.span("drain_notice", Duration::from_secs(3), least..=most),
        listen: section.address("listen", Some("127.0.0.1:0")),
    };
    section.close();
    operator
}

fn platform(root: &Section) -> Platform {
    let section = root.section("platform");
    let (least, most) = (Duration::from_millis(10), Duration::from_mins(1));
    let platform = Platform {
        list: section.address("list", None),
        list_interval: section.span("list_interval", Duration::from_millis(500), least..=most),
        log: section.address("log", None),
    };
    section.close();
    platform
}

fn tls(section: &Section) -> Option<Tls> {
    match (section.optional("certificate"), section.optional("key")) {
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
    if let Some(secret) = hex(&text) {
        return secret;
    }
    section.fault(
        "handle_secret",
        "another text",
        "64 hexadecimal digits, the same at all instances",
    );
    [0; 32]
}

/// Reads 32 bytes from 64 hexadecimal digits.
#[must_use]
pub fn hex(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

fn bytes(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
