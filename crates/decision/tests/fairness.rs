//! Turns between customers.

use {
    bytes::Bytes,
    decision::{
        arrival::{Arrival, Work},
        event::Event,
        gossip::Line,
        limits::Limits,
        record::{Body, Change, Customer, Item, Kind, Record, Route, Version},
        state::State,
        time::{Time, Wall},
    },
    std::time::Duration,
};

fn change(kind: Kind, name: &str, body: Body) -> Change {
    Change {
        body: Some(body),
        item: Item {
            kind,
            name: name.to_string(),
        },
        replaces: None,
    }
}

fn customer(credential: u8) -> Body {
    Body::Customer(Customer {
        credentials: vec![[credential; 32]],
        priority: 1,
        weight: 1,
    })
}

fn state() -> State {
    let mut state = State::new("entry", "north", Limits::default(), 1);
    let route = Route {
        expected_tokens: 1,
        versions: vec![Version {
            model: "m".to_string(),
            share: 1,
        }],
    };
    let record = Record {
        changes: vec![
            change(Kind::Customer, "away", customer(1)),
            change(Kind::Customer, "busy", customer(2)),
            change(Kind::Route, "m", Body::Route(route)),
        ],
        schema: 1,
    };
    let line = Line {
        data: Bytes::new(),
        offset: 0,
        record,
    };
    let event = Event::Configured(line);
    state.step(Time::default(), Wall(0), event, &mut Vec::new());
    state
}

fn arrive(state: &mut State, credential: u8) {
    let now = Time::default();
    let arrival = Arrival {
        credential: [credential; 32],
        deadline: now.after(Duration::from_secs(9)),
        work: Work::Resume {
            endpoint: "gone".to_string(),
            generation: decision::generation::Id(1),
            next: 0,
        },
    };
    state.arrive(now, Wall(0), arrival, &mut Vec::new());
}

/// A customer comes back after a quiet day, while another has been served all the
/// time. Were the quiet day counted as a claim, the other one would wait until it
/// was used up; the two take turns from here on.
#[test]
fn a_customer_who_was_away_takes_turns_from_now_on() {
    let mut state = state();
    let busy = state.config.customer(&[2; 32]).expect("it is published");
    let away = state.config.customer(&[1; 32]).expect("it is published");
    state.config.customers[busy].served = 5_000.0;
    let request = decision::request::Request {
        arrived: Time::default(),
        customer: busy,
        deadline: Time::MAX,
        phase: decision::request::Phase::Moving,
        sends: 0,
        tried: None,
        work: Work::Resume {
            endpoint: String::new(),
            generation: decision::generation::Id(0),
            next: 0,
        },
    };
    state.requests.insert(request);
    arrive(&mut state, 1);
    assert!((state.config.customers[away].served - 5_000.0).abs() < f64::EPSILON);
}
