//! Orders of operators to move a service to another version.

use crate::prelude::*;

/// Minimum time that an order reserves for moving requests and runs to the target.
const MIN_SHIFT_TIME: Duration = Duration::from_secs(2);

/// Maximum time that an order reserves for moving requests and runs to the target.
const MAX_SHIFT_TIME: Duration = Duration::from_secs(6);

/// An order to move a service to endpoints of another version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Time within which the rollout has to be completed or rolled back.
    pub duration: Duration,
    /// Offset of its record in the store; a later order has a higher one.
    pub id: u64,
    /// Service that moves.
    pub service: String,
    /// Version that it moves to.
    pub target: String,
}

impl Order {
    /// Time from the order until all requests go to the target, if it has proved good.
    ///
    /// As late as possible, since some versions turn bad only after a while.
    #[must_use]
    pub fn canary_time(&self) -> Duration {
        let shift_time = (self.duration / 4).clamp(MIN_SHIFT_TIME, MAX_SHIFT_TIME);
        self.duration
            .saturating_sub(shift_time.min(self.duration / 2))
    }
}
