//! Request validation errors.

use crate::prelude::*;

/// Why a request was rejected before it reached the event loop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The body exceeds the limit, in bytes.
    BodyTooLarge(usize),
    /// The body could not be read completely.
    BodyUnread(String),
    /// A header is invalid: its name and the accepted format.
    Header(&'static str, &'static str),
    /// The body is not a JSON object.
    Json(String),
    /// A field is missing or has the wrong type: its name and the accepted format.
    Field(&'static str, &'static str),
    /// The instance is shutting down.
    Stopping,
    /// The request carries no bearer key.
    Unauthorized,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::BodyTooLarge(max_bytes) => write!(f, "the body is larger than {max_bytes} bytes"),
            Self::BodyUnread(error) => write!(f, "the body did not arrive whole: {error}"),
            Self::Field(name, allowed) => write!(f, "field '{name}' must be {allowed}"),
            Self::Header(name, allowed) => write!(f, "header '{name}' must be {allowed}"),
            Self::Json(error) => write!(f, "the body is not a JSON object: {error}"),
            Self::Stopping => write!(f, "this instance is stopping"),
            Self::Unauthorized => write!(f, "header 'authorization' must carry a bearer key"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyUnread(_) | Self::Field(..) | Self::Header(..) | Self::Json(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the stable, machine-readable error code.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::BodyTooLarge(_) => "body_too_large",
            Self::BodyUnread(_) => "body_unread",
            Self::Field(..) => "invalid_field",
            Self::Header(..) => "invalid_header",
            Self::Json(_) => "invalid_json",
            Self::Stopping => "stopping",
            Self::Unauthorized => "unauthorized",
        }
    }
}
