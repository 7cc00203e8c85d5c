//! Failure domains of a plain service under load, in steps of a millisecond. Instances choose by the
//! counts of requests as they were some time ago.

use {
    forward::{
        overflow::{Overflow, Side, Sides, Strain},
        prelude::Time,
    },
    rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _},
    std::collections::VecDeque,
};

/// Slots of an endpoint.
pub const SLOTS: u32 = 6;

/// Time that a request takes in its slot.
pub const WORK_MS: u64 = 30;

/// Time within which an answer is not late.
pub const TARGET_MS: u64 = 150;

/// Requests a second that a full endpoint serves.
const ENDPOINT_RATE: f64 = SLOTS as f64 * 1000.0 / WORK_MS as f64;

/// One endpoint.
#[derive(Clone, Debug, Default)]
struct Endpoint {
    /// Ends of the requests in slots, then of those that wait, in order.
    ends_ms: VecDeque<u64>,
}

/// One failure domain.
#[derive(Clone, Debug)]
struct Domain {
    endpoints: Vec<Endpoint>,
    /// Requests a second that arrive there.
    rate: f64,
}

/// What happened to the requests of a failure domain in one span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub sent: u32,
    pub late: u32,
    pub left: u32,
}

impl Count {
    pub fn share_left(self) -> f64 {
        f64::from(self.left) / f64::from(self.sent.max(1))
    }

    pub fn share_late(self) -> f64 {
        f64::from(self.late) / f64::from(self.sent.max(1))
    }
}

/// A service in several failure domains.
#[derive(Debug)]
pub struct Service {
    /// Failure domain that is cut off from the others.
    pub cut: Option<usize>,
    /// Age of the counts by which instances choose.
    pub delay_ms: usize,
    domains: Vec<Domain>,
    /// Counts of requests of all endpoints, the newest last.
    history: VecDeque<Vec<Vec<u32>>>,
    /// Each instance stands in one failure domain.
    instances: Vec<Overflow>,
    now_ms: u64,
    random: SmallRng,
}

impl Service {
    /// `loads`: endpoints of each failure domain, and its demand as a share of their capacity.
    pub fn new(seed: u64, instances: usize, loads: &[(usize, f64)]) -> Self {
        println!("seed {seed}, {instances} instances");
        let instances = 0..instances.next_multiple_of(loads.len());
        let domains = loads.iter().map(|(endpoints, load)| Domain {
            endpoints: vec![Endpoint::default(); *endpoints],
            rate: ENDPOINT_RATE * *endpoints as f64 * load,
        });
        Self {
            cut: None,
            delay_ms: 50,
            domains: domains.collect(),
            history: VecDeque::new(),
            instances: instances.map(|_| Overflow::default()).collect(),
            now_ms: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Changes the number of endpoints of a failure domain; its demand stays.
    pub fn resize(&mut self, domain: usize, endpoints: usize) {
        let domain = &mut self.domains[domain];
        domain.endpoints.resize_with(endpoints, Endpoint::default);
        self.history.clear();
    }

    /// Plays a span; returns what happened to the requests of each failure domain.
    pub fn play(&mut self, span_ms: u64) -> Vec<Count> {
        let mut counts = vec![Count::default(); self.domains.len()];
        for _ in 0..span_ms {
            self.step(&mut counts);
        }
        counts
    }

    fn step(&mut self, counts: &mut [Count]) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for endpoint in self
            .domains
            .iter_mut()
            .flat_map(|domain| &mut domain.endpoints)
        {
            while endpoint.ends_ms.front().is_some_and(|end| *end <= now_ms) {
                endpoint.ends_ms.pop_front();
            }
        }
        let newest = self.domains.iter().map(|domain| {
            let loads = domain
                .endpoints
                .iter()
                .map(|endpoint| endpoint.ends_ms.len() as u32);
            loads.collect()
        });
        self.history.push_back(newest.collect());
        while self.history.len() > self.delay_ms + 1 {
            self.history.pop_front();
        }
        for (home, count) in counts.iter_mut().enumerate() {
            let mut expected = self.domains[home].rate / 1000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    self.send(home, count);
                }
                expected -= 1.0;
            }
        }
    }

    /// Sends a request of a failure domain.
    fn send(&mut self, home: usize, count: &mut Count) {
        let in_domain = self.instances.len().div_ceil(self.domains.len());
        let instance = home * in_domain + self.random.random_range(0..in_domain);
        let is_cut = self.cut == Some(home);
        let is_away = |domain: &usize| *domain != home && !is_cut && self.cut != Some(*domain);
        let away = (0..self.domains.len()).filter(is_away).collect::<Vec<_>>();
        let sides = Sides {
            away: self.strain(&away),
            home: self.strain(&[home]),
        };
        let now = Time::from_micros(self.now_ms * 1000);
        let sides = self.instances[instance].average(now, "plain", "/", sides);
        let side = sides.choose(&mut self.random).expect("home is reachable");
        let chosen = if side == Side::Away {
            &away
        } else {
            &vec![home]
        };
        let (domain, endpoint) = self.pick(chosen);
        let ends = &mut self.domains[domain].endpoints[endpoint].ends_ms;
        let waiting = ends.len().checked_sub(SLOTS as usize);
        let start = waiting.map_or(self.now_ms, |index| ends[index]);
        let end = start + WORK_MS;
        ends.push_back(end);
        count.sent += 1;
        count.left += u32::from(side == Side::Away);
        count.late += u32::from(end - self.now_ms > TARGET_MS);
    }

    /// Strain on the endpoints of failure domains, by the counts that are known.
    fn strain(&self, domains: &[usize]) -> Option<Strain> {
        let counts = self.history.front()?;
        let requests = domains.iter().flat_map(|domain| &counts[*domain]);
        let taken = requests.map(|requests| (*requests).min(SLOTS)).sum();
        let endpoints = domains.iter().map(|domain| counts[*domain].len());
        let slots = endpoints.sum::<usize>() as u32 * SLOTS;
        (slots > 0).then(|| Strain::of_slots(taken, slots))
    }

    /// Any endpoint: which one of a side is not what is tested here.
    fn pick(&mut self, domains: &[usize]) -> (usize, usize) {
        let endpoints = domains.iter().flat_map(|domain| {
            let count = self.domains[*domain].endpoints.len();
            (0..count).map(|endpoint| (*domain, endpoint))
        });
        let endpoints = endpoints.collect::<Vec<_>>();
        let chosen = endpoints.choose(&mut self.random);
        *chosen.expect("a side that is chosen has endpoints")
    }
}
