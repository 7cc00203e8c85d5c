//! Errors of measurements.

use crate::prelude::*;

/// Why a measurement could not be made.
#[derive(Debug)]
pub enum Error {
    /// An exchange failed.
    Exchange(endpoint::Error),
    /// A file or process could not be used.
    Io(std::io::Error),
    /// Something did not become ready.
    Late(String),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Exchange(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
            Self::Late(what) => write!(f, "not in time: {what}"),
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
