//! Names that most modules of this package use.

pub use {
    crate::{
        fault::Fault,
        reader::{Reader, Section},
        span,
    },
    decision::limits::Limits,
    std::{
        cell::RefCell,
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::RangeInclusive,
        time::Duration,
    },
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};
