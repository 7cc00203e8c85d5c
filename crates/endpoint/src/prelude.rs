//! Common imports of this package.

pub use {
    crate::{client::Client, error::Error},
    bytes::{Bytes, BytesMut},
    decision::prelude::{Answer, Attempt, Event, Evidence, Failure},
    http::{HeaderMap, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{
        fmt::{self, Display, Formatter},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::mpsc::Sender,
};
