//! Requests on their way to the loop, and the pieces of their answers.

use {
    crate::{prelude::*, problem::set},
    tokio::sync::mpsc,
};

/// A request with the way back to its caller.
#[derive(Debug)]
pub struct InboundRequest {
    /// What is asked for.
    pub kind: RequestKind,
    /// BLAKE3 hash of the caller's key.
    pub credential: [u8; 32],
    /// Request id, for log lines.
    pub id: Uuid,
    /// Where the pieces of the answer go; closed when the caller leaves.
    pub event_sender: Sender<ResponseEvent>,
    /// How long the caller waits, if it said so.
    pub timeout: Option<Duration>,
}

/// What is asked for, with what is to be sent on.
#[derive(Debug)]
pub enum RequestKind {
    /// A call of a plain service.
    Call {
        /// The order key, if the caller gave one.
        order: Option<Order>,
        /// What to send.
        payload: Payload,
        /// Name of the service.
        service: String,
    },
    /// A generation.
    Generation {
        /// JSON body, to be completed with the model version.
        body: Map<String, Value>,
        /// Largest number of tokens.
        limit: u32,
        /// Public model name.
        model: String,
        /// Path of the API.
        path: &'static str,
        /// Estimated prompt length in tokens.
        prompt: u32,
    },
    /// The rest of a generation.
    Resume {
        /// Name of the endpoint that keeps it.
        endpoint: String,
        /// The generation.
        generation: generation::Id,
        /// First index wanted.
        next: u32,
    },
}

/// A call as it is to be sent.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The body.
    pub body: Bytes,
    /// The idempotency key as the caller wrote it.
    pub idempotency_key: Option<String>,
    /// The `Content-Type`.
    pub content_type: String,
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
}

/// A piece of an answer.
#[derive(Debug)]
pub enum ResponseEvent {
    /// The generation was given to an endpoint of this name.
    Started(String, generation::Id),
    /// The request is over.
    End(Outcome),
    /// A token with its index.
    Token(u32, Bytes),
}

impl HandlerState {
    /// Hands a request to the loop and returns where the pieces of its answer come.
    ///
    /// The request id goes into the response, so that callers and operators can name
    /// the request alike.
    pub(crate) async fn submit(
        &self,
        kind: RequestKind,
        credential: [u8; 32],
        timeout: Option<Duration>,
        response: &mut Response,
    ) -> Result<Receiver<ResponseEvent>, Error> {
        let (event_sender, pieces) = mpsc::channel(self.event_buffer_len);
        let id = Uuid::new_v4();
        set(response, "x-request-id", &id.to_string());
        let inbound = InboundRequest {
            kind,
            credential,
            id,
            event_sender,
            timeout,
        };
        match self.inbound.send(inbound).await {
            Ok(()) => Ok(pieces),
            Err(_ended) => Err(Error::Stopping),
        }
    }
}
