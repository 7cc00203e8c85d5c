//! Forwards callers' requests to endpoints.
//!
//! One event loop on one thread. Each request is a task that performs the I/O which
//! [`forward::State`] decides on.

pub mod apply;
pub mod buffered;
pub mod clock;
pub mod conditions;
pub mod crashes;
pub mod error;
pub mod exchange;
pub mod exposure;
pub mod follow;
pub mod gossip;
pub mod idle;
pub mod listen;
pub mod logging;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod path;
pub mod peers;
pub mod placement;
pub mod prelude;
pub mod probe;
pub mod progress;
pub mod relay;
pub mod relocate;
pub mod reply;
pub mod rollouts;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod shutdown;
pub mod stream;
pub mod suspicion;
pub mod takeover;
pub mod topic;
pub mod tunnel;
pub mod upload;

pub use {error::Error, serve::run, settings::Settings};
