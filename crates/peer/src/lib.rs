//! Messages between entry instances over QUIC, with certificates on both sides.

pub mod datagram;
pub mod error;
pub mod link;
pub mod message;
pub mod pinned;
pub mod prelude;
pub mod tls;

pub use {
    error::Error,
    link::{Asked, Link},
    message::{Answer, Hello, Line},
    tls::PEER_NAME,
};
