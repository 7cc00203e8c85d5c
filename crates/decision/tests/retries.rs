//! Retries of orders at an endpoint that deduplicates them.

use {
    bytes::Bytes,
    decision::{
        action::Action,
        arrival::{Arrival, Work},
        attempt::Attempt,
        batch,
        endpoint::{Kind as EndpointKind, Member},
        event::{Event, Failure},
        gossip::ConfigRecord,
        limits::Limits,
        order::Order,
        outcome::{Evidence, Outcome},
        record::{Body, Change, Customer, Facts, Item, Kind, Record, Service},
        slow_start,
        state::{State, digest},
        time::{Time, Wall},
    },
    std::time::Duration,
};

/// Wall time of the test, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_800_000_000_000;

struct Harness {
    now: Time,
    out: Vec<Action>,
    state: State,
}

impl Harness {
    fn new() -> Self {
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

    fn step(&mut self, event: Event) {
        self.state
            .step(self.now, Wall(WALL_MS), event, &mut self.out);
    }

    /// Submits an order, commits its claim to the log and returns its first attempt.
    fn order(&mut self) -> Attempt {
        let arrival = Arrival {
            credential: [1; 32],
            deadline: self.now.after(Duration::from_secs(9)),
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

    fn sent(&mut self) -> Option<Attempt> {
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

/// The first attempt may have run, so evidence that the retry did not run must not finish the
/// order as not run.
#[test]
fn retry_that_did_not_run_does_not_refuse_the_order_as_not_run() {
    let mut harness = Harness::new();
    let first = harness.order();
    harness.step(Event::Failed(first, Failure::Broken));
    let second = harness
        .sent()
        .expect("the order is retried at the endpoint that deduplicates it");
    let not_run = Failure::NotRun(Evidence::NothingWritten);
    harness.step(Event::Failed(second, not_run));
    let outcomes = harness.out.drain(..).filter_map(|action| match action {
        Action::Finish(_, outcome) => Some(outcome),
        _ => None,
    });
    let outcomes = outcomes.collect::<Vec<_>>();
    assert!(
        matches!(outcomes.as_slice(), [Outcome::MayHaveRun(_)]),
        "{outcomes:?}"
    );
    // Voiding the claim would free the key, and a repeated order would run again.
    harness.step(Event::Appended(batch::AppendResult::Done));
    harness.now = harness.now.after(Duration::from_secs(1));
    harness.state.flush(harness.now, &mut harness.out);
    let appended = format!("{:?}", harness.out);
    assert!(
        appended.contains("Lost") && !appended.contains("Void"),
        "{appended}"
    );
}
