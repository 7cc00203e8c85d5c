//! Tests of the stand-in engine's prefix cache and batching.

use {
    standin::{
        cache::Cache,
        decode::{Batch, EngineProfile},
    },
    std::time::{Duration, Instant},
};

/// Guards against cache events that are published too early or without gaps.
#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let (mut cache, begun) = (Cache::default(), Instant::now());
    for number in 0..30 {
        assert!(!cache.touch(&format!("prompt {number}"), begun));
    }
    assert!(cache.touch("prompt 7", begun));
    let lag = Duration::from_millis(200);
    assert!(cache.events(0, lag, begun).is_empty());
    let events = cache.events(0, lag, begun + lag);
    let sequences = events
        .iter()
        .map(|event| event.sequence)
        .collect::<Vec<_>>();
    assert_eq!(sequences.len(), 27);
    assert!(!sequences.contains(&9) && !sequences.contains(&29));
}

/// Guards against preempted generations that never finish once the KV cache was full.
#[test]
fn preempted_generations_still_finish() {
    let shape = EngineProfile {
        capacity: 40,
        ..EngineProfile::default()
    };
    let mut batch = Batch::new(shape);
    let now = Instant::now();
    for id in ["a", "b", "c"] {
        batch.enqueue(id, "m", 5, 20, 0, false);
    }
    for _ in 0..200 {
        batch.step(now, false);
    }
    assert!(batch.preemptions > 0);
    for id in ["a", "b", "c"] {
        let generation = batch.get(id).expect("ended generations are retained");
        let progress = *generation.progress.borrow();
        assert_eq!((progress.produced, progress.aborted), (20, false));
    }
}
