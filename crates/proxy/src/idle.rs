//! Idle connections of callers.

use {
    crate::{clock, prelude::*},
    hyper::body::{Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::Notify,
};

/// Requests in progress on a connection, and since when there has been none.
#[derive(Debug)]
pub struct Activity {
    idle_since: Cell<Time>,
    in_progress: Cell<usize>,
    /// Notified when the connection is to be closed although a response is on it.
    let_go: Notify,
}

impl Activity {
    /// A connection that has just been accepted.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            idle_since: Cell::new(clock::now()),
            in_progress: Cell::new(0),
            let_go: Notify::new(),
        })
    }

    /// Counts a request as in progress until its response has been written.
    #[must_use]
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.in_progress.set(self.in_progress.get() + 1);
        Busy(Rc::clone(self))
    }

    /// Whether a request is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.in_progress.get() > 0
    }

    /// Closes the connection, whatever is on it.
    pub fn let_go(&self) {
        self.let_go.notify_one();
    }

    /// Waits until the connection is to be closed whatever is on it.
    pub async fn closes(&self) {
        self.let_go.notified().await;
    }

    /// Waits until no request has been in progress for as long as the newest configuration allows.
    pub async fn expired(&self, shared: &Shared) {
        loop {
            let limit = shared.limits().idle_timeout;
            let idle = clock::now().since(self.idle_since.get());
            let left = if self.is_busy() {
                limit
            } else {
                limit.saturating_sub(idle)
            };
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct Busy(Rc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.idle_since.set(clock::now());
    }
}

/// A body whose request is in progress until it has been written.
#[derive(Debug)]
pub struct Tracked {
    /// The body.
    pub body: Body,
    /// Its request.
    pub busy: Busy,
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
