//! One try of a request at one endpoint.

use crate::prelude::*;

/// Names an attempt in events and actions.
///
/// An event whose attempt is no longer the request's current one is late or
/// crossed and is dropped: connections are reused, generation ids are not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Identifies the attempt, and the generation where there is one.
    pub generation: generation::Id,
    /// The request it serves.
    pub request: request::Key,
}
