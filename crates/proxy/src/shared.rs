//! What all tasks of an instance share; they run on one thread.

use {
    crate::{
        clock,
        exchange::Original,
        fellows::Fellows,
        meters::Meters,
        prelude::*,
        settings::Settings,
        topic::{self, Progress},
    },
    endpoint::Client,
    forward::{
        State,
        reader::{Readers, TOPICS},
        request::Ticket,
        state::Place,
    },
    platform::{Store, store::Topic},
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng},
    tokio::sync::Notify,
};

/// How long a connection may take to open. The way to an endpoint takes milliseconds; one
/// without power does not answer at all.
const CONNECT: Duration = Duration::from_millis(250);

/// What all tasks of an instance share.
#[derive(Debug)]
pub struct Shared {
    /// Connections to endpoints and the store.
    pub client: Client,
    /// Whether the instance was told to stop.
    pub draining: Cell<bool>,
    /// Other instances.
    pub fellows: Fellows,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Sets this life of the instance apart from earlier ones; never zero.
    pub life: u64,
    /// Signalled when the load of this instance has changed.
    pub load: Notify,
    /// Counters and histograms.
    pub meters: Meters,
    /// What fellows say of their knowledge.
    pub readers: RefCell<Readers>,
    /// Signalled when this instance has to publish itself again.
    pub republish: Notify,
    /// Signalled when an endpoint may have room again.
    pub room: Notify,
    /// Settings at the start.
    pub settings: Settings,
    /// What the instance knows.
    pub state: RefCell<State>,
    /// Signalled when idle connections are to be closed.
    pub stop: Notify,
    /// Client of the store.
    pub store: Store,
    /// How far each topic of the store is known.
    topics: [Progress; TOPICS],
}

impl Shared {
    /// Sets everything up.
    ///
    /// # Errors
    ///
    /// The metrics cannot be set up.
    pub fn new(settings: Settings) -> Result<Rc<Self>, Error> {
        let client = Client::new(CONNECT);
        let random = SmallRng::from_rng(&mut rand::rng());
        Ok(Rc::new(Self {
            draining: Cell::new(false),
            fellows: Fellows::default(),
            in_progress: Cell::new(0),
            life: rand::rng().random_range(1..=u64::MAX),
            load: Notify::new(),
            meters: Meters::new()?,
            readers: RefCell::default(),
            republish: Notify::new(),
            room: Notify::new(),
            state: RefCell::new(State::new(settings.decisions(), random)),
            stop: Notify::new(),
            store: Store::new(settings.store.address.to_string(), client.clone()),
            topics: Default::default(),
            client,
            settings,
        }))
    }

    /// How far a topic is known.
    #[must_use]
    pub const fn topic(&self, topic: Topic) -> &Progress {
        &self.topics[topic::index(topic)]
    }

    /// Address and id of an endpoint.
    #[must_use]
    pub fn target(&self, key: EndpointKey) -> Option<(SocketAddr, String)> {
        let state = self.state.borrow();
        let listing = &state.endpoint(key)?.listing;
        Some((listing.address, listing.id.clone()))
    }

    /// Notes that an endpoint could not be reached.
    pub fn unreachable(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.unreachable(clock::now());
        }
    }
}

/// A place in the queue, left when it is dropped.
#[derive(Debug)]
pub struct Waiting {
    place: Place,
    shared: Rc<Shared>,
}

impl Waiting {
    /// Takes a place.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, ticket: &forward::request::Ticket) -> Self {
        let place = shared.state.borrow_mut().enqueue(ticket);
        Self {
            place,
            shared: Rc::clone(shared),
        }
    }

    /// Whether another request comes first.
    #[must_use]
    pub fn passed_over(&self) -> bool {
        self.shared.state.borrow().passed_over(&self.place)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().dequeue(&self.place);
        self.shared.room.notify_waiters();
    }
}

/// A plain request at an endpoint, counted until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    key: EndpointKey,
    shared: Rc<Shared>,
}

impl InFlight {
    /// Counts a request.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, key: EndpointKey) -> Self {
        if let Some(endpoint) = shared.state.borrow_mut().endpoint_mut(key) {
            endpoint.in_flight += 1;
        }
        Self {
            key,
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(endpoint) = self.shared.state.borrow_mut().endpoint_mut(self.key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
        self.shared.room.notify_waiters();
    }
}

/// A generation in progress, forgotten when it is dropped.
#[derive(Debug)]
pub struct Running {
    /// Key of the generation.
    pub key: RunKey,
    shared: Rc<Shared>,
}

impl Running {
    /// Notes a generation.
    #[must_use]
    pub fn new(shared: &Rc<Shared>, run: forward::prelude::Run) -> Self {
        let key = shared.state.borrow_mut().begin(run);
        shared.load.notify_one();
        Self {
            key,
            shared: Rc::clone(shared),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().end(self.key);
        self.shared.load.notify_one();
        self.shared.room.notify_waiters();
    }
}

impl Shared {
    /// An endpoint answered, well or with a failure of its own.
    pub fn answered(&self, key: EndpointKey, failed: bool) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.answered(failed);
        }
    }

    /// Counts a send to a service, for the budget and the metrics.
    pub fn count_send(&self, service: &str, again: bool) {
        let now = clock::now();
        if again {
            self.state.borrow_mut().budget.second(service, now);
        }
        self.meters.sent(again);
    }

    /// Admits a request again right before its send, by what is known then. Returns whether
    /// the service is still the one that an endpoint was chosen for.
    ///
    /// # Errors
    ///
    /// It may not be served any more.
    pub fn readmit(&self, original: &Original, ticket: &mut Ticket) -> Result<bool, Refusal> {
        let mut state = self.state.borrow_mut();
        let renewed = state.readmit(clock::now(), &original.inbound, ticket)?;
        let same = renewed.service == ticket.service;
        *ticket = renewed;
        Ok(same)
    }

    /// A send did not reach its endpoint after all.
    pub fn take_back_send(&self, service: &str, again: bool) {
        if again {
            let now = clock::now();
            self.state.borrow_mut().budget.take_back(service, now);
        }
    }

    /// An endpoint turned a request down unrun.
    pub fn full(&self, key: EndpointKey, status: StatusCode) {
        let now = clock::now();
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            if status == StatusCode::MISDIRECTED_REQUEST {
                endpoint.unreachable(now);
            } else {
                endpoint.full(now);
            }
        }
    }

    /// A request is on its way to an endpoint.
    pub fn sent(&self, key: EndpointKey) {
        if let Some(endpoint) = self.state.borrow_mut().endpoint_mut(key) {
            endpoint.pace.sent(clock::now());
        }
    }
}
