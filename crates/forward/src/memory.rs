//! What an instance may hold in memory for callers and endpoints, and what goes first when that is short.
//!
//! A caller that does not read leaves its response here, as does an endpoint whose response has no end. Bytes that come
//! in are counted for a holder: one request body, or one response. Request bodies beyond their share of the budget are
//! refused. When all together exceed the budget, the largest response is let go, which is that of the reader furthest
//! behind.

use crate::prelude::*;

/// Share of the budget up to which request bodies are taken in. The rest is for their responses.
const REQUEST_SHARE: f64 = 0.5;

/// Share of an instance's memory that is the default budget. Connections may take most of the rest.
const MEMORY_SHARE: f64 = 0.25;

/// Largest share of an instance's memory that may be the budget.
const MAX_MEMORY_SHARE: f64 = 0.4;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// The body of a request, kept for retries.
    Request,
    /// A response that is read in full before it is passed on, or waits for its caller to read it.
    Response,
    /// Events of a stream that its caller has not read, and one that is incomplete.
    Stream,
}

impl Use {
    /// All uses, with their names in metrics and log lines.
    pub const ALL: [(Self, &str); 3] = [
        (Self::Request, "request"),
        (Self::Response, "response"),
        (Self::Stream, "stream"),
    ];

    const fn index(self) -> usize {
        self as usize
    }
}

/// Key of a holder.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderKey(u64);

/// Bytes that one request body or response holds.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    key: HolderKey,
    /// When its caller last took something, or there was nothing to take; `None` until there is a response to take.
    read_at: Option<Time>,
    held_for: Use,
}

/// Result of a request for memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The bytes are counted. These holders, which held so many bytes, are to be let go; it may be the one that asked.
    Held(Vec<(HolderKey, usize)>),
    /// The bytes are not counted and must not be kept.
    Refused,
}

/// The bytes held by an instance, and their budget.
#[derive(Clone, Debug)]
pub struct Memory {
    budget: usize,
    held: [usize; Use::ALL.len()],
    /// Sorted by key.
    holders: Vec<Holder>,
    next_key: u64,
}

impl Memory {
    /// An instance that holds nothing and may hold `budget` bytes.
    #[must_use]
    pub const fn new(budget: usize) -> Self {
        Self {
            budget,
            held: [0; Use::ALL.len()],
            holders: Vec::new(),
            next_key: 0,
        }
    }

    /// Bytes held for a use.
    #[must_use]
    pub const fn held(&self, held_for: Use) -> usize {
        self.held[held_for.index()]
    }

    /// Bytes held by one holder.
    #[must_use]
    pub fn held_by(&self, key: HolderKey) -> usize {
        self.find(key).map_or(0, |index| self.holders[index].bytes)
    }

    /// Adds a holder of no bytes.
    pub fn add(&mut self, held_for: Use) -> HolderKey {
        let key = HolderKey(self.next_key);
        self.next_key += 1;
        self.holders.push(Holder {
            bytes: 0,
            key,
            read_at: None,
            held_for,
        });
        key
    }

    /// Counts bytes that have come in for a holder. Nothing is counted for one that was let go.
    pub fn take(&mut self, now: Time, key: HolderKey, bytes: usize) -> Grant {
        let Some(index) = self.find(key) else {
            return Grant::Refused;
        };
        let held_for = self.holders[index].held_for;
        let requests = self.held(Use::Request) + bytes;
        if held_for == Use::Request && requests > share(self.budget, REQUEST_SHARE) {
            return Grant::Refused;
        }
        let holder = &mut self.holders[index];
        if holder.bytes == 0 && holder.read_at.is_some() {
            holder.read_at = Some(now);
        }
        holder.bytes += bytes;
        self.held[held_for.index()] += bytes;
        Grant::Held(self.let_go())
    }

    /// Records that the caller may take what is held.
    pub fn offer(&mut self, now: Time, key: HolderKey) {
        if let Some(index) = self.find(key) {
            self.holders[index].read_at = Some(now);
        }
    }

    /// Counts bytes as no longer held, since they have been taken.
    pub fn release(&mut self, now: Time, key: HolderKey, bytes: usize) {
        let Some(index) = self.find(key) else {
            return;
        };
        let holder = &mut self.holders[index];
        let released = bytes.min(holder.bytes);
        holder.bytes -= released;
        holder.read_at = holder.read_at.map(|_| now);
        self.held[holder.held_for.index()] -= released;
    }

    /// Removes a holder with all that it holds.
    pub fn remove(&mut self, key: HolderKey) {
        if let Some(index) = self.find(key) {
            let holder = self.holders.remove(index);
            self.held[holder.held_for.index()] -= holder.bytes;
        }
    }

    /// Streams and responses of which their callers have taken nothing for as long as `limit`.
    #[must_use]
    pub fn unread(&self, now: Time, limit: Duration) -> Vec<HolderKey> {
        let holders = self.holders.iter();
        let unread = holders.filter(|holder| {
            let read_at = holder.read_at.filter(|_| holder.bytes > 0);
            read_at.is_some_and(|read_at| now.since(read_at) >= limit)
        });
        unread.map(|holder| holder.key).collect()
    }

    /// Removes the largest responses and streams until the rest is within the budget, and returns them.
    fn let_go(&mut self) -> Vec<(HolderKey, usize)> {
        let mut let_go = Vec::new();
        while self.total() > self.budget {
            let holders = self.holders.iter();
            let responses = holders.filter(|holder| holder.held_for != Use::Request);
            let largest = responses.max_by_key(|holder| (holder.bytes, holder.key));
            let Some((bytes, key)) = largest.map(|holder| (holder.bytes, holder.key)) else {
                break;
            };
            if bytes == 0 {
                break;
            }
            self.remove(key);
            let_go.push((key, bytes));
        }
        let_go
    }

    fn total(&self) -> usize {
        self.held.iter().sum()
    }

    fn find(&self, key: HolderKey) -> Option<usize> {
        self.holders
            .binary_search_by_key(&key, |holder| holder.key)
            .ok()
    }
}

/// The budget of an instance with this memory, both in mebibytes: what is set, or a share of the memory.
///
/// # Errors
///
/// The budget is zero, or leaves too little of the memory for the rest; the largest that is allowed.
pub fn budget(memory_mb: u32, buffer_mb: Option<u32>) -> Result<usize, u32> {
    let memory = mebibytes(memory_mb);
    let most = match memory_mb {
        0 => usize::MAX,
        _ => share(memory, MAX_MEMORY_SHARE),
    };
    let default = match memory_mb {
        0 => usize::MAX,
        _ => share(memory, MEMORY_SHARE),
    };
    let budget = buffer_mb.map_or(default, mebibytes);
    if budget == 0 || budget > most {
        return Err(u32::try_from(most >> 20).unwrap_or(u32::MAX));
    }
    Ok(budget)
}

fn mebibytes(count: u32) -> usize {
    usize::try_from(count)
        .unwrap_or(usize::MAX)
        .saturating_mul(1 << 20)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a share of a count; a cast saturates"
)]
fn share(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}
