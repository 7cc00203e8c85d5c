//! Complete answers of endpoints.

use crate::prelude::*;

/// Status, media type and body of an endpoint's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The body as the endpoint sent it.
    pub body: Bytes,
    /// The `Content-Type`, empty if there was none.
    pub media: String,
    /// The HTTP status.
    pub status: u16,
}
