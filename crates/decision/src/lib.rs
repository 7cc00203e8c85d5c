//! Pure decisions of an entry instance.
//!
//! [`state::State`] owns everything an instance knows. Its functions take the
//! present time and an event and push [`action::Action`]s; nothing here reads a
//! clock, does I/O or draws randomness other than from a generator passed in.

pub mod action;
pub mod answer;
pub mod arrival;
pub mod attempt;
pub mod backlog;
pub mod batch;
pub mod budget;
pub mod call;
pub mod claim;
pub mod config;
pub mod customer;
pub mod ending;
pub mod endpoint;
pub mod event;
pub mod generation;
pub mod gossip;
pub mod hybrid_clock;
pub mod invariant;
pub mod lengths;
pub mod limits;
pub mod membership;
pub mod order;
pub mod outcome;
pub mod prelude;
pub mod proposal;
pub mod reading;
pub mod record;
pub mod request;
pub mod routing;
pub mod sending;
pub mod slow_start;
pub mod snapshot;
pub mod state;
pub mod stats;
pub mod stream;
pub mod time;
pub mod window;
