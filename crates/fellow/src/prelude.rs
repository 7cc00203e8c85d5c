//! Names that most modules of this package use.

pub use {
    crate::error::Error,
    std::fmt::{self, Display, Formatter},
};
