//! The `carawayhead` commands and the daemon that `carawayhead serve` runs.

pub mod clock;
pub mod command;
pub mod daemon;
pub mod error;
pub mod prelude;

pub use command::run;
