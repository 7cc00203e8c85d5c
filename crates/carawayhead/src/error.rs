//! Errors that end a command.

use crate::prelude::*;

/// Why a command could not do its work.
#[derive(Debug)]
pub enum Error {
    /// The demo did not see what it should have seen.
    Demo(String),
    /// Files have faults.
    Faults(Vec<Fault>),
    /// A file or socket could not be used: its name and the cause.
    Io(String, std::io::Error),
    /// The listener for callers could not be started.
    Listen(String, String),
    /// An instance that forwards cannot run.
    Forward(proxy::Error),
    /// The messages between instances could not be set up.
    Fellow(peer::Error),
    /// The platform could not be asked.
    Platform(streamlog::Error),
    /// A publication lost against another record.
    Beaten(String),
    /// An item does not exist.
    Missing(String),
    /// It is not known whether a publication took effect.
    Unsettled(String),
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Beaten(text) | Self::Missing(text) | Self::Unsettled(text) => f.write_str(text),
            Self::Demo(text) => write!(f, "demo: {text}"),
            Self::Faults(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                write!(f, "{} faults", faults.len())
            }
            Self::Fellow(error) => write!(f, "{error}"),
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
        Self::Fellow(error)
    }
}

impl From<streamlog::Error> for Error {
    fn from(error: streamlog::Error) -> Self {
        Self::Platform(error)
    }
}

impl Error {
    /// The exit code for it; docs/OPERATING.md lists them.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Faults(_) | Self::Forward(proxy::Error::Settings(..)) => 2,
            Self::Beaten(_) => 3,
            Self::Unsettled(_) => 4,
            Self::Demo(_)
            | Self::Fellow(_)
            | Self::Forward(_)
            | Self::Io(..)
            | Self::Listen(..)
            | Self::Missing(_)
            | Self::Platform(_) => 1,
        })
    }
}
