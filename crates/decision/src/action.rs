//! Actions that the caller of [`State`] must carry out.

use crate::{part_suspects, prelude::*, suspects::Change};

/// An effect to be carried out by an adapter.
#[derive(Debug)]
pub enum Action {
    /// Append these entries to the claim stream.
    Append(Batch),
    /// Cancel a generation.
    Cancel {
        /// The endpoint.
        endpoint: endpoint::Key,
        /// The generation.
        generation: generation::Id,
        /// Cancel only if no connection reads it.
        unattached: bool,
    },
    /// Connect to an endpoint directly, and report whether it answers.
    Check(endpoint::Key),
    /// Deliver a token with its index to the caller.
    Deliver(request::Key, u32, Bytes),
    /// Stop reading a generation without cancelling it.
    Detach(request::Key),
    /// Drop idle connections to an endpoint; its links are cut, and they would hang.
    DropIdle(endpoint::Key),
    /// Append this change of the requests that crash endpoints to the log.
    PublishCrash(Change),
    /// Append this change of the parts of prompts that crash engines to the log.
    PublishPartCrash(part_suspects::Change),
    /// Deliver the outcome to the caller and forget the request.
    Finish(request::Key, Outcome),
    /// Request configuration updates from the peer at this address.
    Gossip(String),
    /// Request a load report from an endpoint.
    Poll(endpoint::Key),
    /// Resume reading a generation on a new connection.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: endpoint::Key,
        /// Index of the first token to read.
        next: u32,
    },
    /// Append a snapshot of the configuration.
    Snapshot(Snapshot),
    /// Send a request to an endpoint.
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
