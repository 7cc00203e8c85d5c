//! Which versions of a service take requests.

use {
    super::{Rollout, record::Stage},
    crate::prelude::*,
};

/// Time that runs at other versions get to end by themselves after the shift.
const RUN_GRACE: Duration = Duration::from_millis(600);

/// What may be sent to endpoints of a version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Access {
    /// Requests and runs.
    #[default]
    Open,
    /// Nothing new; runs that are there go on.
    Closed,
    /// Nothing; runs that are there move away.
    Evacuate,
}

/// What may be sent to the endpoints of one service now.
#[derive(Clone, Debug, Default)]
pub struct Gate<'a> {
    /// Versions that were ordered and not completed, or have been replaced.
    pub closed: Vec<&'a str>,
    /// Access to all versions that are not named.
    pub others: Access,
    /// Version that is being rolled out.
    pub target: Option<(&'a str, Access)>,
}

impl Gate<'_> {
    /// Access to an endpoint.
    #[must_use]
    pub fn access(&self, endpoint: &Endpoint) -> Access {
        let Some(version) = endpoint.listing.version.as_deref() else {
            return self.others;
        };
        match self.target {
            Some((target, access)) if target == version => access,
            _ if self.closed.contains(&version) => Access::Evacuate,
            _ => self.others,
        }
    }

    /// Whether a run may go on at an endpoint that holds its copy. Endpoints that are being
    /// replaced still qualify, since they may hold the only copy.
    #[must_use]
    pub fn may_continue(&self, endpoint: &Endpoint) -> bool {
        let is_target = self
            .target
            .is_some_and(|(target, _)| endpoint.listing.version.as_deref() == Some(target));
        match self.access(endpoint) {
            Access::Open => true,
            Access::Closed => !is_target,
            Access::Evacuate => false,
        }
    }
}

impl Rollout {
    /// What may be sent to which version; `is_fresh` if the knowledge of rollouts is.
    pub(super) fn gate(&self, now: Time, is_fresh: bool) -> Gate<'_> {
        let stage = self.stage();
        let target = self.order.as_ref().map(|order| order.target.as_str());
        let closed = self.versions.iter().filter(|known| {
            known.stage != Stage::Completed && Some(known.version.as_str()) != target
        });
        let closed = closed.map(|known| known.version.as_str());
        let replaced = self.replaced.iter().map(String::as_str);
        let mut gate = Gate {
            closed: closed.chain(replaced).collect(),
            others: Access::Open,
            target: None,
        };
        let (Some(target), Some(stage)) = (target, stage) else {
            return gate;
        };
        let access = match stage {
            _ if self.withdrawn => Access::Evacuate,
            Stage::Shift if !is_fresh => Access::Closed,
            Stage::Canary | Stage::Ramp => Access::Closed,
            Stage::Shift | Stage::Completed => Access::Open,
            Stage::RolledBack => Access::Evacuate,
        };
        if stage == Stage::Shift && access == Access::Open {
            gate.others = if now.since(self.stage_since) >= RUN_GRACE {
                Access::Evacuate
            } else {
                Access::Closed
            };
        }
        gate.target = Some((target, access));
        gate
    }
}
