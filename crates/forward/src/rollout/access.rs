//! Which versions of a service take requests.

use crate::prelude::*;

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
