//! What adapters tell the decisions.

use crate::{
    endpoint::Member,
    gossip::{ConfigRecord, PeerUpdate},
    prelude::*,
};

/// Something that happened outside.
#[derive(Debug)]
pub enum Event {
    /// The whole answer of a plain service came.
    Answered(Attempt, Answer),
    /// An append to the claim stream ended.
    Appended(AppendResult),
    /// A part of the claim stream was read.
    Claims(Vec<Batch>),
    /// Records of the claim stream from this time on are complete.
    ClaimsCoveredFrom(Wall),
    /// The claim stream was read to its end, asked for at this time.
    ClaimsCaughtUp(Time),
    /// A part of the configuration stream was read up to the end, asked for at this time.
    ConfigCaughtUp(Time),
    /// A configuration record was read.
    Configured(ConfigRecord),
    /// The stream of a generation ended as it should, after this many tokens.
    StreamEnded(Attempt, u32),
    /// An attempt failed.
    Failed(Attempt, Failure),
    /// The caller of a request left.
    CallerDisconnected(request::Key),
    /// A fellow instance said what it knows.
    PeerUpdate(PeerUpdate),
    /// The instance list was read: endpoints, and names of entry instances.
    Listed(Vec<Member>, Vec<Peer>),
    /// An endpoint reported its load.
    Reported(endpoint::Key, crate::endpoint::Report),
    /// A snapshot of the configuration was read, to start from.
    Snapshot(Snapshot),
    /// A snapshot that some instance appended was seen, taken by the log at this time.
    SnapshotSeen(Wall),
    /// Time passed.
    Tick,
    /// A token of a generation came.
    Token(Attempt, u32, Bytes),
    /// An endpoint did not answer when asked for its load.
    Unreachable(endpoint::Key),
}

/// An entry instance as the platform's list names it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Peer {
    /// Unique name.
    pub name: String,
    /// IP address and port for messages between instances.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it has begun to leave.
    pub leaving: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection broke after something was written.
    Broken,
    /// The endpoint does not know the generation to resume.
    Forgotten,
    /// It provably was not run.
    NotRun(Evidence),
    /// No connection could be had to resume on.
    Unreachable,
}
