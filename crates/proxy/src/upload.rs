//! Request bodies of callers.

use {
    crate::{memory::Held, prelude::*},
    endpoint::bounded::Progress,
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
};

/// A request body that has not been read.
#[derive(Debug)]
pub struct Upload {
    body: Incoming,
    progress: Progress,
}

impl Upload {
    /// The body of a request on a connection with this progress.
    #[must_use]
    pub const fn new(body: Incoming, progress: Progress) -> Self {
        Self { body, progress }
    }

    /// Reads the whole body, at most `max_bytes` long.
    ///
    /// # Errors
    ///
    /// It is malformed or too large, or the memory is short.
    pub async fn read(mut self, max_bytes: usize, held: &Held) -> Result<Bytes, Refusal> {
        let mut read = Vec::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| {
                log::info!(error:%; "cannot read request body");
                Refusal::Bad
            })?;
            self.progress.record();
            let data = frame.into_data().unwrap_or_default();
            if read.len() + data.len() > max_bytes {
                return Err(Refusal::BodyTooLarge);
            }
            if !held.take(data.len()) {
                return Err(Refusal::OutOfMemory);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.into())
    }
}
