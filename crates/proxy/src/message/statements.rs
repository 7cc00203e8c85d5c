//! What endpoints have stated of themselves.

use serde::{Deserialize, Serialize};

/// What endpoints have stated of themselves to the sender.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Statements {
    /// Digests of the incarnations of endpoints that ask the recipient for a cooldown, as the sender has seen through a
    /// tunnel, and for how many milliseconds.
    pub cooldowns: Vec<(u32, u32)>,
    /// Digests of the incarnations of endpoints that leave.
    pub leaving: Vec<u32>,
    /// Name of the sender.
    pub name: String,
}
