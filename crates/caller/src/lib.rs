//! HTTP and server-sent events (SSE) interface for callers.

pub mod call;
pub mod completion;
pub mod error;
pub mod events;
pub mod generation;
pub mod handle;
pub mod inbound;
pub mod prelude;
pub mod problem;
pub mod server;

pub use {error::Error, inbound::InboundRequest, server::HandlerState};
