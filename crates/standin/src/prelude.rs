//! Common imports of this package.

pub use {
    crate::serve::{Running, serve, write_text},
    bytes::Bytes,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    salvo::{Depot, Request, Response, Router, handler, http::StatusCode},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        convert::Infallible,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant, SystemTime},
    },
    tokio::sync::{Notify, watch},
};
