//! One entry instance: the loop that owns the state, and its adapters.

pub mod exchange;
pub mod instance;
pub mod metrics;
pub mod operator_side;
mod perform;
pub mod snapshot;
pub mod tail;
pub mod timeline;

pub use instance::{Instance, Running, start};
