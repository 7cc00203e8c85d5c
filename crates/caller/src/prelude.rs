//! Common imports of this package.

pub use {
    crate::{
        error::Error,
        events::EventStream,
        handle::Handle,
        inbound::{InboundRequest, Payload, RequestKind, ResponseEvent},
        problem::Problem,
        server::HandlerState,
    },
    bytes::Bytes,
    decision::{
        generation,
        order::Order,
        prelude::{Answer, MayHaveRun, NotRun, Outcome, Refusal},
    },
    salvo::{
        Depot, Request, Response,
        http::{HeaderMap, Method, StatusCode},
    },
    serde_json::{Map, Value, json},
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    tokio::sync::mpsc::{Receiver, Sender},
    uuid::Uuid,
};
