//! Figures under two faults: connections that fall silent, and engines that start cold.

use {
    crate::{
        prelude::*,
        process::{KEY, get, post, register},
        setup::Setup,
    },
    standin::list::Row,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Times each fault is brought about.
const TIMES: u32 = 10;

/// Times the engine turns cold without a word.
const TURNS: u32 = 3;

/// Entry instances that share a cold engine.
const INSTANCES: usize = 6;

/// Requests that the engine bears while cold.
const LIMIT: u32 = 8;

/// Callers who ask again as soon as they are answered.
const CALLERS: usize = 60;

/// How long a stream waits for its next token after its connection fell silent.
///
/// # Errors
///
/// A process cannot be started or reached.
///
/// # Panics
///
/// Never: the bounds of the histogram are valid.
pub async fn silence() -> Result<(), Error> {
    let setup = Setup::start().await?;
    let mut gaps = Histogram::<u64>::new_with_max(60_000_000, 3).expect("the bounds are valid");
    for _ in 0..TIMES {
        let body = json!({"model": "m", "prompt": "tokens=200", "stream": true}).to_string();
        let request = setup.ask(0, "/v1/completions", &body)?;
        let mut reply = setup
            .client
            .send(&setup.daemons[0].address, request)
            .await?;
        let mut parser = Parser::default();
        let (mut tokens, mut last, mut longest) = (0, Instant::now(), Duration::ZERO);
        while let Some(part) = reply.chunk().await? {
            tokens += parser.feed(part)?.len();
            longest = longest.max(last.elapsed());
            last = Instant::now();
            if (20..40).contains(&tokens) {
                tokens += 1000;
                longest = Duration::ZERO;
                for engine in &setup.engines {
                    let mute = json!({"mute": true}).to_string();
                    post(&setup.client, &engine.address, "/control", &mute).await?;
                }
            }
        }
        reply.release();
        gaps.saturating_record(u64::try_from(longest.as_micros()).unwrap_or(u64::MAX));
    }
    println!(
        "from silence to the next token: p50 {} us, longest {} us, {TIMES} times",
        gaps.value_at_quantile(0.5),
        gaps.max()
    );
    Ok(())
}

/// The most requests that a cold engine had at once, with six instances and more callers.
///
/// # Errors
///
/// A process cannot be started or reached.
pub async fn cold() -> Result<(), Error> {
    let client = Client::new(Duration::from_secs(5));
    let list = Process::stand_in("list", &["--lag-ms=200"])?;
    let log = Process::stand_in("log", &[])?;
    let limit = format!("--cold-limit={LIMIT}");
    let flags = ["--model=m", "--cold-ms=5000", &limit, "--step-base=5000"];
    let engine = Process::stand_in("engine", &flags)?;
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    let record = format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{hash}\"]\n[route.m]\n\
         versions = [{{ model = \"m\" }}]\n[endpoint.engine]\ncold_limit = {LIMIT}\ncold_time = \"6s\"\n"
    );
    post(&client, &log.address, "/streams/config/records", &record).await?;
    let row = Row::live("engine", "engine", &engine.address, "d", "");
    register(&client, &list, &row).await?;
    let mut daemons = Vec::new();
    for number in 0..INSTANCES {
        let name = format!("entry-{number}");
        let daemon = Process::daemon(&name, "d", &log.address, &list.address)?;
        let row = Row::live("entry", &name, &daemon.address, "d", "");
        register(&client, &list, &row).await?;
        daemons.push(daemon);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let address = daemons[number % INSTANCES].address.clone();
        callers.push(tokio::spawn(caller(
            client.clone(),
            address,
            Arc::clone(&stop),
        )));
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let started = get(&client, &engine.address, "/control").await?;
    for _ in 0..TURNS {
        tokio::time::sleep(Duration::from_secs(8)).await;
        // The engine starts anew without a word; what it has keeps running.
        let cold = json!({"cold": true}).to_string();
        post(&client, &engine.address, "/control", &cold).await?;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    stop.store(true, Ordering::Relaxed);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.map_err(std::io::Error::other)??;
    }
    let stats = get(&client, &engine.address, "/control").await?;
    println!(
        "limit {LIMIT}, {INSTANCES} instances, {CALLERS} callers: at its start at most {} at once, fell over {}; after {} turns to cold without a word fell over {}; answered {answered}",
        started["highest_cold"], started["fell_over"], TURNS, stats["fell_over"]
    );
    Ok(())
}

async fn caller(client: Client, address: String, stop: Arc<AtomicBool>) -> Result<u64, Error> {
    let body = json!({"model": "m", "prompt": "tokens=10", "stream": false}).to_string();
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::post("/v1/completions")
            .header("host", &address)
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::from(body.clone())))?;
        let reply = client.send(&address, request).await?;
        answered += u64::from(reply.status() == 200);
        let refused = reply.status() != 200;
        reply.read_body(1 << 20).await?;
        if refused {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(answered)
}
