//! CPU time and memory of a daemon that serves no requests, by the size of the instance list.

use {
    crate::{
        prelude::*,
        process::{CALLER_KEY, post, register},
    },
    standin::list::Row,
};

/// Entry instances and endpoints in the list of each run.
const SYSTEM_SIZES: [(usize, usize); 4] = [(1, 0), (6, 20), (320, 480), (320, 2_200)];

/// Time over which CPU use is averaged.
const SAMPLE_DURATION: Duration = Duration::from_secs(10);

/// Failure domains that the rows are spread over.
const DOMAIN_COUNT: usize = 7;

/// Idle caller connections opened to measure the memory of one.
const CONNECTION_COUNT: u32 = 1_000;

/// Runs the measurement and prints one line per system size.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run() -> Result<(), Error> {
    println!("instances endpoints   CPU %  memory KiB");
    for (instances, endpoints) in SYSTEM_SIZES {
        let client = Client::new(Duration::from_secs(5));
        let list = Process::stand_in("list", &["--lag-ms=0"])?;
        let log = Process::stand_in("log", &[])?;
        // All engine rows share one process, since only the daemon is measured.
        let engine = Process::stand_in("engine", &["--model=m"])?;
        let key_hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex();
        let record = format!("schema = 1\n[customer.bench]\nkey_hashes = [\"{key_hash}\"]\n");
        post(&client, &log.address, "/streams/config/records", &record).await?;
        for number in 0..endpoints {
            let row = numbered_row(
                "engine",
                &format!("engine-{number}"),
                &engine.address,
                number,
            );
            register(&client, &list, &row).await?;
        }
        for number in 0..instances {
            let row = numbered_row("entry", &format!("entry-{number}"), "127.0.0.1:9", number);
            register(&client, &list, &row).await?;
        }
        let daemon = Process::daemon("entry-0", "domain-0", &log.address, &list.address)?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let cpu_before = daemon.cpu_seconds()?;
        tokio::time::sleep(SAMPLE_DURATION).await;
        let cpu_percent =
            (daemon.cpu_seconds()? - cpu_before) / SAMPLE_DURATION.as_secs_f64() * 100.0;
        println!(
            "{instances:>9} {endpoints:>9} {cpu_percent:>7.2} {:>11}",
            daemon.resident_kib()?
        );
        if endpoints == 0 {
            measure_connection_memory(&daemon).await?;
        }
    }
    Ok(())
}

/// Prints the daemon's memory per idle caller connection.
async fn measure_connection_memory(daemon: &Process) -> Result<(), Error> {
    let resident_before = daemon.resident_kib()?;
    let mut replies = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        let client = Client::new(Duration::from_secs(5));
        let request = Request::get("/healthz")
            .header("host", "bench")
            .body(Full::default())?;
        replies.push(client.send_new(&daemon.address, request).await?);
    }
    let growth_kib = daemon.resident_kib()?.saturating_sub(resident_before);
    println!(
        "memory per idle caller connection: {} KiB",
        growth_kib / u64::from(CONNECTION_COUNT)
    );
    Ok(())
}

fn numbered_row(role: &str, name: &str, address: &str, number: usize) -> Row {
    Row::live(
        role,
        name,
        address,
        &format!("domain-{}", number % DOMAIN_COUNT),
        "",
    )
}
