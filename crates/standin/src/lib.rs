//! Small stand-ins for the platform and the back ends, for tests and the demo.
//!
//! Each is an HTTP server on loopback that behaves, and fails, as the real thing
//! is described to; `POST /control` sets its faults.

pub mod cache;
pub mod command;
pub mod decode;
pub mod engine;
pub mod list;
pub mod log;
pub mod prelude;
pub mod serve;
pub mod service;
