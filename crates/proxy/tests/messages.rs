//! Messages between instances of different versions.

use {
    forward::profile::{News, Pace, Shape},
    proxy::{
        gossip::customers::MAX_ROWS,
        message::{Message, Paces, Scope, ServicePaces, Trailer, all_watermarks, customers},
    },
};

/// A report, a sum and an answer as instances of the version before the trailer send them.
const EARLIER: [&str; 3] = [
    "0205064d02010203040509080706050966726f6e742d612d31c0c407010409010a07000001ac020c01a01f03",
    "0301006305064d0101020304050c0966726f6e742d612d31c1c407010a07000001ac020c01a01f03",
    "0001010101020304050405064d0c0966726f6e742d612d31c2c407010a07000001ac020c01a01f03",
];

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let digits = digits.map(|pair| std::str::from_utf8(pair).expect("hex digits"));
    let bytes = digits.map(|pair| u8::from_str_radix(pair, 16).expect("hex digits"));
    bytes.collect()
}

/// Instances of two versions run side by side while they are replaced. If one cannot decode the
/// other's messages, each reads the store and chooses engines by itself.
#[test]
fn messages_of_earlier_versions_are_decoded() {
    for hex in EARLIER {
        let (message, trailer) = Message::decode(&bytes(hex)).expect("a message");
        assert_eq!(trailer, Trailer::default());
        let encoded = message.encode(&trailer).expect("a message");
        assert_eq!(encoded, bytes(hex), "earlier versions get what they expect");
    }
}

/// The trailer follows what earlier versions decode, and they ignore it.
#[test]
fn trailer_follows_the_message() {
    for hex in EARLIER {
        let (message, _) = Message::decode(&bytes(hex)).expect("a message");
        let sent = Trailer {
            watermarks: vec![(Some(40), 12)],
        };
        let encoded = message.encode(&sent).expect("a message");
        assert!(encoded.starts_with(&bytes(hex)));
        let (_, received) = Message::decode(&encoded).expect("a message");
        assert_eq!(received, sent);
        let Message::Report(report) = message else {
            continue;
        };
        let watermarks = all_watermarks(report.watermarks, &received);
        assert_eq!(watermarks.last(), Some(&(Some(40), 12)));
        let watermarks = all_watermarks(report.watermarks, &Trailer::default());
        assert_eq!(watermarks.last(), Some(&(None, 0)));
    }
}

/// A later version may send a trailer that this one cannot decode; the message counts all the same.
#[test]
fn unknown_trailer_is_ignored() {
    let mut data = bytes(EARLIER[0]);
    data.extend([0xff; 12]);
    let (_, trailer) = Message::decode(&data).expect("a message");
    assert_eq!(trailer, Trailer::default());
}

/// Guards against a message of paces that does not fit into a datagram, or says something else once it is decoded.
#[test]
fn largest_message_of_paces_fits_into_a_datagram() {
    let mut shape = Shape {
        expected_events: 50_000_000.0,
        ..Shape::default()
    };
    for part in [&mut shape.calm, &mut shape.reading] {
        part.events = 400_000.0;
        part.classes.fill(4000.0);
    }
    let mut services = (0..4).map(|number| ServicePaces::new(u32::MAX - number, &shape));
    let mut services = services.by_ref().collect::<Vec<_>>();
    let mut sent = News::default();
    for number in 0..56 {
        let pace = Pace {
            digest: u32::MAX - number,
            pace_ms: 1999.0,
            service: u32::MAX,
            windows: 64.0,
        };
        services[0].add(pace);
        sent.add(pace);
    }
    let paces = Paces {
        name: "front-eu-west-a-100".to_string(),
        scope: Scope::Known,
        services,
    };
    let data = Message::Paces(paces)
        .encode(&Trailer::default())
        .expect("a message");
    assert!(data.len() <= 1100, "{} bytes", data.len());
    let (message, _) = Message::decode(&data).expect("a message");
    let Message::Paces(received) = message else {
        panic!("another message: {message:?}");
    };
    let received = received.news();
    assert_eq!(received.rows(), sent.rows());
    assert_eq!(received.shapes().last(), Some(&(u32::MAX, shape)));
}

/// A message that does not fit into a datagram is lost, with all that it says of customers.
#[test]
fn customers_of_four_services_fit_into_a_datagram() {
    let rows = MAX_ROWS / 4;
    let row = (u32::MAX, 20_000_000, 100_000, 20_000_000);
    let services = (0..4).map(|index| (u32::MAX - index, 30_000, vec![row; rows]));
    let message = customers::Customers {
        incarnation: u64::MAX,
        members: 320,
        name: "entry-instance-of-a-long-name-0001".to_string(),
        number: 1 << 52,
        scope: customers::Scope::All(u64::MAX, 1 << 52),
        services: services.collect(),
    };
    let message = Message::Customers(message);
    let encoded = message.encode(&Trailer::default()).expect("a message");
    assert!(encoded.len() <= 1100, "{}", encoded.len());
    let (decoded, _) = Message::decode(&encoded).expect("a message");
    let again = decoded.encode(&Trailer::default()).expect("a message");
    assert_eq!(again, encoded);
}
