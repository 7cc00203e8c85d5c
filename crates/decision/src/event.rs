//! Events that adapters pass to [`State::step`].

use crate::{
    endpoint::Member,
    gossip::{ConfigRecord, PeerUpdate},
    part_suspects,
    prelude::*,
    suspects::Change,
    tunnel,
};

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// The complete answer of a plain service was received.
    Answered(Attempt, Answer),
    /// An append to the claim stream completed.
    Appended(AppendResult),
    /// Batches of the claim stream were read.
    Claims(Vec<Batch>),
    /// All records of the claim stream from this time on were read.
    ClaimsCoveredFrom(Wall),
    /// The claim stream was read to its end by a request sent at this time.
    ClaimsCaughtUp(Time),
    /// The configuration stream was read to its end by a request sent at this time.
    ConfigCaughtUp(Time),
    /// A configuration record was read.
    Configured(ConfigRecord),
    /// A change of the requests that crash endpoints was read.
    Crash(Change),
    /// A change of the parts of prompts that crash engines was read.
    PartCrash(part_suspects::Change),
    /// A generation completed after this many tokens.
    StreamEnded(Attempt, u32),
    /// An attempt failed.
    Failed(Attempt, Failure),
    /// The endpoint of an attempt rejected it and wants no requests from this instance for this time.
    CoolingDown(Attempt, Duration),
    /// The caller of a request disconnected.
    CallerDisconnected(request::Key),
    /// A peer answered [`Action::Gossip`].
    PeerUpdate(PeerUpdate),
    /// The instance list was read: endpoints and entry instances.
    Listed(Vec<Member>, Vec<Peer>),
    /// An endpoint answered [`Action::Check`].
    Reached(endpoint::Key),
    /// An endpoint reported its load.
    Reported(endpoint::Key, crate::endpoint::Report),
    /// A snapshot of the configuration was read.
    Snapshot(Snapshot),
    /// A snapshot that the log stored at this time was seen.
    SnapshotSeen(Wall),
    /// Time passed.
    Tick,
    /// A token of a generation was received.
    Token(Attempt, u32, Bytes),
    /// A peer opened a tunnel, or failed to.
    Tunnel(String, Result<(), tunnel::Failure>),
    /// A request for an endpoint's load report failed.
    Unreachable(endpoint::Key),
    /// An endpoint did not answer [`Action::Check`].
    Unreached(endpoint::Key),
}

/// An entry instance in the platform's instance list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Unique name.
    pub name: String,
    /// IP address and port for messages between instances.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection broke after part of the request was written.
    Broken,
    /// The endpoint no longer knows the generation to resume.
    Forgotten,
    /// What was received is no response. The request may have run, and the endpoint lives on.
    Invalid,
    /// The attempt provably did not run.
    NotRun(Evidence),
    /// The peer through which the endpoint was reached is lost. The request may have run.
    PeerLost,
    /// No connection could be opened to resume on.
    Unreachable,
}
