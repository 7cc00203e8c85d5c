//! Errors of calls to the log and the instance list.

use crate::prelude::*;

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// The HTTP exchange failed.
    Endpoint(endpoint::Error),
    /// The response was not JSON of the expected shape.
    Json(serde_json::Error),
    /// A record could not be decoded.
    Record(String),
    /// No response in time.
    Timeout,
    /// The response had this unexpected status.
    Status(StatusCode),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Endpoint(error) => write!(f, "{error}"),
            Self::Json(error) => write!(f, "cannot decode response: {error}"),
            Self::Record(error) => write!(f, "cannot decode record: {error}"),
            Self::Timeout => write!(f, "no answer in time"),
            Self::Status(status) => write!(f, "unexpected status {status}"),
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
