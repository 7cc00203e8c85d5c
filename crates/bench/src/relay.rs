//! Cost of relaying streams: the daemon compared with direct requests to the engines.

use {
    crate::{
        prelude::*,
        process::{CALLER_KEY, get_json, post, register},
    },
    standin::list::Row,
    std::sync::{Arc, Mutex},
};

/// Engines that serve the streams.
const ENGINE_COUNT: usize = 4;

/// Concurrent streams of each run.
const CONCURRENT_STREAMS: [usize; 3] = [1, 64, 1000];

/// Statistics of one run of streams.
#[derive(Debug)]
pub struct StreamStats {
    /// Time to the first token, in microseconds.
    pub ttft_us: Histogram<u64>,
    /// Time from the engine's writing of a token to its arrival, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Tokens received.
    pub tokens: u64,
}

impl StreamStats {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
        Self {
            ttft_us: histogram(),
            latency_us: histogram(),
            tokens: 0,
        }
    }
}

/// Runs the measurement and prints one line per path and number of streams.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run(tokens: u32, step: u32) -> Result<(), Error> {
    let client = Client::new(Duration::from_secs(5));
    let list = Process::stand_in("list", &["--lag-ms=0"])?;
    let log = Process::stand_in("log", &[])?;
    let start_spread = Duration::from_micros(u64::from(step));
    let step = format!("--step-base={step}");
    let mut engines = Vec::new();
    for number in 0..ENGINE_COUNT {
        let flags = [
            "--model=m",
            "--batch=4000",
            "--capacity=100000000",
            "--step-each=0",
            &step,
        ];
        let engine = Process::stand_in("engine", &flags)?;
        let name = format!("engine-{number}");
        let row = Row::live("engine", &name, &engine.address, "d", "");
        register(&client, &list, &row).await?;
        engines.push(engine);
    }
    post(
        &client,
        &log.address,
        "/streams/config/records",
        &config_record(),
    )
    .await?;
    let daemon = Process::daemon("entry", "d", &log.address, &list.address)?;
    let row = Row::live("entry", "entry", &daemon.address, "d", "");
    register(&client, &list, &row).await?;
    wait_until_ready(&client, &daemon).await?;
    let engine_addresses = engines
        .iter()
        .map(|engine| engine.address.clone())
        .collect::<Vec<_>>();
    let daemon_addresses = vec![daemon.address.clone()];
    println!(
        "streams  path    tokens  TTFT p50/p99 us      latency p50/p99 us         CPU us/token  memory KiB/stream"
    );
    for streams in CONCURRENT_STREAMS {
        run_streams(&client, &engine_addresses, streams, tokens, start_spread).await?;
        let stats = run_streams(&client, &engine_addresses, streams, tokens, start_spread).await?;
        print_row(streams, "direct", &stats, None);
        let (cpu_before, kib_before) = (daemon.cpu_seconds()?, daemon.resident_kib()?);
        let peak_future = peak_resident_kib(&daemon, kib_before);
        let streams_future = run_streams(&client, &daemon_addresses, streams, tokens, start_spread);
        let (stats, peak_kib) = tokio::join!(streams_future, peak_future);
        let stats = stats?;
        let cpu_us_per_token = (daemon.cpu_seconds()? - cpu_before) * 1e6 / to_f64(stats.tokens);
        let kib_per_stream = to_f64(peak_kib.saturating_sub(kib_before)) / to_f64(streams as u64);
        print_row(
            streams,
            "daemon",
            &stats,
            Some((cpu_us_per_token, kib_per_stream)),
        );
    }
    let status = get_json(&client, &daemon.operator_address, "/status").await?;
    println!("invariant violations {}", status["invariant_violations"]);
    Ok(())
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one run fit the mantissa"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}

/// The daemon's peak resident memory within the next two seconds, in KiB.
async fn peak_resident_kib(daemon: &Process, kib_before: u64) -> u64 {
    let mut peak_kib = kib_before;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        peak_kib = peak_kib.max(daemon.resident_kib().unwrap_or_default());
    }
    peak_kib
}

