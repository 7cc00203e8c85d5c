//! Distribution of intervals between events, in units of their engine's pace.

/// Number of classes of intervals.
pub const BUCKETS: usize = 24;

/// Classes for each doubling of the interval.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of events at which the evidence counts as much as the assumption that there are no pauses.
const PRIOR_EVENTS: f64 = 100.0;

/// Distribution of the intervals of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    /// Number of intervals by class; the first one starts at the pace of the engine.
    pub counts: [f64; BUCKETS],
    /// Sum of the expected lengths of the streams, in events, over all intervals.
    pub expected_events: f64,
    /// Number of intervals, those below the pace included.
    pub events: f64,
}

impl Shape {
    /// Records an interval in units of the engine's pace, followed by `events` events at once.
    pub fn record(&mut self, ratio: f64, events: u32, expected_events: u32) {
        let events = f64::from(events);
        self.events += events;
        self.expected_events += events * f64::from(expected_events);
        if ratio >= 1.0 {
            let class = ratio.log2() * BUCKETS_PER_DOUBLING;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a logarithm of one or more; a cast saturates"
            )]
            let class = (class as usize).min(BUCKETS - 1);
            self.counts[class] += 1.0;
        }
    }

    /// Adds the intervals of another one.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.counts.iter_mut().zip(&other.counts) {
            *count += added;
        }
        self.events += other.events;
        self.expected_events += other.expected_events;
    }

    /// Multiplies the number of intervals.
    pub fn scale(&mut self, share: f64) {
        for count in &mut self.counts {
            *count *= share;
        }
        self.events *= share;
        self.expected_events *= share;
    }

    /// Number of intervals.
    #[must_use]
    pub const fn total(&self) -> f64 {
        self.events
    }

    /// Share of intervals over `ratio` times the pace of their engine.
    #[must_use]
    pub fn share_over(&self, ratio: f64) -> f64 {
        if ratio < 1.0 {
            return self.share(self.counts.iter().sum());
        }
        let position = ratio.log2() * BUCKETS_PER_DOUBLING;
        let mut over = 0.0;
        let mut class = 0.0;
        for count in self.counts {
            // Intervals spread evenly over the class that the ratio falls into.
            over += count * (class + 1.0 - position).clamp(0.0, 1.0);
            class += 1.0;
        }
        self.share(over)
    }

    fn share(&self, count: f64) -> f64 {
        (count / (self.events + PRIOR_EVENTS)).min(1.0)
    }

    /// Length of the stream that the mean event belongs to, in events.
    #[must_use]
    pub fn usual_length(&self) -> f64 {
        if self.events > 0.0 {
            self.expected_events / self.events
        } else {
            0.0
        }
    }
}
