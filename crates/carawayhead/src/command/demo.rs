//! `carawayhead demo`: runs the whole system in one process, on loopback.

use {
    super::{publish, serve},
    crate::{
        daemon::{self, Running, timeline::TimelineEntry},
        prelude::*,
    },
    endpoint::{client::Reply, sse::Parser},
    http::{Request, header},
    http_body_util::Full,
    standin::{
        decode::EngineProfile,
        engine::{Engine, Settings as EngineSettings},
        list::{List, Row},
        log::Log,
        service::PlainService,
    },
    std::io::Write as _,
};

/// Failure domains of the demo, each with an entry instance and an engine.
const DOMAINS: [&str; 2] = ["guet-ndar", "sor"];

/// Key of the caller.
const CALLER_KEY: &str = "demo-key";

/// Secret that signs resume handles.
const HANDLE_SECRET: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Length of the streamed report, in tokens.
const REPORT_TOKENS: usize = 60;

/// Timeout of each expected condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which a condition is checked.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running parts of the demo.
struct Demo {
    client: Client,
    desk: String,
    engines: Vec<String>,
    instances: Vec<Running>,
    list: String,
    log: String,
}

/// Runs the demo.
///
/// # Errors
///
/// Returns an error if a part cannot be started or a result is not as expected.
pub async fn run() -> Result<(), Error> {
    serve::init_logging("error");
    println!(
        "1. starting a log, an instance list, two engines, a booking desk, two entry instances"
    );
    let demo = start().await?;
    println!(
        "   ready in {} failure domains: {}",
        DOMAINS.len(),
        DOMAINS.join(", ")
    );
    println!("2. a report, streamed as the engine writes it:");
    report(&demo).await?;
    println!("3. a booking sent twice under one key, through both instances:");
    booking(&demo).await?;
    println!(
        "4. failure domain {} is taken out by a published record:",
        DOMAINS[1]
    );
    drain_domain(&demo).await?;
    println!("5. what happened, in one order over both instances:");
    timeline(&demo).await?;
    for instance in demo.instances {
        if instance.drain.send(()).is_err() {
            return Err(Error::Demo(
                "an instance stopped before it was drained".to_string(),
            ));
        }
    }
    println!("all outcomes seen");
    Ok(())
}

async fn start() -> Result<Demo, Error> {
    let list = List::new(Duration::from_millis(50))
        .listen("127.0.0.1:0")
        .await;
    let log = Log::new(1).listen("127.0.0.1:0").await;
    let desk = PlainService::default().listen("127.0.0.1:0").await;
    let mut demo = Demo {
        client: Client::new(Duration::from_secs(1)),
        desk: address(desk)?,
        engines: Vec::new(),
        instances: Vec::new(),
        list: address(list)?,
        log: address(log)?,
    };
    demo.register("desk-1", &demo.desk, DOMAINS[0], "service")
        .await?;
    publish::publish(&publish::config_stream(&demo.log), &initial_record()).await?;
    for domain in DOMAINS {
        let engine = Engine::new(EngineSettings {
            checks_fencing: true,
            lag: Duration::from_millis(50),
            models: vec!["survey-1".to_string()],
            profile: EngineProfile {
                step_base: 15_000,
                ..EngineProfile::default()
            },
        });
        let engine = address(engine.listen("127.0.0.1:0").await)?;
        demo.register(&format!("engine-{domain}"), &engine, domain, "engine")
            .await?;
        demo.engines.push(engine);
        let settings = Settings::parse("demo", &demo.settings(domain))?;
        let instance = daemon::start(settings).await?;
        let entry = instance.caller.to_string();
        demo.register(&format!("entry-{domain}"), &entry, domain, "entry")
            .await?;
        demo.instances.push(instance);
    }
    demo.wait_until_ready().await?;
    Ok(demo)
}

fn address(running: std::io::Result<standin::serve::Running>) -> Result<String, Error> {
    match running {
        Ok(running) => Ok(running.address.to_string()),
        Err(error) => Err(Error::Io("stand-in".to_string(), error)),
    }
}

