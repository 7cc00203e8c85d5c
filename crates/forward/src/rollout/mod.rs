//! Rollouts of new versions of a service.
//!
//! An operator orders that a service moves to endpoints of another version, which run beside the
//! others and may be bad: failing, or several times slower. Until it is judged, the version gets a
//! number of requests that is fixed over all instances ([`exposure`]). Instances publish how these
//! ended, and how others ended meanwhile ([`tally`]), and each of them judges alike ([`verdict`]).
//! A good version then gets a small share of all requests ([`ramp`]), and if it still looks good all new
//! ones. Runs move to it, and once none is left elsewhere the rollout is completed. A bad one is rolled
//! back ([`step`]).
//!
//! What is decided stands in a topic of the store ([`record`]). A stage is appended only if nothing
//! has been appended since its writer last read the topic, so an order has one result, whoever
//! writes it, and answers of the store that were lost do no harm.

pub mod access;
mod changes;
pub mod exposure;
pub mod order;
pub mod ramp;
pub mod record;
pub mod step;
pub mod tally;
pub mod verdict;

use {
    crate::{freshness::Freshness, prelude::*},
    access::Gate,
    exposure::{Exposure, Limit},
    order::Order,
    record::{Claim, Content, Evidence, Published, Record, Stage, VersionStage},
    step::Pending,
    tally::{Outcome, Sample, Tallies},
    verdict::Judgement,
};

/// Maximum age of the knowledge of rollouts for sending to a version that is not completed. With
/// older knowledge it may have been rolled back.
pub const MAX_AGE: Duration = Duration::from_millis(3200);

/// The rollouts of one service.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    /// Sorted by slot, then by offset.
    claims: Vec<Claim>,
    /// Evidence of other instances, sorted by holder.
    evidence: Vec<Evidence>,
    exposure: Exposure,
    /// When this instance may next claim a slot; an earlier claim may not have been read back yet.
    next_claim: Time,
    /// `None` if there are answers that it does not take into account.
    judgement: Option<Judgement>,
    order: Option<Order>,
    ordered_at: Time,
    /// Evidence of this instance.
    own: Tallies,
    /// The part of [`Self::own`] that was published, and when.
    own_published: (Tallies, Time),
    pending: Option<Pending>,
    published: Option<Published>,
    /// Requests to the target that fall to this instance if all send alike.
    quota: u32,
    /// Versions that the last completed order has replaced.
    replaced: Vec<String>,
    service: String,
    /// When this instance learned of the current stage.
    stage_since: Time,
    /// Sorted by version.
    versions: Vec<VersionStage>,
    withdrawn: bool,
}

impl Rollout {
    /// Stage of the current order.
    #[must_use]
    pub fn stage(&self) -> Option<Stage> {
        let order = self.order.as_ref()?;
        let known = self.version(&order.target);
        let known = known.filter(|known| known.order >= order.id);
        Some(known.map_or(Stage::Canary, |known| known.stage))
    }

    /// The current order.
    #[must_use]
    pub const fn order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// Whether something remains to be decided, or operators to be told.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let (Some(order), Some(stage)) = (&self.order, self.stage()) else {
            return false;
        };
        let told = self.published
            == Some(Published {
                order: order.id,
                stage,
            });
        !(stage.is_final() && told)
    }

    /// Answers that all instances have got, as far as this one knows.
    #[must_use]
    pub fn tallies(&self) -> Tallies {
        let mut sum = self.own.clone();
        for evidence in self.evidence.iter().filter(|other| self.counts(other)) {
            tally::add(&mut sum, &evidence.tallies);
        }
        sum
    }

    /// The last judgement on the target.
    #[must_use]
    pub fn judgement(&self) -> Judgement {
        self.judgement.unwrap_or_default()
    }

    /// Records that a final stage makes needless: claims and evidence. `holder` is this instance.
    #[must_use]
    pub fn needless_records(&self, holder: &str) -> Vec<Record> {
        let claims = self.claims.iter().cloned().map(Content::Claim);
        let evidence = self.evidence.iter().cloned().map(Content::Evidence);
        let own = self.order.as_ref().map(|order| Evidence {
            holder: holder.to_string(),
            order: order.id,
            tallies: Tallies::new(),
            target: order.target.clone(),
        });
        let contents = claims.chain(evidence).chain(own.map(Content::Evidence));
        contents.map(|content| self.record(content)).collect()
    }

    /// Number of claimed slots.
    #[must_use]
    pub fn claimed(&self) -> usize {
        self.claims
            .chunk_by(|one, other| one.slot == other.slot)
            .count()
    }

    /// Requests that this instance has sent to the target before its judgement.
    #[must_use]
    pub const fn exposed(&self) -> u32 {
        self.exposure.sent()
    }

    fn counts(&self, evidence: &Evidence) -> bool {
        self.order.as_ref().is_some_and(|order| {
            evidence.target == order.target && evidence.order > self.last_decided()
        })
    }

    /// The last order that was completed or rolled back; zero if there is none.
    fn last_decided(&self) -> u64 {
        let current = self.order.as_ref().map_or(u64::MAX, |order| order.id);
        let decided = self.versions.iter().filter(|known| known.stage.is_final());
        let earlier = decided.filter(|known| known.order < current);
        earlier.map(|known| known.order).max().unwrap_or_default()
    }

    fn version(&self, version: &str) -> Option<&VersionStage> {
        let index = self.find_version(version).ok()?;
        self.versions.get(index)
    }

    fn find_version(&self, version: &str) -> Result<usize, usize> {
        self.versions
            .binary_search_by(|known| known.version.as_str().cmp(version))
    }
}

/// The rollouts of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    /// Age of the records.
    pub freshness: Freshness,
    /// Name and incarnation of this instance.
    holder: String,
    /// Sorted by service.
    services: Vec<Rollout>,
    limit: Limit,
}

