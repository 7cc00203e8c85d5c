//! Small stand-ins for the platform and the endpoints, for tests and the demo.
//!
//! Each is an HTTP server that simulates the behaviour and the failures of the real
//! component; `POST /control` injects faults.

pub mod cache;
pub mod command;
pub mod decode;
pub mod engine;
pub mod list;
pub mod log;
pub mod prelude;
pub mod serve;
pub mod service;
