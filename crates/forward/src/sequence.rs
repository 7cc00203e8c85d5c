//! Order of the events of a stream across engines.

/// Tracks which events of a stream were sent to the caller.
///
/// A run that continues at another engine starts after the last event that was sent. If the engine
/// starts earlier, its first events are dropped. If it starts later, an event is missing, and the
/// stream must fail instead of continuing with a gap.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    broken: bool,
    count: u32,
    last: Option<String>,
    last_number: Option<u64>,
    step: Option<u64>,
    /// Whether there was a data block without an id.
    unnumbered: bool,
}

impl Sequence {
    /// A stream whose caller has the events up to `last`.
    #[must_use]
    pub fn after(last: Option<&str>) -> Self {
        Self {
            last: last.map(str::to_string),
            last_number: last.and_then(|last| last.parse().ok()),
            ..Self::default()
        }
    }

    /// Records an event by its id; returns whether it is to be sent to the caller.
    pub fn accept(&mut self, id: Option<&str>) -> bool {
        let Some(id) = id else {
            // Comments and events without an id are not ordered.
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

    /// Records a data block without an id, of which a repetition would not be noticed.
    pub const fn record_unnumbered(&mut self) {
        self.unnumbered = true;
    }

    /// Whether the events so far show that those which two engines send are told apart by their numbers.
    #[must_use]
    pub const fn is_numbered(&self) -> bool {
        self.last_number.is_some() && !self.unnumbered
    }

    /// Whether an event is missing.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.broken
    }

    /// Number of events that were accepted.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Id of the last accepted event; before the first one, of the last event the caller had.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}
