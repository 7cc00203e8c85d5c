//! What the loop keeps beside the state of a request: its way back and its body.

use crate::prelude::*;

/// One request in progress, as the adapters know it.
#[derive(Debug)]
pub struct Exchange {
    /// What is to be sent.
    pub ask: RequestKind,
    /// Request id of the log lines.
    pub id: Uuid,
    /// Where pieces of the answer go.
    pub outlet: Sender<ResponseEvent>,
    /// The connection to the endpoint that serves it now.
    task: Option<AbortHandle>,
}

impl Exchange {
    /// An exchange that has not been sent.
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

    /// Puts a new connection in place of the one before.
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
