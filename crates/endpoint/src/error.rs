//! Errors of exchanges with endpoints.

use crate::prelude::*;

/// Why an exchange failed, told apart by what may have reached the other side.
#[derive(Debug)]
pub enum Error {
    /// The connection broke after something was written.
    Broken(hyper::Error),
    /// No connection could be opened.
    Connect(std::io::Error),
    /// Nothing was written to the connection.
    NotWritten(hyper::Error),
    /// The request could not be built.
    Request(http::Error),
    /// No answer came in time after something was written.
    Silent,
    /// An answer or event was larger than the bound.
    TooLarge,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "connection broke: {error}"),
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::NotWritten(error) => write!(f, "connection closed before the request: {error}"),
            Self::Request(error) => write!(f, "cannot build the request: {error}"),
            Self::Silent => write!(f, "no answer in time"),
            Self::TooLarge => write!(f, "answer too large"),
        }
    }
}

impl std::error::Error for Error {}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Request(error)
    }
}

impl Error {
    /// Whether it is provable that no byte of the request was written.
    #[must_use]
    pub const fn unwritten(&self) -> bool {
        match self {
            Self::Connect(_) | Self::NotWritten(_) | Self::Request(_) => true,
            Self::Broken(_) | Self::Silent | Self::TooLarge => false,
        }
    }
}
