//! Settings that decisions depend on.

use crate::{feature::Features, prelude::*, rollout::exposure::Limit};

/// Limits of the deployment, and what this instance needs to compute its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window over which [`Self::retry_ratio`] and [`Self::retry_burst`] apply.
    pub budget_window: Duration,
    /// Limit of requests to a version of a service before it is judged.
    pub canary: Limit,
    /// Failure domain of this instance.
    pub domain: String,
    /// Decisions that the deployment has switched on.
    pub features: Features,
    /// Minimum number of instances that shared limits are divided by.
    pub min_instances: u32,
    /// Retries to a service within the window beyond the ratio, over all instances.
    pub retry_burst: f64,
    /// Retries to a service per first attempt, over all instances.
    pub retry_ratio: f64,
    /// Age of the configuration from which on its API keys are no longer accepted.
    pub revocation: Duration,
    /// Waiting of a caller that operators accept to save a megabyte between failure domains.
    pub transfer_wait_per_megabyte: Duration,
}
