//! Errors of the messages between instances.

use crate::prelude::*;

/// Why instances cannot talk.
#[derive(Debug)]
pub enum Error {
    /// A certificate or key cannot be used: the file and the cause.
    Certificate(String, String),
    /// The socket cannot be bound.
    Io(std::io::Error),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Certificate(file, error) => write!(f, "{file}: {error}"),
            Self::Io(error) => write!(f, "cannot listen for fellow instances: {error}"),
        }
    }
}

impl std::error::Error for Error {}
