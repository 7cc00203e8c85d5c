//! The stand-in engine does what back ends are described to do.

use {
    standin::{
        cache::Cache,
        decode::{Batch, EngineProfile},
    },
    std::time::{Duration, Instant},
};

/// Cache events come late and some never do, as those of real engines.
#[test]
fn cache_events_are_late_and_have_gaps() {
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

/// Memory runs out in the middle of decoding: the generation of the lowest priority
/// that came last is preempted, and still ends whole.
#[test]
fn a_full_engine_preempts_and_loses_nothing() {
    let shape = EngineProfile {
        capacity: 40,
        ..EngineProfile::default()
    };
    let mut batch = Batch::new(shape);
    let now = Instant::now();
    for id in ["a", "b", "c"] {
        batch.add(id, "m", 5, 20, 0, false);
    }
    for _ in 0..200 {
        batch.step(now, false);
    }
    assert!(batch.preemptions > 0);
    for id in ["a", "b", "c"] {
        let generation = batch.get(id).expect("it is kept for a while");
        let progress = *generation.progress.borrow();
        assert_eq!((progress.produced, progress.broken), (20, false));
    }
}