impl Rollouts {
    /// Sets the limit of requests to a version that is not judged yet, over all instances.
    pub const fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Sets the name under which this instance claims slots; unique to one run of its process.
    pub fn set_holder(&mut self, holder: String) {
        self.holder = holder;
    }

    /// Takes an order; returns whether it is newer than the known one.
    pub fn set_order(&mut self, now: Time, order: Order) -> bool {
        let service = order.service.clone();
        self.rollout_mut(&service).set_order(now, order)
    }

    /// Handles the removal of an order; returns whether it was in progress.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let Ok(index) = self.find(service) else {
            return false;
        };
        let rollout = &mut self.services[index];
        if rollout.stage().is_none_or(Stage::is_final) {
            return false;
        }
        !std::mem::replace(&mut rollout.withdrawn, true)
    }

    /// Takes a record of the store.
    pub fn apply(&mut self, now: Time, record: Record) {
        let holder = self.holder.clone();
        self.rollout_mut(&record.service)
            .apply(now, &holder, record.content);
    }

    /// Records that are to be removed once operators have been told of a service's final stage.
    #[must_use]
    pub fn needless_records(&self, service: &str) -> Vec<Record> {
        let rollout = self.rollout(service);
        rollout.map_or_else(Vec::new, |rollout| rollout.needless_records(&self.holder))
    }

    /// Sets the versions that a completed order has replaced.
    pub fn set_replaced(&mut self, service: &str, versions: Vec<String>) {
        self.rollout_mut(service).replaced = versions;
    }

    /// Whether records of rollouts are needed.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.services.iter().any(Rollout::is_active)
    }

    /// Services whose order is current.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let ordered = self.services.iter().filter(|other| other.order.is_some());
        ordered.map(|rollout| rollout.service.as_str())
    }

    /// The rollouts of a service.
    #[must_use]
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        let index = self.find(service).ok()?;
        self.services.get(index)
    }

    /// What may be sent to endpoints of a service.
    #[must_use]
    pub fn gate(&self, now: Time, service: &str) -> Gate<'_> {
        let is_fresh = self.is_fresh(now);
        let rollout = self.rollout(service);
        rollout.map_or_else(Gate::default, |rollout| rollout.gate(now, is_fresh))
    }

    /// Whether a request is to go to the version that is not judged yet.
    #[must_use]
    pub fn may_expose(&self, now: Time, service: &str, route: &str) -> bool {
        let Some(rollout) = self.rollout(service) else {
            return false;
        };
        let routes = rollout.own.iter().map(|tally| tally.route.as_str());
        matches!(rollout.stage(), Some(Stage::Canary | Stage::Ramp))
            && !rollout.withdrawn
            && self.is_fresh(now)
            && rollout.exposure.left(&rollout.claims, &self.holder) > 0
            && rollout
                .exposure
                .is_due(now, route, &routes.collect::<Vec<_>>())
    }

    /// Share of this instance's requests that go to a version which is to get a small share of all.
    #[must_use]
    pub fn ramp_share(&self, now: Time, service: &str, instances: usize) -> f64 {
        let Some(rollout) = self.rollout(service) else {
            return 0.0;
        };
        let is_over = now.since(rollout.stage_since) >= ramp::MAX_TIME;
        let is_ramping = rollout.stage() == Some(Stage::Ramp) && !rollout.withdrawn;
        if is_over || !is_ramping || !self.is_fresh(now) {
            return 0.0;
        }
        ramp::share(&rollout.claims, &self.holder, instances)
    }

    /// Records that a request goes to the version that is not judged yet.
    pub fn record_exposure(&mut self, now: Time, service: &str, route: &str) {
        let holder = self.holder.clone();
        let rollout = self.rollout_mut(service);
        let left = rollout.exposure.left(&rollout.claims, &holder);
        let left = left.max(rollout.quota.saturating_sub(rollout.exposure.sent()));
        let until = rollout
            .order
            .as_ref()
            .map_or(Duration::ZERO, Order::canary_time);
        let until = until.saturating_sub(now.since(rollout.ordered_at));
        rollout.exposure.record(now, route, left, until);
    }

    /// Takes the outcome of a request at an endpoint, if its service is moving to another version.
    pub fn observe(&mut self, now: Time, endpoint: &Endpoint, route: &str, outcome: Outcome) {
        // Cold endpoints are slow whatever their version.
        if now < endpoint.cold_until && matches!(outcome, Outcome::Answered(_)) {
            return;
        }
        let Ok(index) = self.find(&endpoint.listing.service) else {
            return;
        };
        let rollout = &mut self.services[index];
        let Some(order) = rollout.order.as_ref() else {
            return;
        };
        if rollout.stage().is_none_or(Stage::is_final) {
            return;
        }
        rollout.judgement = None;
        if endpoint.version() != order.target {
            tally::count_old(&mut rollout.own, route, outcome);
            return;
        }
        let at_ms = now.since(rollout.ordered_at).as_millis();
        let sample = Sample {
            at_ms: u32::try_from(at_ms).unwrap_or(u32::MAX),
            endpoint: endpoint.digest,
            outcome,
        };
        tally::count_new(&mut rollout.own, route, sample);
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.freshness.within(now, MAX_AGE)
    }

    fn rollout_mut(&mut self, service: &str) -> &mut Rollout {
        let index = match self.find(service) {
            Ok(index) => index,
            Err(index) => {
                let rollout = Rollout {
                    service: service.to_string(),
                    ..Rollout::default()
                };
                self.services.insert(index, rollout);
                index
            }
        };
        &mut self.services[index]
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|rollout| rollout.service.as_str().cmp(service))
    }
}
