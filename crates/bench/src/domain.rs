//! How soon a failure domain that was taken out gets no more new work.

use {
    crate::{
        prelude::*,
        process::{get, post},
        setup::Setup,
    },
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Times the domain is taken out.
const TIMES: u64 = 10;

/// Measures and prints everything.
///
/// # Errors
///
/// A process cannot be started or reached.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn run() -> Result<(), Error> {
    let setup = Arc::new(Setup::start().await?);
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load(Arc::clone(&setup), Arc::clone(&stop)));
    let mut waits = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are valid");
    let mut version = None;
    for turn in 0..TIMES {
        let published = Instant::now();
        let offset = 1 + 2 * turn;
        publish(&setup, "out", version).await?;
        let mut last = published;
        let mut starts = count(&setup).await?;
        while published.elapsed() < Duration::from_millis(1500) {
            let now = count(&setup).await?;
            if now != starts {
                starts = now;
                last = Instant::now();
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let wait = last.duration_since(published).as_micros();
        waits.saturating_record(u64::try_from(wait).unwrap_or(u64::MAX));
        publish(&setup, "in", Some(offset)).await?;
        version = Some(offset + 1);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let refused = load.await.map_err(std::io::Error::other)??;
    println!(
        "from publication to the last new work: p50 {} us, longest {} us, {TIMES} times; {} pieces of work went there in all; checks not answered {refused}",
        waits.value_at_quantile(0.5),
        waits.max(),
        count(&setup).await?
    );
    Ok(())
}

async fn publish(setup: &Setup, state: &str, replaces: Option<u64>) -> Result<(), Error> {
    let replaces = replaces.map(|offset| format!("replaces = {offset}\n"));
    let record = format!(
        "schema = 1\n[domain.south]\nstate = \"{state}\"\n{}",
        replaces.unwrap_or_default()
    );
    post(
        &setup.client,
        &setup.log.address,
        "/streams/config/records",
        &record,
    )
    .await
}

async fn count(setup: &Setup) -> Result<u64, Error> {
    let stats = get(&setup.client, &setup.engines[1].address, "/control").await?;
    Ok(stats["starts"].as_u64().unwrap_or_default())
}

/// Short checks through both daemons, 200 a second, until told to stop.
async fn load(setup: Arc<Setup>, stop: Arc<AtomicBool>) -> Result<u64, Error> {
    let body = json!({"model": "m", "prompt": "tokens=2", "stream": false}).to_string();
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let mut tasks = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        number += 1;
        let (setup, body) = (Arc::clone(&setup), body.clone());
        tasks.push(tokio::spawn(async move {
            let daemon = number % 2;
            let request = setup.ask(daemon, "/v1/completions", &body)?;
            let reply = setup
                .client
                .send(&setup.daemons[daemon].address, request)
                .await?;
            let refused = u64::from(reply.status() != 200);
            reply.read_body(1 << 20).await?;
            Ok::<_, Error>(refused)
        }));
    }
    let mut refused = 0;
    for task in tasks {
        refused += task.await.map_err(std::io::Error::other)??;
    }
    Ok(refused)
}
