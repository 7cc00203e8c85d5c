//! Decision logic of an entry instance, without I/O.
//!
//! [`state::State`] owns the state of an instance. Its functions take the current time and
//! an event and push [`action::Action`]s. Nothing here reads a clock or does I/O, and random
//! numbers come only from a generator seeded by the caller, so runs can be reproduced.

pub mod action;
pub mod answer;
pub mod arrival;
pub mod attempt;
pub mod backlog;
pub mod batch;
pub mod call;
pub mod claim;
pub mod completion;
pub mod config;
pub mod crashes;
pub mod customer;
pub mod dispatch;
pub mod endpoint;
pub mod event;
pub mod fingerprint;
pub mod generation;
pub mod gossip;
pub mod hybrid_clock;
pub mod ingest;
pub mod invariant;
pub mod limits;
pub mod membership;
pub mod order;
pub mod outbox;
pub mod outcome;
pub mod output_length;
pub mod part;
pub mod part_suspects;
pub mod prelude;
pub mod proposal;
pub mod reachability;
pub mod record;
pub mod request;
pub mod retry_budget;
pub mod routing;
pub mod slow_start;
pub mod snapshot;
pub mod state;
pub mod stats;
pub mod stream;
pub mod subset;
pub mod suspects;
pub mod time;
pub mod tunnel;
