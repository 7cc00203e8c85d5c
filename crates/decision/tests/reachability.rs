//! Instances that are partitioned from endpoints, which peers still reach.

mod desk;

use {
    decision::{
        action::Action,
        endpoint::{self, Kind, Member},
        event::{Event, Failure, Peer},
        fingerprint::Fingerprint,
        outcome::Evidence,
        tunnel,
    },
    desk::Harness,
    std::time::Duration,
};

fn member(name: &str, kind: Kind) -> Member {
    Member {
        name: name.to_string(),
        address: format!("{name}:1"),
        domain: "north".to_string(),
        kind,
        leaving: false,
    }
}

fn peer(name: &str, domain: &str, leaving: bool) -> Peer {
    Peer {
        name: name.to_string(),
        address: format!("{name}:2"),
        domain: domain.to_string(),
        leaving,
    }
}

/// An instance with four engines, one service and three peers, of which one is leaving.
fn harness() -> Harness {
    let mut harness = Harness::new();
    let engines = (0..4).map(|number| member(&format!("engine-{number}"), Kind::Engine));
    let mut members = engines.collect::<Vec<_>>();
    members.push(Member {
        address: "desk".to_string(),
        ..member("desk", Kind::Service("desk".to_string()))
    });
    let peers = vec![
        peer("entry", "north", false),
        peer("far", "south", false),
        peer("near", "north", false),
        peer("stopping", "north", true),
    ];
    harness.step(Event::Listed(members, peers));
    harness.out.clear();
    harness
}

fn engines(harness: &Harness) -> Vec<endpoint::Key> {
    let endpoints = harness.state.endpoints.iter();
    let engines = endpoints.filter(|(_, endpoint)| endpoint.member.kind == Kind::Engine);
    engines.map(|(key, _)| key).collect()
}

/// Endpoints to check directly, after a tick at a later time.
fn checks(harness: &mut Harness, millis: u64) -> Vec<endpoint::Key> {
    harness.out.clear();
    harness.now = harness.now.after(Duration::from_millis(millis));
    harness.step(Event::Tick);
    let checks = harness.out.iter().filter_map(|action| match action {
        Action::Check(key) => Some(*key),
        _ => None,
    });
    checks.collect()
}

/// Crashes of two engines must not send the requests for all others on a detour.
#[test]
fn two_failed_endpoints_do_not_partition_their_kind() {
    let mut harness = harness();
    let engines = engines(&harness);
    harness.step(Event::Unreachable(engines[0]));
    harness.step(Event::Unreachable(engines[1]));
    harness.step(Event::Unreachable(engines[1]));
    assert!(!harness.state.needs_detour(engines[2]));
    let checked = checks(&mut harness, 500);
    assert!(
        matches!(checked.as_slice(), [key] if engines[2..].contains(key)),
        "{checked:?}"
    );
    harness.step(Event::Reached(checked[0]));
    harness.step(Event::Unreachable(engines[0]));
    harness.step(Event::Unreachable(engines[1]));
    assert!(!harness.state.needs_detour(engines[2]));
}

/// Endpoints that cannot be reached are reached through peers, until a direct connection is answered.
#[test]
fn partitioned_kind_is_reached_through_peers_until_it_has_healed() {
    let mut harness = harness();
    let engines = engines(&harness);
    for key in &engines[..3] {
        harness.step(Event::Unreachable(*key));
    }
    assert!(harness.state.needs_detour(engines[3]));
    let dropped = |action: &&Action| matches!(action, Action::DropIdle(_));
    assert_eq!(harness.out.iter().filter(dropped).count(), 4);
    let service = harness
        .state
        .endpoints
        .iter()
        .find(|(_, endpoint)| endpoint.member.kind != Kind::Engine);
    let (service, _) = service.expect("listed");
    assert!(!harness.state.needs_detour(service));
    assert_eq!(checks(&mut harness, 0).len(), 1);
    assert_eq!(checks(&mut harness, 100).len(), 0);
    let checked = checks(&mut harness, 400);
    harness.step(Event::Reached(checked[0]));
    assert!(!harness.state.needs_detour(engines[3]));
    assert!(checks(&mut harness, 500).is_empty());
}

