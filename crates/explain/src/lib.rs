//! From the log lines of instances that forward to the cause of each request's end.
//!
//! The package is pure: it reads lines and gives back a table. It knows the log lines of
//! this program and nothing of where they were kept.

pub mod cause;
pub mod request;
pub mod table;

pub use {cause::Cause, request::Requests, table::Table};
