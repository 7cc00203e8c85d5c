//! Figures that an instance decides by, from its settings file.

use crate::prelude::*;

/// Bounds of the deployment and the parts of joint limits that this instance may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Window of [`Self::retry_ratio`].
    pub budget_window: Duration,
    /// Failure domain of this instance.
    pub domain: String,
    /// Most instances that may exist at once; static parts of joint limits divide by it.
    pub max_instances: u32,
    /// Second sends to a service within the window beyond the ratio, over all instances.
    pub retry_burst: f64,
    /// Second sends to a service for each first one, over all instances.
    pub retry_ratio: f64,
    /// After this long without proof that a key still holds, nothing runs under it.
    pub revocation: Duration,
}
