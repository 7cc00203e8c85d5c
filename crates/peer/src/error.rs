//! Errors of the messages between instances.

use crate::prelude::*;

/// Why instances cannot talk.
#[derive(Debug)]
pub enum Error {
    /// A certificate or key cannot be used: the file and the cause.
    Certificate(String, String),
    /// A message cannot be decoded, or is not what was expected.
    Codec(postcard::Error),
    /// The connection failed.
    Connection(String),
    /// The socket cannot be bound.
    Io(std::io::Error),
    /// No answer came in time.
    Silent,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Certificate(file, error) => write!(f, "{file}: {error}"),
            Self::Codec(error) => write!(f, "message cannot be decoded: {error}"),
            Self::Connection(error) => write!(f, "connection to a fellow instance: {error}"),
            Self::Io(error) => write!(f, "cannot listen for fellow instances: {error}"),
            Self::Silent => write!(f, "a fellow instance gave no answer in time"),
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
