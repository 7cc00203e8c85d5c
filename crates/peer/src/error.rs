//! Errors of the messages between instances.

use crate::prelude::*;

/// Errors of connections and messages between instances.
#[derive(Debug)]
pub enum Error {
    /// A certificate or key cannot be used: its file or name, and the cause.
    Certificate(String, String),
    /// A message cannot be encoded or decoded.
    Codec(postcard::Error),
    /// The connection failed.
    Connection(String),
    /// The socket cannot be bound.
    Io(std::io::Error),
    /// The peer did not respond in time, or no connection to it is open.
    NoResponse,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Certificate(file, error) => write!(f, "{file}: {error}"),
            Self::Codec(error) => write!(f, "cannot encode or decode message: {error}"),
            Self::Connection(error) => write!(f, "connection to peer instance: {error}"),
            Self::Io(error) => write!(f, "cannot listen for peer instances: {error}"),
            Self::NoResponse => write!(
                f,
                "peer instance did not respond in time or is not connected"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<postcard::Error> for Error {
    fn from(error: postcard::Error) -> Self {
        Self::Codec(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
