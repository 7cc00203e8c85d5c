//! An instance with one endpoint of a plain service.

#![allow(
    dead_code,
    missing_docs,
    reason = "each test file uses a part of the helpers"
)]

use {
    bytes::Bytes,
    decision::{
        action::Action,
        arrival::{Arrival, Work},
        attempt::Attempt,
        batch,
        endpoint::{Kind as EndpointKind, Member},
        event::Event,
        fingerprint::Fingerprint,
        gossip::ConfigRecord,
        limits::Limits,
        order::Order,
        outcome::{MayHaveRun, Outcome},
        part::Part,
        record::{Body, Change, Customer, Facts, Item, Kind, Record, Service},
        request, slow_start,
        state::{State, digest},
        time::{Time, Wall},
    },
    std::time::Duration,
};

/// Wall time of the test, in milliseconds since the Unix epoch.
pub const WALL_MS: u64 = 1_800_000_000_000;

pub struct Harness {
    pub now: Time,
    pub out: Vec<Action>,
    pub state: State,
}

impl Harness {
    pub fn new() -> Self {
        let mut harness = Self {
            now: Time::from_micros(1_000_000),
            out: Vec::new(),
            state: State::new("entry", "north", Limits::default(), 1),
        };
        harness.step(Event::Configured(ConfigRecord {
            data: Bytes::new(),
            offset: 0,
            record: record(),
        }));
        harness.step(Event::ConfigCaughtUp(harness.now));
        harness.step(Event::ClaimsCoveredFrom(Wall(0)));
        harness.step(Event::ClaimsCaughtUp(harness.now));
        let member = Member {
            name: "desk".to_string(),
            address: "desk".to_string(),
            domain: "north".to_string(),
            kind: EndpointKind::Service("desk".to_string()),
            leaving: false,
        };
        harness.step(Event::Listed(vec![member], Vec::new()));
        let initialize = slow_start::Kind::Initialize {
            expected: None,
            limit: 1,
            quotas: Vec::new(),
        };
        let entries = [initialize, slow_start::Kind::Warm].map(|kind| {
            batch::Entry::SlowStart(slow_start::Entry {
                endpoint: digest("desk"),
                kind,
                incarnation: digest("desk"),
            })
        });
        harness.step(Event::Claims(vec![batch::Batch {
            entries: entries.to_vec(),
            instance: 1,
        }]));
        harness
    }

    pub fn step(&mut self, event: Event) {
        self.state
            .step(self.now, Wall(WALL_MS), event, &mut self.out);
    }

    /// Submits a lookup, which may be repeated; returns its first attempt if it is sent.
    pub fn look_up(&mut self, fingerprint: Fingerprint) -> Option<Attempt> {
        let arrival = Arrival {
            credential: [1; 32],
            deadline: self.now.after(Duration::from_secs(9)),
            fingerprint,
            parts: Vec::new(),
            work: Work::Call {
                idempotent: true,
                order: None,
                service: "desk".to_string(),
            },
        };
        self.state
            .arrive(self.now, Wall(WALL_MS), arrival, &mut self.out);
        self.sent()
    }

    /// Submits a request whose prompt has these parts.
    pub fn prompt(&mut self, parts: &str) {
        let arrival = Arrival {
            credential: [1; 32],
            deadline: self.now.after(Duration::from_secs(9)),
            fingerprint: Fingerprint::new(None, "", "", parts.as_bytes()),
            parts: parts.split(' ').map(Part::new).collect(),
            work: Work::Call {
                idempotent: true,
                order: None,
                service: "desk".to_string(),
            },
        };
        self.state
            .arrive(self.now, Wall(WALL_MS), arrival, &mut self.out);
    }

    /// Submits an order, commits its claim to the log and returns its first attempt.
    pub fn order(&mut self) -> Attempt {
        let arrival = Arrival {
            credential: [1; 32],
            deadline: self.now.after(Duration::from_secs(9)),
            fingerprint: Fingerprint::new(None, "", "", &[]),
            parts: Vec::new(),
            work: Work::Call {
                idempotent: false,
                order: Some(Order {
                    body: 1,
                    uuid: u128::from(WALL_MS) << 80,
                }),
                service: "desk".to_string(),
            },
        };
        self.state
            .arrive(self.now, Wall(WALL_MS), arrival, &mut self.out);
        self.state.flush(self.now, &mut self.out);
        let batches = self.out.drain(..).filter_map(|action| match action {
            Action::Append(batch) => Some(batch),
            _ => None,
        });
        let batches = batches.collect();
        self.step(Event::Claims(batches));
        self.sent().expect("the order is sent")
    }

    /// Requests that have ended since the last call and may have run.
    pub fn finished(&mut self) -> Vec<(request::Key, MayHaveRun)> {
        let finished = self.out.drain(..).filter_map(|action| match action {
            Action::Finish(key, Outcome::MayHaveRun(why)) => Some((key, why)),
            _ => None,
        });
        finished.collect()
    }

    pub fn sent(&mut self) -> Option<Attempt> {
        self.out.drain(..).find_map(|action| match action {
            Action::Send { attempt, .. } => Some(attempt),
            _ => None,
        })
    }
}

fn record() -> Record {
    let change = |kind, name: &str, body| Change {
        body: Some(body),
        item: Item {
            kind,
            name: name.to_string(),
        },
        replaces: None,
    };
    let customer = Customer {
        credentials: vec![[1; 32]],
        priority: 1,
        weight: 1,
    };
    let facts = Facts {
        deduplicates: true,
        ..Facts::default()
    };
    Record {
        changes: vec![
            change(Kind::Customer, "tallowgate", Body::Customer(customer)),
            change(Kind::Endpoint, "desk", Body::Endpoint(facts)),
            change(Kind::Service, "desk", Body::Service(Service::default())),
        ],
        schema: 1,
    }
}
