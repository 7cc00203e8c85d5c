//! Distribution of intervals between events, in units of their engine's pace.

/// Number of classes of intervals.
pub const BUCKETS: usize = 16;

/// Classes for each doubling of the interval.
const BUCKETS_PER_DOUBLING: f64 = 3.0;

/// Number of events at which the evidence counts as much as the assumption that there are no pauses.
const PRIOR_EVENTS: f64 = 100.0;

/// Distribution of the intervals of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    /// Intervals at engines that read no prompt.
    pub calm: Counts,
    /// Sum of the expected lengths of the streams, in events, over all intervals.
    pub expected_events: f64,
    /// Intervals at engines that read a prompt beside the stream.
    pub reading: Counts,
}

/// Numbers of intervals.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Number of intervals by class; the first one starts at the pace of the engine.
    pub classes: [f64; BUCKETS],
    /// Number of intervals, those below the pace included.
    pub events: f64,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        for (count, added) in self.classes.iter_mut().zip(&other.classes) {
            *count += added;
        }
        self.events += other.events;
    }

    fn scale(&mut self, share: f64) {
        for count in &mut self.classes {
            *count *= share;
        }
        self.events *= share;
    }

    /// Share of intervals over `ratio` times the pace of their engine.
    #[must_use]
    pub fn share_over(&self, ratio: f64) -> f64 {
        let position = ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING;
        let mut over = 0.0;
        let mut class = 0.0;
        for count in self.classes {
            // Intervals spread evenly over the class that the ratio falls into.
            over += count * (class + 1.0 - position).clamp(0.0, 1.0);
            class += 1.0;
        }
        (over / (self.events + PRIOR_EVENTS)).min(1.0)
    }
}

impl Shape {
    /// Records an interval in units of the engine's pace.
    pub fn record(&mut self, ratio: f64, is_reading: bool, events: u32, expected_events: u32) {
        let events = f64::from(events);
        self.expected_events += events * f64::from(expected_events);
        let counts = if is_reading {
            &mut self.reading
        } else {
            &mut self.calm
        };
        counts.events += events;
        if ratio >= 1.0 {
            let class = ratio.log2() * BUCKETS_PER_DOUBLING;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a logarithm of one or more; a cast saturates"
            )]
            let class = (class as usize).min(BUCKETS - 1);
            counts.classes[class] += 1.0;
        }
    }

    /// Adds the intervals of another one.
    pub fn add(&mut self, other: &Self) {
        self.calm.add(&other.calm);
        self.reading.add(&other.reading);
        self.expected_events += other.expected_events;
    }

    /// Multiplies the number of intervals.
    pub fn scale(&mut self, share: f64) {
        self.calm.scale(share);
        self.reading.scale(share);
        self.expected_events *= share;
    }

    /// Number of intervals.
    #[must_use]
    pub const fn total(&self) -> f64 {
        self.calm.events + self.reading.events
    }

    /// Share of the intervals at engines that read a prompt beside the stream.
    #[must_use]
    pub fn reading_share(&self) -> f64 {
        self.reading.events / self.total().max(1.0)
    }

    /// Length of the stream that the mean event belongs to, in events.
    #[must_use]
    pub fn usual_length(&self) -> f64 {
        self.expected_events / self.total().max(1.0)
    }
}
