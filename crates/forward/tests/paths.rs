//! Instances whose links to endpoints are cut, and the peers that they go through.

mod common;

use {
    common::*,
    forward::{paths, tunnel},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
};

/// Time from a change of the links until requests are to be served again.
const STABILITY_WINDOW_MS: u64 = 3000;

/// How long a request may look for a way, at 250 ms for each connection that hangs.
const MAX_SEARCH_MS: u64 = 750;

const CONNECT_TIMEOUT_MS: u64 = 250;
const CHECK_POLL_MS: u64 = 100;

fn desks(count: usize) -> Vec<Listing> {
    let desks = (0..count).map(|number| listing(&format!("d{number}"), "desk", "a"));
    desks.collect()
}

/// Keys of the endpoints, sorted by id.
fn keys(state: &State) -> Vec<EndpointKey> {
    let mut keys = state.endpoints().map(|(key, _)| key).collect::<Vec<_>>();
    keys.sort_by_key(|key| id(state, *key));
    keys
}

fn with_peers(state: &mut State, peers: &[(&str, &str)]) {
    state.members.set("own", "a", 250);
    for (name, domain) in peers {
        state.members.set(name, domain, 250);
    }
}

/// Endpoints that have crashed must not send all requests on a detour while others can be reached.
#[test]
fn failed_endpoints_do_not_partition_their_service() {
    let mut state = instance(&desks(4));
    let keys = keys(&state);
    for _ in 0..5 {
        assert_eq!(state.record_unreached(at(100), keys[0]), None);
    }
    assert!(!state.paths.is_partitioned("desk"));
    assert_eq!(state.record_unreached(at(110), keys[1]), None);
    assert_eq!(state.record_reached(at(150), keys[2]), None);
    assert_eq!(state.record_unreached(at(200), keys[3]), None);
}

/// Three endpoints that cannot be reached, with none that can, show that the links are cut. Backoff must
/// not keep requests from endpoints that peers reach.
#[test]
fn three_unreached_endpoints_partition_their_service_only() {
    let mut endpoints = desks(4);
    endpoints.push(listing("m1", "model", "a"));
    let mut state = instance(&endpoints);
    with_peers(&mut state, &[("e2", "a")]);
    let keys = keys(&state);
    for key in &keys[..3] {
        state
            .endpoint_mut(*key)
            .expect("listed")
            .mark_unreachable(at(100));
    }
    assert_eq!(state.record_unreached(at(100), keys[0]), None);
    assert_eq!(state.record_unreached(at(120), keys[1]), None);
    assert!(!state.paths.is_partitioned("desk"));
    let change = state.record_unreached(at(150), keys[2]);
    assert_eq!(change, Some(paths::Change::Partitioned));
    let usable = |state: &State, key| state.endpoint(key).is_some_and(|e| e.usable(at(150)));
    assert!(usable(&state, keys[0]) && usable(&state, keys[1]));
    assert!(state.paths.is_partitioned("desk"));
    assert!(!state.paths.is_partitioned("model"));
}

/// Failures minutes apart are crashes of single endpoints.
#[test]
fn old_failures_do_not_add_up() {
    let mut state = instance(&desks(3));
    let keys = keys(&state);
    assert_eq!(state.record_unreached(at(100), keys[0]), None);
    assert_eq!(state.record_unreached(at(60_000), keys[1]), None);
    assert_eq!(state.record_unreached(at(120_000), keys[2]), None);
}

/// An answer on an open connection says nothing of new ones: where only those are refused, a service
/// would change between both states with each request.
#[test]
fn answers_on_open_connections_do_not_end_a_partition() {
    let mut state = instance(&desks(3));
    let keys = keys(&state);
    for key in &keys {
        state.record_unreached(at(100), *key);
    }
    state.record_answer_on_open_connection(at(200), keys[2]);
    assert!(state.paths.is_partitioned("desk"));
    let change = state.record_reached(at(300), keys[2]);
    assert_eq!(change, Some(paths::Change::Healed));
    assert!(!state.paths.is_partitioned("desk"));
}

