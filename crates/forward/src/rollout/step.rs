//! What an instance has to do next for a rollout.

use {
    super::{
        Rollout, Rollouts,
        exposure::{SLOT_REQUESTS, slots},
        order::Order,
        ramp,
        record::{Claim, Content, Evidence, Published, Record, Stage, VersionStage},
        tally,
        verdict::{self, Verdict},
    },
    crate::{load::digest, prelude::*},
};

/// Delay for each instance that comes earlier in the order of instances, so that one acts and the
/// others find its record. Whoever acts in addition does no harm.
const TURN_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of turns that an instance waits.
const MAX_TURNS: u32 = 16;

/// Time for which the same instances may claim a free slot.
const CLAIM_PERIOD: Duration = Duration::from_millis(100);

/// Time within which a claim is read back.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of instances that on average may claim a free slot in a period.
const CONTENDERS: u32 = 2;

/// Time between two publications of evidence. The same for good and bad answers: if bad ones were
/// published sooner, the sum over instances would look worse than the version is.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(300);

/// Shares of the time until the shift at which instances without a slot publish evidence. The limit grows
/// with the requests that are known, and owners of slots get a fraction of them. The last one serves
/// versions that are undecided by then.
const CENSUS_SHARES: [f64; 4] = [0.3, 0.6, 0.85, 1.1];

/// Number of instances that on average publish for a census, and after the shift. All instances read what
/// one publishes, so that without a bound the bytes would grow with the square of their number.
const CENSUS_INSTANCES: u32 = 128;

/// Time over which the publications of a census are spread.
const CENSUS_SPREAD: Duration = Duration::from_millis(600);

/// Time after the shift for which instances without a slot publish evidence too. With less, or with owners
/// of slots alone, a version that is bad only under the load of all requests is completed before it shows.
const SHIFT_REPORT_TIME: Duration = Duration::from_secs(2);

/// Slots whose owners go on publishing evidence after that, when there is much of it.
const SHIFT_REPORTERS: u32 = 8;

/// Time before the end of an order at which a version that has not proved good is rolled back.
const DECISION_MARGIN: Duration = Duration::from_millis(300);

/// Minimum time from the shift to the completion. By then all connected instances know of the shift
/// and their load reports show what still runs elsewhere.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(1300);

/// Time after the end of an order for which its completion waits for runs at other versions.
const MAX_OVERRUN: Duration = Duration::from_secs(3);

/// What an instance has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Append a record, provided that the topic ends where this instance has read to.
    AppendNext(Record),
    /// Append a record.
    Append(Record),
    /// Tell operators of a stage, then append the record.
    Publish {
        /// The version.
        target: String,
        /// The stage.
        published: Published,
        /// Record that follows.
        record: Record,
    },
}

/// What an instance waits to do, and since when.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    since: Time,
    stage: Stage,
    told: bool,
}

/// What the decision of a rollout depends on besides its records.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings {
    /// Endpoints of versions that take requests other than the target.
    pub alternatives: usize,
    /// Number of instances.
    pub instances: usize,
    /// Position of this instance in the order of all instances, the first being zero.
    pub position: usize,
    /// Requests in progress at endpoints of other versions, over all instances.
    pub runs_elsewhere: u32,
    /// Endpoints of the target.
    pub targets: usize,
}

impl Rollouts {
    /// What has to be done next for a service. Call again once it is done, or has failed.
    pub fn next_action(
        &mut self,
        now: Time,
        service: &str,
        surroundings: Surroundings,
    ) -> Option<Action> {
        let index = self.find(service).ok()?;
        let is_fresh = self.is_fresh(now);
        let limit = self.limit;
        let holder = self.holder.clone();
        let rollout = &mut self.services[index];
        if !is_fresh || !rollout.is_active() {
            return None;
        }
        if rollout.judgement.is_none() {
            let judgement = verdict::judge(&rollout.tallies(), surroundings.targets);
            rollout.judgement = Some(judgement);
        }
        rollout
            .next_decision(now, surroundings)
            .or_else(|| rollout.due_evidence(now, &holder, surroundings))
            .or_else(|| {
                let slots = slots(limit, rollout.published_answers(), rollout.ramp_answers());
                let instances = u32::try_from(surroundings.instances.max(1)).unwrap_or(u32::MAX);
                rollout.quota = (slots * SLOT_REQUESTS).div_ceil(instances);
                rollout.due_claim(now, &holder, slots, surroundings)
            })
    }
}

impl Rollouts {
    /// Publishes this instance's evidence again, since the last publication failed.
    pub fn repeat_evidence(&mut self, service: &str) {
        self.rollout_mut(service).own_published.0.clear();
    }
}

