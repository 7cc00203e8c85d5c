//! OpenTelemetry metrics, exported in the Prometheus text format.

use {
    super::status::Status,
    crate::prelude::*,
    decision::invariant::Rule,
    opentelemetry::{
        KeyValue,
        metrics::{Meter, MeterProvider as _},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
};

/// Status shared between the event loop and the listener for operators.
pub type SharedStatus = Arc<Mutex<Status>>;

/// The registered metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all metrics, which read `shared` on every scrape.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new(shared: &SharedStatus) -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Listen("metrics".to_string(), error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carawayhead");
        gauges(&meter, shared);
        counters(&meter, shared);
        violations(&meter, shared);
        Ok(Self {
            _provider: provider,
            registry,
        })
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "metrics could not be encoded");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn gauges(meter: &Meter, shared: &SharedStatus) {
    let gauge = |name: &'static str, help: &'static str, read: fn(&Status) -> u64| {
        let shared = Arc::clone(shared);
        meter
            .u64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read(&read_status(&shared)), &[]))
            .build();
    };
    gauge("backlog", "requests that wait for an endpoint", |s| {
        s.backlog as u64
    });
    gauge("claims_known", "order keys within the window", |s| {
        s.claims as u64
    });
    gauge(
        "claims_unsettled",
        "claim entries not yet known to be in the log",
        |s| s.pending_appends as u64,
    );
    gauge(
        "config_next_offset",
        "offset after the last configuration record",
        |s| s.config_next,
    );
    gauge(
        "config_stale_milliseconds",
        "age of the configuration",
        |s| s.stale_ms.unwrap_or(u64::MAX),
    );
    gauge("endpoints", "endpoints in the instance list", |s| {
        s.endpoints as u64
    });
    gauge(
        "longest_turn_microseconds",
        "longest turn of the loop of late",
        |s| s.longest_iteration,
    );
    gauge(
        "partitioned",
        "kinds of endpoints that cannot be reached directly",
        |s| s.partitioned as u64,
    );
    gauge("peers", "entry instances in the instance list", |s| {
        s.peers as u64
    });
    gauge(
        "endpoints_usable",
        "endpoints that could take a request now",
        |s| s.usable as u64,
    );
    gauge(
        "ready",
        "whether the balancer may send requests here",
        |s| u64::from(s.ready),
    );
    gauge("requests", "requests in progress", |s| s.requests as u64);
}

fn counters(meter: &Meter, shared: &SharedStatus) {
    let counter = |name: &'static str, help: &'static str, read: fn(&Status) -> u64| {
        let shared = Arc::clone(shared);
        meter
            .u64_observable_counter(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read(&read_status(&shared)), &[]))
            .build();
    };
    counter("answered", "requests answered whole", |s| s.stats.answered);
    counter(
        "claims_lost",
        "claims lost to an earlier one of the same key",
        |s| s.stats.claims_lost,
    );
    counter("invariant_checks", "checks of invariants", |s| s.checks);
    counter("late_events", "events of attempts no longer current", |s| {
        s.stats.late
    });
    counter("may_have_run", "requests whose result is unknown", |s| {
        s.stats.may_have_run
    });
    counter("not_run", "requests refused without being run", |s| {
        s.stats.not_run
    });
    counter("resumed", "second connections of streams", |s| {
        s.stats.resumed
    });
    counter("retried", "second tries at another endpoint", |s| {
        s.stats.retried
    });
    counter("sent", "requests sent to endpoints", |s| s.stats.sent);
    counter("tokens", "tokens delivered", |s| s.stats.tokens);
    counter("tunnels", "requests that went through a peer", |s| {
        s.stats.tunnels
    });
}

fn violations(meter: &Meter, shared: &SharedStatus) {
    let shared = Arc::clone(shared);
    meter
        .u64_observable_counter("invariant_violations")
        .with_description("invariants found broken; any is a bug")
        .with_callback(move |observer| {
            let status = read_status(&shared);
            for (rule, count) in Rule::ALL.iter().zip(status.violations) {
                observer.observe(count, &[KeyValue::new("rule", rule.label())]);
            }
        })
        .build();
}

/// Returns a copy of the status.
///
/// # Panics
///
/// Panics if the event loop panicked while it updated the status.
#[must_use]
pub fn read_status(shared: &SharedStatus) -> Status {
    shared
        .lock()
        .expect("the status lock is not poisoned")
        .clone()
}
