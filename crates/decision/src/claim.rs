//! Claims on order keys, derived from the claim stream.
//!
//! An instance appends a claim before it sends an order. The first claim of a key in offset
//! order holds the key permanently. Unlike a lease, a claim cannot expire while its holder is
//! paused, so no other instance can send the order in the meantime.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Largest answer body, in bytes, that is stored in the log for repeated orders.
pub const MAX_STORED_ANSWER_BYTES: usize = 2048;

/// Random identifier of a claim, the same in all of its entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id(pub u128);

/// An entry of the claim stream about an order key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The claim.
    pub claim: Id,
    /// Digest of the customer, see [`order::Key`].
    pub customer: u64,
    /// The change.
    pub kind: Kind,
    /// The UUID of the order key.
    pub uuid: u128,
}

impl Entry {
    /// The order key.
    #[must_use]
    pub const fn key(&self) -> order::Key {
        order::Key {
            uuid: self.uuid,
            customer: self.customer,
        }
    }
}

/// The change that an entry makes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Kind {
    /// The order ran; carries the answer unless it is too large.
    Answered(Option<StoredAnswer>),
    /// The appending instance is about to send the order with this body digest.
    Claim(u128),
    /// The holder sent the order and does not know its result.
    Lost,
    /// The holder has not sent the order under this claim and never will.
    Void,
}

/// An answer stored in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The body.
    pub body: Vec<u8>,
    /// The `Content-Type`.
    pub media: String,
    /// The HTTP status.
    pub status: u16,
}

impl StoredAnswer {
    /// Copies `answer`; `None` if its body exceeds [`MAX_STORED_ANSWER_BYTES`].
    #[must_use]
    pub fn of(answer: &Answer) -> Option<Self> {
        (answer.body.len() <= MAX_STORED_ANSWER_BYTES).then(|| Self {
            body: answer.body.to_vec(),
            media: answer.media.clone(),
            status: answer.status,
        })
    }

    /// The answer to return to a caller.
    #[must_use]
    pub fn answer(&self) -> Answer {
        Answer {
            body: Bytes::copy_from_slice(&self.body),
            media: self.media.clone(),
            status: self.status,
        }
    }
}

/// State of an order key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The order ran; carries the answer unless it was too large.
    Answered(Option<StoredAnswer>),
    /// No claim holds the key.
    Free,
    /// A claim holds the key.
    Held {
        /// The claim.
        claim: Id,
        /// Digest of the holder's instance name.
        holder: u64,
    },
    /// The order was sent; whether it ran is unknown.
    Lost,
}

/// An order key and its state.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Body digest of the claim that last acquired the key.
    pub body: u128,
    /// The key.
    pub key: order::Key,
    /// Its state.
    pub state: KeyState,
    /// Voided claims, so that a duplicate entry of one does not acquire the key again.
    voided: Vec<Id>,
}

/// All order keys within the order window, sorted by key.
#[derive(Debug, Default)]
pub struct ClaimTable {
    covered_from: Option<Wall>,
    slots: VecDeque<Slot>,
}

impl ClaimTable {
    /// Applies an entry that the instance with the name digest `holder` appended.
    pub fn apply(&mut self, entry: &Entry, holder: u64) {
        let slot = self.slot(entry.key());
        match &entry.kind {
            Kind::Answered(answer) => {
                if slot.holds(entry.claim) {
                    slot.state = KeyState::Answered(answer.clone());
                }
            }
            Kind::Claim(body) => slot.acquire(entry.claim, holder, *body),
            Kind::Lost => {
                if slot.holds(entry.claim) {
                    slot.state = KeyState::Lost;
                }
            }
            Kind::Void => slot.void(entry.claim),
        }
    }

    /// Sets the log time from which on every record has been read.
    ///
    /// Called with the time of the first record read, and again when records between two
    /// reads were dropped by the log. Keys that may have been claimed in the missing records
    /// must not be claimed, or an order could run twice.
    pub fn set_covered_from(&mut self, from: Wall) {
        self.covered_from = Some(from);
    }

    /// Whether every claim that can exist for `key` has been read.
    ///
    /// In log time, a claim cannot be older than the creation of the key less twice the
    /// allowed clock skew, since keys from the future are refused.
    #[must_use]
    pub fn covers(&self, key: order::Key, skew: Duration) -> bool {
        let oldest = key.created_at().before(skew * 2);
        self.covered_from.is_some_and(|from| from <= oldest)
    }

    /// Drops keys created before `created_at` and returns their number.
    pub fn expire(&mut self, created_at: Wall) -> usize {
        let expired = self
            .slots
            .partition_point(|slot| slot.key.created_at() < created_at);
        self.slots.drain(..expired);
        expired
    }

    /// The entry of `key`.
    #[must_use]
    pub fn get(&self, key: order::Key) -> Option<&Slot> {
        let index = self
            .slots
            .binary_search_by_key(&key, |slot| slot.key)
            .ok()?;
        self.slots.get(index)
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn slot(&mut self, key: order::Key) -> &mut Slot {
        let index = match self.slots.binary_search_by_key(&key, |slot| slot.key) {
            Ok(index) => index,
            Err(index) => {
                self.slots.insert(index, Slot::new(key));
                index
            }
        };
        &mut self.slots[index]
    }
}

impl Slot {
    /// Whether `claim` holds the key.
    #[must_use]
    pub fn holds(&self, claim: Id) -> bool {
        matches!(self.state, KeyState::Held { claim: held, .. } if held == claim)
    }

    const fn new(key: order::Key) -> Self {
        Self {
            body: 0,
            key,
            state: KeyState::Free,
            voided: Vec::new(),
        }
    }

    fn acquire(&mut self, claim: Id, holder: u64, body: u128) {
        if self.state != KeyState::Free || self.voided.contains(&claim) {
            return;
        }
        self.body = body;
        self.state = KeyState::Held { claim, holder };
    }

    fn void(&mut self, claim: Id) {
        if !self.voided.contains(&claim) {
            self.voided.push(claim);
        }
        if self.holds(claim) {
            self.state = KeyState::Free;
        }
    }
}
