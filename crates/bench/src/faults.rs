//! Measurements under two faults: connections that stop delivering data, and cold engines.

use {
    crate::{
        cluster::Cluster,
        prelude::*,
        process::{CALLER_KEY, get_json, post, register},
    },
    standin::list::Row,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Streams whose connection is silenced.
const SILENCE_REPETITIONS: u32 = 10;

/// How often the engine becomes cold again without announcing it.
const COLD_RESETS: u32 = 3;

/// Entry instances that share the cold engine.
const INSTANCE_COUNT: usize = 6;

/// Concurrent requests that the engine can serve while cold.
const COLD_LIMIT: u32 = 8;

/// Callers, each of which sends its next request once the last one is answered.
const CALLER_COUNT: usize = 60;

/// Measures how long a stream waits for its next token after its connection went silent.
///
/// # Errors
///
/// A process cannot be started or reached.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn measure_silence() -> Result<(), Error> {
    let cluster = Cluster::start().await?;
    let mut gaps = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are valid");
    for _ in 0..SILENCE_REPETITIONS {
        let body = json!({"model": "m", "prompt": "tokens=200", "stream": true}).to_string();
        let request = cluster.build_request(0, "/v1/completions", &body)?;
        let mut reply = cluster
            .client
            .send(&cluster.daemons[0].address, request)
            .await?;
        let mut parser = Parser::default();
        let (mut tokens, mut last_event, mut longest_gap) = (0, Instant::now(), Duration::ZERO);
        while let Some(chunk) = reply.chunk().await? {
            tokens += parser.feed(chunk)?.len();
            longest_gap = longest_gap.max(last_event.elapsed());
            last_event = Instant::now();
            if (20..40).contains(&tokens) {
                // Leaves the range, so that the engines are silenced once per stream.
                tokens += 1000;
                longest_gap = Duration::ZERO;
                for engine in &cluster.engines {
                    let control = json!({"mute": true}).to_string();
                    post(&cluster.client, &engine.address, "/control", &control).await?;
                }
            }
        }
        reply.release();
        gaps.saturating_record(u64::try_from(longest_gap.as_micros()).unwrap_or(u64::MAX));
    }
    println!(
        "delay from silence to the next token: p50 {} us, max {} us, {SILENCE_REPETITIONS} repetitions",
        gaps.value_at_quantile(0.5),
        gaps.max()
    );
    Ok(())
}

/// Measures the peak concurrency of a cold engine that several instances share, and how often
/// the engine fails from overload.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn measure_cold_start() -> Result<(), Error> {
    let client = Client::new(Duration::from_secs(5));
    let list = Process::stand_in("list", &["--lag-ms=200"])?;
    let log = Process::stand_in("log", &[])?;
    let cold_limit_flag = format!("--cold-limit={COLD_LIMIT}");
    let flags = [
        "--model=m",
        "--cold-ms=5000",
        &cold_limit_flag,
        "--step-base=5000",
    ];
    let engine = Process::stand_in("engine", &flags)?;
    let key_hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex();
    let record = format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{key_hash}\"]\n[route.m]\n\
         versions = [{{ model = \"m\" }}]\n[endpoint.engine]\ncold_limit = {COLD_LIMIT}\ncold_time = \"6s\"\n"
    );
    post(&client, &log.address, "/streams/config/records", &record).await?;
    let row = Row::live("engine", "engine", &engine.address, "d", "");
    register(&client, &list, &row).await?;
    let mut daemons = Vec::new();
    for number in 0..INSTANCE_COUNT {
        let name = format!("entry-{number}");
        let daemon = Process::daemon(&name, "d", &log.address, &list.address)?;
        let row = Row::live("entry", &name, &daemon.address, "d", "");
        register(&client, &list, &row).await?;
        daemons.push(daemon);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for number in 0..CALLER_COUNT {
        let address = daemons[number % INSTANCE_COUNT].address.clone();
        callers.push(tokio::spawn(run_caller(
            client.clone(),
            address,
            Arc::clone(&stop),
        )));
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let stats_after_start = get_json(&client, &engine.address, "/control").await?;
    for _ in 0..COLD_RESETS {
        tokio::time::sleep(Duration::from_secs(8)).await;
        // The engine becomes cold without announcing it; its running requests continue.
        let control = json!({"cold": true}).to_string();
        post(&client, &engine.address, "/control", &control).await?;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    stop.store(true, Ordering::Relaxed);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.map_err(std::io::Error::other)??;
    }
    let stats = get_json(&client, &engine.address, "/control").await?;
    println!(
        "limit {COLD_LIMIT}, {INSTANCE_COUNT} instances, {CALLER_COUNT} callers: peak concurrency after the start {}, overload failures {}; overload failures after {} unannounced cold resets {}; answered {answered}",
        stats_after_start["highest_cold"],
        stats_after_start["fell_over"],
        COLD_RESETS,
        stats["fell_over"]
    );
    Ok(())
}

async fn run_caller(client: Client, address: String, stop: Arc<AtomicBool>) -> Result<u64, Error> {
    let body = json!({"model": "m", "prompt": "tokens=10", "stream": false}).to_string();
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::post("/v1/completions")
            .header("host", &address)
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .body(Full::new(Bytes::from(body.clone())))?;
        let reply = client.send(&address, request).await?;
        answered += u64::from(reply.status() == 200);
        let failed = reply.status() != 200;
        reply.read_body(1 << 20).await?;
        if failed {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(answered)
}
