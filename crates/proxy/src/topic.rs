//! Read progress of the store's topics.

use {
    crate::{clock, prelude::*},
    forward::{
        freshness::Freshness,
        reader::{TOPICS, Watermark},
    },
    platform::store::Topic,
    tokio::sync::Notify,
};

/// The topics, in the order of watermarks in reports.
pub const ALL: [Topic; TOPICS] = [
    Topic::Operators,
    Topic::Endpoints,
    Topic::Instances,
    Topic::Crashes,
    Topic::Rollouts,
];

/// Index of a topic in [`ALL`]; those that are not followed have none.
#[must_use]
pub const fn index(topic: Topic) -> usize {
    match topic {
        Topic::Operators => 0,
        Topic::Endpoints => 1,
        Topic::Instances => 2,
        Topic::Crashes => 3,
        Topic::Rollouts | Topic::Statuses => 4,
    }
}

/// Read progress of one topic.
#[derive(Debug, Default)]
pub struct TopicState {
    /// Age of the data.
    pub freshness: Cell<Freshness>,
    /// Offset after the last record applied; `None` before the first read.
    pub position: Cell<Option<u64>>,
    /// Whether the last call to the store succeeded.
    pub reachable: Cell<bool>,
    /// Notified when an immediate read is wanted.
    pub read_wanted: Notify,
    /// Notified after each read, successful or not.
    pub read_done: Notify,
}

impl TopicState {
    /// This instance's watermark of the topic.
    #[must_use]
    pub fn watermark(&self) -> Watermark {
        let position = self.position.get();
        Watermark {
            age: position.and(self.freshness.get().age(clock::now())),
            position: position.unwrap_or_default(),
        }
    }
}
