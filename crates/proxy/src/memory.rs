//! Bytes that are held for callers and endpoints, counted against the memory of the instance.

use {
    crate::{clock, idle::Activity, listen::RequestGuard, metrics::BufferMetrics, prelude::*},
    forward::memory::{Grant, HolderKey, Memory, Use},
    tokio::sync::Notify,
};

/// Why a caller loses its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It has read nothing for as long as a connection may be idle.
    NotRead,
    /// The memory is short, and its response holds most of it.
    OutOfMemory,
}

impl Reason {
    /// Name in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotRead => "not_read",
            Self::OutOfMemory => "out_of_memory",
        }
    }
}

/// The bytes that an instance holds.
#[derive(Debug)]
pub struct Buffers {
    /// Sorted by key.
    holders: RefCell<Vec<(HolderKey, Rc<Holder>)>>,
    memory: RefCell<Memory>,
    metrics: BufferMetrics,
}

/// A request body or a response.
#[derive(Debug)]
struct Holder {
    /// The caller's connection, once the response is on it.
    connection: RefCell<Option<Rc<Activity>>>,
    /// Id of the request.
    id: String,
    let_go: Cell<Option<Reason>>,
    /// Notified when it is let go, and when bytes are released.
    changed: Notify,
}

impl Buffers {
    /// Buffers of an instance that may hold `budget` bytes.
    #[must_use]
    pub fn new(budget: usize, metrics: BufferMetrics) -> Rc<Self> {
        Rc::new(Self {
            holders: RefCell::default(),
            memory: RefCell::new(Memory::new(budget)),
            metrics,
        })
    }

    /// A holder of no bytes for the request with this id.
    #[must_use]
    pub fn hold(self: &Rc<Self>, held_for: Use, id: &str) -> Held {
        let holder = Rc::new(Holder {
            connection: RefCell::default(),
            id: id.to_string(),
            let_go: Cell::new(None),
            changed: Notify::new(),
        });
        let key = self.memory.borrow_mut().add(held_for);
        // Keys ascend, so the vector stays sorted.
        self.holders.borrow_mut().push((key, Rc::clone(&holder)));
        Held {
            buffers: Rc::clone(self),
            guard: RefCell::default(),
            holder,
            key,
        }
    }

    /// Lets go responses that their callers have not read for `limit`.
    pub fn let_go_unread(&self, limit: Duration) {
        let unread = self.memory.borrow().unread(clock::now(), limit);
        for key in unread {
            let bytes = self.memory.borrow().held_by(key);
            self.memory.borrow_mut().remove(key);
            self.let_go(key, bytes, Reason::NotRead);
        }
        self.publish();
    }

    fn let_go(&self, key: HolderKey, bytes: usize, reason: Reason) {
        let holder = {
            let holders = self.holders.borrow();
            let found = holders.binary_search_by_key(&key, |(key, _)| *key);
            found.ok().map(|index| Rc::clone(&holders[index].1))
        };
        let Some(holder) = holder else {
            return;
        };
        holder.let_go.set(Some(reason));
        holder.changed.notify_waiters();
        if let Some(connection) = holder.connection.borrow().as_ref() {
            connection.let_go();
        }
        let reason = reason.label();
        log::warn!(id = holder.id, reason, bytes; "response is let go");
        self.metrics.record_let_go(reason);
    }

    fn publish(&self) {
        let memory = self.memory.borrow();
        for (held_for, name) in Use::ALL {
            self.metrics.record_held(name, memory.held(held_for));
        }
    }
}

/// The bytes that one request body or response holds, until dropped.
#[derive(Debug)]
pub struct Held {
    buffers: Rc<Buffers>,
    /// Keeps the request in progress until its caller has read the response.
    guard: RefCell<Option<RequestGuard>>,
    holder: Rc<Holder>,
    key: HolderKey,
}

impl Held {
    /// Counts bytes that have come in; `false` if they must not be kept.
    #[must_use]
    pub fn take(&self, bytes: usize) -> bool {
        let grant = {
            let mut memory = self.buffers.memory.borrow_mut();
            memory.take(clock::now(), self.key, bytes)
        };
        let Grant::Held(let_go) = grant else {
            return false;
        };
        for (key, bytes) in &let_go {
            self.buffers.let_go(*key, *bytes, Reason::OutOfMemory);
        }
        !let_go.iter().any(|(key, _)| *key == self.key)
    }

    /// Counts bytes as no longer held, since they have been passed on.
    pub fn release(&self, bytes: usize) {
        let mut memory = self.buffers.memory.borrow_mut();
        memory.release(clock::now(), self.key, bytes);
        self.holder.changed.notify_waiters();
    }

    /// Changes the number of bytes held to `bytes`; `false` if they must not be kept.
    #[must_use]
    pub fn resize(&self, bytes: usize) -> bool {
        let held = self.bytes();
        if bytes > held {
            return self.take(bytes - held);
        }
        self.release(held - bytes);
        true
    }

    /// Number of bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.buffers.memory.borrow().held_by(self.key)
    }

    /// Why it was let go, if it was.
    #[must_use]
    pub fn reason(&self) -> Option<Reason> {
        self.holder.let_go.get()
    }

    /// Waits until it is let go.
    pub async fn let_go(&self) -> Reason {
        loop {
            let changed = self.holder.changed.notified();
            if let Some(reason) = self.reason() {
                return reason;
            }
            changed.await;
        }
    }

    /// Waits until it holds less than `bytes`.
    pub async fn falls_below(&self, bytes: usize) {
        loop {
            let changed = self.holder.changed.notified();
            if self.bytes() < bytes {
                return;
            }
            changed.await;
        }
    }

    /// Keeps the request in progress for as long as its response is held.
    pub fn keep(&self, guard: RequestGuard) {
        self.guard.replace(Some(guard));
    }

    /// Records that the caller may read the response, on this connection, which ends if the response is let
    /// go. The body cannot end it: it is not polled while the caller reads nothing.
    pub fn attach(&self, connection: &Rc<Activity>) {
        self.buffers
            .memory
            .borrow_mut()
            .offer(clock::now(), self.key);
        self.holder.connection.replace(Some(Rc::clone(connection)));
        if self.reason().is_some() {
            connection.let_go();
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.buffers.memory.borrow_mut().remove(self.key);
        let mut holders = self.buffers.holders.borrow_mut();
        if let Ok(index) = holders.binary_search_by_key(&self.key, |(key, _)| *key) {
            holders.remove(index);
        }
    }
}
