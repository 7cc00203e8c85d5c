//! What endpoints state of themselves in their answers.

use crate::prelude::*;

/// Conditions in one answer of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Time for which the endpoint wants no requests from this instance (`Retry-After` of a rejection).
    pub cooldown: Option<Duration>,
    /// Whether the endpoint is about to leave.
    pub leaving: bool,
    /// Requests per second that it takes from all instances together, if it names a limit.
    pub limit: Option<f64>,
    /// Rejections per second that it bears, if it is brittle.
    pub max_rejections: Option<u32>,
}
