//! Orders sent again to an endpoint that knows its keys.

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

/// Wall time of the test, in milliseconds.
const WALL: u64 = 1_800_000_000_000;

struct Desk {
    now: Time,
    out: Vec<Action>,
    state: State,
}

impl Desk {
    fn new() -> Self {
        let mut desk = Self {
            now: Time::from_micros(1_000_000),
            out: Vec::new(),
            state: State::new("entry", "north", Limits::default(), 1),
        };
        desk.step(Event::Configured(ConfigRecord {
            data: Bytes::new(),
            offset: 0,
            record: record(),
        }));
        desk.step(Event::ConfigCaughtUp(desk.now));
        desk.step(Event::ClaimsCoveredFrom(Wall(0)));
        desk.step(Event::ClaimsCaughtUp(desk.now));
        let member = Member {
            name: "desk".to_string(),
            address: "desk".to_string(),
            domain: "north".to_string(),
            kind: EndpointKind::Service("desk".to_string()),
            leaving: false,
        };
        desk.step(Event::Listed(vec![member], Vec::new()));
        let take = slow_start::Kind::Initialize {
            expected: None,
            limit: 1,
            quotas: Vec::new(),
        };
        let entries = [take, slow_start::Kind::Warm].map(|kind| {
            batch::Entry::SlowStart(slow_start::Entry {
                endpoint: digest("desk"),
                kind,
                incarnation: digest("desk"),
            })
        });
        desk.step(Event::Claims(vec![batch::Batch {
            entries: entries.to_vec(),
            instance: 1,
        }]));
        desk
    }

    fn step(&mut self, event: Event) {
        self.state.step(self.now, Wall(WALL), event, &mut self.out);
    }

    /// Places an order, lets its claim into the log and returns its first attempt.
    fn order(&mut self) -> Attempt {
        let arrival = Arrival {
            credential: [1; 32],
            deadline: self.now.after(Duration::from_secs(9)),
            work: Work::Call {
                idempotent: false,
                order: Some(Order {
                    body: 1,
                    uuid: u128::from(WALL) << 80,
                }),
                service: "desk".to_string(),
            },
        };
        self.state
            .arrive(self.now, Wall(WALL), arrival, &mut self.out);
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

/// The first answer is lost, and the desk is gone when it is asked again. That the
/// second try reached nobody does not make the first one unsent: the organiser is
/// told that the badge may have been printed, not that it was not.
#[test]
fn a_second_try_that_reached_nobody_does_not_unsend_the_first() {
    let mut desk = Desk::new();
    let first = desk.order();
    desk.step(Event::Failed(first, Failure::Broken));
    let second = desk
        .sent()
        .expect("the desk that knows its keys is asked again");
    let nobody = Failure::NotRun(Evidence::NothingWritten);
    desk.step(Event::Failed(second, nobody));
    let ends = desk.out.drain(..).filter_map(|action| match action {
        Action::Finish(_, outcome) => Some(outcome),
        _ => None,
    });
    let ends = ends.collect::<Vec<_>>();
    assert!(
        matches!(ends.as_slice(), [Outcome::MayHaveRun(_)]),
        "{ends:?}"
    );
    // A void would free the key, and a repeat would print the badge again.
    desk.step(Event::Appended(batch::AppendResult::Done));
    desk.now = desk.now.after(Duration::from_secs(1));
    desk.state.flush(desk.now, &mut desk.out);
    let appended = format!("{:?}", desk.out);
    assert!(
        appended.contains("Lost") && !appended.contains("Void"),
        "{appended}"
    );
}
