//! Attempts to run a request at an endpoint.

use crate::prelude::*;

/// Identifies an attempt in events and actions.
///
/// Events of an attempt that is no longer the current one of its request are stale and are
/// dropped. Generation ids, unlike connections, are never reused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identifies the attempt, and the generation where there is one.
    pub generation: generation::Id,
    /// The request.
    pub request: request::Key,
}
