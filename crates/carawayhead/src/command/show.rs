//! Prints published records and the status of instances.

use {
    super::publish::replay,
    crate::prelude::*,
    decision::{config::ApplyResult, record::Item},
    http::Request,
    http_body_util::Full,
    streamlog::stream::Stream,
};

/// Prints the items in force, or one item as a record that can be edited.
///
/// # Errors
///
/// Returns an error if the log cannot be read or the item does not exist.
pub async fn items(stream: &Stream, name: Option<&str>, as_json: bool) -> Result<(), Error> {
    let config = replay(stream).await?.config;
    if let Some(name) = name {
        let found = config.items().find(|(item, _, _)| item.to_string() == name);
        let (item, offset, body) =
            found.ok_or_else(|| Error::Missing(format!("{name}: not in the configuration")))?;
        print!("{}", operator::record::render(item, body, Some(offset)));
        return Ok(());
    }
    if as_json {
        let rows = config.items().map(|(item, offset, _)| row(item, offset));
        println!("{}", Value::Array(rows.collect()));
        return Ok(());
    }
    println!("{:<40} {:>8}", "ITEM", "OFFSET");
    for (item, offset, _) in config.items() {
        println!("{:<40} {offset:>8}", item.to_string());
    }
    Ok(())
}

/// Prints every record and its result.
///
/// # Errors
///
/// Returns an error if the log cannot be read.
pub async fn history(stream: &Stream, as_json: bool) -> Result<(), Error> {
    let records = replay(stream).await?.records;
    if !as_json {
        println!("{:>8} {:>14} RESULT", "OFFSET", "TIME");
    }
    for record in records {
        let (offset, at) = (record.stored.offset, record.stored.at.0);
        let result = result_text(&record.applied);
        if as_json {
            println!(
                "{}",
                json!({"offset": offset, "at_ms": at, "result": result})
            );
        } else {
            println!("{offset:>8} {at:>14} {result}");
        }
    }
    Ok(())
}

/// Prints the status of instances, queried at their operator addresses.
///
/// # Errors
///
/// Returns an error if no instance answered.
pub async fn status(addresses: &[String], as_json: bool) -> Result<(), Error> {
    let client = Client::new(Duration::from_secs(1));
    if !as_json {
        println!(
            "{:<20} {:<6} {:>7} {:>9} {:>8} {:>8} {:>10}",
            "INSTANCE", "READY", "CONFIG", "STALE/MS", "REQUESTS", "BACKLOG", "VIOLATIONS"
        );
    }
    let mut answered = false;
    for address in addresses {
        match fetch_status(&client, address).await {
            Ok(status) => {
                answered = true;
                print_status(&status, as_json);
            }
            Err(error) => eprintln!("{address}: {error}"),
        }
    }
    if answered {
        return Ok(());
    }
    Err(Error::Missing("no instance answered".to_string()))
}

async fn fetch_status(client: &Client, address: &str) -> Result<Value, streamlog::Error> {
    let request = Request::get("/status")
        .header("host", address)
        .body(Full::default())?;
    let reply = client.send(address, request).await?;
    let body = reply.read_body(1 << 20).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn print_status(status: &Value, as_json: bool) {
    if as_json {
        println!("{status}");
        return;
    }
    let violations = status["invariant_violations"].as_object();
    let violations = violations.into_iter().flat_map(serde_json::Map::values);
    let violations = violations.filter_map(Value::as_u64).sum::<u64>();
    println!(
        "{:<20} {:<6} {:>7} {:>9} {:>8} {:>8} {violations:>10}",
        status["instance"].as_str().unwrap_or_default(),
        status["ready"].to_string(),
        status["config_next_offset"].to_string(),
        status["config_stale_ms"].to_string(),
        status["requests"].to_string(),
        status["backlog"].to_string(),
    );
}

fn result_text(applied: &ApplyResult) -> String {
    match applied {
        ApplyResult::Conflict {
            item,
            winner: Some(winner),
        } => format!("{item} beaten by {winner}"),
        ApplyResult::Conflict { item, winner: None } => format!("{item} does not exist"),
        ApplyResult::InForce => "in force".to_string(),
        ApplyResult::AlreadyApplied => "old".to_string(),
        ApplyResult::UnknownSchema => "newer schema".to_string(),
    }
}

fn row(item: &Item, offset: u64) -> Value {
    json!({"kind": item.kind.label(), "name": item.name, "offset": offset})
}
