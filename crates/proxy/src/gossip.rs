//! Reports of load between instances.

use {
    crate::{clock, follow, prelude::*, settings::Instance, topic},
    fellow::{
        datagram::Datagrams,
        pinned::{self, Fingerprint, Identity, Pins},
    },
    forward::{
        endpoint::Load,
        load::digest,
        reader::{Readers, TOPICS, Word, is_many},
    },
    platform::{
        instance::{self, Entry},
        store::{Keyed, Topic},
    },
    serde::{Deserialize, Serialize},
    tokio::sync::mpsc,
};

/// Shortest pause between two reports. A request is placed on what the others reported
/// last, so it is a few times shorter than the time between two arrivals at a quiet hour.
const SHORTEST: Duration = Duration::from_millis(25);

/// The same where there are many fellows, each of whom has a fraction of the load.
const SHORTEST_OF_MANY: Duration = Duration::from_millis(120);

/// Where there are many fellows, those in other failure domains hear of each change of the
/// load, and besides one report in so many; a report lives for two seconds.
const FAR_ROUNDS: usize = 5;

/// Longest pause between two reports. What a report says of knowledge is proved by the
/// number that it echoes, so two pauses add to the age of knowledge.
const LONGEST: Duration = Duration::from_millis(250);

/// Pause before a fellow that could not be reached is tried again.
const RECONNECT: Duration = Duration::from_millis(700);

/// Pause before the own entry is written again after a failed call.
const PUBLISH_RETRY: Duration = Duration::from_millis(400);

/// How often entries of silent instances are looked for.
const LOOK_FOR_DEAD: Duration = Duration::from_secs(20);

/// Endpoints in one report, the busiest first, so that it fits into a datagram.
const MOST_ENDPOINTS: usize = 90;

/// Effort of packing records, 0 to 10. The least that finds repetitions makes a fifth of a
/// configuration; more effort takes longer than it saves on the link.
const PACKING: u8 = 1;

/// Most bytes of a batch of records once unpacked; a read brings a megabyte at most.
const MOST_UNPACKED: usize = 4 << 20;

/// Datagrams that wait to be read.
const MOST_HEARD: usize = 256;

/// What instances say to each other.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    /// A [`Batch`], packed. A configuration of twenty kilobytes to 28 fellows held a link
    /// of 10 Mbit/s for half a second, in which events of streams came late to callers.
    Records(Vec<u8>),
    Report(Report),
}

/// Digest of the endpoint's id, then tokens, tokens of copies among them, tokens being
/// read, requests.
type Row = (u32, u32, u32, u32, u32);

/// Age in milliseconds, if anything is known, and position.
type RawWord = (Option<u32>, u64);

/// What an instance has in progress and knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Report {
    /// The last number heard from the instance that this is sent to. What is said here
    /// was true after that number was given out, however long this message is on its way.
    echo: u64,
    loads: Vec<Row>,
    name: String,
    /// Time of the sender's clock in microseconds; orders its reports.
    number: u64,
    words: [RawWord; TOPICS],
}

/// Records of a topic, in order.
#[derive(Debug, Deserialize, Serialize)]
struct Batch {
    from: u64,
    records: Vec<RawRecord>,
    /// Place in [`topic::ALL`].
    topic: u8,
}

/// A record as it stands in the store.
#[derive(Debug, Deserialize, Serialize)]
struct RawRecord {
    key: String,
    offset: u64,
    value: Option<Vec<u8>>,
}

/// A fellow, as it published itself.
#[derive(Clone, Debug, PartialEq)]
struct Fellow {
    entry: Entry,
    /// When its entry was read.
    listed: Time,
    name: String,
}

/// Another instance, as seen from the own one.
struct Other {
    address: SocketAddr,
    /// Number to be echoed to it.
    echo: u64,
    /// Whether it stands in the own failure domain.
    near: bool,
}

/// Fellows that are known.
#[derive(Debug, Default)]
pub struct Fellows {
    datagrams: RefCell<Option<Datagrams>>,
    /// Number of the last report of each fellow, sorted by name.
    echoes: RefCell<Vec<(String, u64)>>,
    /// Sorted by name.
    known: RefCell<Vec<Fellow>>,
}

impl Fellows {
    /// Takes a record of an instance in.
    pub fn hear(&self, name: &str, entry: Option<Entry>) {
        let mut fellows = self.known.borrow_mut();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        match (place, entry) {
            (Ok(place), Some(entry)) => {
                fellows[place].entry = entry;
                fellows[place].listed = clock::now();
            }
            (Ok(place), None) => {
                fellows.remove(place);
            }
            (Err(place), Some(entry)) => {
                let name = name.to_string();
                let listed = clock::now();
                fellows.insert(
                    place,
                    Fellow {
                        entry,
                        listed,
                        name,
                    },
                );
            }
            (Err(_), None) => {}
        }
    }

    fn fingerprints(&self) -> Vec<Fingerprint> {
        let fellows = self.known.borrow();
        fellows
            .iter()
            .map(|fellow| fellow.entry.fingerprint)
            .collect()
    }

