//! Errors of commands.

use crate::prelude::*;

/// Reason why a command failed.
#[derive(Debug)]
pub enum Error {
    /// A check of the demo failed.
    Demo(String),
    /// Settings or record files have faults.
    Faults(Vec<Fault>),
    /// I/O error: the name of the file or resource, and the cause.
    Io(String, std::io::Error),
    /// A listener could not be started: its address and the cause.
    Listen(String, String),
    /// A forwarding instance failed.
    Forward(proxy::Error),
    /// Messaging between instances could not be set up.
    Peer(peer::Error),
    /// A request to the platform failed.
    Platform(streamlog::Error),
    /// A record was not applied because it is not based on the current version of an item.
    Conflict(String),
    /// The requested item, record or instance was not found.
    Missing(String),
    /// It is unknown whether a record was published.
    Unsettled(String),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Conflict(text) | Self::Missing(text) | Self::Unsettled(text) => f.write_str(text),
            Self::Demo(text) => write!(f, "demo: {text}"),
            Self::Faults(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                write!(f, "{} faults", faults.len())
            }
            Self::Peer(error) => write!(f, "{error}"),
            Self::Forward(error) => write!(f, "{error}"),
            Self::Io(name, error) => write!(f, "{name}: {error}"),
            Self::Listen(address, error) => write!(f, "cannot listen at {address}: {error}"),
            Self::Platform(error) => write!(f, "platform: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Vec<Fault>> for Error {
    fn from(faults: Vec<Fault>) -> Self {
        Self::Faults(faults)
    }
}

impl From<proxy::Error> for Error {
    fn from(error: proxy::Error) -> Self {
        Self::Forward(error)
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Peer(error)
    }
}

impl From<streamlog::Error> for Error {
    fn from(error: streamlog::Error) -> Self {
        Self::Platform(error)
    }
}

impl Error {
    /// Returns the exit code, as listed in docs/OPERATING.md.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Faults(_) | Self::Forward(proxy::Error::Settings(..)) => 2,
            Self::Conflict(_) => 3,
            Self::Unsettled(_) => 4,
            Self::Demo(_)
            | Self::Peer(_)
            | Self::Forward(_)
            | Self::Io(..)
            | Self::Listen(..)
            | Self::Missing(_)
            | Self::Platform(_) => 1,
        })
    }
}
