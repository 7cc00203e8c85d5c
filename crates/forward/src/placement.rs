//! Engines that may be working on runs, and since when.
//!
//! A stream may go on at another engine before the engine that it leaves has stopped, but not for long: both would work
//! on a request that must not run twice.

use crate::prelude::*;

/// How long an engine may work on a run after another one has begun to go on with it.
pub const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A run at an engine that may be working on it.
#[derive(Clone, Copy, Debug)]
struct Placement {
    begun_at: Time,
    engine: EndpointKey,
    /// Whether a stream is there, or about to be.
    has_stream: bool,
    run: RunKey,
}

/// The engines that may be working on the runs of an instance.
#[derive(Clone, Debug, Default)]
pub struct Placements(
    /// Sorted by run and engine.
    Vec<Placement>,
);

impl Placements {
    /// Records that a run is about to be sent to an engine.
    pub fn begin(&mut self, now: Time, run: RunKey, engine: EndpointKey) {
        let placement = Placement {
            begun_at: now,
            engine,
            has_stream: true,
            run,
        };
        match self.find(run, engine) {
            Ok(index) => self.0[index] = placement,
            Err(index) => self.0.insert(index, placement),
        }
    }

    /// Records that a stream has left an engine, which may go on working on the run.
    pub fn leave(&mut self, run: RunKey, engine: EndpointKey) {
        if let Ok(index) = self.find(run, engine) {
            self.0[index].has_stream = false;
        }
    }

    /// Records that an engine does not work on a run, or is not asked about it any more. Returns since when it may have
    /// worked on it beside another one.
    pub fn end(&mut self, run: RunKey, engine: EndpointKey) -> Option<Time> {
        let index = self.find(run, engine).ok()?;
        let since = self.overlaps_since(run);
        self.0.remove(index);
        since
    }

    /// Whether a stream is at an engine with a run, or about to be.
    #[must_use]
    pub fn has_stream(&self, run: RunKey, engine: EndpointKey) -> bool {
        let found = self.find(run, engine);
        found.is_ok_and(|index| self.0[index].has_stream)
    }

    /// The engine that may have begun to work on a run after this one has, and when.
    #[must_use]
    pub fn successor(&self, run: RunKey, engine: EndpointKey) -> Option<(EndpointKey, Time)> {
        let begun_at = self.0[self.find(run, engine).ok()?].begun_at;
        let others = self.of(run).iter().filter(|other| other.engine != engine);
        let later = others.filter(|other| other.begun_at >= begun_at);
        let first = later.min_by_key(|other| other.begun_at)?;
        Some((first.engine, first.begun_at))
    }

    /// Since when more than one engine may be working on a run.
    #[must_use]
    pub fn overlaps_since(&self, run: RunKey) -> Option<Time> {
        let mut begun = self.of(run).iter().map(|placement| placement.begun_at);
        let (first, second) = (begun.next()?, begun.next()?);
        let (earliest, since) = (first.min(second), first.max(second));
        let (_, since) = begun.fold((earliest, since), |(earliest, since), at| {
            (earliest.min(at), since.min(at.max(earliest)))
        });
        Some(since)
    }

    fn of(&self, run: RunKey) -> &[Placement] {
        let start = self.0.partition_point(|other| other.run < run);
        let end = self.0.partition_point(|other| other.run <= run);
        &self.0[start..end]
    }

    fn find(&self, run: RunKey, engine: EndpointKey) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&(run, engine), |other| (other.run, other.engine))
    }
}
