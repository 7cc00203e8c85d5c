//! Decisions about requests that are forwarded by host and path.
//!
//! The package is pure: the present time is an argument, randomness comes from a
//! generator that is passed in, and nothing here opens a socket or reads a clock.
//! [`State`] owns what an instance knows; its parts are plain structs that tests
//! drive without a network.

pub mod admission;
pub mod aggregate;
pub mod budget;
pub mod choice;
pub mod config;
pub mod endpoint;
pub mod freshness;
pub mod probe;
pub mod load;
pub mod outcome;
pub mod rate_limit;
pub mod prelude;
pub mod reader;
pub mod request;
pub mod run;
pub mod sequence;
pub mod settings;
pub mod state;

pub use state::State;
