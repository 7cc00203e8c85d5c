//! Requests from the listener to the event loop, and the events of their responses.

use {
    crate::{prelude::*, problem::set_header},
    tokio::sync::mpsc,
};

/// A caller's request with the channel for its response.
#[derive(Debug)]
pub struct InboundRequest {
    /// Kind of the request.
    pub kind: RequestKind,
    /// BLAKE3 hash of the caller's key.
    pub credential: [u8; 32],
    /// Request id for log lines.
    pub id: Uuid,
    /// Channel for response events; closed when the caller disconnects.
    pub event_sender: Sender<ResponseEvent>,
    /// The caller's timeout, if it set one.
    pub timeout: Option<Duration>,
}

/// Kind of a request, with the data to forward to the endpoint.
#[derive(Debug)]
pub enum RequestKind {
    /// A call of a plain service.
    Call {
        /// The order, if the caller gave an idempotency key.
        order: Option<Order>,
        /// The call to forward.
        payload: Payload,
        /// Name of the service.
        service: String,
    },
    /// A generation.
    Generation {
        /// JSON body; the event loop sets the model version before it is sent.
        body: Map<String, Value>,
        /// Maximum number of output tokens.
        limit: u32,
        /// Public model name.
        model: String,
        /// Path of the API.
        path: &'static str,
        /// Estimated prompt length in tokens.
        prompt: u32,
    },
    /// Resumption of a generation's stream.
    Resume {
        /// Name of the endpoint that runs the generation.
        endpoint: String,
        /// The generation.
        generation: generation::Id,
        /// Index of the first token to deliver.
        next: u32,
    },
}

/// A service call as it is forwarded.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The body.
    pub body: Bytes,
    /// The idempotency key as the caller sent it, without quotes.
    pub idempotency_key: Option<String>,
    /// The `Content-Type`, empty if there was none.
    pub content_type: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, relative to the service.
    pub path: String,
}

/// An event of a response.
#[derive(Debug)]
pub enum ResponseEvent {
    /// The generation was sent to the endpoint of this name.
    Started(String, generation::Id),
    /// The request finished.
    End(Outcome),
    /// A token: its index and the engine's JSON data.
    Token(u32, Bytes),
}

impl HandlerState {
    /// Sends a request to the event loop and returns the channel for its response events.
    ///
    /// Sets the request id as a response header, so that callers can quote the id that
    /// operators see in the log.
    pub(crate) async fn submit(
        &self,
        kind: RequestKind,
        credential: [u8; 32],
        timeout: Option<Duration>,
        response: &mut Response,
    ) -> Result<Receiver<ResponseEvent>, Error> {
        let (event_sender, events) = mpsc::channel(self.event_buffer_len);
        let id = Uuid::new_v4();
        set_header(response, "x-request-id", &id.to_string());
        let inbound = InboundRequest {
            kind,
            credential,
            id,
            event_sender,
            timeout,
        };
        match self.inbound.send(inbound).await {
            Ok(()) => Ok(events),
            Err(_ended) => Err(Error::Stopping),
        }
    }
}
