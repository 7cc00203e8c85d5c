//! Settings and configuration records, and their checks.

pub mod fault;
pub mod prelude;
pub mod reader;
pub mod record;
pub mod settings;
pub mod span;

pub use {fault::Fault, settings::Settings};
