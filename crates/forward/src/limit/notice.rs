//! What is known of the limit of one start of an endpoint.

use {super::Change, crate::prelude::*};

/// Lowest limit. Without a request now and then an endpoint that takes none would never say that it takes some again.
const MIN_RATE: f64 = 0.25;

/// Highest limit; more would be no limit to any endpoint.
const MAX_RATE: f64 = 1e6;

/// Smallest change of a limit that is told at once, as a part of it. An endpoint that names another number in each
/// answer would cause a message to all instances for each.
const MIN_CHANGE: f64 = 0.1;

/// Time after the end of a limit during which the rate rises. All instances at once would overload the endpoint again.
const RECOVERY: Duration = Duration::from_secs(2);

/// Rate from which on it rises.
const MIN_RECOVERY_RATE: f64 = 1.0;

/// Time in which the rate doubles after the end of a limit.
const DOUBLING: Duration = Duration::from_millis(250);

/// Time by which news from a peer may be older than it says. An end that came before the last naming would otherwise
/// seem to have come after it.
const MAX_TRANSIT: Duration = Duration::from_millis(50);

/// Time for which an ended limit is told to peers, some of which may have missed the end.
const ENDED_LIFETIME: Duration = Duration::from_secs(10);

/// What an answer says of the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Requests per second, if it names a limit.
    pub limit: Option<f64>,
    /// When its request was sent.
    pub sent_at: Time,
}

/// What an instance knows of a limit, as told to peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Time since the request of the first later answer without a limit was sent; `None` if there was none.
    pub ended_ago: Option<Duration>,
    /// Digest of the endpoint's incarnation.
    pub incarnation: u32,
    /// Time since the last answer that named a limit was received.
    pub named_ago: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// A limit, when it was last named, and when it ended.
///
/// An endpoint formed its answer at some time between the sending of the request and the receipt of the answer. A limit
/// has ended only if the whole of that time is after the receipt of the last answer that named it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// When the request of the first later answer without a limit was sent.
    ended_at: Option<Time>,
    /// When the last answer was received that named the limit.
    named_at: Time,
    /// Requests per second.
    pub rate: f64,
}

impl Notice {
    /// A limit that has just been named.
    #[must_use]
    pub const fn new(now: Time, rate: f64) -> Self {
        Self {
            ended_at: None,
            named_at: now,
            rate: bounded(rate),
        }
    }

    /// What a peer knows.
    #[must_use]
    pub fn from_row(now: Time, row: &Row) -> Self {
        Self {
            ended_at: row.ended_ago.map(|ago| now.before(ago)),
            named_at: now.before(row.named_ago),
            rate: bounded(row.rate),
        }
    }

    /// Records an answer.
    pub fn record(&mut self, now: Time, answer: Answer) {
        match answer.limit {
            Some(rate) => {
                self.ended_at = None;
                self.named_at = now;
                self.rate = bounded(rate);
            }
            None => self.end(Some(answer.sent_at)),
        }
    }

    /// Records an end unless it came before the last naming; the first one counts.
    fn end(&mut self, ended_at: Option<Time>) {
        let ends = [self.ended_at, ended_at].into_iter().flatten();
        self.ended_at = ends.filter(|ended| *ended >= self.named_at).min();
    }

    /// Adds what a peer knows. News may be older than it says, as it was in transit: an end counts only if it came
    /// that much after the last naming that the peer did not know of.
    pub fn merge(&mut self, told: Self) {
        if told.named_at > self.named_at {
            self.named_at = told.named_at;
            self.rate = told.rate;
            self.end(None);
        }
        let is_sure = |ended: &Time| {
            told.named_at >= self.named_at || *ended >= self.named_at.after(MAX_TRANSIT)
        };
        self.end(told.ended_at.filter(is_sure));
    }

    /// Whether the endpoint names the limit.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.ended_at.is_none()
    }

    /// Requests per second that the endpoint takes; `None` if it has recovered.
    #[must_use]
    pub fn rate_at(&self, now: Time) -> Option<f64> {
        let Some(ended_at) = self.ended_at else {
            return Some(self.rate);
        };
        let elapsed = now.since(ended_at);
        (elapsed < RECOVERY).then(|| {
            let doublings = elapsed.as_secs_f64() / DOUBLING.as_secs_f64();
            self.rate.max(MIN_RECOVERY_RATE) * doublings.exp2()
        })
    }

    /// Whether it ended so long ago that peers know of it.
    #[must_use]
    pub fn is_forgotten(&self, now: Time) -> bool {
        self.ended_at
            .is_some_and(|ended| now.since(ended) > ENDED_LIFETIME)
    }

    /// What peers have to know at once, compared with an earlier state.
    #[must_use]
    pub fn change_since(&self, before: &Self) -> Option<Change> {
        match (before.is_limited(), self.is_limited()) {
            (true, false) => Some(Change::Ended),
            (false, true) => Some(Change::Named(self.rate)),
            (true, true) if (self.rate - before.rate).abs() > before.rate * MIN_CHANGE => {
                Some(Change::Named(self.rate))
            }
            (true, true) | (false, false) => None,
        }
    }

    /// What to tell peers.
    #[must_use]
    pub fn row(&self, now: Time, incarnation: u32) -> Row {
        Row {
            ended_ago: self.ended_at.map(|ended| now.since(ended)),
            incarnation,
            named_ago: now.since(self.named_at),
            rate: self.rate,
        }
    }
}

/// A limit within the range that is used; one that is not a number counts as the lowest.
const fn bounded(rate: f64) -> f64 {
    rate.max(MIN_RATE).min(MAX_RATE)
}
