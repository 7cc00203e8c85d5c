//! Errors of requests to endpoints.

use {crate::prelude::*, std::io::ErrorKind};

/// Why a request failed; the variants differ in whether the endpoint may have received it.
#[derive(Debug)]
pub enum Error {
    /// The connection broke after part of the request may have been written.
    Broken(hyper::Error),
    /// No connection could be opened.
    Connect(std::io::Error),
    /// What was received is no response; the request may have run.
    Invalid(hyper::Error),
    /// Nothing was written to the connection.
    NotWritten(hyper::Error),
    /// The request could not be built.
    Request(http::Error),
    /// No response in time, after part of the request may have been written.
    Timeout,
    /// A response body or event exceeds its size limit.
    TooLarge,
    /// The endpoint takes no requests any more, as was found once there was a connection to it.
    Withheld,
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "connection broke: {error}"),
            Self::Connect(error) => write!(f, "cannot connect: {error}"),
            Self::Invalid(error) => write!(f, "invalid response: {error}"),
            Self::NotWritten(error) => write!(f, "connection closed before the request: {error}"),
            Self::Request(error) => write!(f, "cannot build the request: {error}"),
            Self::Timeout => write!(f, "no answer in time"),
            Self::TooLarge => write!(f, "response exceeds its size limit"),
            Self::Withheld => write!(f, "endpoint takes no requests now"),
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
    /// The error of a connection after part of a request may have been written.
    pub(crate) fn after_write(error: hyper::Error) -> Self {
        if error.is_parse() || has_io_cause(&error, is_invalid) {
            return Self::Invalid(error);
        }
        Self::Broken(error)
    }

    /// Whether it is certain that no byte of the request was written.
    #[must_use]
    pub const fn unwritten(&self) -> bool {
        match self {
            Self::Connect(_) | Self::NotWritten(_) | Self::Request(_) | Self::Withheld => true,
            Self::Broken(_) | Self::Invalid(_) | Self::Timeout | Self::TooLarge => false,
        }
    }

    /// Whether nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether the connection broke at the endpoint, and not at a peer that forwards its bytes.
    #[must_use]
    pub fn is_break_of_endpoint(&self) -> bool {
        let Self::Broken(error) = self else {
            return false;
        };
        !has_io_cause(error, |kind| kind == ErrorKind::NotConnected)
    }
}

const fn is_invalid(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::InvalidData | ErrorKind::InvalidInput)
}

/// Whether one of the causes of an error is an I/O error of such a kind.
fn has_io_cause(error: &hyper::Error, is_sought: impl Fn(ErrorKind) -> bool) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        let io = cause.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| is_sought(io.kind())) {
            return true;
        }
        source = cause.source();
    }
    false
}
