//! Gossip between instances: load, watermarks, and records read from the store.
//!
//! * [`registration`]: the instance's entry in the store;
//! * [`connections`]: connections to peers;
//! * [`report`]: sending reports, sums and answers;
//! * [`customers`]: exchanging what customers ask for;
//! * [`limits`]: limits that endpoints name, and asks for requests to them;
//! * [`statements`]: what endpoints have stated of themselves;
//! * [`receive`]: handling messages of peers;
//! * [`paces`]: what engines do;
//! * [`records`]: relaying records of the store, with [`history`] for those that are retained.
//!
//! [`forward::aggregate`] decides who sends what to whom.

pub mod connections;
pub mod customers;
pub mod history;
pub mod limits;
pub mod paces;
pub mod receive;
pub mod records;
pub mod registration;
pub mod report;
pub mod statements;

use {
    crate::{prelude::*, tunnel},
    forward::aggregate::members::Role,
    peer::{
        datagram::DatagramSocket,
        pinned::{self, Identity, Pins},
    },
    platform::instance::Entry,
    tokio::sync::mpsc,
};

/// Capacity of the queue of received messages.
const RECEIVE_QUEUE_LENGTH: usize = 256;

/// Publishes this instance, and exchanges messages with peers; returns only if that cannot be
/// set up.
pub async fn run(shared: Rc<Shared>) {
    let (received, messages) = mpsc::channel(RECEIVE_QUEUE_LENGTH);
    let (tunnels, requested) = mpsc::channel(RECEIVE_QUEUE_LENGTH);
    let pins = Pins::default();
    let instance = &shared.settings.instance;
    let started = Identity::new().and_then(|identity| {
        let configs = pinned::configs(&identity, &pins)?;
        let datagrams = DatagramSocket::listen(instance.fellows, configs, received, tunnels)?;
        let address = datagrams.address()?;
        Ok((identity, datagrams, address))
    });
    let (identity, datagrams, address) = match started {
        Ok(started) => started,
        Err(error) => {
            log::error!(error:%; "cannot exchange messages with peer instances");
            return;
        }
    };
    let entry = Entry {
        address,
        domain: instance.domain.clone(),
        fingerprint: identity.fingerprint,
        processor: instance.processor_thousandths(),
    };
    shared.peers.datagrams.replace(Some(datagrams.clone()));
    tokio::join!(
        registration::keep_published(&shared, &entry),
        registration::drop_dead_entries(&shared),
        connections::maintain(&shared, &datagrams, &pins, address),
        paces::run(&shared, &datagrams),
        report::run(&shared, &datagrams),
        customers::run(&shared, &datagrams),
        limits::run(&shared),
        statements::run(&shared),
        receive::run(&shared, &datagrams, messages),
        tunnel::serve(&shared, requested),
    );
}

/// Role of this instance in the gossip.
#[must_use]
pub fn role(shared: &Shared) -> Role {
    let state = shared.state.borrow();
    state.members.role(&shared.settings.instance.name)
}

/// Names of the peers that hear what endpoints state from this instance.
fn listeners(shared: &Shared, now: Time) -> Vec<String> {
    let links = shared.links();
    let state = shared.state.borrow();
    let names = links
        .iter()
        .map(|link| state.members.name(link.key).to_string());
    let mut names = names.collect::<Vec<_>>();
    drop(state);
    if role(shared) == Role::Aggregator {
        names.extend(shared.peers.subscribers(now));
    }
    names.sort_unstable();
    names.dedup();
    names
}
