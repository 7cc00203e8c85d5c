//! Decisions about requests that are forwarded by host and path.
//!
//! This crate does no I/O: the current time is an argument, and randomness comes from a generator
//! that the caller passes in. [`State`] is the state of one instance.

pub mod admission;
pub mod aggregate;
pub mod brittleness;
pub mod budget;
pub mod choice;
pub mod condition;
pub mod config;
pub mod cooldown;
pub mod crashes;
pub mod cuts;
pub mod departed;
pub mod endpoint;
pub mod fairness;
pub mod feature;
pub mod freshness;
pub mod intake;
pub mod lateness;
pub mod limit;
pub mod load;
pub mod losses;
pub mod memory;
pub mod outcome;
pub mod overflow;
pub mod paths;
pub mod placement;
pub mod prelude;
pub mod probe;
pub mod profile;
pub mod rate_limit;
pub mod reader;
pub mod request;
pub mod reserve;
pub mod rollout;
pub mod run;
pub mod sequence;
pub mod settings;
pub mod silence;
pub mod state;
pub mod stop;
pub mod tunnel;

pub use {
    decision::{fingerprint, part, part_suspects, suspects},
    state::State,
};
