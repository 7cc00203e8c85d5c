//! Names that most modules of this package use.

pub use {
    crate::{
        error::Error,
        reply::{Body, Reply},
        shared::Shared,
    },
    bytes::Bytes,
    forward::prelude::{EndpointKey, Fingerprint, Inbound, Kind, Part, Refusal, RunKey, Time},
    http::{Request, Response, StatusCode, request::Parts},
    std::{
        cell::{Cell, RefCell},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};
