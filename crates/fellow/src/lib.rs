//! Messages between entry instances over QUIC.

pub mod error;
pub mod prelude;

pub use error::Error;
