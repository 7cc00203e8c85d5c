//! What is let go when an instance is short of memory.

use forward::{
    memory::{Grant, HolderKey, Memory, Use, budget},
    prelude::*,
};

const BUDGET_BYTES: usize = 22 << 20;

/// Limit on the time for which a response may stay unread.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

fn after_s(seconds: u64) -> Time {
    Time::default().after(Duration::from_secs(seconds))
}

/// A holder with this many bytes, which no other had to be let go for.
fn holder(memory: &mut Memory, held_for: Use, bytes: usize) -> HolderKey {
    let key = memory.add(held_for);
    if held_for == Use::Stream {
        memory.offer(after_s(0), key);
    }
    assert_eq!(memory.take(after_s(0), key, bytes), Grant::Held(Vec::new()));
    key
}

fn total(memory: &Memory) -> usize {
    Use::ALL
        .iter()
        .map(|(held_for, _)| memory.held(*held_for))
        .sum()
}

/// Guards against 2,000 callers that read nothing and cost a sound caller its stream.
#[test]
fn many_callers_that_read_nothing_lose_only_their_own_streams() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let sound = memory.add(Use::Stream);
    let slow = (0..2000).map(|_| memory.add(Use::Stream));
    let slow = slow.collect::<Vec<_>>();
    let mut let_go = Vec::new();
    for _ in 0..200 {
        for key in &slow {
            if let Grant::Held(keys) = memory.take(after_s(1), *key, 150) {
                let_go.extend(keys.iter().map(|(key, _)| *key));
            }
        }
        if let Grant::Held(keys) = memory.take(after_s(1), sound, 150) {
            let_go.extend(keys.iter().map(|(key, _)| *key));
        }
        memory.release(after_s(1), sound, 150);
        assert!(total(&memory) <= BUDGET_BYTES);
    }
    assert!(!let_go.is_empty());
    assert!(!let_go.contains(&sound));
    let_go.sort_unstable();
    assert!(
        let_go.windows(2).all(|pair| pair[0] < pair[1]),
        "let go twice"
    );
}

/// Guards against a caller that reads slowly and loses its stream to one that is further behind.
#[test]
fn the_reader_furthest_behind_goes_first() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let slow = holder(&mut memory, Use::Stream, 5 << 20);
    let slowest = holder(&mut memory, Use::Stream, 10 << 20);
    let other = memory.add(Use::Stream);
    let grant = memory.take(after_s(1), other, 8 << 20);
    assert_eq!(grant, Grant::Held(vec![(slowest, 10 << 20)]));
    assert_eq!(memory.held_by(slow), 5 << 20);
    assert_eq!(memory.held(Use::Stream), 13 << 20);
}

/// Guards against a body without end that takes the memory of other responses.
#[test]
fn a_response_without_end_ends_itself() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let sound = holder(&mut memory, Use::Response, 4 << 20);
    let stream = holder(&mut memory, Use::Stream, 1 << 20);
    let endless = memory.add(Use::Response);
    let grants = (0..1 << 10).map(|_| memory.take(after_s(0), endless, 64 << 10));
    let first = grants
        .into_iter()
        .find(|grant| *grant != Grant::Held(Vec::new()));
    let bytes = (17 << 20) + (64 << 10);
    assert_eq!(first, Some(Grant::Held(vec![(endless, bytes)])));
    assert_eq!(
        (memory.held_by(sound), memory.held_by(stream)),
        (4 << 20, 1 << 20)
    );
    assert_eq!(memory.take(after_s(0), endless, 1), Grant::Refused);
}

/// Guards against request bodies that leave no room for the responses of what runs.
#[test]
fn request_bodies_are_refused_before_a_response_is_let_go() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let mut taken = 0;
    for _ in 0..BUDGET_BYTES / (64 << 10) {
        let key = memory.add(Use::Request);
        if memory.take(after_s(0), key, 64 << 10) == Grant::Refused {
            break;
        }
        taken += 64 << 10;
    }
    assert!(taken <= BUDGET_BYTES / 2);
    let stream = memory.add(Use::Stream);
    let grant = memory.take(after_s(0), stream, BUDGET_BYTES / 3);
    assert_eq!(grant, Grant::Held(Vec::new()));
}

