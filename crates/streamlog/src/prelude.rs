//! Common imports of this package.

pub use {
    crate::error::Error,
    base64::{Engine as _, prelude::BASE64_STANDARD},
    bytes::Bytes,
    decision::prelude::{AppendResult, Batch, Wall},
    endpoint::Client,
    http::{Request, StatusCode, header::HOST},
    http_body_util::Full,
    serde::Deserialize,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    tokio::time::timeout,
};