fn print_row(streams: usize, path: &str, stats: &StreamStats, cost: Option<(f64, f64)>) {
    let cost = cost.map(|(cpu_us, kib)| format!("{cpu_us:>18.2} {kib:>18.1}"));
    println!(
        "{streams:>7}  {path:<7} {:>6}  {:>9} / {:>8}  {:>9} / {:>8}  {}",
        stats.tokens,
        stats.ttft_us.value_at_quantile(0.5),
        stats.ttft_us.value_at_quantile(0.99),
        stats.latency_us.value_at_quantile(0.5),
        stats.latency_us.value_at_quantile(0.99),
        cost.unwrap_or_default(),
    );
}

fn config_record() -> String {
    let key_hash = blake3_hex(CALLER_KEY);
    let endpoint_settings = (0..ENGINE_COUNT).map(|number| {
        format!("[endpoint.engine-{number}]\ncold_limit = 100000\ncold_time = \"0ms\"\n")
    });
    format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{key_hash}\"]\n\
         [route.m]\nversions = [{{ model = \"m\" }}]\n{}",
        endpoint_settings.collect::<String>()
    )
}

fn blake3_hex(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Waits until the daemon can send to every engine.
async fn wait_until_ready(client: &Client, daemon: &Process) -> Result<(), Error> {
    for _ in 0..200 {
        let status = get_json(client, &daemon.operator_address, "/status").await?;
        if status["usable"] == json!(ENGINE_COUNT) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(Error::Timeout(
        "the daemon reported every engine as usable".to_string(),
    ))
}

/// Runs concurrent streams, distributed over the addresses, and collects their statistics.
async fn run_streams(
    client: &Client,
    addresses: &[String],
    streams: usize,
    tokens: u32,
    start_spread: Duration,
) -> Result<StreamStats, Error> {
    let stats = Arc::new(Mutex::new(StreamStats::new()));
    let mut tasks = Vec::new();
    for number in 0..streams {
        let (client, stats) = (client.clone(), Arc::clone(&stats));
        let address = addresses[number % addresses.len()].clone();
        tasks.push(tokio::spawn(async move {
            receive_stream(&client, &address, tokens, &stats).await
        }));
        // Staggers the starts over one token interval, so that the streams do not run in step.
        tokio::time::sleep(start_spread / u32::try_from(streams).unwrap_or(1)).await;
    }
    for task in tasks {
        task.await.map_err(std::io::Error::other)??;
    }
    let stats = std::mem::replace(
        &mut *stats.lock().expect("no task panicked"),
        StreamStats::new(),
    );
    Ok(stats)
}

async fn receive_stream(
    client: &Client,
    address: &str,
    tokens: u32,
    stats: &Mutex<StreamStats>,
) -> Result<(), Error> {
    let body = json!({"model": "m", "prompt": format!("tokens={tokens}"), "stream": true});
    let request = Request::post("/v1/completions")
        .header("host", address)
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .header("content-type", "application/json")
        .header("x-request-id", format!("{:032x}", rand::random::<u128>()))
        .body(Full::new(Bytes::from(body.to_string())))?;
    let start = Instant::now();
    let mut reply = client.send(address, request).await?;
    let mut parser = Parser::default();
    let mut is_first = true;
    while let Some(chunk) = reply.chunk().await? {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let now_us = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let mut stats = stats.lock().expect("no task panicked");
        for event in parser.feed(chunk)? {
            let Some(sent_at_us) = sent_at_us(&event.data) else {
                continue;
            };
            stats.tokens += 1;
            stats
                .latency_us
                .saturating_record(now_us.saturating_sub(sent_at_us));
            if std::mem::take(&mut is_first) {
                let elapsed_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
                stats.ttft_us.saturating_record(elapsed_us);
            }
        }
    }
    reply.release();
    Ok(())
}

/// When the engine wrote the token, in microseconds since the Unix epoch.
fn sent_at_us(data: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(data).ok()?;
    let (_, value) = text.split_once("\"sent_us\":")?;
    let digits = value.split(',').next()?;
    digits.parse().ok()
}
