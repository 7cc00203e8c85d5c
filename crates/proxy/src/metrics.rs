//! Counters and latency histograms in the Prometheus text format.

use {
    crate::{logging, prelude::*},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder as _, Registry, TextEncoder},
};

/// Buckets of latency histograms, around the targets of 0.1 to 2 seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8,
];

/// Maximum number of customers that are named in labels.
const MAX_CUSTOMER_LABELS: usize = 32;

/// Metrics of what is held in memory for callers and endpoints.
#[derive(Clone, Debug)]
pub struct BufferMetrics {
    held: Gauge<u64>,
    let_go: Counter<u64>,
}

impl BufferMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            held: meter
                .u64_gauge("buffered_bytes")
                .with_description("bytes held for callers and endpoints, by use")
                .build(),
            let_go: meter
                .u64_counter("responses_let_go")
                .with_description(
                    "responses that ended since their callers did not read them, or memory was short",
                )
                .build(),
        }
    }

    /// Records the number of bytes held for a use.
    pub fn record_held(&self, held_for: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.held.record(bytes, &[KeyValue::new("use", held_for)]);
    }

    /// Records that a response was let go.
    pub fn record_let_go(&self, reason: &'static str) {
        self.let_go.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// All exported metrics.
#[derive(Debug)]
pub struct Metrics {
    /// What is held in memory.
    pub buffers: BufferMetrics,
    breaks: Counter<u64>,
    closed: Counter<u64>,
    endings: Counter<u64>,
    first_event: Histogram<f64>,
    held_back: Counter<u64>,
    /// Customers with a label of their own, sorted.
    held_customers: RefCell<Vec<String>>,
    limited: Counter<u64>,
    limited_endpoints: Gauge<u64>,
    loop_late: Histogram<f64>,
    late_pauses: Counter<u64>,
    moves: Counter<u64>,
    overlaps: Counter<u64>,
    parts: Counter<u64>,
    registry: Registry,
    rejections: Counter<u64>,
    repeated_ids: Counter<u64>,
    rollouts: Counter<u64>,
    sends: Counter<u64>,
    stops: Counter<u64>,
    store_calls: Counter<u64>,
    suspicions: Counter<u64>,
    total: Histogram<f64>,
    tunnels: Counter<u64>,
    unreachable: Counter<u64>,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// The exporter cannot be set up.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Metrics(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carawayhead");
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let histogram = |name: &'static str, help: &'static str| {
            let builder = meter.f64_histogram(name).with_description(help);
            builder
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build()
        };
        observe_dropped_lines(&meter);
        Ok(Self {
            buffers: BufferMetrics::new(&meter),
            breaks: counter(
                "connections_broken",
                "connections to endpoints that broke during a request, by service",
            ),
            closed: counter(
                "connections_closed_unread",
                "connections of callers that were closed at once, as the instance carries no more",
            ),
            endings: counter("requests_ended", "requests by route and outcome"),
            first_event: histogram("first_event_seconds", "time to a stream's first event"),
            held_back: counter(
                "requests_held_back",
                "requests refused since their customer was over its share, by service and customer",
            ),
            limited: counter(
                "limited_requests",
                "requests that were to be sent to endpoints with a limit, by outcome",
            ),
            limited_endpoints: meter
                .u64_gauge("limited_endpoints")
                .with_description("endpoints whose limit is kept, or ended seconds ago")
                .build(),
            held_customers: RefCell::default(),
            loop_late: histogram("loop_late_seconds", "how late the loop's timer was"),
            late_pauses: counter(
                "streams_paused",
                "streams with a pause over what their route allows, by route",
            ),
            moves: counter(
                "runs_moved",
                "generations that went on elsewhere, by outcome",
            ),
            overlaps: counter(
                "runs_at_two_engines",
                "runs that ended at an engine after they had begun at another one, by whether that took too long",
            ),
            parts: counter(
                "suspect_parts",
                "crashes of endpoints that count against parts of prompts, clearances, trials and refusals",
            ),
            rejections: counter(
                "requests_rejected",
                "requests that endpoints rejected without running them, by service and whether a cooldown was asked for",
            ),
            repeated_ids: counter(
                "repeated_ids",
                "requests that passed over idle connections which had carried them before",
            ),
            rollouts: counter(
                "rollout_steps",
                "requests to versions that are not judged yet, and stages recorded",
            ),
            sends: counter("requests_sent", "sends to endpoints, by service and order"),
            stops: counter(
                "runs_stopped",
                "silent generations that engines were asked to stop, by outcome",
            ),
            store_calls: counter("store_calls", "calls to the store by outcome"),
            suspicions: counter(
                "suspect_requests",
                "crashes of endpoints that count against a request, and clearances",
            ),
            total: histogram("request_seconds", "time to the end of an answer"),
            tunnels: counter(
                "tunnels",
                "tunnels to endpoints through peers, and changes of whether endpoints can be reached directly",
            ),
            unreachable: counter(
                "sends_unreachable",
                "sends that could not reach their endpoint, by service",
            ),
            _provider: provider,
            registry,
        })
    }

    /// Records that a stream had a pause over what its route allows.
    pub fn record_late_pause(&self, route: &str) {
        self.late_pauses
            .add(1, &[KeyValue::new("route", route.to_string())]);
    }

    /// Records that a connection to an endpoint broke during a request.
    pub fn record_break(&self, service: &str) {
        self.breaks
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Records that a connection of a caller was closed before anything was read.
    pub fn record_closed_connection(&self) {
        self.closed.add(1, &[]);
    }

    /// Records the end of a request.
    pub fn record_end(&self, route: &str, outcome: &str, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_string()),
            KeyValue::new("outcome", outcome.to_string()),
        ];
        self.endings.add(1, &labels);
        self.total.record(took.as_secs_f64(), &[]);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, took: Duration) {
        self.first_event.record(took.as_secs_f64(), &[]);
    }

    /// Records a request that was refused since its customer was over its share.
    pub fn record_held_back(&self, service: &str, customer: &str) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("customer", self.customer_label(customer)),
        ];
        self.held_back.add(1, &labels);
    }

    /// Label of a customer: its name, or `other` once [`MAX_CUSTOMER_LABELS`] customers have one.
    fn customer_label(&self, customer: &str) -> String {
        let mut labelled = self.held_customers.borrow_mut();
        match labelled.binary_search_by(|other| other.as_str().cmp(customer)) {
            Err(_) if labelled.len() >= MAX_CUSTOMER_LABELS => "other".to_string(),
            Err(index) => {
                labelled.insert(index, customer.to_string());
                customer.to_string()
            }
            Ok(_) => customer.to_string(),
        }
    }

    /// Records how late the event loop's timer was.
    pub fn record_loop_lateness(&self, late: Duration) {
        self.loop_late.record(late.as_secs_f64(), &[]);
    }

    /// Records a send that could not reach its endpoint.
    pub fn record_unreachable(&self, service: &str) {
        self.unreachable
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Records the outcome of a takeover.
    pub fn record_move(&self, outcome: &'static str) {
        self.moves.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a run has ended at one of two engines that may have worked on it.
    pub fn record_overlap(&self, is_late: bool) {
        self.overlaps.add(1, &[KeyValue::new("late", is_late)]);
    }

    /// Records a change of what speaks against a part of prompts, or what was done for it.
    pub fn record_part(&self, change: &'static str) {
        self.parts.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records that an endpoint rejected a request, and whether it asked for a cooldown.
    pub fn record_rejection(&self, service: &str, with_cooldown: bool) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("cooldown", with_cooldown),
        ];
        self.rejections.add(1, &labels);
    }

    /// Records a request that passed over idle connections which had carried it before.
    pub fn record_repeated_id(&self) {
        self.repeated_ids.add(1, &[]);
    }

    /// Records a request to a version that is not judged yet (`exposed`), or a stage of a rollout.
    pub fn record_rollout(&self, service: &str, step: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("step", step),
        ];
        self.rollouts.add(1, &labels);
    }

    /// Records a send to an endpoint.
    pub fn record_send(&self, is_retry: bool) {
        let order = if is_retry { "second" } else { "first" };
        self.sends.add(1, &[KeyValue::new("order", order)]);
    }

    /// Records what became of a request that was to be sent to an endpoint with a limit.
    pub fn record_limited(&self, outcome: &'static str) {
        self.limited.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of endpoints with a limit.
    pub fn record_limited_endpoints(&self, endpoints: usize) {
        let endpoints = u64::try_from(endpoints).unwrap_or(u64::MAX);
        self.limited_endpoints.record(endpoints, &[]);
    }

    /// Records the outcome of a request to stop a run.
    pub fn record_stop(&self, outcome: &'static str) {
        self.stops.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, outcome: &'static str) {
        self.store_calls
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a crash counts against a request, or that a request is cleared.
    pub fn record_suspicion(&self, change: &'static str) {
        self.suspicions.add(1, &[KeyValue::new("change", change)]);
    }

    /// Records the outcome of a request for a tunnel, or that a service has become partitioned or
    /// has healed.
    pub fn record_tunnel(&self, outcome: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "cannot encode metrics");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn observe_dropped_lines(meter: &Meter) {
    meter
        .u64_observable_counter("log_lines_dropped")
        .with_description("log lines dropped because standard output was not read")
        .with_callback(|observer| observer.observe(logging::dropped(), &[]))
        .build();
}
