//! Tells peers what endpoints have stated of themselves.
//!
//! That an endpoint leaves is told to all: it would reject or lose their requests too. A cooldown is asked of the instance
//! that the endpoint sees, which for a request through a tunnel is the peer at its other end.

use {
    super::listeners,
    crate::{
        clock,
        message::{Message, Trailer, statements::Statements},
        prelude::*,
    },
    forward::{condition::Conditions, state::Answer},
};

/// Interval at which peers are told again, since single messages may be lost.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two rounds of messages to peers, as endpoints of a service often leave together.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which peers are told that an endpoint leaves; by then its entry mostly says so too.
const NEWS_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum number of endpoints in a message, so that it fits into a datagram.
const MAX_ENDPOINTS: usize = 200;

/// Endpoints of which this instance has heard lately that they leave, and when.
#[derive(Clone, Debug, Default)]
pub struct Departures(Vec<(u32, Time)>);

/// Tells peers of endpoints that leave; never returns.
pub async fn run(shared: &Shared) {
    loop {
        let _changed = timeout(REFRESH_INTERVAL, shared.statements_changed.notified()).await;
        let now = clock::now();
        let leaving = {
            let mut departures = shared.departures.borrow_mut();
            departures
                .0
                .retain(|(_, heard_at)| now.since(*heard_at) <= NEWS_LIFETIME);
            departures
                .0
                .iter()
                .map(|(incarnation, _)| *incarnation)
                .collect::<Vec<_>>()
        };
        for part in leaving.chunks(MAX_ENDPOINTS) {
            for name in listeners(shared, now) {
                send(shared, &name, Vec::new(), part.to_vec());
            }
        }
        sleep(MIN_INTERVAL).await;
    }
}

/// Tells peers that an endpoint leaves.
pub fn announce_leaving(shared: &Shared, incarnation: u32) {
    shared
        .departures
        .borrow_mut()
        .0
        .push((incarnation, clock::now()));
    shared.statements_changed.notify_one();
}

/// Tells the peer through which a request was sent that its endpoint asks for a cooldown.
pub fn pass_on_cooldown(shared: &Shared, peer: &str, incarnation: u32, cooldown: Duration) {
    let millis = u32::try_from(cooldown.as_millis()).unwrap_or(u32::MAX);
    send(shared, peer, vec![(incarnation, millis)], Vec::new());
}

/// Takes a message of a peer.
pub fn receive(shared: &Shared, message: &Statements) {
    let now = clock::now();
    for incarnation in &message.leaving {
        let is_new = shared.state.borrow_mut().record_leaving(now, *incarnation);
        if is_new {
            log_leaving(shared, *incarnation, &message.name);
            announce_leaving(shared, *incarnation);
        }
    }
    for (incarnation, millis) in &message.cooldowns {
        apply_cooldown(
            shared,
            *incarnation,
            Duration::from_millis((*millis).into()),
        );
    }
}

/// Applies the cooldown of an endpoint of which a peer has told.
pub fn apply_cooldown(shared: &Shared, incarnation: u32, cooldown: Duration) {
    let now = clock::now();
    let answer = Answer {
        conditions: Conditions {
            cooldown: Some(cooldown),
            ..Conditions::default()
        },
        incarnation,
        rejected: true,
        sent_at: now,
    };
    let mut state = shared.state.borrow_mut();
    if let Some(key) = state.find_incarnation(incarnation) {
        state.record_statement(now, key, &answer);
    }
}

/// Logs that an endpoint leaves; `source` is the instance that got the answer which states it, or that told of it.
pub fn log_leaving(shared: &Shared, incarnation: u32, source: &str) {
    let state = shared.state.borrow();
    let key = state.find_incarnation(incarnation);
    if let Some(endpoint) = key.and_then(|key| state.endpoint(key)) {
        let listing = &endpoint.listing;
        log::info!(
            endpoint = listing.id, service = listing.service, source; "endpoint states that it leaves"
        );
    }
}

fn send(shared: &Shared, peer: &str, cooldowns: Vec<(u32, u32)>, leaving: Vec<u32>) {
    let Some(address) = shared.peers.address(peer) else {
        return;
    };
    let message = Statements {
        cooldowns,
        leaving,
        name: shared.settings.instance.name.clone(),
    };
    let Some(data) = Message::Statements(message).encode(&Trailer::default()) else {
        return;
    };
    let datagrams = shared.peers.datagrams.borrow();
    let Some(datagrams) = datagrams.as_ref() else {
        return;
    };
    if let Err(error) = datagrams.send(address, data) {
        log::trace!(address:%, error:%; "cannot send message");
    }
}
