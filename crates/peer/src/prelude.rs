//! Names that most modules of this package use.

pub use {
    crate::{
        error::Error,
        message::{Answer, Hello},
        tls,
    },
    quinn::{Connection, Endpoint},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{mpsc::Sender, oneshot},
        time::timeout,
    },
};
