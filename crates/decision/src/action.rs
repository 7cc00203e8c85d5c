//! What the decisions ask adapters to do.

use crate::prelude::*;

/// Something to be done outside.
#[derive(Debug)]
pub enum Action {
    /// Append these entries to the claim stream.
    Append(Batch),
    /// Cancel a generation, or only if nobody reads it.
    Cancel {
        /// The endpoint.
        endpoint: endpoint::Key,
        /// The generation.
        generation: generation::Id,
        /// Cancel only if no connection reads it.
        unattached: bool,
    },
    /// Hand a token to the caller.
    Deliver(request::Key, u32, Bytes),
    /// Stop reading a generation without cancelling it.
    Detach(request::Key),
    /// Hand the outcome to the caller; the request is over.
    Finish(request::Key, Outcome),
    /// Ask the fellow instance at this address what it knows.
    Gossip(String),
    /// Ask an endpoint for its load.
    Poll(endpoint::Key),
    /// Read a generation again from this index on a new connection.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: endpoint::Key,
        /// Index of the first token wanted.
        next: u32,
    },
    /// Append a snapshot of the configuration.
    Snapshot(Snapshot),
    /// Send the request.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: endpoint::Key,
        /// The model version, for a generation.
        model: Option<String>,
        /// Time left until the caller's deadline.
        wait: Duration,
    },
}
