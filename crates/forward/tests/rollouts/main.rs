//! Rollouts of new versions: single decisions, and random histories of many instances.

#[path = "../common/mod.rs"]
mod common;
mod decisions;
mod histories;
mod judgement;
mod simulation;
