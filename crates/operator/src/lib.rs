//! Parsing and validation of instance settings and configuration records.

pub mod duration;
pub mod fault;
pub mod prelude;
pub mod reader;
pub mod record;
pub mod settings;

pub use {fault::Fault, settings::Settings};
