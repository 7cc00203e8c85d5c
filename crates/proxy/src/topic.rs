//! How far each topic of the store is known.

use {
    crate::{clock, prelude::*},
    forward::{
        freshness::Freshness,
        reader::{TOPICS, Word},
    },
    platform::store::Topic,
    tokio::sync::Notify,
};

/// The topics, in the order in which reports name them.
pub const ALL: [Topic; TOPICS] = [Topic::Operators, Topic::Endpoints, Topic::Instances];

/// Place of a topic in [`ALL`].
#[must_use]
pub const fn index(topic: Topic) -> usize {
    match topic {
        Topic::Operators => 0,
        Topic::Endpoints => 1,
        Topic::Instances => 2,
    }
}

/// How far one topic is known.
#[derive(Debug, Default)]
pub struct TopicState {
    /// Age of what is known.
    pub freshness: Cell<Freshness>,
    /// Offset after the last record taken in; `None` before the first read.
    pub position: Cell<Option<u64>>,
    /// Whether the last call to the store was answered.
    pub reachable: Cell<bool>,
    /// Signalled when a read is wanted at once.
    pub read_wanted: Notify,
    /// Signalled after each read, whether it failed or not.
    pub read_done: Notify,
}

impl TopicState {
    /// What this instance says of its knowledge.
    #[must_use]
    pub fn watermark(&self) -> Word {
        let position = self.position.get();
        Word {
            age: position.and(self.freshness.get().age(clock::now())),
            position: position.unwrap_or_default(),
        }
    }
}
