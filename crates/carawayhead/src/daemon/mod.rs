//! One entry instance: the loop that owns the state, and its adapters.

pub mod exchange;
pub mod instance;
pub mod metrics;
pub mod operator_side;
pub mod snapshot;
pub mod tail;

pub use instance::{Instance, Running, start};
