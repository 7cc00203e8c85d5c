//! Claims on order keys: a state that is a function of the log's prefix.
//!
//! An instance appends a claim before it sends an order. The first claim of a
//! key in offset order holds the key for good, so a holder that was paused for
//! any time still owns it and nobody else has sent the order: a lease would lack
//! that property, since it can lapse while its holder is paused.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Largest answer that is kept in the log for callers who come back, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 2048;

/// Random identifier of one claim, the same in every copy of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id(pub u128);

/// One line of the claim stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The claim spoken of.
    pub claim: Id,
    /// Digest of the customer, see [`order::Key`].
    pub customer: u64,
    /// What is said of the claim.
    pub kind: Kind,
    /// The UUID of the order key.
    pub uuid: u128,
}

impl Entry {
    /// The order key spoken of.
    #[must_use]
    pub const fn key(&self) -> order::Key {
        order::Key {
            uuid: self.uuid,
            customer: self.customer,
        }
    }
}

/// What an entry says of its claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Kind {
    /// The order ran; the answer follows if it is small enough.
    Answered(Option<StoredAnswer>),
    /// The sender is about to send the order with this body digest.
    Claim(u128),
    /// The holder sent the order and lost sight of it.
    Lost,
    /// The holder has not sent the order under this claim and never will.
    Void,
}

/// An answer as the log keeps it.
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
    /// Keeps `answer` if it is small enough.
    #[must_use]
    pub fn of(answer: &Answer) -> Option<Self> {
        (answer.body.len() <= MAX_STORED_ANSWER_BYTES).then(|| Self {
            body: answer.body.to_vec(),
            media: answer.media.clone(),
            status: answer.status,
        })
    }

    /// The answer to give to a caller.
    #[must_use]
    pub fn answer(&self) -> Answer {
        Answer {
            body: Bytes::copy_from_slice(&self.body),
            media: self.media.clone(),
            status: self.status,
        }
    }
}

/// Where an order key stands.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// It ran; the answer is here if it was small enough.
    Answered(Option<StoredAnswer>),
    /// Nobody holds it.
    Free,
    /// A claim holds it.
    Held {
        /// The claim.
        claim: Id,
        /// Digest of the holder's instance name.
        holder: u64,
    },
    /// It was sent, and whether it ran is not known.
    Lost,
}

/// What is known of one order key.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Digest of the body that the key was first used with.
    pub body: u128,
    /// The key.
    pub key: order::Key,
    /// Where it stands.
    pub state: KeyState,
    /// Claims given up, so that a late copy of one does not take the key again.
    voided: Vec<Id>,
}

/// All order keys within the window, sorted by key.
#[derive(Debug, Default)]
pub struct ClaimTable {
    covered_from: Option<Wall>,
    slots: VecDeque<Slot>,
}

impl ClaimTable {
    /// Applies one entry of the log and returns the key it changed, if any.
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

    /// Says from which time of the log on every record has been read.
    ///
    /// Called with the time of the first record read, and again when records
    /// between two reads aged out: keys that may have been claimed in the missing
    /// part must not be taken, or an order could run twice.
    pub fn set_covered_from(&mut self, from: Wall) {
        self.covered_from = Some(from);
    }

    /// Whether every claim that can exist for `key` has been read.
    ///
    /// A claim cannot be older in log time than the key's birth less twice the
    /// allowed clock difference, since keys from the future are refused.
    #[must_use]
    pub fn covers(&self, key: order::Key, skew: Duration) -> bool {
        let oldest = key.birth().before(skew * 2);
        self.covered_from.is_some_and(|from| from <= oldest)
    }

    /// Drops keys born before `birth` and returns how many there were.
    pub fn expire(&mut self, birth: Wall) -> usize {
        let expired = self.slots.partition_point(|slot| slot.key.birth() < birth);
        self.slots.drain(..expired);
        expired
    }

    /// What is known of `key`.
    #[must_use]
    pub fn get(&self, key: order::Key) -> Option<&Slot> {
        let index = self
            .slots
            .binary_search_by_key(&key, |slot| slot.key)
            .ok()?;
        self.slots.get(index)
    }

    /// Number of keys known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is known.
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
