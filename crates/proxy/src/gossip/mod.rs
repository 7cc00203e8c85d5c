//! Words between instances: load, the age of knowledge, and records that were read.
//!
//! * [`entry`]: how an instance makes itself known in the store;
//! * [`connections`]: to whom it keeps connections;
//! * [`report`]: what it says, and how often;
//! * [`receive`]: what it takes from the words of others;
//! * [`records`]: how records of the store travel, and [`history`], what is kept of them.
//!
//! Who says what to whom is decided in [`forward::aggregate`].

pub mod connections;
pub mod history;
pub mod receive;
pub mod records;
pub mod registration;
pub mod report;

use {
    crate::prelude::*,
    forward::aggregate::members::Role,
    peer::{
        datagram::DatagramSocket,
        pinned::{self, Identity, Pins},
    },
    platform::instance::Entry,
    tokio::sync::mpsc,
};

/// Datagrams that wait to be read.
const RECEIVE_QUEUE_LENGTH: usize = 256;

/// Publishes this instance, then tells fellows of its load and hears of theirs, for ever.
pub async fn run(shared: Rc<Shared>) {
    let (received, messages) = mpsc::channel(RECEIVE_QUEUE_LENGTH);
    let pins = Pins::default();
    let instance = &shared.settings.instance;
    let started = Identity::new().and_then(|identity| {
        let configs = pinned::configs(&identity, &pins)?;
        let datagrams = DatagramSocket::listen(instance.fellows, configs, received)?;
        let address = datagrams.address()?;
        Ok((identity, datagrams, address))
    });
    let (identity, datagrams, address) = match started {
        Ok(started) => started,
        Err(error) => {
            log::error!(error:%; "no exchange with fellow instances");
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
        report::run(&shared, &datagrams),
        receive::run(&shared, &datagrams, messages),
    );
}

/// Part of this instance in what instances tell each other.
#[must_use]
pub fn role(shared: &Shared) -> Role {
    let state = shared.state.borrow();
    state.members.role(&shared.settings.instance.name)
}
