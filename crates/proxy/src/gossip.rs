//! Reports of load between instances.

use {
    crate::{clock, prelude::*},
    fellow::{
        datagram::Datagrams,
        pinned::{self, Fingerprint, Identity, Pins},
    },
    forward::{endpoint::Load, load::digest},
    platform::{
        instance::{self, Entry},
        store::Topic,
    },
    serde::{Deserialize, Serialize},
    tokio::sync::mpsc,
};

/// Shortest pause between two reports. A request is placed on what the others reported
/// last, so it is a few times shorter than the time between two arrivals at a quiet hour.
const SHORTEST: Duration = Duration::from_millis(25);

/// Longest pause between two reports; three fit into the time that a report lives.
const LONGEST: Duration = Duration::from_millis(600);

/// Pause before a fellow that could not be reached is tried again.
const RECONNECT: Duration = Duration::from_millis(700);

/// Pause before the own entry is written again after a failed call.
const PUBLISH_RETRY: Duration = Duration::from_millis(400);

/// Endpoints in one report, the busiest first, so that it fits into a datagram.
const MOST_ENDPOINTS: usize = 90;

/// Datagrams that wait to be read.
const MOST_HEARD: usize = 256;

/// What an instance has in progress.
#[derive(Debug, Deserialize, Serialize)]
struct Report {
    /// Digest of the endpoint's id, then tokens, tokens being read, requests.
    loads: Vec<(u32, u32, u32, u32)>,
    name: String,
    /// Orders the reports of one life of an instance.
    number: u64,
}

/// A fellow, as it published itself.
#[derive(Clone, Debug, PartialEq)]
struct Fellow {
    entry: Entry,
    name: String,
}

/// Fellows that are known, sorted by name.
#[derive(Debug, Default)]
pub struct Fellows(RefCell<Vec<Fellow>>);

impl Fellows {
    /// Takes a record of an instance in.
    pub fn hear(&self, name: &str, entry: Option<Entry>) {
        let mut fellows = self.0.borrow_mut();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        match (place, entry) {
            (Ok(place), Some(entry)) => fellows[place].entry = entry,
            (Ok(place), None) => {
                fellows.remove(place);
            }
            (Err(place), Some(entry)) => {
                let name = name.to_string();
                fellows.insert(place, Fellow { entry, name });
            }
            (Err(_), None) => {}
        }
    }

    fn fingerprints(&self) -> Vec<Fingerprint> {
        let fellows = self.0.borrow();
        fellows
            .iter()
            .map(|fellow| fellow.entry.fingerprint)
            .collect()
    }

    fn addresses(&self, own: &str) -> Vec<SocketAddr> {
        let fellows = self.0.borrow();
        let others = fellows.iter().filter(|fellow| fellow.name != own);
        others.map(|fellow| fellow.entry.address).collect()
    }
}

/// Publishes this instance, then tells fellows of its load and hears of theirs, for ever.
pub async fn run(shared: Rc<Shared>) {
    let (heard, reports) = mpsc::channel(MOST_HEARD);
    let pins = Pins::default();
    let address = shared.settings.instance.fellows;
    let started = Identity::new().and_then(|identity| {
        let configs = pinned::configs(&identity, &pins)?;
        let datagrams = Datagrams::listen(address, configs, heard)?;
        Ok((identity, datagrams))
    });
    let (identity, datagrams) = match started {
        Ok(started) => started,
        Err(error) => {
            log::error!(error:%; "no exchange with fellow instances");
            return;
        }
    };
    let entry = Entry {
        address,
        fingerprint: identity.fingerprint,
    };
    publish(&shared, &entry).await;
    tokio::join!(
        connect(&shared, &datagrams, &pins),
        tell(&shared, &datagrams),
        hear(&shared, reports),
    );
}

async fn publish(shared: &Shared, entry: &Entry) {
    let name = &shared.settings.instance.name;
    let value = instance::encode(entry);
    loop {
        let put = shared.store.put(Topic::Instances, name, value.as_bytes());
        match put.await {
            Ok(()) => {
                shared.meters.store_called("put");
                log::info!(address:% = entry.address; "instance published");
                return;
            }
            // The record may stand all the same; writing it twice changes nothing.
            Err(error) => {
                shared.meters.store_called("failed");
                log::warn!(error:%; "instance not published");
            }
        }
        sleep(PUBLISH_RETRY).await;
    }
}

/// Keeps a connection open to each fellow.
async fn connect(shared: &Shared, datagrams: &Datagrams, pins: &Pins) {
    loop {
        pins.set(shared.fellows.fingerprints());
        let addresses = shared.fellows.addresses(&shared.settings.instance.name);
        datagrams.retain(&addresses);
        for address in addresses {
            let datagrams = datagrams.clone();
            tokio::task::spawn_local(async move {
                if let Err(error) = datagrams.connect(address).await {
                    log::debug!(address:%, error:%; "fellow instance not reached");
                }
            });
        }
        sleep(RECONNECT).await;
    }
}

/// Reports the load whenever it has changed.
async fn tell(shared: &Shared, datagrams: &Datagrams) {
    let mut number = clock::now().micros();
    loop {
        let changed = timeout(LONGEST, shared.load.notified()).await;
        let loads = loads(shared);
        if changed.is_ok() || !loads.is_empty() {
            number += 1;
            send(shared, datagrams, loads, number);
        }
        sleep(SHORTEST).await;
    }
}

fn loads(shared: &Shared) -> Vec<(u32, u32, u32, u32)> {
    let mut loads = shared.state.borrow().report();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    loads.truncate(MOST_ENDPOINTS);
    let rows = loads.into_iter();
    rows.map(|(id, load)| (digest(&id), load.tokens, load.reading, load.requests))
        .collect()
}

fn send(shared: &Shared, datagrams: &Datagrams, loads: Vec<(u32, u32, u32, u32)>, number: u64) {
    let name = shared.settings.instance.name.clone();
    let report = Report {
        loads,
        name,
        number,
    };
    let data = match postcard::to_stdvec(&report) {
        Ok(data) => Bytes::from(data),
        Err(error) => {
            log::error!(error:%; "report cannot be encoded");
            return;
        }
    };
    for address in shared.fellows.addresses(&report.name) {
        if let Err(error) = datagrams.send(address, data.clone()) {
            log::trace!(address:%, error:%; "report not sent");
        }
    }
}

async fn hear(shared: &Shared, mut reports: mpsc::Receiver<Bytes>) {
    while let Some(data) = reports.recv().await {
        let report = match postcard::from_bytes::<Report>(&data) {
            Ok(report) => report,
            Err(error) => {
                log::warn!(error:%; "report of a fellow instance cannot be read");
                continue;
            }
        };
        let row = |(digest, tokens, reading, requests)| {
            let load = Load {
                reading,
                requests,
                tokens,
            };
            (digest, load)
        };
        let loads = report.loads.into_iter().map(row).collect();
        let now = clock::now();
        let mut state = shared.state.borrow_mut();
        state.fellows.hear(&report.name, now, report.number, loads);
    }
}