/// Peers that stop, refuse or do not answer are not asked, the nearest of the others first.
#[test]
fn detours_go_through_peers_that_can_be_used() {
    let mut harness = harness();
    let now = harness.now;
    let names = |harness: &mut Harness, now| {
        let detours = harness.state.detours(now).into_iter();
        detours.map(|detour| detour.name).collect::<Vec<_>>()
    };
    assert_eq!(names(&mut harness, now), ["near", "far"]);
    let refused = Err(tunnel::Failure::Refused);
    harness.step(Event::Tunnel("near".to_string(), refused));
    assert_eq!(names(&mut harness, now), ["far"]);
    let later = now.after(Duration::from_secs(1));
    assert_eq!(names(&mut harness, later), ["near", "far"]);
}

/// A tunnel for a peer is opened only to listed endpoints of kinds that this instance reaches itself, and
/// not by one that stops.
#[test]
fn tunnels_of_peers_are_refused_by_instances_of_no_use() {
    let mut harness = harness();
    let engines = engines(&harness);
    assert_eq!(harness.state.accepts_tunnel("engine-0:1"), Some(engines[0]));
    assert_eq!(harness.state.accepts_tunnel("elsewhere:1"), None);
    harness.state.draining = true;
    assert_eq!(harness.state.accepts_tunnel("engine-0:1"), None);
    harness.state.draining = false;
    for key in &engines[..3] {
        harness.step(Event::Unreached(*key));
    }
    assert_eq!(harness.state.accepts_tunnel("engine-0:1"), None);
}

/// Calls of a plain service show that it cannot be reached: one that fails to connect, and one that hangs
/// on an open connection.
#[test]
fn calls_show_that_a_service_is_partitioned() {
    let mut harness = harness();
    let fingerprint = Fingerprint::new(None, "", "", b"lookup");
    let attempt = harness.look_up(fingerprint).expect("a send");
    let service = harness.state.endpoints.iter();
    let service = service.map(|(key, _)| key).find(|key| {
        let endpoint = &harness.state.endpoints[*key];
        endpoint.member.kind != Kind::Engine
    });
    let service = service.expect("listed");
    assert!(checks(&mut harness, 1000).is_empty());
    assert_eq!(checks(&mut harness, 500), [service]);
    let unwritten = Failure::NotRun(Evidence::NothingWritten);
    harness.step(Event::Failed(attempt, unwritten));
    assert!(harness.state.needs_detour(service));
}

/// The loss of the peer of a tunnel is no crash of the endpoint, or requests that ran there would be refused.
#[test]
fn lost_peers_are_no_crashes() {
    let mut harness = harness();
    let fingerprint = Fingerprint::new(None, "", "", b"lookup");
    for _ in 0..4 {
        harness.now = harness.now.after(Duration::from_secs(1));
        let attempt = harness.look_up(fingerprint).expect("a send");
        harness.step(Event::Failed(attempt, Failure::PeerLost));
    }
    assert!(!harness.state.suspects.refuses(harness.now, fingerprint));
}

/// Bytes that are no response are no crash of the endpoint, or requests that it answers so would be refused.
#[test]
fn invalid_responses_are_no_crashes() {
    let mut harness = harness();
    let fingerprint = Fingerprint::new(None, "", "", b"lookup");
    for _ in 0..4 {
        harness.now = harness.now.after(Duration::from_secs(1));
        let attempt = harness.look_up(fingerprint).expect("a send");
        harness.step(Event::Failed(attempt, Failure::Invalid));
    }
    assert!(!harness.state.suspects.refuses(harness.now, fingerprint));
}
