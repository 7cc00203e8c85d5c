//! An entry instance: the event loop that owns the state, and its I/O adapters.

mod detour;
pub mod exchange;
pub mod instance;
pub mod metrics;
pub mod operator_listener;
mod perform;
pub mod status;
pub mod tail;
pub mod timeline;

pub use instance::{Instance, Running, start};
