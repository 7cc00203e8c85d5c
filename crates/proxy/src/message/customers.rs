//! What customers ask for.

use serde::{Deserialize, Serialize};

/// What customers ask for, where they are held to their shares.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Customers {
    /// Random number drawn when the sender's process started.
    pub incarnation: u64,
    /// Number of instances that it covers.
    pub members: u32,
    /// Name of the sender.
    pub name: String,
    /// Sender's clock in microseconds; orders its messages.
    pub number: u64,
    /// Which requests it covers.
    pub scope: Scope,
    /// Digest of each service, for how many milliseconds the sender has observed what is usually asked
    /// of it, and rows.
    pub services: Vec<(u32, u32, Vec<CustomerRow>)>,
}

/// Which requests a message covers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// Those of the sender, and whether it wants an answer.
    Instance(bool),
    /// Those of its failure domain.
    Domain,
    /// Those of all instances, in answer to the message with this incarnation and number.
    All(u64, u64),
}

/// Digest of the customer's name, what it asks for in ten-thousandths, its number of requests, and what
/// it usually asks for in ten-thousandths.
pub type CustomerRow = (u32, u32, u32, u32);
