//! Errors found in settings and record files.

use crate::prelude::*;

/// One error in a file, with what an operator needs to correct it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The values that are allowed.
    pub allowed: String,
    /// Name of the file.
    pub file: String,
    /// The value that was found.
    pub found: String,
    /// Path of the key, including its tables.
    pub key: String,
    /// Line number, starting at 1.
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
