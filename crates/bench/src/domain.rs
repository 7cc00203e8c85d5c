//! Time until a disabled failure domain receives no new requests.

use {
    crate::{
        cluster::Cluster,
        prelude::*,
        process::{get_json, post},
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// How often the domain is disabled.
const REPETITIONS: u64 = 10;

/// Runs the measurement and prints the delays.
///
/// # Errors
///
/// A process cannot be started or reached.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn run() -> Result<(), Error> {
    let cluster = Arc::new(Cluster::start().await?);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_load(Arc::clone(&cluster), Arc::clone(&stop)));
    let mut delays = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are valid");
    let mut version = None;
    for repetition in 0..REPETITIONS {
        let published_at = Instant::now();
        let offset = 1 + 2 * repetition;
        publish_state(&cluster, "out", version).await?;
        let mut last_start = published_at;
        let mut start_count = count_starts(&cluster).await?;
        while published_at.elapsed() < Duration::from_millis(1500) {
            let current = count_starts(&cluster).await?;
            if current != start_count {
                start_count = current;
                last_start = Instant::now();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let delay_us = last_start.duration_since(published_at).as_micros();
        delays.saturating_record(u64::try_from(delay_us).unwrap_or(u64::MAX));
        publish_state(&cluster, "in", Some(offset)).await?;
        version = Some(offset + 1);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let failed = load.await.map_err(std::io::Error::other)??;
    println!(
        "delay from publication to the last new request: p50 {} us, max {} us, {REPETITIONS} repetitions; requests started in the domain: {}; responses other than 200: {failed}",
        delays.value_at_quantile(0.5),
        delays.max(),
        count_starts(&cluster).await?
    );
    Ok(())
}

async fn publish_state(cluster: &Cluster, state: &str, replaces: Option<u64>) -> Result<(), Error> {
    let replaces = replaces.map(|offset| format!("replaces = {offset}\n"));
    let record = format!(
        "schema = 1\n[domain.south]\nstate = \"{state}\"\n{}",
        replaces.unwrap_or_default()
    );
    post(
        &cluster.client,
        &cluster.log.address,
        "/streams/config/records",
        &record,
    )
    .await
}

async fn count_starts(cluster: &Cluster) -> Result<u64, Error> {
    let stats = get_json(&cluster.client, &cluster.engines[1].address, "/control").await?;
    Ok(stats["starts"].as_u64().unwrap_or_default())
}

/// Sends 200 short requests per second through both daemons in turn until `stop` is set; returns
/// the number of responses other than 200.
async fn send_load(cluster: Arc<Cluster>, stop: Arc<AtomicBool>) -> Result<u64, Error> {
    let body = json!({"model": "m", "prompt": "tokens=2", "stream": false}).to_string();
    let mut interval = tokio::time::interval(Duration::from_millis(5));
    let mut tasks = Vec::new();
    let mut request_number = 0;
    while !stop.load(Ordering::Relaxed) {
        interval.tick().await;
        request_number += 1;
        let (cluster, body) = (Arc::clone(&cluster), body.clone());
        tasks.push(tokio::spawn(async move {
            let daemon = request_number % 2;
            let request = cluster.build_request(daemon, "/v1/completions", &body)?;
            let reply = cluster
                .client
                .send(&cluster.daemons[daemon].address, request)
                .await?;
            let failed = u64::from(reply.status() != 200);
            reply.read_body(1 << 20).await?;
            Ok::<_, Error>(failed)
        }));
    }
    let mut failed = 0;
    for task in tasks {
        failed += task.await.map_err(std::io::Error::other)??;
    }
    Ok(failed)
}