/// Guards against slow readers that hold more than the share of request bodies, and cost every new caller its request.
#[test]
fn requests_are_taken_while_slow_readers_hold_most_of_the_memory() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let streams = [0; 6].map(|_| holder(&mut memory, Use::Stream, BUDGET_BYTES / 10));
    let body = memory.add(Use::Request);
    let grant = memory.take(after_s(1), body, 64 << 10);
    assert_eq!(grant, Grant::Held(Vec::new()));
    let large = memory.add(Use::Request);
    let Grant::Held(let_go) = memory.take(after_s(1), large, BUDGET_BYTES * 9 / 20) else {
        panic!("refused within the share of request bodies");
    };
    assert_eq!(let_go, [(streams[5], BUDGET_BYTES / 10)]);
    assert!(total(&memory) <= BUDGET_BYTES);
    let other = memory.add(Use::Request);
    let grant = memory.take(after_s(1), other, BUDGET_BYTES / 10);
    assert_eq!(grant, Grant::Refused);
}

/// Guards against request bodies that are let go although they may have run.
#[test]
fn request_bodies_in_use_are_kept() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let body = holder(&mut memory, Use::Request, 10 << 20);
    let stream = memory.add(Use::Stream);
    let grant = memory.take(after_s(0), stream, 13 << 20);
    assert_eq!(grant, Grant::Held(vec![(stream, 13 << 20)]));
    assert_eq!(memory.held_by(body), 10 << 20);
}

/// Guards against a vanished caller that holds its response, and against one that reads slowly and steadily and is taken
/// for it.
#[test]
fn callers_that_read_nothing_for_long_are_told_from_slow_ones() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let slow = holder(&mut memory, Use::Stream, 1 << 20);
    let vanished = holder(&mut memory, Use::Stream, 1 << 20);
    let idle = memory.add(Use::Stream);
    memory.offer(after_s(0), idle);
    let body = holder(&mut memory, Use::Request, 1 << 20);
    for second in 0..15 {
        memory.release(after_s(second), slow, 1);
        assert!(memory.unread(after_s(second), READ_TIMEOUT).is_empty());
    }
    assert_eq!(memory.unread(after_s(15), READ_TIMEOUT), [vanished]);
    memory.remove(vanished);
    assert!(memory.unread(after_s(15), READ_TIMEOUT).is_empty());
    let grant = memory.take(after_s(15), idle, 10);
    assert_eq!(grant, Grant::Held(Vec::new()));
    assert!(memory.unread(after_s(16), READ_TIMEOUT).is_empty());
    memory.remove(slow);
    memory.remove(idle);
    memory.remove(body);
    assert_eq!(total(&memory), 0);
}

/// Guards against a server that sends slowly and whose response is taken for one that its caller does not read.
#[test]
fn responses_that_are_still_read_from_slow_servers_are_kept() {
    let mut memory = Memory::new(BUDGET_BYTES);
    let response = holder(&mut memory, Use::Response, 1);
    for second in 0..60 {
        let grant = memory.take(after_s(second), response, 1);
        assert_eq!(grant, Grant::Held(Vec::new()));
        assert!(memory.unread(after_s(second), READ_TIMEOUT).is_empty());
    }
    memory.offer(after_s(60), response);
    assert!(memory.unread(after_s(74), READ_TIMEOUT).is_empty());
    assert_eq!(memory.unread(after_s(75), READ_TIMEOUT), [response]);
}

/// Guards against a budget of which the instance would run out of memory, and one with which it could serve nothing.
#[test]
fn budgets_follow_from_the_memory() {
    assert_eq!(budget(0, None), Ok(usize::MAX));
    assert_eq!(budget(88, None), Ok(22 << 20));
    assert_eq!(budget(88, Some(30)), Ok(30 << 20));
    assert_eq!(budget(0, Some(300)), Ok(300 << 20));
    assert_eq!(budget(88, Some(36)), Err(35));
    assert_eq!(budget(88, Some(0)), Err(35));
}
