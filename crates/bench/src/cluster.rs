//! A small system of real processes, for measurements.

use {
    crate::{
        prelude::*,
        process::{KEY, get, post, register},
    },
    standin::list::Row,
};

/// Two daemons, an engine in each of two failure domains, a plain service.
#[derive(Debug)]
pub struct Setup {
    /// HTTP client of the measurement.
    pub client: Client,
    /// The daemons.
    pub daemons: Vec<Process>,
    /// The engines.
    pub engines: Vec<Process>,
    /// The instance list.
    pub list: Process,
    /// The log.
    pub log: Process,
    /// The plain service.
    pub service: Process,
}

/// The failure domains.
pub const DOMAINS: [&str; 2] = ["north", "south"];

impl Setup {
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A process cannot be started or reached.
    pub async fn start() -> Result<Self, Error> {
        let mut setup = Self {
            client: Client::new(Duration::from_secs(5)),
            daemons: Vec::new(),
            engines: Vec::new(),
            list: Process::stand_in("list", &["--lag-ms=0"])?,
            log: Process::stand_in("log", &[])?,
            service: Process::stand_in("service", &[])?,
        };
        let address = setup.service.address.clone();
        setup
            .register("desk", &address, DOMAINS[0], "service")
            .await?;
        post(
            &setup.client,
            &setup.log.address,
            "/streams/config/records",
            &record(),
        )
        .await?;
        for domain in DOMAINS {
            let flags = [
                "--model=m",
                "--batch=400",
                "--capacity=10000000",
                "--step-base=20000",
            ];
            let engine = Process::stand_in("engine", &flags)?;
            let name = format!("engine-{domain}");
            setup
                .register(&name, &engine.address, domain, "engine")
                .await?;
            setup.engines.push(engine);
            let name = format!("entry-{domain}");
            let daemon = Process::daemon(&name, domain, &setup.log.address, &setup.list.address)?;
            setup
                .register(&name, &daemon.address, domain, "entry")
                .await?;
            setup.daemons.push(daemon);
        }
        setup.ready().await?;
        Ok(setup)
    }

    /// A request to a daemon, not yet sent.
    ///
    /// # Errors
    ///
    /// It cannot be built.
    pub fn ask(
        &self,
        daemon: usize,
        path: &str,
        body: &str,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let request = Request::post(path)
            .header("host", &self.daemons[daemon].address)
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))?;
        Ok(request)
    }

    async fn ready(&self) -> Result<(), Error> {
        for daemon in &self.daemons {
            let mut ready = false;
            for _ in 0..200 {
                let status = get(&self.client, &daemon.operator, "/status").await?;
                ready = status["usable"] == json!(self.engines.len() + 1);
                if ready {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if !ready {
                return Err(Error::Late("a daemon is ready".to_string()));
            }
        }
        Ok(())
    }

    async fn register(
        &self,
        name: &str,
        address: &str,
        domain: &str,
        role: &str,
    ) -> Result<(), Error> {
        let row = Row::live(role, name, address, domain, "desk");
        register(&self.client, &self.list, &row).await
    }
}

fn record() -> String {
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    let names = ["engine-north", "engine-south", "desk"];
    let facts =
        names.map(|name| format!("[endpoint.{name}]\ncold_limit = 100000\ncold_time = \"0ms\"\n"));
    format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{hash}\"]\n\
         [route.m]\nversions = [{{ model = \"m\" }}]\n\
         [service.desk]\nidempotent = [\"/lookup\"]\n{}",
        facts.concat()
    )
}
