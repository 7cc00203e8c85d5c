//! HTTP client for model engines and plain services.

mod body;
pub mod bounded;
mod carried;
pub mod client;
pub mod engine;
pub mod error;
pub mod prelude;
pub mod retry_after;
pub mod service;
pub mod sse;

pub use {client::Client, engine::send_event, error::Error};