fn initial_record() -> String {
    let hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex();
    format!(
        "schema = 1\n\n[customer.regie]\nkey_hashes = [\"{hash}\"]\n\n\
         [route.survey]\nversions = [{{ model = \"survey-1\" }}]\n\n[service.kiln]\n"
    )
}

/// Streams a report and prints it as it arrives.
async fn report(demo: &Demo) -> Result<(), Error> {
    let body = json!({
        "model": "survey",
        "prompt": format!("Damage survey of plate 17, rue Blanchot. tokens={REPORT_TOKENS}"),
        "stream": true,
    });
    let mut reply = demo
        .post(0, "/v1/completions", None, &body.to_string())
        .await?;
    ensure(reply.status() == 200, "the report was not streamed")?;
    let mut parser = Parser::default();
    let mut tokens = 0;
    let mut done = false;
    print!("  ");
    while let Some(chunk) = reply.chunk().await.map_err(streamlog::Error::from)? {
        for event in parser.feed(chunk).map_err(streamlog::Error::from)? {
            done |= event.data == "[DONE]";
            tokens += usize::from(event.index == Some(u32::try_from(tokens).unwrap_or(u32::MAX)));
            let token = serde_json::from_slice::<Value>(&event.data).unwrap_or_default();
            print!(
                "{}",
                token["choices"][0]["text"].as_str().unwrap_or_default()
            );
            if std::io::stdout().flush().is_err() {
                return Err(Error::Demo("standard output is closed".to_string()));
            }
        }
    }
    println!();
    ensure(
        done && tokens == REPORT_TOKENS,
        "the report was not complete and in order",
    )?;
    println!("   {tokens} tokens, each once and in order");
    Ok(())
}

/// Sends a booking twice and checks that it ran once.
async fn booking(demo: &Demo) -> Result<(), Error> {
    let key = Uuid::now_v7().to_string();
    let mut answers = Vec::new();
    for instance in 0..2 {
        let reply = demo
            .post(instance, "/services/kiln/bookings", Some(&key), "plate 17")
            .await?;
        let status = reply.status();
        let body = reply
            .read_body(4096)
            .await
            .map_err(streamlog::Error::from)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        println!("   through instance {}: {status} {body}", instance + 1);
        ensure(status == 200, "the booking was not answered")?;
        answers.push(body);
    }
    let runs = demo.get(&demo.desk, "/control").await?;
    let runs = runs.as_array().map_or(0, Vec::len);
    ensure(
        runs == 1 && answers[0] == answers[1],
        "the booking did not run exactly once",
    )?;
    println!("   the desk ran it {runs} time; both callers got the same answer");
    Ok(())
}

/// Drains a failure domain and checks that requests through the instance in it run elsewhere.
async fn drain_domain(demo: &Demo) -> Result<(), Error> {
    let stream = publish::config_stream(&demo.log);
    let published = Instant::now();
    let offset = publish::set_domain(&stream, DOMAINS[1], true).await?;
    for instance in &demo.instances {
        let status = instance.operator.to_string();
        demo.wait_until("the record to be in force", async || {
            let status = demo.get(&status, "/status").await.unwrap_or_default();
            status["config_next_offset"].as_u64() > Some(offset)
        })
        .await?;
    }
    println!(
        "   in force at both instances after {} ms",
        published.elapsed().as_millis()
    );
    let before = demo.start_count(1).await?;
    for number in 0..6 {
        let body = json!({"model": "survey", "prompt": format!("Check {number}. tokens=3")});
        let reply = demo
            .post(1, "/v1/completions", None, &body.to_string())
            .await?;
        ensure(reply.status() == 200, "a check was not answered")?;
        reply
            .read_body(1 << 16)
            .await
            .map_err(streamlog::Error::from)?;
    }
    let after = demo.start_count(1).await?;
    ensure(
        before == after,
        "the drained failure domain received new requests",
    )?;
    println!(
        "   6 checks through the instance in {} ran elsewhere, none there",
        DOMAINS[1]
    );
    Ok(())
}

