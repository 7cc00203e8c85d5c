//! Forwards callers' requests to endpoints.
//!
//! One loop on one thread. Each request is a task that asks [`forward::State`] what may
//! be done at the present time and carries it out; nothing is decided here.

pub mod apply;
pub mod clock;
pub mod error;
pub mod exchange;
pub mod fellows;
pub mod follow;
pub mod gossip;
pub mod inquire;
pub mod listen;
pub mod logging;
pub mod message;
pub mod meters;
pub mod plain;
pub mod prelude;
pub mod progress;
pub mod relay;
pub mod relocate;
pub mod reply;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod stream;
pub mod topic;
pub mod transfer;

pub use {error::Error, serve::run, settings::Settings};
