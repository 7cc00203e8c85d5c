//! A small cluster of real processes, for measurements.

use {
    crate::{
        prelude::*,
        process::{CALLER_KEY, get_json, post, register},
    },
    standin::list::Row,
};

/// A daemon and an engine in each of two failure domains, and a plain service.
#[derive(Debug)]
pub struct Cluster {
    /// HTTP client for requests of the measurement.
    pub client: Client,
    /// The daemons, in the order of `DOMAINS`.
    pub daemons: Vec<Process>,
    /// The engines, in the order of `DOMAINS`.
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

impl Cluster {
    /// Starts all processes and waits until each daemon can use every endpoint.
    ///
    /// # Errors
    ///
    /// A process cannot be started or reached, or a daemon is not ready in time.
    pub async fn start() -> Result<Self, Error> {
        let mut cluster = Self {
            client: Client::new(Duration::from_secs(5)),
            daemons: Vec::new(),
            engines: Vec::new(),
            list: Process::stand_in("list", &["--lag-ms=0"])?,
            log: Process::stand_in("log", &[])?,
            service: Process::stand_in("service", &[])?,
        };
        let address = cluster.service.address.clone();
        cluster
            .register("desk", &address, DOMAINS[0], "service")
            .await?;
        post(
            &cluster.client,
            &cluster.log.address,
            "/streams/config/records",
            &config_record(),
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
            cluster
                .register(&name, &engine.address, domain, "engine")
                .await?;
            cluster.engines.push(engine);
            let name = format!("entry-{domain}");
            let daemon =
                Process::daemon(&name, domain, &cluster.log.address, &cluster.list.address)?;
            cluster
                .register(&name, &daemon.address, domain, "entry")
                .await?;
            cluster.daemons.push(daemon);
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Builds an authenticated POST request to a daemon.
    ///
    /// # Errors
    ///
    /// The path or a header is invalid.
    pub fn build_request(
        &self,
        daemon: usize,
        path: &str,
        body: &str,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let request = Request::post(path)
            .header("host", &self.daemons[daemon].address)
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))?;
        Ok(request)
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        for daemon in &self.daemons {
            let mut usable = false;
            for _ in 0..200 {
                let status = get_json(&self.client, &daemon.operator_address, "/status").await?;
                usable = status["usable"] == json!(self.engines.len() + 1);
                if usable {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if !usable {
                return Err(Error::Timeout(
                    "a daemon reported every endpoint as usable".to_string(),
                ));
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

fn config_record() -> String {
    let key_hash = blake3::hash(CALLER_KEY.as_bytes()).to_hex();
    let names = ["engine-north", "engine-south", "desk"];
    let endpoint_settings =
        names.map(|name| format!("[endpoint.{name}]\ncold_limit = 100000\ncold_time = \"0ms\"\n"));
    format!(
        "schema = 1\n[customer.bench]\nkey_hashes = [\"{key_hash}\"]\n\
         [route.m]\nversions = [{{ model = \"m\" }}]\n\
         [service.desk]\nidempotent = [\"/lookup\"]\n{}",
        endpoint_settings.concat()
    )
}
