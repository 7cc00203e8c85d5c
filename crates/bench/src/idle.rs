//! What a daemon costs without a single request, at several sizes of the list.

use {
    crate::{
        prelude::*,
        process::{KEY, post, register},
    },
    standin::list::Row,
};

/// Entry instances and endpoints in the list, in turn.
const SIZES: [(usize, usize); 4] = [(1, 0), (6, 20), (320, 480), (320, 2_200)];

/// How long a daemon is watched.
const WATCH: Duration = Duration::from_secs(10);

/// Failure domains.
const DOMAINS: usize = 7;

/// Idle connections of callers opened for the memory of one.
const CONNECTIONS: u32 = 1_000;

/// Measures and prints everything.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run() -> Result<(), Error> {
    println!("instances endpoints  core %  memory KiB");
    for (instances, endpoints) in SIZES {
        let client = Client::new(Duration::from_secs(5));
        let list = Process::stand_in("list", &["--lag-ms=0"])?;
        let log = Process::stand_in("log", &[])?;
        // All rows of engines name one process: what is measured is the asking side.
        let engine = Process::stand_in("engine", &["--model=m"])?;
        let hash = blake3::hash(KEY.as_bytes()).to_hex();
        let record = format!("schema = 1\n[customer.bench]\nkey_hashes = [\"{hash}\"]\n");
        post(&client, &log.address, "/streams/config/records", &record).await?;
        for number in 0..endpoints {
            let row = row(
                "engine",
                &format!("engine-{number}"),
                &engine.address,
                number,
            );
            register(&client, &list, &row).await?;
        }
        for number in 0..instances {
            let row = row("entry", &format!("entry-{number}"), "127.0.0.1:9", number);
            register(&client, &list, &row).await?;
        }
        let daemon = Process::daemon("entry-0", "domain-0", &log.address, &list.address)?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = daemon.processor()?;
        tokio::time::sleep(WATCH).await;
        let used = (daemon.processor()? - before) / WATCH.as_secs_f64() * 100.0;
        println!(
            "{instances:>9} {endpoints:>9} {used:>7.2} {:>11}",
            daemon.memory()?
        );
        if endpoints == 0 {
            connections(&daemon).await?;
        }
    }
    Ok(())
}

/// Memory of an idle connection of a caller.
async fn connections(daemon: &Process) -> Result<(), Error> {
    let before = daemon.memory()?;
    let mut replies = Vec::new();
    for _ in 0..CONNECTIONS {
        let client = Client::new(Duration::from_secs(5));
        let request = Request::get("/healthz")
            .header("host", "bench")
            .body(Full::default())?;
        replies.push(client.send_new(&daemon.address, request).await?);
    }
    let held = daemon.memory()?.saturating_sub(before);
    println!(
        "one idle connection of a caller: {} KiB",
        held / u64::from(CONNECTIONS)
    );
    Ok(())
}

fn row(role: &str, name: &str, address: &str, number: usize) -> Row {
    Row::live(
        role,
        name,
        address,
        &format!("domain-{}", number % DOMAINS),
        "",
    )
}
