//! Response body of a streamed generation.

use {
    crate::prelude::*,
    bytes::BytesMut,
    futures_util::Stream,
    std::{
        convert::Infallible,
        io::Write as _,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Maximum number of events rendered into one body chunk.
const MAX_EVENTS_PER_CHUNK: usize = 64;

/// Renders response events as server-sent events.
///
/// All events that are ready go into one chunk, which keeps the number of writes low under
/// load.
#[derive(Debug)]
pub struct EventStream {
    ended: bool,
    events: Receiver<ResponseEvent>,
    prefix: String,
    ready: Vec<ResponseEvent>,
}

impl EventStream {
    /// Creates a stream that starts with `first`, which has already been received.
    #[must_use]
    pub fn new(prefix: String, first: ResponseEvent, events: Receiver<ResponseEvent>) -> Self {
        Self {
            ended: false,
            events,
            prefix,
            ready: vec![first],
        }
    }

    fn render(&mut self) -> Bytes {
        let mut chunk = BytesMut::with_capacity(self.ready.len() * 384);
        for event in self.ready.drain(..) {
            match event {
                ResponseEvent::Started(..) => {}
                ResponseEvent::End(outcome) => {
                    self.ended = true;
                    write_end(&mut chunk, outcome);
                }
                ResponseEvent::Token(index, data) => {
                    chunk.extend_from_slice(b"id: ");
                    chunk.extend_from_slice(self.prefix.as_bytes());
                    write_decimal(&mut chunk, index);
                    chunk.extend_from_slice(b"\ndata: ");
                    chunk.extend_from_slice(&data);
                    chunk.extend_from_slice(b"\n\n");
                }
            }
        }
        chunk.freeze()
    }
}

impl Stream for EventStream {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        if this.ready.is_empty() {
            match this
                .events
                .poll_recv_many(cx, &mut this.ready, MAX_EVENTS_PER_CHUNK)
            {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(0) => {
                    // The event loop dropped the request without an end event: the caller read
                    // too slowly, or the instance is shutting down.
                    this.ready.push(ResponseEvent::End(Outcome::MayHaveRun(
                        MayHaveRun::ConnectionLost,
                    )));
                }
                Poll::Ready(_) => {}
            }
        }
        Poll::Ready(Some(Ok(this.render())))
    }
}

fn write_end(chunk: &mut BytesMut, outcome: Outcome) {
    let problem = match outcome {
        Outcome::Answered(_) => {
            chunk.extend_from_slice(b"data: [DONE]\n\n");
            return;
        }
        Outcome::MayHaveRun(reason) => Problem::from(reason),
        Outcome::NotRun(refused) => Problem::from(refused),
    };
    let text = format!("event: error\ndata: {}\n\n", problem.openai());
    chunk.extend_from_slice(text.as_bytes());
}

fn write_decimal(chunk: &mut BytesMut, number: u32) {
    let mut digits = [0; 10];
    let mut rest = &mut digits[..];
    write!(rest, "{number}").expect("a u32 has at most ten digits");
    let unused = rest.len();
    chunk.extend_from_slice(&digits[..digits.len() - unused]);
}
