//! The order of a stream's events, across engines.

/// Which events of a stream went to the caller.
///
/// A run that goes on at another engine begins behind the last event that was passed on.
/// Should an engine begin earlier, its first events are dropped; should it begin later,
/// an event is missing, and the stream is broken rather than joined over a gap.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    broken: bool,
    count: u32,
    last: Option<String>,
    last_number: Option<u64>,
    step: Option<u64>,
}

impl Sequence {
    /// A stream whose caller already has the events up to `last`.
    #[must_use]
    pub fn after(last: Option<&str>) -> Self {
        Self {
            last: last.map(str::to_string),
            last_number: last.and_then(|last| last.parse().ok()),
            ..Self::default()
        }
    }

    /// Takes an event in by its id; tells whether it is to be passed on.
    pub fn accept(&mut self, id: Option<&str>) -> bool {
        let Some(id) = id else {
            // Comments and events without an id have no place in the order.
            return true;
        };
        if let (Ok(number), Some(last)) = (id.parse::<u64>(), self.last_number) {
            if number <= last {
                return false;
            }
            let step = *self.step.get_or_insert(number - last);
            self.broken |= number - last > step;
        }
        self.last_number = id.parse().ok();
        self.last = Some(id.to_string());
        self.count += 1;
        true
    }

    /// Whether an event is missing.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.broken
    }

    /// Events that were taken.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Id of the last event.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}
