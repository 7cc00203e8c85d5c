//! Instances that forward, as separate processes, before a store, engines and a desk.

mod answers;
mod instance;
mod knowledge;
mod streams;
