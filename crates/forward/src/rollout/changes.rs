//! What orders of operators and records of the store change in what is known of a rollout.

use {
    super::{
        Rollout,
        exposure::Exposure,
        order::Order,
        record::{Claim, Content, Evidence, Published, Stage, VersionStage},
    },
    crate::prelude::*,
};

impl Rollout {
    /// Takes a version's stage, which never goes back.
    pub(super) fn set_version(&mut self, now: Time, stage: VersionStage) -> bool {
        let is_target = self
            .order
            .as_ref()
            .is_some_and(|order| order.target == stage.version);
        match self.find_version(&stage.version) {
            Err(index) => self.versions.insert(index, stage),
            Ok(index) => {
                let known = &mut self.versions[index];
                let is_new = (stage.order, stage.stage) > (known.order, known.stage);
                let is_decided = known.order == stage.order && known.stage.is_final();
                if !is_new || is_decided {
                    return false;
                }
                *known = stage;
            }
        }
        if is_target {
            self.stage_since = now;
        }
        true
    }

    pub(super) fn set_order(&mut self, now: Time, order: Order) -> bool {
        let previous = self.order.as_ref();
        if previous.is_some_and(|previous| previous.id >= order.id) {
            return false;
        }
        self.close_undecided(now);
        let is_repeated = self.order.as_ref().is_some_and(|previous| {
            previous.target == order.target
                && self
                    .version(&order.target)
                    .is_none_or(|known| !known.stage.is_final())
        });
        self.order = Some(order);
        self.ordered_at = now;
        self.stage_since = now;
        self.pending = None;
        self.withdrawn = false;
        self.replaced.clear();
        self.drop_earlier_claims();
        if !is_repeated {
            // Requests that were sent under an undecided order count on, so that orders in quick
            // succession together stay within the limit.
            self.judgement = None;
            self.own.clear();
            self.own_published = Default::default();
            if self.claims.is_empty() {
                self.exposure = Exposure::default();
            }
        }
        true
    }

    /// Remembers the target of an order that ends undecided, so that it gets nothing.
    fn close_undecided(&mut self, now: Time) {
        let Some(order) = &self.order else {
            return;
        };
        let known = self.version(&order.target);
        if known.is_some_and(|known| known.order >= order.id) {
            return;
        }
        let stage = VersionStage {
            order: order.id,
            stage: Stage::Canary,
            version: order.target.clone(),
        };
        self.set_version(now, stage);
    }

    pub(super) fn apply(&mut self, now: Time, holder: &str, content: Content) {
        match content {
            Content::Claim(claim) => self.apply_claim(claim),
            Content::Evidence(evidence) if evidence.holder == holder => {}
            Content::Evidence(evidence) => {
                self.judgement = None;
                let key = |other: &Evidence| other.holder.as_str().cmp(&evidence.holder);
                match self.evidence.binary_search_by(key) {
                    Ok(index) => self.evidence[index] = evidence,
                    Err(index) => self.evidence.insert(index, evidence),
                }
            }
            Content::Published(published) => {
                let is_later = |known: Published| {
                    (published.order, published.stage) > (known.order, known.stage)
                };
                if self.published.is_none_or(is_later) {
                    self.published = Some(published);
                }
            }
            Content::Version(stage) => {
                self.set_version(now, stage);
                // The newest records of a topic come in the order of their keys, so claims of earlier
                // orders may come before what was decided on these.
                self.drop_earlier_claims();
            }
        }
    }

    fn drop_earlier_claims(&mut self) {
        let last_decided = self.last_decided();
        self.claims.retain(|claim| claim.order > last_decided);
    }

    /// Takes a claim, unless it belongs to an earlier rollout.
    fn apply_claim(&mut self, claim: Claim) {
        if claim.order <= self.last_decided() {
            return;
        }
        let key = |claim: &Claim| (claim.slot, claim.at);
        if let Err(index) = self.claims.binary_search_by_key(&key(&claim), key) {
            self.claims.insert(index, claim);
        }
    }
}
