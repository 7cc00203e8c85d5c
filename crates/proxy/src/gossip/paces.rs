//! Exchange of what engines do, as observed in streams.
//!
//! Each instance tells what it has observed since its last message; an aggregator adds up its failure domain, tells it to
//! the other domains, and answers its members with what it knows. Only ratios of the sums count, which a message that is
//! lost or counted twice hardly changes, so nothing is confirmed.

use {
    super::role,
    crate::{
        clock,
        message::{Message, Paces, Scope, ServicePaces, Trailer},
        prelude::*,
    },
    forward::{
        aggregate::members::Role,
        feature::Feature,
        profile::{News, Shape},
    },
    peer::datagram::DatagramSocket,
};

/// Time between two messages of an instance.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for which members are told the same. Those that ask within it hear of the rest in turn.
const KNOWN_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of engines in a message, so that it fits into a datagram.
const MAX_ROWS: usize = 56;

/// Maximum number of services in a message.
const MAX_SERVICES: usize = 4;

/// Sends observations; never returns.
pub async fn run(shared: &Shared, datagrams: &DatagramSocket) {
    loop {
        sleep(INTERVAL).await;
        if shared
            .state
            .borrow()
            .settings()
            .features
            .has(Feature::EngineProfiles)
        {
            tell(shared, datagrams);
        }
    }
}

fn tell(shared: &Shared, datagrams: &DatagramSocket) {
    let role = role(shared);
    let (own, domain) = shared.state.borrow_mut().profiles.take_news(MAX_ROWS);
    for link in shared.links() {
        let scope = match role {
            Role::Aggregator if !link.same_domain => Scope::Domain,
            Role::Member if !link.same_domain => continue,
            Role::Aggregator | Role::Equal | Role::Member => Scope::Instance,
        };
        let news = if scope == Scope::Domain {
            &domain
        } else {
            &own
        };
        let name = shared.state.borrow().members.name(link.key).to_string();
        send(shared, datagrams, &name, scope, news);
    }
}

fn send(shared: &Shared, datagrams: &DatagramSocket, to: &str, scope: Scope, news: &News) {
    let Some(address) = shared.peers.address(to) else {
        return;
    };
    let paces = Paces {
        name: shared.settings.instance.name.clone(),
        scope,
        services: services(news),
    };
    let Some(data) = Message::Paces(paces).encode(&Trailer::default()) else {
        return;
    };
    if let Err(error) = datagrams.send(address, data) {
        log::trace!(address:%, error:%; "cannot send paces");
    }
}

/// Groups observations by service.
fn services(news: &News) -> Vec<ServicePaces> {
    let mut services = Vec::new();
    for (service, shape) in news.shapes() {
        services.push(ServicePaces::new(*service, shape));
    }
    for row in news.rows() {
        let mut known = services.iter();
        let known = known.position(|other: &ServicePaces| other.service == row.service);
        let index = known.unwrap_or_else(|| {
            services.push(ServicePaces::new(row.service, &Shape::default()));
            services.len() - 1
        });
        services[index].add(*row);
    }
    services.truncate(MAX_SERVICES);
    services
}

/// What members are told; the same for all that ask within [`KNOWN_INTERVAL`].
fn known(shared: &Shared, now: Time) -> News {
    let (told_at, known) = shared.known_paces.borrow().clone();
    if now.since(told_at) < KNOWN_INTERVAL && told_at != Time::default() {
        return known;
    }
    let known = shared.state.borrow_mut().profiles.take_known(now, MAX_ROWS);
    shared.known_paces.replace((now, known.clone()));
    known
}

/// Handles a message of a peer.
pub fn receive(shared: &Shared, datagrams: &DatagramSocket, paces: &Paces) {
    let now = clock::now();
    let is_own_domain = shared.in_own_domain(&paces.name);
    let role = role(shared);
    let mut state = shared.state.borrow_mut();
    if !state.settings().features.has(Feature::EngineProfiles) {
        return;
    }
    let news = paces.news();
    match (paces.scope, role) {
        (Scope::Known, Role::Member) => state.profiles.learn_all(now, &news),
        (Scope::Instance, Role::Aggregator) if is_own_domain => {
            state.profiles.add_all(now, &news);
            state.profiles.note_domain(&news);
            drop(state);
            let known = known(shared, now);
            send(shared, datagrams, &paces.name, Scope::Known, &known);
        }
        (Scope::Instance, Role::Equal) => state.profiles.add_all(now, &news),
        (Scope::Domain, Role::Aggregator) if !is_own_domain => {
            state.profiles.add_all(now, &news);
        }
        _ => {}
    }
}
