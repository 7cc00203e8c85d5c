//! I/O data that the event loop keeps per request: the body and the response channel.

use crate::prelude::*;

/// The I/O side of a request in progress.
#[derive(Debug)]
pub struct Exchange {
    /// The request as received from the caller.
    pub request_kind: RequestKind,
    /// Request id for log lines.
    pub id: Uuid,
    /// Channel for the response events.
    pub event_sender: Sender<ResponseEvent>,
    /// Task of the current connection to an endpoint.
    task: Option<AbortHandle>,
}

impl Exchange {
    /// Creates an exchange that is not connected to an endpoint.
    #[must_use]
    pub const fn new(
        request_kind: RequestKind,
        id: Uuid,
        event_sender: Sender<ResponseEvent>,
    ) -> Self {
        Self {
            request_kind,
            id,
            event_sender,
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
