//! Errors that prevent an instance from starting.

use crate::prelude::*;

/// Why an instance cannot start.
#[derive(Debug)]
pub enum Error {
    /// Cannot listen on an address.
    Listen(SocketAddr, std::io::Error),
    /// The metrics cannot be set up.
    Metrics(String),
    /// A file cannot be read.
    Read(String, std::io::Error),
    /// The settings are invalid: file and reason.
    Settings(String, String),
    /// Signals cannot be received.
    Signals(std::io::Error),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "cannot set up metrics: {error}"),
            Self::Read(file, error) => write!(f, "{file}: {error}"),
            Self::Settings(file, error) => write!(f, "{file}: {error}"),
            Self::Signals(error) => write!(f, "cannot receive signals: {error}"),
        }
    }
}

impl std::error::Error for Error {}
