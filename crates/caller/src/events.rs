//! The body of a streamed answer.

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

/// Most pieces put into one part of the body.
const MOST_PIECES: usize = 64;

/// Server-sent events made from the pieces of an answer.
///
/// All pieces that are ready go into one part, so that a busy instance makes
/// fewer writes, not more.
#[derive(Debug)]
pub struct Events {
    ended: bool,
    pieces: Receiver<ResponseEvent>,
    prefix: String,
    ready: Vec<ResponseEvent>,
}

impl Events {
    /// Begins with the piece that has already come.
    #[must_use]
    pub fn new(prefix: String, first: ResponseEvent, pieces: Receiver<ResponseEvent>) -> Self {
        Self {
            ended: false,
            pieces,
            prefix,
            ready: vec![first],
        }
    }

    fn render(&mut self) -> Bytes {
        let mut part = BytesMut::with_capacity(self.ready.len() * 384);
        for piece in self.ready.drain(..) {
            match piece {
                ResponseEvent::Started(..) => {}
                ResponseEvent::End(outcome) => {
                    self.ended = true;
                    end(&mut part, outcome);
                }
                ResponseEvent::Token(index, data) => {
                    part.extend_from_slice(b"id: ");
                    part.extend_from_slice(self.prefix.as_bytes());
                    number(&mut part, index);
                    part.extend_from_slice(b"\ndata: ");
                    part.extend_from_slice(&data);
                    part.extend_from_slice(b"\n\n");
                }
            }
        }
        part.freeze()
    }
}

impl Stream for Events {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        if this.ready.is_empty() {
            match this.pieces.poll_recv_many(cx, &mut this.ready, MOST_PIECES) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(0) => {
                    // The loop let go of the request without an end: it gave the caller up
                    // for reading too slowly, or it is stopping.
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

fn end(part: &mut BytesMut, outcome: Outcome) {
    let problem = match outcome {
        Outcome::Answered(_) => {
            part.extend_from_slice(b"data: [DONE]\n\n");
            return;
        }
        Outcome::MayHaveRun(why) => Problem::from(why),
        Outcome::NotRun(refused) => Problem::from(refused),
    };
    let text = format!("event: error\ndata: {}\n\n", problem.openai());
    part.extend_from_slice(text.as_bytes());
}

fn number(part: &mut BytesMut, number: u32) {
    let mut digits = [0; 10];
    let mut rest = &mut digits[..];
    write!(rest, "{number}").expect("ten digits hold every u32");
    let unused = rest.len();
    part.extend_from_slice(&digits[..digits.len() - unused]);
}
