//! Connections to peers.

use {
    super::role,
    crate::{clock, prelude::*},
    forward::aggregate::members::Role,
    peer::{
        datagram::{DatagramSocket, Initiator},
        pinned::Pins,
    },
};

/// Interval at which missing connections are opened.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(700);

/// Rounds after which an instance opens a connection that the peer should have opened: both
/// may disagree temporarily about who connects to whom.
const PEER_OPEN_ROUNDS: u32 = 2;

/// Maintains connections to the peers to which this instance sends. Where both send to each
/// other, the one with the lower address opens the connection.
pub async fn maintain(shared: &Shared, datagrams: &DatagramSocket, pins: &Pins, own: SocketAddr) {
    let mut missing = Vec::<(SocketAddr, u32)>::new();
    loop {
        pins.set(shared.peers.fingerprints());
        skip_unresponsive(shared, datagrams);
        let role = role(shared);
        let listed = shared.peers.addresses(&shared.settings.instance.name);
        let wanted = wanted(shared);
        datagrams.retain(|address, initiator| {
            let accepted = initiator == Initiator::Remote || role == Role::Equal;
            listed.binary_search(&address).is_ok()
                && (accepted || wanted.iter().any(|(other, _)| *other == address))
        });
        let closed = wanted
            .iter()
            .filter(|(address, _)| !datagrams.is_open(*address));
        let closed = closed.copied().collect::<Vec<_>>();
        missing.retain(|(address, _)| closed.iter().any(|(other, _)| other == address));
        for (address, mutual) in closed {
            let known = missing.iter().position(|(other, _)| *other == address);
            let index = known.unwrap_or_else(|| {
                missing.push((address, 0));
                missing.len() - 1
            });
            let rounds = missing[index].1;
            missing[index].1 += 1;
            let is_equal = role == Role::Equal;
            let opens = !mutual || own < address || (!is_equal && rounds >= PEER_OPEN_ROUNDS);
            if opens {
                open(datagrams, address);
            }
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// Skips peers that do not answer, and closes their connections: if one has been restarted at
/// its address, data on the old connection is lost until it times out.
pub fn skip_unresponsive(shared: &Shared, datagrams: &DatagramSocket) {
    let now = clock::now();
    let mut state = shared.state.borrow_mut();
    let silent = state.members.skip_unresponsive(now);
    for key in silent {
        let name = state.members.name(key);
        log::info!(fellow = name; "peer instance does not answer; skipped");
        if let Some(address) = shared.peers.address(name) {
            datagrams.close(address);
        }
    }
}

/// Addresses of the peers to which this instance sends, and whether they send to it.
fn wanted(shared: &Shared) -> Vec<(SocketAddr, bool)> {
    let state = shared.state.borrow();
    let own = &shared.settings.instance.name;
    let links = state.members.links(own, clock::now()).into_iter();
    let wanted = links.filter_map(|link| {
        let address = shared.peers.address(state.members.name(link.key))?;
        Some((address, link.mutual))
    });
    wanted.collect()
}

fn open(datagrams: &DatagramSocket, address: SocketAddr) {
    let datagrams = datagrams.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = datagrams.connect(address).await {
            log::debug!(address:%, error:%; "cannot reach peer instance");
        }
    });
}
