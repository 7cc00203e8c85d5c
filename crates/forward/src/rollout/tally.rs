//! Answers to requests since an order, by route: each one of the target, and counts of all others.

use crate::{choice::PREFILL_TOKENS_PER_MS, prelude::*};

/// Number of classes of answer times.
pub const TIME_CLASSES: usize = 32;

/// The last class.
const MAX_CLASS: u8 = 31;

/// Maximum number of answers of the target that one instance reports for a route.
const MAX_SAMPLES: usize = 96;

/// Milliseconds that an answer is expected to take, beside its prompt and further events.
const BASE_MS: f64 = 10.0;

/// Milliseconds between two events that are expected.
const EVENT_MS: f64 = 30.0;

/// Classes in which the time doubles.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// Class of an answer that took as long as expected.
const EXPECTED_CLASS: f64 = 12.0;

/// How long an answer took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Number of events after the first one.
    pub intervals: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Time to the answer, or to the last of the events.
    pub took: Duration,
}

impl Timing {
    /// Class of the time: its logarithm, less what the lengths of prompt and answer explain.
    #[must_use]
    pub fn class(self) -> u8 {
        let expected_ms = BASE_MS
            + f64::from(self.prompt) / PREFILL_TOKENS_PER_MS
            + f64::from(self.intervals) * EVENT_MS;
        let ratio = self.took.as_secs_f64() * 1000.0 / expected_ms;
        let class = EXPECTED_CLASS + CLASSES_PER_DOUBLING * ratio.max(f64::MIN_POSITIVE).log2();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast saturates"
        )]
        let class = class as u8;
        class.min(MAX_CLASS)
    }
}

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered, with the class of its time.
    Answered(u8),
    /// Failed by an error of the endpoint, a broken connection or a timeout.
    Failed,
    /// Rejected without being run.
    Rejected,
}

/// An answer of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Milliseconds since the order.
    pub at_ms: u32,
    /// Digest of the endpoint.
    pub endpoint: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// Answers of all versions but the target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Answers by the class of their time.
    pub answered: [u32; TIME_CLASSES],
    /// Failed answers.
    pub failed: u32,
    /// Rejections.
    pub rejected: u32,
}

impl Tally {
    /// Number of answers, failed ones included.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.answered.iter().sum::<u32>() + self.failed
    }

    fn add(&mut self, other: &Self) {
        for (sum, count) in self.answered.iter_mut().zip(other.answered) {
            *sum = sum.saturating_add(count);
        }
        self.failed = self.failed.saturating_add(other.failed);
        self.rejected = self.rejected.saturating_add(other.rejected);
    }

    fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Answered(class) => {
                let class = usize::from(class).min(TIME_CLASSES - 1);
                &mut self.answered[class]
            }
            Outcome::Failed => &mut self.failed,
            Outcome::Rejected => &mut self.rejected,
        };
        *counter = counter.saturating_add(1);
    }
}

/// Answers of one route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteTally {
    /// Answers of the target.
    pub new: Vec<Sample>,
    /// Answers of all other versions.
    pub old: Tally,
    /// Name of the route.
    pub route: String,
}

/// Answers by route, sorted by route.
pub type Tallies = Vec<RouteTally>;

/// Counts an answer of the target.
pub fn count_new(tallies: &mut Tallies, route: &str, sample: Sample) {
    let samples = &mut route_mut(tallies, route).new;
    if samples.len() < MAX_SAMPLES {
        samples.push(sample);
    }
}

/// Counts an answer of another version.
pub fn count_old(tallies: &mut Tallies, route: &str, outcome: Outcome) {
    route_mut(tallies, route).old.count(outcome);
}

/// Adds the tallies of another instance.
pub fn add(sum: &mut Tallies, tallies: &[RouteTally]) {
    for tally in tallies {
        let route = route_mut(sum, &tally.route);
        route.new.extend_from_slice(&tally.new);
        route.old.add(&tally.old);
    }
}

/// Number of answers of the target.
#[must_use]
pub fn new_answers(tallies: &[RouteTally]) -> usize {
    tallies.iter().map(|tally| tally.new.len()).sum()
}

/// Share of requests that an endpoint of the target failed or rejected.
#[must_use]
pub fn failed_share(tallies: &[RouteTally], endpoint: u32) -> f64 {
    let samples = tallies.iter().flat_map(|tally| &tally.new);
    let samples = samples.filter(|sample| sample.endpoint == endpoint);
    let (mut requests, mut failed) = (0_u32, 0_u32);
    for sample in samples {
        requests += 1;
        failed += u32::from(!matches!(sample.outcome, Outcome::Answered(_)));
    }
    f64::from(failed) / f64::from(requests.max(1))
}

/// Number of requests that were answered, by any version.
#[must_use]
pub fn answers(tallies: &[RouteTally]) -> u32 {
    let new = u32::try_from(new_answers(tallies)).unwrap_or(u32::MAX);
    let old = tallies.iter().map(|tally| tally.old.answers()).sum::<u32>();
    new.saturating_add(old)
}

fn route_mut<'a>(tallies: &'a mut Tallies, route: &str) -> &'a mut RouteTally {
    let found = tallies.binary_search_by(|tally| tally.route.as_str().cmp(route));
    let index = found.unwrap_or_else(|index| {
        let tally = RouteTally {
            route: route.to_string(),
            ..RouteTally::default()
        };
        tallies.insert(index, tally);
        index
    });
    &mut tallies[index]
}
