//! What relaying costs: the daemon against the stand-in directly, in one run.

use {
    crate::{
        prelude::*,
        process::{KEY, get, post, register},
    },
    standin::list::Row,
    std::sync::{Arc, Mutex},
};

/// Engines that share the streams.
const ENGINES: usize = 4;

/// Streams at once, in turn.
const STREAMS: [usize; 3] = [1, 64, 1000];

/// Figures of one series of streams.
#[derive(Debug)]
pub struct Series {
    /// Time to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Time between a token's leaving the engine and its arrival, in microseconds.
    pub passage: Histogram<u64>,
    /// Tokens received.
    pub tokens: u64,
}

impl Series {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
        Self {
            first: histogram(),
            passage: histogram(),
            tokens: 0,
        }
    }
}

/// Measures and prints everything.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn run(tokens: u32, step: u32) -> Result<(), Error> {
    let client = Client::new(Duration::from_secs(5));
    let list = Process::stand_in("list", &["--lag-ms=0"])?;
    let log = Process::stand_in("log", &[])?;
    let spread = Duration::from_micros(u64::from(step));
    let step = format!("--step-base={step}");
    let mut engines = Vec::new();
    for number in 0..ENGINES {
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
    post(&client, &log.address, "/streams/config/records", &record()).await?;
    let daemon = Process::daemon("entry", "d", &log.address, &list.address)?;
    let row = Row::live("entry", "entry", &daemon.address, "d", "");
    register(&client, &list, &row).await?;
    ready(&client, &daemon).await?;
    let direct = engines
        .iter()
        .map(|engine| engine.address.clone())
        .collect::<Vec<_>>();
    let through = vec![daemon.address.clone()];
    println!(
        "streams  path    tokens  first p50/p99 us     passage p50/p99 us   processor us/token  memory KiB/stream"
    );
    for streams in STREAMS {
        measure(&client, &direct, streams, tokens, spread).await?;
        let series = measure(&client, &direct, streams, tokens, spread).await?;
        print(streams, "direct", &series, None);
        let (used, held) = (daemon.processor()?, daemon.memory()?);
        let watched = watch(&daemon, held);
        let measured = measure(&client, &through, streams, tokens, spread);
        let (series, most) = tokio::join!(measured, watched);
        let series = series?;
        let processor = (daemon.processor()? - used) * 1e6 / count(series.tokens);
        let memory = count(most.saturating_sub(held)) / count(streams as u64);
        print(streams, "daemon", &series, Some((processor, memory)));
    }
    let status = get(&client, &daemon.operator, "/status").await?;
    println!("violations {}", status["invariant_violations"]);
    Ok(())
}

/// A count that is far below 2^52.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one run fit the mantissa"
)]
const fn count(number: u64) -> f64 {
    number as f64
}

/// The largest memory of the daemon within the next two seconds, in KiB.
async fn watch(daemon: &Process, held: u64) -> u64 {
    let mut most = held;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        most = most.max(daemon.memory().unwrap_or_default());
    }
    most
}

fn print(streams: usize, path: &str, series: &Series, cost: Option<(f64, f64)>) {
    let cost = cost.map(|(processor, memory)| format!("{processor:>18.2} {memory:>18.1}"));
    println!(
        "{streams:>7}  {path:<7} {:>6}  {:>9} / {:>8}  {:>9} / {:>8}  {}",
        series.tokens,
        series.first.value_at_quantile(0.5),
        series.first.value_at_quantile(0.99),
        series.passage.value_at_quantile(0.5),
        series.passage.value_at_quantile(0.99),
        cost.unwrap_or_default(),
    );
}

fn record() -> String {
    let hash = blake3_hex(KEY);
    let facts = (0..ENGINES).map(|number| {
        format!("[endpoint.engine-{number}]\ncold_limit = 100000\ncold_time = \"0ms\"\n")
    });
    format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{hash}\"]\n\
         [route.m]\nversions = [{{ model = \"m\" }}]\n{}",
        facts.collect::<String>()
    )
}

fn blake3_hex(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Waits until the daemon can send to every engine.
async fn ready(client: &Client, daemon: &Process) -> Result<(), Error> {
    for _ in 0..200 {
        let status = get(client, &daemon.operator, "/status").await?;
        if status["usable"] == json!(ENGINES) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(Error::Late("the daemon is ready".to_string()))
}

/// Runs streams at once, spread over the addresses, and collects their figures.
async fn measure(
    client: &Client,
    addresses: &[String],
    streams: usize,
    tokens: u32,
    spread: Duration,
) -> Result<Series, Error> {
    let series = Arc::new(Mutex::new(Series::new()));
    let mut tasks = Vec::new();
    for number in 0..streams {
        let (client, series) = (client.clone(), Arc::clone(&series));
        let address = addresses[number % addresses.len()].clone();
        tasks.push(tokio::spawn(async move {
            stream(&client, &address, tokens, &series).await
        }));
        // Spread the starts over one step, as arrivals of real callers are.
        tokio::time::sleep(spread / u32::try_from(streams).unwrap_or(1)).await;
    }
    for task in tasks {
        task.await.map_err(std::io::Error::other)??;
    }
    let series = std::mem::replace(
        &mut *series.lock().expect("no task panicked"),
        Series::new(),
    );
    Ok(series)
}

async fn stream(
    client: &Client,
    address: &str,
    tokens: u32,
    series: &Mutex<Series>,
) -> Result<(), Error> {
    let body = json!({"model": "m", "prompt": format!("tokens={tokens}"), "stream": true});
    let request = Request::post("/v1/completions")
        .header("host", address)
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .header("x-request-id", format!("{:032x}", rand::random::<u128>()))
        .body(Full::new(Bytes::from(body.to_string())))?;
    let begun = Instant::now();
    let mut reply = client.send(address, request).await?;
    let mut parser = Parser::default();
    let mut first = true;
    while let Some(part) = reply.chunk().await? {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let now = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let mut series = series.lock().expect("no task panicked");
        for event in parser.feed(part)? {
            let Some(sent) = sent(&event.data) else {
                continue;
            };
            series.tokens += 1;
            series.passage.saturating_record(now.saturating_sub(sent));
            if std::mem::take(&mut first) {
                let waited = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
                series.first.saturating_record(waited);
            }
        }
    }
    reply.release();
    Ok(())
}

/// When the engine wrote a token, in microseconds since the Unix epoch.
fn sent(data: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(data).ok()?;
    let (_, rest) = text.split_once("\"sent_us\":")?;
    let digits = rest.split(',').next()?;
    digits.parse().ok()
}