    /// Instances that have published themselves, this one included.
    #[must_use]
    pub fn published(&self) -> usize {
        self.known.borrow().len()
    }

    /// The other instances, as seen from the own one.
    fn others(&self, own: &Instance) -> Vec<Other> {
        let fellows = self.known.borrow();
        let others = fellows.iter().filter(|fellow| fellow.name != own.name);
        others
            .map(|fellow| Other {
                address: fellow.entry.address,
                echo: self.echo(&fellow.name),
                near: fellow.entry.domain == own.domain,
            })
            .collect()
    }

    /// Fellows whose entries are to be dropped.
    fn dead(&self, readers: &Readers, own: &str, now: Time) -> Vec<String> {
        let fellows = self.known.borrow();
        let dead = fellows
            .iter()
            .filter(|fellow| fellow.name != own)
            .filter(|fellow| readers.is_dead(&fellow.name, fellow.listed, now));
        dead.map(|fellow| fellow.name.clone()).collect()
    }

    /// Whether a fellow stands in a failure domain.
    fn is_in(&self, name: &str, domain: &str) -> bool {
        let fellows = self.known.borrow();
        let place = fellows.binary_search_by(|fellow| fellow.name.as_str().cmp(name));
        place.is_ok_and(|place| fellows[place].entry.domain == domain)
    }

    fn echo(&self, name: &str) -> u64 {
        let echoes = self.echoes.borrow();
        let place = echoes.binary_search_by(|(other, _)| other.as_str().cmp(name));
        place.map_or(0, |place| echoes[place].1)
    }

    fn note(&self, name: &str, number: u64) {
        let mut echoes = self.echoes.borrow_mut();
        match echoes.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(place) => echoes[place].1 = number,
            Err(place) => echoes.insert(place, (name.to_string(), number)),
        }
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
        domain: shared.settings.instance.domain.clone(),
        fingerprint: identity.fingerprint,
    };
    shared.fellows.datagrams.replace(Some(datagrams.clone()));
    tokio::join!(
        keep_published(&shared, &entry),
        drop_dead(&shared),
        connect(&shared, &datagrams, &pins, address),
        tell(&shared, &datagrams),
        hear(&shared, reports),
    );
}

/// Publishes this instance, and again whenever its entry was dropped.
async fn keep_published(shared: &Shared, entry: &Entry) {
    loop {
        publish(shared, entry).await;
        shared.republish.notified().await;
    }
}

