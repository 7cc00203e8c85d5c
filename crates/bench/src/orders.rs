//! What the claim adds to an order, against a lookup through the same daemons.

use {
    crate::{prelude::*, process::get, setup::Setup},
    std::sync::{Arc, Mutex},
};

/// Orders a second, in turn; the log takes 300 appends a second.
const RATES: [u32; 3] = [1, 100, 300];

/// Path at the service itself, past the daemons.
const DIRECT: &str = "/lookup";

/// Length of each series.
const SECONDS: u32 = 5;

/// Measures and prints everything.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run() -> Result<(), Error> {
    let setup = Arc::new(Setup::start().await?);
    // Warm every daemon's way to the service.
    series(&setup, "/services/desk/lookup", 50).await?;
    println!(
        "rate/s  direct p50/p99 us   lookup p50/p99 us   order p50/p99 us   answered  appends/s"
    );
    for rate in RATES {
        let (direct, _) = series(&setup, DIRECT, rate).await?;
        let (lookups, _) = series(&setup, "/services/desk/lookup", rate).await?;
        let before = appends(&setup).await?;
        let (orders, answered) = series(&setup, "/services/desk/orders", rate).await?;
        let appends = (appends(&setup).await? - before) / u64::from(SECONDS);
        println!(
            "{rate:>6} {:>8} / {:>7} {:>9} / {:>7} {:>8} / {:>7} {answered:>10} {appends:>10}",
            direct.value_at_quantile(0.5),
            direct.value_at_quantile(0.99),
            lookups.value_at_quantile(0.5),
            lookups.value_at_quantile(0.99),
            orders.value_at_quantile(0.5),
            orders.value_at_quantile(0.99),
        );
    }
    Ok(())
}

async fn appends(setup: &Setup) -> Result<u64, Error> {
    let stats = get(&setup.client, &setup.log.address, "/control").await?;
    Ok(stats["appends"].as_u64().unwrap_or_default())
}

/// Sends calls at a steady rate, through the daemons in turn.
async fn series(setup: &Arc<Setup>, path: &str, rate: u32) -> Result<(Histogram<u64>, u32), Error> {
    let histogram = Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
    let results = Arc::new(Mutex::new((histogram, 0)));
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut tasks = Vec::new();
    for number in 0..rate * SECONDS {
        ticks.tick().await;
        let (setup, results) = (Arc::clone(setup), Arc::clone(&results));
        let path = path.to_string();
        tasks.push(tokio::spawn(async move {
            let daemon = usize::from(number % 2 == 1);
            let begun = Instant::now();
            let mut request = setup.ask(daemon, &path, "x")?;
            let key = uuid::Uuid::now_v7().to_string();
            if let Ok(key) = key.parse() {
                request.headers_mut().insert("idempotency-key", key);
            }
            let address = if path == DIRECT {
                &setup.service.address
            } else {
                &setup.daemons[daemon].address
            };
            let reply = setup.client.send(address, request).await?;
            let answered = reply.status() == 200;
            reply.read_body(1 << 20).await?;
            let waited = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut results = results.lock().expect("no task panicked");
            results.0.saturating_record(waited);
            results.1 += u32::from(answered);
            Ok::<_, Error>(())
        }));
    }
    for task in tasks {
        task.await.map_err(std::io::Error::other)??;
    }
    let results = results.lock().expect("no task panicked");
    Ok((results.0.clone(), results.1))
}
