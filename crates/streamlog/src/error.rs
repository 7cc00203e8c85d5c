//! Errors of the platform's services.

use crate::prelude::*;

/// Why the platform could not be asked.
#[derive(Debug)]
pub enum Error {
    /// The exchange failed.
    Endpoint(endpoint::Error),
    /// The answer was not JSON of the expected shape.
    Json(serde_json::Error),
    /// A record could not be decoded.
    Record(String),
    /// No answer came in time.
    Silent,
    /// The service answered with this status.
    Status(StatusCode),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Endpoint(error) => write!(f, "{error}"),
            Self::Json(error) => write!(f, "answer cannot be read: {error}"),
            Self::Record(error) => write!(f, "record cannot be decoded: {error}"),
            Self::Silent => write!(f, "no answer in time"),
            Self::Status(status) => write!(f, "answered {status}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<endpoint::Error> for Error {
    fn from(error: endpoint::Error) -> Self {
        Self::Endpoint(error)
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        Self::Endpoint(error.into())
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}
