//! Common imports of this package.

pub use {
    crate::{error::Error, process::Process},
    bytes::Bytes,
    endpoint::{Client, client::Reply, sse::Parser},
    hdrhistogram::Histogram,
    http::Request,
    http_body_util::Full,
    serde_json::{Value, json},
    std::{
        fmt::{self, Display, Formatter},
        path::PathBuf,
        time::{Duration, Instant, SystemTime},
    },
};
