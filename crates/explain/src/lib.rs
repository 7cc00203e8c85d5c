//! Classifies how each request ended from the log lines of forwarding instances.
//!
//! The package performs no I/O: callers pass in log lines and get back a table.

pub mod cause;
pub mod request;
pub mod rollout;
pub mod table;

pub use {cause::Cause, request::Requests, table::Table};
