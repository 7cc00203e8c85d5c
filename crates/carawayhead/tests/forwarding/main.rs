//! Forwarding by instance processes between callers, a store, engines and plain services.

mod answers;
mod bounds;
mod cooldowns;
mod copies;
mod crashes;
mod faulty;
mod instance;
mod knowledge;
mod limits;
mod load;
mod memory;
mod odd_entries;
mod overlaps;
mod rollouts;
mod silences;
mod stopping;
mod streams;
mod undelimited;
