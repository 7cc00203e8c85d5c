//! Faults of requests.

use crate::prelude::*;

/// What is wrong with a request, found before anything was decided about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The body is larger than the bound, in bytes.
    BodyTooLarge(usize),
    /// The body did not arrive whole.
    BodyUnread(String),
    /// A header cannot be read: its name and what is allowed.
    Header(&'static str, &'static str),
    /// The body is not a JSON object.
    Json(String),
    /// A field is missing or of the wrong kind: its name and what is allowed.
    Field(&'static str, &'static str),
    /// The instance is stopping.
    Stopping,
    /// There is no credential.
    Unauthorized,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::BodyTooLarge(most) => write!(f, "the body is larger than {most} bytes"),
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
    /// The HTTP status for it.
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

    /// A stable name for programs.
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