/// Prints the timelines of both instances in one order.
async fn timeline(demo: &Demo) -> Result<(), Error> {
    let mut entries = Vec::new();
    for instance in &demo.instances {
        let body = demo
            .get(&instance.operator.to_string(), "/timeline")
            .await?;
        entries.extend(serde_json::from_value::<Vec<TimelineEntry>>(body).unwrap_or_default());
    }
    entries.sort();
    ensure(!entries.is_empty(), "the timeline is empty")?;
    for entry in entries {
        let line = entry.to_string();
        println!("   {}", line.chars().take(150).collect::<String>());
    }
    Ok(())
}

fn ensure(condition: bool, message: &str) -> Result<(), Error> {
    if condition {
        return Ok(());
    }
    Err(Error::Demo(message.to_string()))
}

impl Demo {
    async fn post(
        &self,
        instance: usize,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, Error> {
        let address = self.instances[instance].caller.to_string();
        let mut request = Request::post(path)
            .header(header::HOST, &address)
            .header(header::AUTHORIZATION, format!("Bearer {CALLER_KEY}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(Bytes::from(body.to_string())));
        let request = request.map_err(streamlog::Error::from)?;
        Ok(self
            .client
            .send(&address, request)
            .await
            .map_err(streamlog::Error::from)?)
    }

    async fn get(&self, address: &str, path: &str) -> Result<Value, Error> {
        let request = Request::get(path)
            .header(header::HOST, address)
            .body(Full::default());
        let request = request.map_err(streamlog::Error::from)?;
        let reply = self
            .client
            .send(address, request)
            .await
            .map_err(streamlog::Error::from)?;
        let body = reply
            .read_body(1 << 24)
            .await
            .map_err(streamlog::Error::from)?;
        Ok(serde_json::from_slice(&body).map_err(streamlog::Error::from)?)
    }

    async fn register(
        &self,
        name: &str,
        address: &str,
        domain: &str,
        role: &str,
    ) -> Result<(), Error> {
        let row = json!(Row::live(role, name, address, domain, "kiln"));
        let request = Request::post("/instances")
            .header(header::HOST, &self.list)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(row.to_string())))
            .map_err(streamlog::Error::from)?;
        let reply = self
            .client
            .send(&self.list, request)
            .await
            .map_err(streamlog::Error::from)?;
        reply
            .read_body(4096)
            .await
            .map_err(streamlog::Error::from)?;
        Ok(())
    }

    fn settings(&self, domain: &str) -> String {
        format!(
            "[instance]\nname = \"entry-{domain}\"\ndomain = \"{domain}\"\n\
             [caller]\nlisten = \"127.0.0.1:0\"\nhandle_secret = \"{HANDLE_SECRET}\"\n\
             [operator]\ndrain_notice = \"0ms\"\n\
             [platform]\nlog = \"{}\"\nlist = \"{}\"\nlist_interval = \"50ms\"\n\
             [limits]\npoll_interval = \"50ms\"\n",
            self.log, self.list
        )
    }

    async fn start_count(&self, engine: usize) -> Result<u64, Error> {
        let stats = self.get(&self.engines[engine], "/control").await?;
        Ok(stats["starts"].as_u64().unwrap_or_default())
    }

    async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) -> Result<(), Error> {
        let begun = Instant::now();
        while !condition().await {
            ensure(
                begun.elapsed() < CONDITION_TIMEOUT,
                &format!("timed out waiting for: {what}"),
            )?;
            tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until both instances are ready and can send to every endpoint.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        let endpoints = json!(self.engines.len() + 1);
        for instance in &self.instances {
            let address = instance.operator.to_string();
            self.wait_until("an instance to be ready", async || {
                let status = self.get(&address, "/status").await.unwrap_or_default();
                status["ready"] == json!(true) && status["usable"] == endpoints
            })
            .await?;
        }
        Ok(())
    }
}
