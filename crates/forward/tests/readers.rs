//! Selection of the instance that reads the store.

mod common;

use {
    common::*,
    forward::{
        aggregate::members::Role,
        freshness::Freshness,
        load::PeerLoads,
        reader::{
            Cause, EchoTimestamp, LocalTopic, MAX_INSTANCE_LIST_AGE, MAX_WATERMARK_AGE, Readers,
            TOPICS, Watermark,
        },
    },
};

const NAMES: [&str; 4] = ["e1", "e2", "e3", "e4"];

fn own(name: &str, confirmed: u64, position: u64) -> LocalTopic<'_> {
    let mut freshness = Freshness::default();
    freshness.confirm(at(confirmed));
    LocalTopic {
        max_age: MAX_WATERMARK_AGE,
        freshness,
        name,
        position,
        role: Role::Equal,
        topic: 0,
    }
}

fn watermark(age: u64, position: u64) -> [Watermark; TOPICS] {
    let watermark = Watermark {
        age: Some(millis(age)),
        position,
    };
    [watermark; TOPICS]
}

/// The state of `name` if all other instances are up to date at `now`.
fn peers_up_to_date(name: &str, now: u64) -> Readers {
    let mut readers = Readers::default();
    for other in NAMES.into_iter().filter(|other| *other != name) {
        readers.update(other, at(now), true, watermark(300, 7));
    }
    readers
}

/// If every instance read the store, their calls would exceed its rate limit.
#[test]
fn one_instance_reads_in_full_mesh() {
    let reading = NAMES
        .into_iter()
        .filter(|name| {
            peers_up_to_date(name, 5000)
                .read_cause(own(name, 4700, 7), at(5000))
                .is_some()
        })
        .count();
    assert_eq!(reading, 1);
}

/// If the reader does not reach the store, the others must read before a change is overdue.
#[test]
fn unreachable_reader_is_replaced_in_time() {
    for name in NAMES {
        let mut readers = Readers::default();
        for other in NAMES.into_iter().filter(|other| *other != name) {
            readers.update(other, at(6700), true, watermark(1750, 7));
        }
        let cause = readers.read_cause(own(name, 4950, 7), at(6700));
        assert!(cause.is_some(), "{name}");
    }
}

/// While the store is unreachable, only one instance keeps polling it; failed calls count against
/// its rate limit.
#[test]
fn one_instance_polls_unreachable_store() {
    let causes = NAMES.map(|name| {
        let mut readers = Readers::default();
        for other in NAMES.into_iter().filter(|other| *other != name) {
            readers.update(other, at(9000), true, watermark(4000, 7));
        }
        readers.read_cause(own(name, 5000, 7), at(9000))
    });
    let count = |cause| causes.iter().filter(|other| **other == Some(cause)).count();
    assert_eq!(count(Cause::Reader), 1);
    assert_eq!(count(Cause::Old), 3);
}

/// A reader that does not reach the store stops polling it once a peer has taken over.
#[test]
fn instance_cut_off_from_store_is_no_reader() {
    for name in NAMES {
        let readers = peers_up_to_date(name, 9000);
        assert!(!readers.is_reader(own(name, 6000, 7), at(9000)), "{name}");
    }
}

/// Records that an instance reads because its knowledge is too old must reach others that do not
/// reach the store. Records that were only missing here are not relayed.
#[test]
fn records_read_for_age_are_relayed() {
    for name in NAMES {
        let mut readers = Readers::default();
        for other in NAMES.into_iter().filter(|other| *other != name) {
            readers.update(other, at(6700), true, watermark(1750, 7));
        }
        let own = own(name, 4950, 7);
        let cause = readers.read_cause(own, at(6700)).expect("a cause");
        assert!(readers.should_relay(cause, own, at(6700)), "{name}");
    }
    let follower = NAMES
        .into_iter()
        .find(|name| !peers_up_to_date(name, 5000).is_reader(own(name, 4900, 7), at(5000)))
        .expect("a follower");
    let readers = peers_up_to_date(follower, 5000);
    assert!(!readers.should_relay(Cause::Missing, own(follower, 4900, 6), at(5000)));
}

/// An echo of a timestamp from before a power loss may be in the future of the new clock; knowledge
/// confirmed by it would never expire.
#[test]
fn echo_of_former_incarnation_confirms_nothing() {
    let watermark = watermark(100, 7)[0];
    let echo = |incarnation| EchoTimestamp {
        at: at(60_000),
        incarnation,
    };
    assert_eq!(watermark.confirms(echo(11), 12, 7), None);
    assert_eq!(watermark.confirms(EchoTimestamp::default(), 12, 7), None);
    assert_eq!(watermark.confirms(echo(12), 12, 7), Some(at(59_900)));
}

/// Report numbers of a restarted peer start again; its reports must not be dropped as outdated.
#[test]
fn load_of_restarted_peer_counts() {
    let mut peer_loads = PeerLoads::default();
    let load = |tokens| Load {
        tokens,
        ..Load::default()
    };
    peer_loads.update("e2", at(10), 60_000, vec![(5, load(900))]);
    peer_loads.update("e2", at(20), 40, vec![(5, load(700))]);
    assert_eq!(peer_loads.at(5).tokens, 900);
    peer_loads.forget("e2");
    assert_eq!(peer_loads.at(5), Load::default());
    peer_loads.update("e2", at(30), 50, vec![(5, load(700))]);
    assert_eq!(peer_loads.at(5).tokens, 700);
}