/// Backoff from before must not go on after links have healed.
#[test]
fn backoff_ends_with_the_partition() {
    let mut state = instance(&desks(3));
    let keys = keys(&state);
    for key in &keys {
        state.record_unreached(at(100), *key);
    }
    for _ in 0..6 {
        let endpoint = state.endpoint_mut(keys[0]).expect("listed");
        endpoint.mark_unreachable(at(200));
    }
    state.record_reached(at(300), keys[2]);
    let endpoint = state.endpoint(keys[0]).expect("listed");
    assert!(endpoint.usable(at(300)));
}

/// Before a service counts as partitioned, an endpoint that was not tried yet is checked; then all in
/// turn, twice a second.
#[test]
fn endpoints_are_checked_in_turn() {
    let mut state = instance(&desks(4));
    let keys = keys(&state);
    assert!(state.due_path_checks(at(50)).is_empty());
    state.record_unreached(at(100), keys[0]);
    assert!(state.due_path_checks(at(100)).is_empty());
    state.record_unreached(at(100), keys[1]);
    let checked = state.due_path_checks(at(100));
    assert_eq!(checked.len(), 1);
    assert!(!keys[..2].contains(&checked[0]));
    assert!(state.due_path_checks(at(500)).is_empty());
    state.record_unreached(at(500), checked[0]);
    assert!(state.paths.is_partitioned("desk"));
    let last = state.due_path_checks(at(500));
    assert!(!keys[..2].contains(&last[0]) && last != checked);
    state.record_unreached(at(900), last[0]);
    let mut in_turn = Vec::new();
    for number in 0..4 {
        in_turn.extend(state.due_path_checks(at(1000 + 500 * number)));
    }
    in_turn.sort_unstable();
    let mut all = keys;
    all.sort_unstable();
    assert_eq!(in_turn, all);
}

/// A crowded endpoint answers late. It is checked only if no other endpoint of its service answers, and
/// a failed check is confirmed at another one.
#[test]
fn silence_is_checked_unless_others_answer() {
    let mut state = instance(&desks(3));
    let keys = keys(&state);
    state.record_answer_on_open_connection(at(500), keys[1]);
    state.record_silence(at(1000), keys[0]);
    assert!(state.due_path_checks(at(1000)).is_empty());
    state.record_silence(at(1500), keys[0]);
    assert_eq!(state.due_path_checks(at(1500)), [keys[0]]);
    let mut checked = vec![keys[0]];
    for now in [1900, 2300] {
        let last = *checked.last().expect("a check");
        assert_eq!(state.record_unreached(at(now), last), None);
        let next = state.due_path_checks(at(now));
        assert!(next.len() == 1 && !checked.contains(&next[0]), "{next:?}");
        checked.extend(next);
    }
    let change = state.record_unreached(at(2700), checked[2]);
    assert_eq!(change, Some(paths::Change::Partitioned));
}

/// A sound endpoint may be silent for a second. One that answers the check is used on.
#[test]
fn short_silence_of_one_endpoint_changes_nothing() {
    let mut state = instance(&desks(1));
    let keys = keys(&state);
    state.record_silence(at(1000), keys[0]);
    assert_eq!(state.due_path_checks(at(1000)), [keys[0]]);
    assert_eq!(state.record_reached(at(1100), keys[0]), None);
    assert!(state.due_path_checks(at(1600)).is_empty());
    assert!(!state.paths.is_partitioned("desk"));
}

/// Bytes between domains are expensive, and a peer that fails must not be asked again at once.
#[test]
fn peers_of_the_own_domain_are_asked_first() {
    let mut state = instance(&desks(1));
    with_peers(&mut state, &[("e2", "a"), ("e3", "b")]);
    state.record_unreached(at(0), keys(&state)[0]);
    let pick = |state: &State, now| state.tunnels.pick(at(now), &state.members, "own");
    assert_eq!(pick(&state, 0).as_deref(), Some("e2"));
    let tunnels = &mut state.tunnels;
    tunnels.record_failure(at(0), "e2", tunnel::Failure::Refused);
    assert_eq!(pick(&state, 0).as_deref(), Some("e3"));
    assert!(!state.is_cut_off(at(0), "own", "desk"));
    let tunnels = &mut state.tunnels;
    tunnels.record_failure(at(0), "e3", tunnel::Failure::Unreached);
    assert_eq!(pick(&state, 0), None);
    assert!(!state.is_cut_off(at(0), "own", "desk"));
    let tunnels = &mut state.tunnels;
    tunnels.record_failure(at(0), "e3", tunnel::Failure::Unanswered);
    assert!(state.is_cut_off(at(0), "own", "desk"));
    assert_eq!(pick(&state, 1000).as_deref(), Some("e2"));
}

