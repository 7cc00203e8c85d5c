//! Forwarding by instance processes between callers, a store, engines and plain services.

mod answers;
mod crashes;
mod instance;
mod knowledge;
#[path = "../soak/loopback.rs"]
mod loopback;
mod partitions;
mod rollouts;
mod streams;
