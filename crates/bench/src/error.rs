//! Errors of measurements.

use crate::prelude::*;

/// Why a measurement failed.
#[derive(Debug)]
pub enum Error {
    /// An HTTP exchange failed.
    Exchange(endpoint::Error),
    /// A file or process could not be read, written or started.
    Io(std::io::Error),
    /// The described condition was not met in time.
    Timeout(String),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Exchange(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
            Self::Timeout(condition) => write!(f, "timed out before {condition}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<endpoint::Error> for Error {
    fn from(error: endpoint::Error) -> Self {
        Self::Exchange(error)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Exchange(error.into())
    }
}