/// One peer must not carry the load of all others' callers while another is idle.
#[test]
fn tunnels_are_spread_over_peers() {
    let mut state = instance(&desks(1));
    with_peers(&mut state, &[("e2", "a"), ("e3", "a"), ("e4", "b")]);
    state.record_unreached(at(0), keys(&state)[0]);
    let mut open = Vec::new();
    let mut counts = [0; 3];
    for _ in 0..30 {
        let name = state
            .tunnels
            .pick(at(0), &state.members, "own")
            .expect("a peer");
        let index = ["e2", "e3", "e4"].iter().position(|peer| *peer == name);
        counts[index.expect("a peer")] += 1;
        open.push(state.tunnels.record_opened(&name));
    }
    assert!(counts.iter().all(|count| *count >= 6), "{counts:?}");
    assert!(
        counts[2] <= counts[0] && counts[2] <= counts[1],
        "{counts:?}"
    );
}

/// Partitioned instances among hundreds must neither all go through the same peers nor each through all.
#[test]
fn instances_go_through_different_peers_among_hundreds() {
    let mut counts = [0_usize; 300];
    for own in 0..150 {
        let mut state = instance(&desks(1));
        for number in 0..300 {
            let domain = ["a", "b", "c"][number % 3];
            state.members.set(&format!("e{number}"), domain, 250);
        }
        state.record_unreached(at(0), keys(&state)[0]);
        let own = format!("e{own}");
        let mut open = Vec::new();
        let mut used = Vec::new();
        for _ in 0..40 {
            let name = state
                .tunnels
                .pick(at(0), &state.members, &own)
                .expect("a peer");
            let number = name[1..].parse::<usize>().expect("a number");
            counts[number] += 1;
            used.push(number);
            open.push(state.tunnels.record_opened(&name));
        }
        used.sort_unstable();
        used.dedup();
        assert!(used.len() <= 8, "{own} used {used:?}");
    }
    let most = counts.iter().max().copied().unwrap_or_default();
    let mean = counts.iter().sum::<usize>() / counts.len();
    assert!(
        most <= 6 * mean,
        "{most} tunnels at one peer, {mean} on average"
    );
}

/// Instances, and which of them can reach endpoints.
struct Fleet {
    cut: Vec<bool>,
    states: Vec<State>,
}

impl Fleet {
    fn start(instances: usize, seed: u64) -> Self {
        let mut endpoints = desks(3);
        for number in 0..6 {
            let domain = ["a", "b", "c"][number % 3];
            endpoints.push(listing(&format!("m{number}"), "model", domain));
        }
        let states = (0..instances).map(|number| {
            let mut state = instance_in(["a", "b", "c"][number % 3], seed, &endpoints);
            for other in 0..instances {
                let domain = ["a", "b", "c"][other % 3];
                state.members.set(&format!("e{other}"), domain, 250);
            }
            state
        });
        Self {
            cut: vec![false; instances],
            states: states.collect(),
        }
    }

    /// Connects an instance to an endpoint; returns whether that succeeded, and the time it took.
    fn connect(&mut self, now: u64, index: usize, key: EndpointKey) -> (bool, u64) {
        let state = &mut self.states[index];
        if self.cut[index] {
            state.record_unreached(at(now + CONNECT_TIMEOUT_MS), key);
            return (false, CONNECT_TIMEOUT_MS);
        }
        state.record_reached(at(now), key);
        (true, 1)
    }

