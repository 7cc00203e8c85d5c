//! Responses that wait for their callers to read them.

use {
    bytes::Bytes,
    forward::memory::Use,
    hyper::body::Body as _,
    proxy::{
        idle::Activity,
        memory::{Buffers, Held, Reason},
        metrics::Metrics,
        reply::{Body, BodyPart, part_size},
    },
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::sync::mpsc,
};

const PART: Bytes = Bytes::from_static(b"id: 1\ndata: a\n\n");

fn buffers() -> Rc<Buffers> {
    let metrics = Metrics::new().expect("metrics");
    Buffers::new(1 << 20, metrics.buffers)
}

/// A response of so many bytes that is on its connection.
fn held(buffers: &Rc<Buffers>, held_for: Use, bytes: usize) -> Held {
    let held = buffers.hold(held_for, "r1");
    assert!(held.take(bytes));
    held.attach(&Activity::new());
    held
}

/// The next frame that a connection gets; `None` at the end.
fn frame(body: &mut Body) -> Option<Bytes> {
    let mut cx = Context::from_waker(Waker::noop());
    let Poll::Ready(frame) = Pin::new(body).poll_frame(&mut cx) else {
        panic!("nothing to send");
    };
    let frame = frame?.expect("the body is complete");
    frame.into_data().ok()
}

/// Guards against a caller that reads nothing of the end of its stream and keeps its request in progress: its connection
/// has taken the last events into a full buffer, and does not ask for the end.
#[test]
fn streams_are_let_go_while_their_last_events_are_unread() {
    let buffers = buffers();
    let held = Rc::new(held(&buffers, Use::Stream, 2 * part_size(&PART)));
    let (out, parts) = mpsc::unbounded_channel();
    let mut body = Body::stream(parts, Rc::clone(&held));
    for part in [BodyPart::Data(PART), BodyPart::Data(PART), BodyPart::End] {
        out.send(part).expect("the body is open");
    }
    assert_eq!(frame(&mut body), Some(PART));
    assert_eq!(held.bytes(), 2 * part_size(&PART));
    assert_eq!(frame(&mut body), Some(PART));
    assert_eq!(held.bytes(), part_size(&PART));
    buffers.let_go_unread(Duration::ZERO);
    assert_eq!(held.reason(), Some(Reason::NotRead));
}

/// Guards against a stream whose caller has read all of it and that is taken for one that is unread.
#[test]
fn streams_that_are_read_hold_nothing() {
    let buffers = buffers();
    let held = Rc::new(held(&buffers, Use::Stream, part_size(&PART)));
    let (out, parts) = mpsc::unbounded_channel();
    let mut body = Body::stream(parts, Rc::clone(&held));
    out.send(BodyPart::Data(PART)).expect("the body is open");
    assert_eq!(frame(&mut body), Some(PART));
    let mut cx = Context::from_waker(Waker::noop());
    assert!(Pin::new(&mut body).poll_frame(&mut cx).is_pending());
    assert_eq!(held.bytes(), 0);
    buffers.let_go_unread(Duration::ZERO);
    assert_eq!(held.reason(), None);
}

/// Guards against a plain response of which the last part is unread and that is kept without limit.
#[test]
fn responses_are_let_go_while_their_last_part_is_unread() {
    let buffers = buffers();
    let held = held(&buffers, Use::Response, PART.len());
    let mut body = Body::full(PART, Some(held));
    assert_eq!(frame(&mut body), Some(PART));
    assert_eq!(body.held().map(Held::bytes), Some(PART.len()));
    buffers.let_go_unread(Duration::ZERO);
    assert_eq!(body.held().and_then(Held::reason), Some(Reason::NotRead));
    assert_eq!(frame(&mut body), None);
}

/// Guards against a response that keeps all of its memory until its last part has been read, while it counts for less
/// with each part.
#[test]
fn parts_of_a_response_that_were_read_take_no_memory() {
    let buffers = buffers();
    let bytes = Bytes::from(vec![b'x'; 100_000]);
    let held = held(&buffers, Use::Response, bytes.len());
    let mut body = Body::full(bytes.clone(), Some(held));
    let mut read = Vec::new();
    while let Some(frame) = frame(&mut body) {
        assert!(frame.is_unique(), "{} bytes", frame.len());
        read.extend_from_slice(&frame);
        let left = body.held().map(Held::bytes);
        assert_eq!(left, Some(bytes.len() - read.len() + frame.len()));
        let hint = body.size_hint().exact();
        assert_eq!(hint, u64::try_from(bytes.len() - read.len()).ok());
    }
    assert_eq!(read, bytes);
}
