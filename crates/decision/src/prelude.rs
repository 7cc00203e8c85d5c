//! Names that most modules of this package use.

pub use {
    crate::{
        action::Action,
        answer::Answer,
        arrival::{Arrival, Work},
        attempt::Attempt,
        backlog::Backlog,
        batch::{Batch, Sent as AppendResult},
        budget::Budget,
        claim::Table,
        config::Config,
        endpoint::Endpoint,
        event::{Event, Failure},
        invariant::Invariants,
        limits::Limits,
        outcome::{Evidence, MayHaveRun, NotRun, Outcome, Refusal, Unsent},
        record::Record,
        request::{Phase, Request},
        state::State,
        stats::Stats,
        time::{Time, Wall},
    },
    crate::{claim, customer, endpoint, generation, order, request},
    bytes::Bytes,
    rand::{Rng, RngExt},
    slotmap::SlotMap,
    std::{
        collections::VecDeque,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};