    /// Sends a request from an instance; returns how long it looked for a way, and the peer that it
    /// went through. `None` if it found none in time.
    fn send(&mut self, start: u64, index: usize, service: &str) -> Option<(u64, Option<usize>)> {
        let own = format!("e{index}");
        let mut now = start;
        while now - start <= MAX_SEARCH_MS {
            let need = if service == "model" {
                LONG
            } else {
                Need::default()
            };
            if self.states[index].is_cut_off(at(now), &own, service) {
                return None;
            }
            let Pick::Send(key, _) = self.states[index].pick(at(now), service, need, &[]) else {
                now += 25;
                continue;
            };
            if !self.states[index].paths.is_partitioned(service) {
                let (connected, took) = self.connect(now, index, key);
                now += took;
                if connected {
                    return Some((now - start, None));
                }
                if !self.states[index].paths.is_partitioned(service) {
                    let endpoint = self.states[index].endpoint_mut(key).expect("listed");
                    endpoint.mark_unreachable(at(now));
                    continue;
                }
            }
            let Some(name) = self.pick_peer(now, index) else {
                let (connected, took) = self.connect(now, index, key);
                now += took;
                if connected {
                    return Some((now - start, None));
                }
                let endpoint = self.states[index].endpoint_mut(key).expect("listed");
                endpoint.mark_unreachable(at(now));
                continue;
            };
            let peer = name[1..].parse::<usize>().expect("a number");
            let failure = if self.states[peer].paths.is_partitioned(service) {
                now += 2;
                tunnel::Failure::Refused
            } else {
                let (connected, took) = self.connect(now, peer, key);
                now += took;
                if connected {
                    return Some((now - start, Some(peer)));
                }
                let endpoint = self.states[index].endpoint_mut(key).expect("listed");
                endpoint.mark_unreachable(at(now));
                tunnel::Failure::Unreached
            };
            let tunnels = &mut self.states[index].tunnels;
            tunnels.record_failure(at(now), &name, failure);
        }
        None
    }

    fn pick_peer(&self, now: u64, index: usize) -> Option<String> {
        let state = &self.states[index];
        let own = format!("e{index}");
        state.tunnels.pick(at(now), &state.members, &own)
    }

    fn check_paths(&mut self, now: u64) {
        for index in 0..self.states.len() {
            for key in self.states[index].due_path_checks(at(now)) {
                self.connect(now, index, key);
            }
        }
    }
}

/// Over random cuts of any number of instances, also of all, every instance serves once the links have
/// been as they are for the stability window, as long as one instance reaches endpoints; and none takes
/// a detour that it does not need.
#[test]
fn requests_find_a_way_over_random_cuts() {
    for seed in 1..=40 {
        println!("seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let instances = random.random_range(2..=9);
        let mut fleet = Fleet::start(instances, seed);
        let mut changed_at = 0;
        let mut now = 0;
        while now < 60_000 {
            if now - changed_at > 8000 {
                changed_at = now;
                let share = random.random_range(0.0..1.2_f64).min(1.0);
                for cut in &mut fleet.cut {
                    *cut = random.random_bool(share);
                }
            }
            let is_settled = now - changed_at > STABILITY_WINDOW_MS;
            for index in 0..instances {
                let service = if random.random_bool(0.5) {
                    "desk"
                } else {
                    "model"
                };
                let sent = fleet.send(now, index, service);
                if !is_settled {
                    continue;
                }
                let cut = &fleet.cut;
                let is_lost = cut.iter().all(|cut| *cut);
                assert_eq!(sent.is_none(), is_lost, "{index} at {now} ms, cut: {cut:?}");
                let peer = sent.and_then(|(_, peer)| peer);
                assert!(
                    peer.is_none() || cut[index],
                    "{index} at {now} ms took a detour"
                );
            }
            if now.is_multiple_of(CHECK_POLL_MS) {
                fleet.check_paths(now);
            }
            now += 50;
        }
    }
}

/// A busy peer that answers late once may be the only one that reaches endpoints; one that never answers
/// must not cost each request its time.
#[test]
fn silent_peers_are_asked_less_and_less_often() {
    let mut state = instance(&desks(1));
    with_peers(&mut state, &[("e2", "a")]);
    let pick = |state: &State, now| state.tunnels.pick(at(now), &state.members, "own");
    let mut waits = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        let tunnels = &mut state.tunnels;
        tunnels.record_failure(at(now), "e2", tunnel::Failure::Unanswered);
        let asked = now;
        while pick(&state, now).is_none() {
            now += 50;
            state.tick(at(now));
        }
        waits.push(now - asked);
    }
    assert_eq!(waits, [250, 500, 1000, 2000, 4000, 4000]);
    let _tunnel = state.tunnels.record_opened("e2");
    let tunnels = &mut state.tunnels;
    tunnels.record_failure(at(now), "e2", tunnel::Failure::Unanswered);
    assert_eq!(pick(&state, now + 250).as_deref(), Some("e2"));
}
