//! Messages between instances over QUIC with mutual TLS.

pub mod datagram;
pub mod error;
pub mod message;
pub mod pinned;
pub mod prelude;
pub mod request;
pub mod tls;
pub mod tunnel;

pub use {
    error::Error,
    message::{Answer, Hello, Record},
    request::{IncomingRequest, RequestSocket},
    tls::PEER_NAME,
};