impl Rollout {
    /// The next stage, or the publication of the current one.
    fn next_decision(&mut self, now: Time, surroundings: Surroundings) -> Option<Action> {
        let order = self.order.clone()?;
        let stage = self.stage()?;
        let is_recorded = self
            .version(&order.target)
            .is_some_and(|known| known.order >= order.id);
        let next = self.next_stage(now, surroundings);
        let (stage, told) = match next {
            Some(next) => (next, false),
            None if !is_recorded => (Stage::Canary, false),
            None if self.is_told(order.id, stage) => {
                self.pending = None;
                return None;
            }
            None => (stage, true),
        };
        if !self.is_turn(now, stage, told, surroundings.position) {
            return None;
        }
        let published = Published {
            order: order.id,
            stage,
        };
        if told {
            return Some(Action::Publish {
                published,
                record: self.record(Content::Published(published)),
                target: order.target,
            });
        }
        Some(Action::AppendNext(self.record(Content::Version(
            VersionStage {
                order: order.id,
                stage,
                version: order.target,
            },
        ))))
    }

    /// The stage that follows the current one, if it is due.
    fn next_stage(&self, now: Time, surroundings: Surroundings) -> Option<Stage> {
        let order = self.order.as_ref()?;
        let stage = self.stage()?;
        if stage.is_final() {
            return None;
        }
        let elapsed = now.since(self.ordered_at);
        let verdict = self.judgement().verdict;
        let has_alternative = surroundings.alternatives > 0;
        if self.withdrawn || (verdict == Verdict::Bad && has_alternative) {
            return Some(Stage::RolledBack);
        }
        if stage == Stage::Shift {
            let settled = now.since(self.stage_since) >= MIN_SHIFT_TIME;
            let is_empty = surroundings.runs_elsewhere == 0;
            let is_late = elapsed >= order.duration + MAX_OVERRUN;
            if is_late && verdict != Verdict::Good && has_alternative {
                return Some(Stage::RolledBack);
            }
            let is_proved = verdict == Verdict::Good || !has_alternative;
            let is_served = surroundings.targets > 0;
            let is_done = settled && is_proved && is_served && (is_empty || is_late);
            return is_done.then_some(Stage::Completed);
        }
        let is_served = surroundings.targets > 0;
        let is_good = verdict == Verdict::Good || !has_alternative;
        let is_ramped = stage == Stage::Ramp && now.since(self.stage_since) >= ramp::MIN_TIME;
        let is_due = elapsed >= order.canary_time();
        if is_served && is_good && is_due && (is_ramped || !has_alternative) {
            return Some(Stage::Shift);
        }
        let is_promising = is_good || verdict == Verdict::Promising;
        let may_ramp = elapsed + ramp::MIN_TIME >= order.canary_time();
        if is_served && is_promising && may_ramp && stage == Stage::Canary {
            return Some(Stage::Ramp);
        }
        (elapsed + DECISION_MARGIN >= order.duration).then_some(Stage::RolledBack)
    }

    /// Whether operators have been told of the stage. They know no difference between the first
    /// two.
    fn is_told(&self, order: u64, stage: Stage) -> bool {
        self.published.is_some_and(|published| {
            let is_running = !published.stage.is_final() && !stage.is_final();
            published.order == order && (published.stage == stage || is_running)
        })
    }

    /// Whether it is this instance's turn to act; the first instances come first.
    fn is_turn(&mut self, now: Time, stage: Stage, told: bool, position: usize) -> bool {
        let is_same = |pending: &Pending| pending.stage == stage && pending.told == told;
        if !self.pending.as_ref().is_some_and(is_same) {
            self.pending = Some(Pending {
                since: now,
                stage,
                told,
            });
        }
        let since = self.pending.as_ref().map_or(now, |pending| pending.since);
        let turns = u32::try_from(position).unwrap_or(MAX_TURNS).min(MAX_TURNS);
        now.since(since) >= TURN_DELAY * turns
    }