/// The list of instances is read rarely; its age must not make every instance read it.
#[test]
fn one_instance_reads_old_instance_list() {
    let reading = NAMES
        .into_iter()
        .filter(|name| {
            let mut readers = Readers::default();
            for other in NAMES.into_iter().filter(|other| other != name) {
                readers.update(other, at(40_000), true, watermark(20_000, 7));
            }
            let own = LocalTopic {
                max_age: MAX_INSTANCE_LIST_AGE,
                topic: 2,
                ..own(name, 20_000, 7)
            };
            readers.read_cause(own, at(40_000)).is_some()
        })
        .count();
    assert_eq!(reading, 1);
}

/// Each side of a partition has one reader.
#[test]
fn each_side_of_partition_has_a_reader() {
    for side in [["e1", "e2"], ["e3", "e4"]] {
        let mut reading = 0;
        for name in side {
            let mut readers = peers_up_to_date(name, 1000);
            for other in side.into_iter().filter(|other| *other != name) {
                readers.update(other, at(3000), true, watermark(300, 7));
            }
            reading += usize::from(readers.read_cause(own(name, 2900, 7), at(3000)).is_some());
        }
        assert_eq!(reading, 1, "{side:?}");
    }
}

/// Records lost on the way are read from the store after the time in which they may still arrive.
#[test]
fn missing_records_are_read_after_relay_delay() {
    let name = NAMES
        .into_iter()
        .find(|name| !peers_up_to_date(name, 5000).is_reader(own(name, 4900, 7), at(5000)))
        .expect("a follower");
    let mut readers = peers_up_to_date(name, 5000);
    assert_eq!(readers.read_cause(own(name, 4900, 6), at(5000)), None);
    let cause = readers.read_cause(own(name, 4900, 6), at(5130));
    assert_eq!(cause, Some(Cause::Missing));
    assert_eq!(readers.read_cause(own(name, 4900, 7), at(5140)), None);
}

/// Number of readers in each failure domain, of thirty instances with two aggregators in each of
/// three domains.
fn readers_by_domain(partitioned: bool) -> Vec<usize> {
    let names = (0..30)
        .map(|number| format!("e{number}"))
        .collect::<Vec<_>>();
    let is_aggregator = |index: usize| index < 6;
    let mut reading = vec![0; 3];
    for (index, name) in names.iter().enumerate() {
        let mut readers = Readers::default();
        for (other, peer) in names.iter().enumerate() {
            let same_domain = other % 3 == index % 3;
            let linked_aggregators = is_aggregator(index) && is_aggregator(other) && !partitioned;
            let receives_reports =
                other != index && ((is_aggregator(other) && same_domain) || linked_aggregators);
            if receives_reports || (same_domain && is_aggregator(index) && other != index) {
                readers.update(peer, at(1000), is_aggregator(other), watermark(300, 7));
            }
        }
        let role = if is_aggregator(index) {
            Role::Aggregator
        } else {
            Role::Member
        };
        let own = LocalTopic {
            role,
            ..own(name, 900, 7)
        };
        let reads = readers.read_cause(own, at(1000)).is_some();
        reading[index % 3] += usize::from(reads);
    }
    reading
}

/// One aggregator reads for all domains; without any, every configuration would become outdated.
#[test]
fn one_aggregator_reads_for_all_domains() {
    assert_eq!(readers_by_domain(false).iter().sum::<usize>(), 1);
}

/// Each failure domain has a reader while the domains are partitioned.
#[test]
fn each_partitioned_domain_has_a_reader() {
    assert_eq!(readers_by_domain(true), [1, 1, 1]);
}

/// Aggregators of a domain also send each other member reports; both would read the store if these
/// reset the role.
#[test]
fn aggregator_that_sends_reports_stays_aggregator() {
    let reading = ["e1", "e2"].into_iter().filter(|name| {
        let other = if *name == "e1" { "e2" } else { "e1" };
        let mut readers = Readers::default();
        readers.update(other, at(4900), true, watermark(300, 7));
        readers.update(other, at(5000), false, watermark(300, 7));
        let own = LocalTopic {
            role: Role::Aggregator,
            ..own(name, 4900, 7)
        };
        readers.read_cause(own, at(5000)).is_some()
    });
    assert_eq!(reading.count(), 1);
}

/// Members wait for relayed records before they read the store, but only for a limited time.
#[test]
fn member_waits_for_relayed_records() {
    let mut readers = Readers::default();
    readers.update("e1", at(5000), true, watermark(300, 7));
    let own = LocalTopic {
        role: Role::Member,
        ..own("e2", 4900, 6)
    };
    assert_eq!(readers.read_cause(own, at(5000)), None);
    assert_eq!(readers.read_cause(own, at(5400)), None);
    assert_eq!(readers.read_cause(own, at(5510)), Some(Cause::Missing));
}

/// Entries of replaced instances must be removed, or shares of limits shrink. Entries of instances
/// that were briefly silent or just listed must stay.
#[test]
fn entries_of_silent_instances_expire() {
    let mut readers = Readers::default();
    readers.update("e2", at(10_000), true, watermark(300, 7));
    let minutes = |minutes: u64| at(minutes * 60_000);
    assert!(!readers.is_dead("e2", at(0), minutes(5)));
    assert!(readers.is_dead("e2", at(0), minutes(6)));
    assert!(!readers.is_dead("e2", minutes(4), minutes(6)));
    assert!(!readers.is_dead("e9", at(0), minutes(5)));
    assert!(readers.is_dead("e9", at(0), minutes(6)));
    readers.forget("e2");
    assert!(readers.is_dead("e2", at(0), minutes(6)));
}
