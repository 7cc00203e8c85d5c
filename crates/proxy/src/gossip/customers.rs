//! Exchange of what customers ask for.

use {
    super::role,
    crate::{
        clock,
        message::{
            Message, Trailer,
            customers::{CustomerRow, Customers, Scope},
        },
        prelude::*,
    },
    forward::{
        aggregate::members::Role,
        fairness::{
            Change, Key,
            rates::{Row, heaviest},
            sums::{self, Report},
            usual::Usual,
        },
    },
    peer::datagram::DatagramSocket,
};

/// Time between two computations of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two messages while a service may soon be short of room.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two messages else; more than one may be lost before a report expires.
const CALM_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of rows in a message, so that it fits into a datagram of 1,100 bytes.
pub const MAX_ROWS: usize = 60;

/// Unit of the encoding of what customers ask for.
const UNITS: f64 = 10_000.0;

/// Minimum time between two lines on the same customer.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Computes shares and sends messages; never returns.
pub async fn run(shared: &Shared, datagrams: &DatagramSocket) {
    let mut send_at = clock::now();
    let mut logged = Vec::new();
    loop {
        sleep(UPDATE_INTERVAL).await;
        if !shared.state.borrow().shares_room() {
            continue;
        }
        let now = clock::now();
        let changes = shared.state.borrow_mut().update_shares(now);
        log_changes(shared, now, &changes, &mut logged);
        if now < send_at {
            continue;
        }
        let is_busy = shared.state.borrow().shares.is_busy();
        let interval = if is_busy {
            BUSY_INTERVAL
        } else {
            CALM_INTERVAL
        };
        send_at = now.after(interval);

        send_all(shared, datagrams, now);
    }
}

/// Logs customers that are held back or free again.
fn log_changes(shared: &Shared, now: Time, changes: &[Change], logged: &mut Vec<(Key, Time)>) {
    logged.retain(|(_, at)| now.since(*at) < LOG_INTERVAL);
    for change in changes {
        if logged.iter().any(|(key, _)| *key == change.key) {
            continue;
        }
        logged.push((change.key, now));
        let state = shared.state.borrow();
        let config = state.config();
        let customer = config.and_then(|config| config.customer_by_digest(change.key.customer));
        let service = config.and_then(|config| config.service_by_digest(change.key.service));
        log::info!(
            customer = customer.unwrap_or_default(), service = service.unwrap_or_default(),
            admitted = change.admitted; "share of customer changed"
        );
    }
}

/// Sends the own rows to peers, and those of the failure domain to other domains.
fn send_all(shared: &Shared, datagrams: &DatagramSocket, now: Time) {
    let role = role(shared);
    let own = shared.state.borrow_mut().shares.own(now);
    let rows = heaviest(&own, MAX_ROWS);
    let number = now.micros();
    if role == Role::Member {
        let mut state = shared.state.borrow_mut();
        state.shares.sums.record_report(number, rows.clone());
    }
    let domain = &shared.settings.instance.domain;
    let (sum, members) = shared.state.borrow().shares.sums.domain(now, domain, &own);
    let sum = heaviest(&sum, MAX_ROWS);
    for link in shared.links() {
        let name = shared.state.borrow().members.name(link.key).to_string();
        if link.same_domain || role == Role::Equal {
            let wanted = role == Role::Member && shared.held_version(&name, now).is_some();
            let scope = Scope::Instance(wanted);
            send(shared, datagrams, &name, (scope, 1), &rows, number);
        } else {
            send(
                shared,
                datagrams,
                &name,
                (Scope::Domain, members),
                &sum,
                number,
            );
        }
    }
}

/// Sends rows to a peer.
fn send(
    shared: &Shared,
    datagrams: &DatagramSocket,
    name: &str,
    (scope, members): (Scope, u32),
    rows: &[Row],
    number: u64,
) {
    let Some(address) = shared.peers.address(name) else {
        return;
    };
    let state = shared.state.borrow();
    let usual = state.shares.usual();
    let message = Customers {
        incarnation: shared.incarnation,
        members,
        name: shared.settings.instance.name.clone(),
        number,
        scope,
        services: encode(rows, usual),
    };
    let Some(data) = Message::Customers(message).encode(&Trailer::default()) else {
        return;
    };
    if let Err(error) = datagrams.send(address, data) {
        log::trace!(address:%, error:%; "cannot send message");
    }
}

/// Takes a message of a peer, and answers a member that wants it.
pub fn receive(shared: &Shared, datagrams: &DatagramSocket, message: &Customers) {
    let now = clock::now();
    let role = role(shared);
    let mut state = shared.state.borrow_mut();
    if !state.shares_room() {
        return;
    }
    let domain = state.members.domain(&message.name).map(ToString::to_string);
    let (Some(domain), Some(rank)) = (domain, state.members.rank(&message.name)) else {
        return;
    };
    let is_own_domain = domain == shared.settings.instance.domain;
    let scope = match message.scope {
        Scope::All(incarnation, number) if incarnation == shared.incarnation => {
            sums::Scope::All(number)
        }
        Scope::Domain if !is_own_domain => sums::Scope::Domain,
        Scope::Instance(_) if is_own_domain || role == Role::Equal => sums::Scope::Instance,
        Scope::All(..) | Scope::Domain | Scope::Instance(_) => return,
    };
    let (rows, usual) = decode(&message.services);
    state.shares.adopt_usual(&usual);
    let report = Report {
        members: message.members,
        number: message.number,
        rank,
        rows,
        scope,
    };
    state
        .shares
        .sums
        .update(now, &domain, &message.name, report);
    if message.scope == Scope::Instance(true) && role == Role::Aggregator {
        let own = state.shares.own(now);
        let (whole, members) = state.shares.sums.whole(now, &own);
        drop(state);
        let scope = Scope::All(message.incarnation, message.number);
        let rows = heaviest(&whole, MAX_ROWS);
        let name = &message.name;
        send(
            shared,
            datagrams,
            name,
            (scope, members),
            &rows,
            now.micros(),
        );
    }
}

fn encode(rows: &[Row], usual: &Usual) -> Vec<(u32, u32, Vec<CustomerRow>)> {
    let services = rows.chunk_by(|one, other| one.key.service == other.key.service);
    let services = services.map(|rows| {
        let encoded = rows.iter().map(|row| {
            let usual = units(usual.of(row.key));
            (row.key.customer, units(row.offered), row.requests, usual)
        });
        let service = rows[0].key.service;
        let observed = usual.observed(service).as_millis();
        let observed = u32::try_from(observed).unwrap_or(u32::MAX);
        (service, observed, encoded.collect())
    });
    services.collect()
}

fn decode(services: &[(u32, u32, Vec<CustomerRow>)]) -> (Vec<Row>, Usual) {
    let mut rows = Vec::new();
    let (mut observed, mut usuals) = (Vec::new(), Vec::new());
    for (service, millis, encoded) in services {
        observed.push((*service, Duration::from_millis(u64::from(*millis))));
        for (customer, offered, requests, usual) in encoded {
            let key = Key {
                customer: *customer,
                service: *service,
            };
            rows.push(Row {
                key,
                offered: f64::from(*offered) / UNITS,
                requests: *requests,
            });
            usuals.push((key, f64::from(*usual) / UNITS));
        }
    }
    rows.sort_unstable_by_key(|row| row.key);
    (rows, Usual::new(observed, usuals))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast saturates, and demand is not negative"
)]
fn units(amount: f64) -> u32 {
    (amount * UNITS).round() as u32
}
