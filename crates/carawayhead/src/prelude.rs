//! Common imports of this package.

pub use {
    crate::{clock::Clock, error::Error},
    bytes::Bytes,
    caller::{
        InboundRequest,
        inbound::{Payload, RequestKind, ResponseEvent},
    },
    decision::{
        endpoint as target, generation,
        prelude::{
            Action, AppendResult, Arrival, Attempt, Batch, Event, Limits, MayHaveRun, Outcome,
            Record, State, Time, Wall, Work,
        },
        request,
    },
    endpoint::Client,
    operator::{Fault, Settings},
    serde_json::{Value, json},
    slotmap::SecondaryMap,
    std::{
        fmt::{self, Display, Formatter},
        process::ExitCode,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        sync::mpsc::{self, Receiver, Sender},
        task::AbortHandle,
    },
    uuid::Uuid,
};
