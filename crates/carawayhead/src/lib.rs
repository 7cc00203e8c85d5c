//! The daemon and the commands of `carawayhead`.

pub mod clock;
pub mod command;
pub mod daemon;
pub mod error;
pub mod prelude;

pub use command::run;
