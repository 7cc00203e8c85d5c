//! I/O data that the event loop keeps per request: the body and the response channel.

use crate::prelude::*;

/// The I/O side of a request in progress.
#[derive(Debug)]
pub struct Exchange {
    /// The request as received from the caller.
    pub ask: RequestKind,
    /// Request id for log lines.
    pub id: Uuid,
    /// Channel for the pieces of the answer.
    pub outlet: Sender<ResponseEvent>,
    /// Task of the current connection to an endpoint.
    task: Option<AbortHandle>,
}

impl Exchange {
    /// Creates an exchange that is not connected to an endpoint.
    #[must_use]
    pub const fn new(ask: RequestKind, id: Uuid, outlet: Sender<ResponseEvent>) -> Self {
        Self {
            ask,
            id,
            outlet,
            task: None,
        }
    }

    /// Closes the connection to the endpoint.
    pub fn detach(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Replaces the connection to the endpoint.
    pub fn attach(&mut self, task: AbortHandle) {
        self.detach();
        self.task = Some(task);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.detach();
    }
}
