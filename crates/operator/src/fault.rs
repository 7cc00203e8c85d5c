//! Faults found in files.

use crate::prelude::*;

/// One fault, with all that is needed to mend it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What would be right.
    pub allowed: String,
    /// The file as it was named.
    pub file: String,
    /// What stands there.
    pub found: String,
    /// The key, with the tables it stands in.
    pub key: String,
    /// Line in the file, counted from one.
    pub line: usize,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Self {
            allowed,
            file,
            found,
            key,
            line,
        } = self;
        write!(f, "{file}:{line}: {key}: found {found}, allowed: {allowed}")
    }
}

impl std::error::Error for Fault {}
