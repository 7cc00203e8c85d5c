//! The share of requests that a version gets after its canaries and before all others.
//!
//! A version that did well by chance, or only with little load, would pass its limit within a moment
//! if all instances moved at once. So a few instances go first, for a while, and publish how all of
//! their requests to it ended.

use {super::record::Claim, crate::prelude::*};

/// Minimum time for which a version gets its share of the requests. In less, hardly any answers of it are
/// published and read by all instances.
pub const MIN_TIME: Duration = Duration::from_secs(1);

/// Maximum time for which it gets them. With more, a version that stays undecided would pass its limit.
pub const MAX_TIME: Duration = Duration::from_millis(1500);

/// Share of all requests of the service. With more, a bad version passes its limit before evidence of the
/// ramp is read everywhere.
const SHARE: f64 = 0.2;

/// Slots whose owners send to the version. With fewer, they do not hold the share at hundreds of instances.
const MAX_SENDERS: u32 = 64;

/// Share of the requests at the instance `holder`, one of `instances`, that go to the version.
#[must_use]
pub fn share(claims: &[Claim], holder: &str, instances: usize) -> f64 {
    let slots = claims.chunk_by(|one, other| one.slot == other.slot);
    let owners = slots.filter_map(<[Claim]>::first);
    let owners = owners.take_while(|claim| claim.slot < MAX_SENDERS);
    let mut senders = owners
        .map(|claim| claim.holder.as_str())
        .collect::<Vec<_>>();
    senders.sort_unstable();
    senders.dedup();
    if senders.binary_search(&holder).is_err() {
        return 0.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let instances_per_sender = instances as f64 / senders.len() as f64;
    (SHARE * instances_per_sender).min(1.0)
}
