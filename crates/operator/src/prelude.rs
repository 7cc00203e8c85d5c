//! Common imports of this package.

pub use {
    crate::{
        duration,
        fault::Fault,
        reader::{Reader, Section},
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
