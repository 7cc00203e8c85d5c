//! Errors of requests to endpoints.

use crate::prelude::*;

/// Why a request failed; the variants differ in whether the endpoint may have received it.
#[derive(Debug)]
pub enum Error {
    /// The connection broke after part of the request may have been written.
    Broken(hyper::Error),
    /// No connection could be opened.
    Connect(std::io::Error),
    /// Nothing was written to the connection.
    NotWritten(hyper::Error),
    /// The request could not be built.
    Request(http::Error),
    /// No response in time, after part of the request may have been written.
    Timeout,
    /// A response body or event exceeds its size limit.
    TooLarge,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "connection broke: {error}"),
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::NotWritten(error) => write!(f, "connection closed before the request: {error}"),
            Self::Request(error) => write!(f, "cannot build the request: {error}"),
            Self::Timeout => write!(f, "no answer in time"),
            Self::TooLarge => write!(f, "response exceeds its size limit"),
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
    /// Whether it is certain that no byte of the request was written.
    #[must_use]
    pub const fn unwritten(&self) -> bool {
        match self {
            Self::Connect(_) | Self::NotWritten(_) | Self::Request(_) => true,
            Self::Broken(_) | Self::Timeout | Self::TooLarge => false,
        }
    }

    /// Whether the connection broke at the endpoint, and not at a peer that forwards its bytes.
    #[must_use]
    pub fn is_break_of_endpoint(&self) -> bool {
        let Self::Broken(error) = self else {
            return false;
        };
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            let io = cause.downcast_ref::<std::io::Error>();
            if io.is_some_and(|io| io.kind() == std::io::ErrorKind::NotConnected) {
                return false;
            }
            source = cause.source();
        }
        true
    }
}