/// Drops entries of instances that have been silent for long, if this instance is the one
/// that reads the list of instances.
async fn drop_dead(shared: &Shared) {
    let own = &shared.settings.instance.name;
    loop {
        sleep(LOOK_FOR_DEAD).await;
        let now = clock::now();
        let known = follow::own(shared, Topic::Instances);
        if !shared.readers.borrow().reads(known, now) {
            continue;
        }
        let dead = shared.fellows.dead(&shared.readers.borrow(), own, now);
        for name in dead {
            let put = shared.store.put(Topic::Instances, &name, b"");
            match put.await {
                Ok(()) => log::info!(fellow = name; "entry of a silent instance dropped"),
                Err(error) => log::warn!(fellow = name, error:%; "entry not dropped"),
            }
        }
    }
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

/// Keeps a connection open to each fellow; of two instances, the one with the lower address
/// opens it.
async fn connect(shared: &Shared, datagrams: &Datagrams, pins: &Pins, own: SocketAddr) {
    loop {
        pins.set(shared.fellows.fingerprints());
        let others = shared.fellows.others(&shared.settings.instance);
        let addresses = others.into_iter().map(|other| other.address);
        let addresses = addresses.collect::<Vec<_>>();
        datagrams.retain(&addresses);
        for address in addresses.into_iter().filter(|address| *address > own) {
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

/// Reports load and knowledge whenever the load has changed, and from time to time.
async fn tell(shared: &Shared, datagrams: &Datagrams) {
    let mut round = 0_usize;
    let mut pause = SHORTEST;
    loop {
        let changed = timeout(LONGEST.saturating_sub(pause), shared.load.notified()).await;
        let mut report = report(shared);
        let others = shared.fellows.others(&shared.settings.instance);
        let many = is_many(others.len());
        round = round.wrapping_add(1);
        for (place, other) in others.iter().enumerate() {
            let told = other.near || changed.is_ok() || (round + place).is_multiple_of(FAR_ROUNDS);
            if many && !told {
                continue;
            }
            report.echo = other.echo;
            let address = other.address;
            let Some(data) = encode(&Message::Report(report.clone())) else {
                continue;
            };
            if let Err(error) = datagrams.send(address, data) {
                log::trace!(address:%, error:%; "report not sent");
            }
        }
        pause = if many { SHORTEST_OF_MANY } else { SHORTEST };
        sleep(pause).await;
    }
}

fn report(shared: &Shared) -> Report {
    let mut loads = shared.state.borrow().report();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    loads.truncate(MOST_ENDPOINTS);
    let rows = loads.into_iter();
    let words = topic::ALL.map(|topic| {
        let word = shared.topic(topic).word();
        let age = word
            .age
            .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        (age, word.position)
    });
    Report {
        echo: 0,
        loads: rows
            .map(|(id, load)| {
                let Load {
                    copies,
                    reading,
                    requests,
                    tokens,
                } = load;
                (digest(&id), tokens, copies, reading, requests)
            })
            .collect(),
        name: shared.settings.instance.name.clone(),
        number: clock::now().micros(),
        words,
    }
}

fn encode(message: &Message) -> Option<Bytes> {
    match postcard::to_stdvec(message) {
        Ok(data) => Some(data.into()),
        Err(error) => {
            log::error!(error:%; "message to fellow instances cannot be encoded");
            None
        }
    }
}

/// Packs records for the way to fellows.
fn pack(batch: &Batch) -> Vec<u8> {
    let data = postcard::to_stdvec(batch).unwrap_or_else(|error| {
        log::error!(error:%; "records cannot be encoded");
        Vec::new()
    });
    miniz_oxide::deflate::compress_to_vec(&data, PACKING)
}

/// Reads records that a fellow packed.
fn unpack(data: &[u8]) -> Result<Batch, String> {
    let data = miniz_oxide::inflate::decompress_to_vec_with_limit(data, MOST_UNPACKED);
    let data = data.map_err(|error| error.to_string())?;
    postcard::from_bytes(&data).map_err(|error| error.to_string())
}

/// Passes records on to all fellows, right after they were read.
pub fn pass_on(shared: &Shared, topic: Topic, from: u64, records: &[Keyed]) {
    let records = records.iter().map(|record| RawRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.as_ref().map(|value| value.to_vec()),
    });
    let batch = Batch {
        from,
        records: records.collect(),
        topic: u8::try_from(topic::index(topic)).unwrap_or(u8::MAX),
    };
    let datagrams = shared.fellows.datagrams.borrow();
    let (Some(datagrams), Some(data)) = (&*datagrams, encode(&Message::Records(pack(&batch))))
    else {
        return;
    };
    let others = shared.fellows.others(&shared.settings.instance);
    let many = is_many(others.len());
    for other in others.iter().filter(|other| other.near || !many) {
        let address = other.address;
        if let Err(error) = datagrams.send_whole(address, data.clone()) {
            log::trace!(address:%, error:%; "records not passed on");
        }
    }
}

async fn hear(shared: &Shared, mut messages: mpsc::Receiver<Bytes>) {
    while let Some(data) = messages.recv().await {
        match postcard::from_bytes::<Message>(&data) {
            Ok(Message::Records(data)) => match unpack(&data) {
                Ok(batch) => take(shared, batch),
                Err(error) => log::warn!(error:%; "records of a fellow instance cannot be read"),
            },
            Ok(Message::Report(report)) => hear_report(shared, report),
            Err(error) => log::warn!(error:%; "message of a fellow instance cannot be read"),
        }
    }
}

/// Takes records in that a fellow has read.
fn take(shared: &Shared, batch: Batch) {
    let Some(topic) = topic::ALL.get(usize::from(batch.topic)) else {
        log::warn!(topic = batch.topic; "records of an unknown topic");
        return;
    };
    if shared.topic(*topic).position.get().is_none() {
        // Nothing is known yet; the first read brings them.
        return;
    }
    let records = batch.records.into_iter().map(|record| Keyed {
        key: record.key,
        offset: record.offset,
        value: record.value.map(Bytes::from),
    });
    let records = records.collect::<Vec<_>>();
    let known = shared.topic(*topic).position.get();
    let reached = follow::take(shared, *topic, batch.from, &records);
    log::info!(
        topic:? = topic, from = batch.from, records = records.len(), known:?, reached;
        "records of a fellow"
    );
}

fn hear_report(shared: &Shared, report: Report) {
    let now = clock::now();
    shared.fellows.note(&report.name, report.number);
    let row = |(digest, tokens, copies, reading, requests)| {
        let load = Load {
            copies,
            reading,
            requests,
            tokens,
        };
        (digest, load)
    };
    let loads = report.loads.into_iter().map(row).collect();
    let mut state = shared.state.borrow_mut();
    state.fellows.hear(&report.name, now, report.number, loads);
    drop(state);
    let words = report.words.map(|(age, position)| Word {
        age: age.map(|age| Duration::from_millis(u64::from(age))),
        position,
    });
    let domain = &shared.settings.instance.domain;
    let near = shared.fellows.is_in(&report.name, domain);
    shared
        .readers
        .borrow_mut()
        .hear(&report.name, now, near, words);
    if report.echo == 0 {
        return;
    }
    let echo = Time::from_micros(report.echo);
    for (topic, word) in topic::ALL.into_iter().zip(words) {
        let known = shared.topic(topic).position.get();
        if let Some(asked) = known.and_then(|position| word.proves(echo, position)) {
            follow::prove(shared, topic, asked);
        }
    }
}
