//! Configuration records in TOML.

use {
    crate::{prelude::*, reader, settings},
    decision::record::{
        Body, Change, Customer, Domain, Facts, Item, Kind, Record, Route, SCHEMA, Service, Version,
    },
    std::fmt::Write as _,
};

/// Parses a record from a file or from the log.
///
/// The content of a record with a newer schema is ignored.
///
/// # Errors
///
/// Returns every fault found, sorted by line.
pub fn parse(file: &str, text: &str) -> Result<Record, Vec<Fault>> {
    let reader = Reader::new(file, text);
    let table = reader.parse();
    let record = read(&reader, &table);
    drop(table);
    let faults = reader.faults();
    if faults.is_empty() {
        Ok(record)
    } else {
        Err(faults)
    }
}

fn read<'a>(reader: &'a Reader<'a>, table: &'a DeTable<'a>) -> Record {
    let root = reader.root(table);
    let schema = root.integer_u32("schema", None, 1..=u32::MAX);
    let mut record = Record {
        changes: Vec::new(),
        schema,
    };
    if schema > SCHEMA {
        return record;
    }
    for kind in Kind::ALL {
        let section = root.section(kind.label());
        for (name, section) in section.sections() {
            record.changes.push(change(kind, name, section));
        }
        section.finish();
    }
    root.finish();
    record
}

fn change(kind: Kind, name: String, section: Section) -> Change {
    if !reader::is_identifier(&name) {
        section.fault("", &format!("the name {name:?}"), reader::IDENTIFIER_RULE);
    }
    let remove = section.boolean("remove", Some(false));
    let replaces = section.optional_integer("replaces");
    let body = (!remove).then(|| body(kind, &section));
    section.finish();
    Change {
        body,
        item: Item { kind, name },
        replaces,
    }
}

fn body(kind: Kind, section: &Section) -> Body {
    match kind {
        Kind::Customer => Body::Customer(customer(section)),
        Kind::Domain => Body::Domain(domain(section)),
        Kind::Endpoint => Body::Endpoint(Facts {
            checks_fencing: section.boolean("checks_fencing", Some(false)),
            cold_limit: section.integer_u32("cold_limit", Some(8), 0..=1_000_000),
            cold_time: section.duration(
                "cold_time",
                Facts::default().cold_time,
                Duration::ZERO..=Duration::from_hours(1),
            ),
            deduplicates: section.boolean("deduplicates", Some(false)),
        }),
        Kind::Route => Body::Route(route(section)),
        Kind::Service => Body::Service(Service {
            idempotent: section.strings("idempotent"),
        }),
    }
}

fn customer(section: &Section) -> Customer {
    let mut credentials = Vec::new();
    for text in section.strings("key_hashes") {
        match settings::decode_hex(&text) {
            Some(hash) => credentials.push(hash),
            None => section.fault(
                "key_hashes",
                &format!("{text:?}"),
                "BLAKE3 hashes of 64 hexadecimal digits",
            ),
        }
    }
    Customer {
        credentials,
        priority: u8::try_from(section.integer_u32("priority", Some(100), 0..=255))
            .unwrap_or(u8::MAX),
        weight: section.integer_u32("weight", Some(1), 1..=1_000_000),
    }
}

fn domain(section: &Section) -> Domain {
    let state = section.string("state", None);
    if section.is_present() && !matches!(state.as_str(), "in" | "out" | "") {
        section.fault("state", &format!("{state:?}"), "\"in\" or \"out\"");
    }
    Domain {
        out: state == "out",
    }
}

fn route(section: &Section) -> Route {
    let mut versions = Vec::new();
    for version in section.list("versions") {
        versions.push(Version {
            model: version.string("model", None),
            share: version.integer_u32("share", Some(1), 0..=1_000_000),
        });
        version.finish();
    }
    if versions.iter().all(|version| version.share == 0) {
        section.fault(
            "versions",
            "no version with a share",
            "at least one version with a share above 0",
        );
    }
    Route {
        expected_tokens: section.integer_u32("expected_tokens", Some(256), 1..=1_000_000),
        versions,
    }
}

/// Renders a record with a single change that replaces `version`.
#[must_use]
pub fn render(item: &Item, body: &Body, version: Option<u64>) -> String {
    let mut text = format!(
        "schema = {SCHEMA}\n\n[{}.{:?}]\n",
        item.kind.label(),
        item.name
    );
    if let Some(version) = version {
        write_key(&mut text, "replaces", &version.to_string());
    }
    match body {
        Body::Customer(customer) => {
            let hashes = customer
                .credentials
                .iter()
                .map(|hash| blake3::Hash::from(*hash).to_hex());
            let hashes = hashes
                .map(|hash| format!("{:?}", hash.as_str()))
                .collect::<Vec<_>>();
            write_key(&mut text, "key_hashes", &format!("[{}]", hashes.join(", ")));
            write_key(&mut text, "priority", &customer.priority.to_string());
            write_key(&mut text, "weight", &customer.weight.to_string());
        }
        Body::Domain(domain) => write_key(
            &mut text,
            "state",
            if domain.out { "\"out\"" } else { "\"in\"" },
        ),
        Body::Endpoint(facts) => {
            write_key(
                &mut text,
                "checks_fencing",
                &facts.checks_fencing.to_string(),
            );
            write_key(&mut text, "cold_limit", &facts.cold_limit.to_string());
            write_key(
                &mut text,
                "cold_time",
                &format!("{:?}", duration::render(facts.cold_time)),
            );
            write_key(&mut text, "deduplicates", &facts.deduplicates.to_string());
        }
        Body::Route(route) => {
            write_key(
                &mut text,
                "expected_tokens",
                &route.expected_tokens.to_string(),
            );
            let versions = route.versions.iter();
            let versions = versions
                .map(|version| {
                    format!(
                        "{{ model = {:?}, share = {} }}",
                        version.model, version.share
                    )
                })
                .collect::<Vec<_>>();
            write_key(&mut text, "versions", &format!("[{}]", versions.join(", ")));
        }
        Body::Service(service) => {
            write_key(
                &mut text,
                "idempotent",
                &format!("{:?}", service.idempotent),
            );
        }
    }
    text
}

fn write_key(text: &mut String, key: &str, value: &str) {
    writeln!(text, "{key} = {value}").expect("writing to a String cannot fail");
}
