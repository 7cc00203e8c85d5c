//! Shared fixtures: a deployment with a model service and a plain service.

#![allow(
    dead_code,
    missing_docs,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]

pub use forward::{
    State,
    choice::{Need, Pick},
    config::{Config, Customer, Engine, Kind, Limits, Route, Service},
    endpoint::{Listing, Load},
    feature::{Feature, Features},
    outcome::Refusal,
    prelude::{EndpointKey, Run, RunKey, Time},
    request::Inbound,
    rollout::exposure::Limit,
    settings::Settings,
    state::Change,
};
use {
    rand::{SeedableRng as _, rngs::SmallRng},
    std::time::Duration,
};

/// Expected tokens of a long generation.
pub const LONG: Need = Need {
    output: 900,
    prompt: 3000,
};

pub fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn settings(domain: &str) -> Settings {
    Settings {
        budget_window: Duration::from_secs(10),
        canary: Limit {
            requests: 50.0,
            share: 0.1,
        },
        domain: domain.to_string(),
        features: Features::default(),
        min_instances: 10,
        retry_burst: 50.0,
        retry_ratio: 0.2,
        revocation: Duration::from_secs(5),
        transfer_wait_per_megabyte: Duration::ZERO,
    }
}

pub fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        anonymous: false,
        gap: None,
        host: "h.example".to_string(),
        kind,
        max_attempts: 2,
        name: prefix.to_string(),
        prefix: prefix.to_string(),
        priority: 1,
        resumable: false,
        split: vec![(service.to_string(), 1)],
        target: millis(1800),
        timeout: millis(39_000),
    }
}

pub fn engine() -> Engine {
    Engine {
        backups: true,
        handle_ttl: Duration::from_secs(5),
        kv_tokens: 34_000,
        moves: true,
        slots: 48,
        tokens_per_event: 4,
    }
}

pub fn config(version: u64) -> Config {
    config_with(version, vec!["key-1".to_string()])
}

pub fn config_with(version: u64, keys: Vec<String>) -> Config {
    let service = |name: &str, engine| Service {
        cold: Duration::from_secs(1),
        cold_rate: if engine { 28.0 } else { 0.0 },
        engine: engine.then(self::engine),
        health_path: "/health".to_string(),
        max_connections: 100,
        name: name.to_string(),
    };
    let routes = vec![
        route("/draft/", Kind::Stream, "model"),
        route("/draft/long/", Kind::Stream, "model"),
        route("/desk/", Kind::NonIdempotent, "desk"),
    ];
    let customers = vec![Customer {
        keys,
        name: "ada".to_string(),
        priority: None,
    }];
    let services = vec![service("model", true), service("desk", false)];
    Config::new(version, Limits::default(), routes, services, customers)
}

pub fn inbound(path: &str, arrived: Time) -> Inbound {
    Inbound {
        arrived,
        deadline: Some(Duration::from_secs(39)),
        host: "h.example".to_string(),
        id: "r1".to_string(),
        key: Some("key-1".to_string()),
        last_event: None,
        length_hint: Some(900),
        max_output_tokens: 2000,
        parts: Vec::new(),
        path: path.to_string(),
        prompt: 3000,
    }
}

pub fn listing(id: &str, service: &str, domain: &str) -> Listing {
    Listing {
        address: "127.0.0.1:9".parse().expect("an address"),
        started_at: Some(1),
        cold: Duration::ZERO,
        domain: domain.to_string(),
        id: id.to_string(),
        leaving: false,
        service: service.to_string(),
        slots: 6,
        version: None,
    }
}

/// An instance in domain `a` with a configuration and the given endpoints.
pub fn instance(endpoints: &[Listing]) -> State {
    instance_in("a", 1, endpoints)
}

pub fn instance_in(domain: &str, seed: u64, endpoints: &[Listing]) -> State {
    let mut state = State::new(settings(domain), SmallRng::seed_from_u64(seed));
    state.configure(config(1));
    state.config_freshness.confirm(at(0));
    state.confirm_list(at(0), at(0));
    for listing in endpoints {
        state.change(at(0), Change::Set(listing.clone()));
    }
    state
}

/// Adds a run of a long generation, whose engine has been at work for long enough to copy it.
pub fn begin_run(state: &mut State, endpoint: EndpointKey, backup: Option<EndpointKey>) -> RunKey {
    let run = begin_unread_run(state, endpoint, backup);
    state.record_events(at(0), run);
    state.record_events(at(500), run);
    run
}

/// Adds a run of a long generation of which no event has been read.
pub fn begin_unread_run(
    state: &mut State,
    endpoint: EndpointKey,
    backup: Option<EndpointKey>,
) -> RunKey {
    state.begin(Run {
        backup,
        endpoint,
        events: 0,
        expected: LONG.output,
        max_output_tokens: 2000,
        prompt: LONG.prompt,
        service: "model".to_string(),
        target: None,
        tokens_per_event: 4,
    })
}

/// Id of an endpoint.
pub fn id(state: &State, key: EndpointKey) -> String {
    let endpoint = state.endpoint(key).expect("a known endpoint");
    endpoint.listing.id.clone()
}

/// The endpoint and backup of a pick; panics if there is none.
pub fn picked(pick: Pick) -> (EndpointKey, Option<EndpointKey>) {
    match pick {
        Pick::Send(key, backup) => (key, backup),
        Pick::Wait => panic!("nothing was picked"),
    }
}
