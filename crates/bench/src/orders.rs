//! Latency that the claim adds to an order, compared with a lookup through the same daemons.

use {
    crate::{cluster::Cluster, prelude::*, process::get_json},
    std::sync::{Arc, Mutex},
};

/// Rates of the series; the log accepts 300 appends per second.
const CALLS_PER_SECOND: [u32; 3] = [1, 100, 300];

/// Path of calls that go to the service directly.
const DIRECT_PATH: &str = "/lookup";

/// Duration of each series.
const SERIES_SECONDS: u32 = 5;

/// Runs the measurement and prints one line per rate.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run() -> Result<(), Error> {
    let cluster = Arc::new(Cluster::start().await?);
    // Opens each daemon's connections to the service before the measurement.
    run_series(&cluster, "/services/desk/lookup", 50).await?;
    println!(
        "rate/s  direct p50/p99 us   lookup p50/p99 us   order p50/p99 us   answered  appends/s"
    );
    for rate in CALLS_PER_SECOND {
        let (direct, _) = run_series(&cluster, DIRECT_PATH, rate).await?;
        let (lookups, _) = run_series(&cluster, "/services/desk/lookup", rate).await?;
        let appends_before = append_count(&cluster).await?;
        let (orders, answered) = run_series(&cluster, "/services/desk/orders", rate).await?;
        let append_rate =
            (append_count(&cluster).await? - appends_before) / u64::from(SERIES_SECONDS);
        println!(
            "{rate:>6} {:>8} / {:>7} {:>9} / {:>7} {:>8} / {:>7} {answered:>10} {append_rate:>10}",
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

async fn append_count(cluster: &Cluster) -> Result<u64, Error> {
    let stats = get_json(&cluster.client, &cluster.log.address, "/control").await?;
    Ok(stats["appends"].as_u64().unwrap_or_default())
}

/// Sends calls at a constant rate, alternating between the daemons; returns the latencies in
/// microseconds and the number of responses with status 200.
async fn run_series(
    cluster: &Arc<Cluster>,
    path: &str,
    rate: u32,
) -> Result<(Histogram<u64>, u32), Error> {
    let histogram = Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
    let results = Arc::new(Mutex::new((histogram, 0)));
    let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
    let mut tasks = Vec::new();
    for number in 0..rate * SERIES_SECONDS {
        interval.tick().await;
        let (cluster, results) = (Arc::clone(cluster), Arc::clone(&results));
        let path = path.to_string();
        tasks.push(tokio::spawn(async move {
            let daemon = usize::from(number % 2 == 1);
            let start = Instant::now();
            let mut request = cluster.build_request(daemon, &path, "x")?;
            let key = uuid::Uuid::now_v7().to_string();
            if let Ok(key) = key.parse() {
                request.headers_mut().insert("idempotency-key", key);
            }
            let address = if path == DIRECT_PATH {
                &cluster.service.address
            } else {
                &cluster.daemons[daemon].address
            };
            let reply = cluster.client.send(address, request).await?;
            let answered = reply.status() == 200;
            reply.read_body(1 << 20).await?;
            let latency_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut results = results.lock().expect("no task panicked");
            results.0.saturating_record(latency_us);
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