    /// The evidence of this instance, if it is to be published. Owners of slots publish theirs whenever
    /// it has grown, some others for each census and after the shift.
    fn due_evidence(
        &mut self,
        now: Time,
        holder: &str,
        surroundings: Surroundings,
    ) -> Option<Action> {
        let order = self.order.clone()?;
        let stage = self.stage()?;
        let reports = |slot: u32| stage != Stage::Shift || slot < SHIFT_REPORTERS;
        let mut claims = self.claims.iter();
        let instances = u32::try_from(surroundings.instances.max(1)).unwrap_or(u32::MAX);
        let is_drawn = digest(holder) % instances < CENSUS_INSTANCES;
        let has_shifted = stage == Stage::Shift && now.since(self.stage_since) < SHIFT_REPORT_TIME;
        let is_reporter = (has_shifted && is_drawn)
            || claims.any(|claim| claim.holder == holder && reports(claim.slot));
        let (published, at) = &self.own_published;
        if stage.is_final() || now.since(*at) < EVIDENCE_INTERVAL {
            return None;
        }
        // Answers of other versions alone only matter for the limit.
        let has_grown = tally::new_answers(&self.own) > tally::new_answers(published);
        let is_counted = stage < Stage::Shift
            && is_drawn
            && tally::answers(&self.own) > tally::answers(published)
            && *at < self.last_census(now, holder);
        if !(is_reporter && has_grown || is_counted) {
            return None;
        }
        self.own_published = (self.own.clone(), now);
        Some(Action::Append(self.record(Content::Evidence(Evidence {
            holder: holder.to_string(),
            order: order.id,
            tallies: self.own.clone(),
            target: order.target,
        }))))
    }

    /// When this instance was last to publish for a census; zero if it was not yet.
    fn last_census(&self, now: Time, holder: &str) -> Time {
        let canary_time = self
            .order
            .as_ref()
            .map_or(Duration::ZERO, Order::canary_time);
        let share = f64::from(digest(holder) % 1024) / 1024.0;
        let delay = CENSUS_SPREAD.mul_f64(share);
        let times = CENSUS_SHARES
            .iter()
            .map(|share| self.ordered_at.after(canary_time.mul_f64(*share) + delay));
        times.filter(|time| *time <= now).max().unwrap_or_default()
    }

    /// A slot to claim, if this instance has requests for it.
    fn due_claim(
        &mut self,
        now: Time,
        holder: &str,
        slots: u32,
        surroundings: Surroundings,
    ) -> Option<Action> {
        let order = self.order.as_ref()?;
        let elapsed = now.since(self.ordered_at);
        let has_requests = tally::answers(&self.own) > 0;
        let is_wanted = self.stage()? < Stage::Shift
            && now >= self.next_claim
            && !self.withdrawn
            && has_requests
            && self.judgement().verdict != Verdict::Good
            && surroundings.targets > 0
            && self.exposure.left(&self.claims, holder) == 0
            && elapsed + DECISION_MARGIN < order.duration
            // Leaves slots to others that have none yet.
            && (self.exposure.sent() < self.quota || elapsed >= order.canary_time() / 2);
        if !is_wanted {
            return None;
        }
        let last_decided = self.last_decided();
        let is_taken = |slot: u32| {
            let mut claims = self.claims.iter();
            claims.any(|claim| claim.slot == slot && claim.order > last_decided)
        };
        let free = (0..slots).filter(|slot| !is_taken(*slot));
        let free = free.collect::<Vec<_>>();
        let period = elapsed.as_millis() / CLAIM_PERIOD.as_millis();
        let drawn = digest(&format!("{holder}/{period}"));
        let count = u32::try_from(free.len()).unwrap_or(u32::MAX);
        let instances = u32::try_from(surroundings.instances.max(1)).unwrap_or(u32::MAX);
        // All instances learn at the same time that slots are free.
        if drawn % instances >= count.saturating_mul(CONTENDERS) {
            return None;
        }
        let index = (drawn / instances).checked_rem(count)?;
        let slot = free[usize::try_from(index).unwrap_or_default()];
        let claim = Claim {
            at: 0,
            holder: holder.to_string(),
            order: order.id,
            slot,
        };
        self.next_claim = now.after(CLAIM_TIMEOUT);
        Some(Action::Append(self.record(Content::Claim(claim))))
    }

    /// Requests to the service since the order that other instances know of.
    fn published_answers(&self) -> u32 {
        let evidence = self.evidence.iter().filter(|other| self.counts(other));
        let published = evidence.map(|other| tally::answers(&other.tallies));
        published.sum::<u32>() + tally::answers(&self.own_published.0)
    }

    /// Answers of the target beyond those for which slots were claimed.
    fn ramp_answers(&self) -> u32 {
        let evidence = self.evidence.iter().filter(|other| self.counts(other));
        let published = evidence.map(|other| tally::new_answers(&other.tallies));
        let answers = published.sum::<usize>() + tally::new_answers(&self.own);
        let claimed = self.claimed() * SLOT_REQUESTS as usize;
        u32::try_from(answers.saturating_sub(claimed)).unwrap_or(u32::MAX)
    }

    pub(super) fn record(&self, content: Content) -> Record {
        Record {
            content,
            service: self.service.clone(),
        }
    }
}
