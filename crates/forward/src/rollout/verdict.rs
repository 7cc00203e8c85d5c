//! Judges a new version by its answers, against those of the versions that it replaces.
//!
//! A sequential test for each route, and for all routes together: cumulative sums of log-likelihood
//! ratios between "as bad as the others" and "worse by a certain share", in the order of the
//! answers and reset at zero, so that a version that turns bad late is found as fast as one that is
//! bad from the start (Page's CUSUM). Failed answers, rejections and slow answers are tested by
//! themselves, since their usual shares differ. Slow are answers that took much longer than the
//! median answer of the other versions on the route.

use super::tally::{Outcome, RouteTally, Sample, TIME_CLASSES, Tally};

/// Shares of the good answers that a bad version turns bad, each tested for.
const LIFTS: [f64; 3] = [0.2, 0.5, 0.9];

/// Score at which a version is bad. Under a good version a sum starts anew at most once for each
/// answer, and each time reaches this with a probability of e to the power of -11.
const BAD_SCORE: f64 = 11.0;

/// Classes of time by which a slow answer exceeds the median: about three times as long.
const SLOW_CLASSES: usize = 6;

/// Number of answers of other versions from which on their median is used.
const MIN_MEDIAN_ANSWERS: u32 = 12;

/// Share of bad answers that is assumed at least for the other versions, and at most.
const MIN_BAD_SHARE: f64 = 0.02;
const MAX_BAD_SHARE: f64 = 0.8;

/// Answers that count for the other versions before any are seen, and the share of failed answers,
/// rejections and slow answers among them.
const PRIOR_ANSWERS: f64 = 20.0;
const PRIOR_FAILED: f64 = 0.05;
const PRIOR_REJECTED: f64 = 0.05;
const PRIOR_SLOW: f64 = 0.1;

/// Bad answers by which one endpoint may exceed all others; what lies beyond is the fault of the
/// endpoint, not of its version.
const MAX_EXCESS: usize = 1;

/// Share of the good answers that a version turns bad that must be unlikely before it is good.
const EXCLUDED_LIFT: f64 = 0.35;

/// Maximum logarithm of the likelihood ratio between such a version and a good one, for each route
/// and for all together.
const MAX_ROUTE_RATIO: f64 = -2.0;
const MAX_RATIO: f64 = -3.0;

/// Minimum number of answers before a version is good, in all and on each route in use.
const MIN_ANSWERS: usize = 12;
const MIN_ROUTE_ANSWERS: usize = 5;

/// Number of answers of other versions from which on a route is in use.
const USED_ROUTE_ANSWERS: u32 = 12;

/// What a version's answers show.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Verdict {
    /// Worse than the others.
    Bad,
    /// As good as the others.
    Good,
    /// Not clear yet.
    #[default]
    Open,
}

/// Judgement on a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Judgement {
    /// Highest score of a test; the version is bad from 11 on.
    pub score: f64,
    /// The verdict.
    pub verdict: Verdict,
}

/// An answer of the target as a test sees it.
#[derive(Clone, Copy, Debug)]
struct Trial {
    at_ms: u32,
    endpoint: u32,
    is_bad: bool,
    /// Share of bad answers of the other versions.
    share: f64,
}

/// Answers of one kind of test: of each route, in order.
type Test = Vec<Vec<Trial>>;

/// Judges a version; `targets` is the number of its endpoints.
#[must_use]
pub fn judge(tallies: &[RouteTally], targets: usize) -> Judgement {
    let test = |trials: fn(&RouteTally) -> Vec<Trial>| {
        let routes = tallies.iter().map(|tally| {
            let mut trials = trials(tally);
            trials.sort_by_key(|trial| trial.at_ms);
            without_excess(trials, targets)
        });
        routes.collect::<Test>()
    };
    let tests = [test(failures), test(slow_answers), test(rejections)];
    let score = tests.iter().map(highest_score).fold(0.0, f64::max);
    let is_covered = tallies.iter().all(|tally| {
        tally.old.answers() < USED_ROUTE_ANSWERS || tally.new.len() >= MIN_ROUTE_ANSWERS
    });
    let verdict = if score >= BAD_SCORE {
        Verdict::Bad
    } else if is_covered && tests.iter().all(is_good) {
        Verdict::Good
    } else {
        Verdict::Open
    };
    Judgement { score, verdict }
}

/// Highest score of a test, for single routes and all together.
fn highest_score(test: &Test) -> f64 {
    let mut all = test.concat();
    all.sort_by_key(|trial| trial.at_ms);
    let routes = test.iter().map(|trials| score(trials));
    routes.fold(score(&all), f64::max)
}

fn is_good(test: &Test) -> bool {
    let answers = test.iter().map(Vec::len).sum::<usize>();
    let ratios = test.iter().map(|trials| ratio(trials));
    let ratios = ratios.collect::<Vec<_>>();
    let is_unlikely = ratios
        .iter()
        .zip(test)
        .all(|(ratio, trials)| trials.len() < MIN_ROUTE_ANSWERS || *ratio <= MAX_ROUTE_RATIO);
    answers >= MIN_ANSWERS && is_unlikely && ratios.iter().sum::<f64>() <= MAX_RATIO
}

/// Answers of a route, of which failed ones are bad.
fn failures(tally: &RouteTally) -> Vec<Trial> {
    let share = bad_share(tally.old.failed, tally.old.answers(), PRIOR_FAILED);
    let run = tally.new.iter();
    let run = run.filter(|sample| sample.outcome != Outcome::Rejected);
    run.map(|sample| trial(sample, sample.outcome == Outcome::Failed, share))
        .collect()
}

/// Successful answers of a route, of which slow ones are bad.
fn slow_answers(tally: &RouteTally) -> Vec<Trial> {
    let slow_from = slow_from(&tally.old);
    let slow = tally.old.answered.iter().skip(slow_from).sum::<u32>();
    let answered = tally.old.answered.iter().sum();
    let share = bad_share(slow, answered, PRIOR_SLOW);
    let answers = tally.new.iter().filter_map(|sample| match sample.outcome {
        Outcome::Answered(class) => Some(trial(sample, usize::from(class) >= slow_from, share)),
        Outcome::Failed | Outcome::Rejected => None,
    });
    answers.collect()
}

/// All requests of a route, of which rejected ones are bad.
fn rejections(tally: &RouteTally) -> Vec<Trial> {
    let requests = tally.old.answers() + tally.old.rejected;
    let share = bad_share(tally.old.rejected, requests, PRIOR_REJECTED);
    let requests = tally.new.iter();
    requests
        .map(|sample| trial(sample, sample.outcome == Outcome::Rejected, share))
        .collect()
}

fn trial(sample: &Sample, is_bad: bool, share: f64) -> Trial {
    Trial {
        at_ms: sample.at_ms,
        endpoint: sample.endpoint,
        is_bad,
        share,
    }
}

/// The first class of time that is slow on a route.
fn slow_from(old: &Tally) -> usize {
    let answered = old.answered.iter().sum::<u32>();
    if answered < MIN_MEDIAN_ANSWERS {
        return TIME_CLASSES;
    }
    let mut below = 0;
    let median = old.answered.iter().position(|count| {
        below += count;
        below * 2 >= answered
    });
    median.unwrap_or(TIME_CLASSES) + SLOW_CLASSES
}

fn bad_share(bad: u32, answers: u32, prior: f64) -> f64 {
    let bad = f64::from(bad) + prior * PRIOR_ANSWERS;
    let share = bad / (f64::from(answers) + PRIOR_ANSWERS);
    share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE)
}

/// Drops the latest bad answers of the endpoint with most of them, down to [`MAX_EXCESS`] more than
/// the next one has.
fn without_excess(mut trials: Vec<Trial>, targets: usize) -> Vec<Trial> {
    if targets < 2 {
        return trials;
    }
    let mut endpoints = trials
        .iter()
        .filter(|trial| trial.is_bad)
        .map(|trial| trial.endpoint)
        .collect::<Vec<_>>();
    endpoints.sort_unstable();
    let mut counts = endpoints
        .chunk_by(|one, other| one == other)
        .map(|same| (same.len(), same[0]))
        .collect::<Vec<_>>();
    counts.sort_unstable();
    let Some((most, worst)) = counts.pop() else {
        return trials;
    };
    let next = counts.last().map_or(0, |(count, _)| *count);
    let mut left = most.min(next + MAX_EXCESS);
    trials.retain(|trial| {
        if !trial.is_bad || trial.endpoint != worst {
            return true;
        }
        let is_kept = left > 0;
        left = left.saturating_sub(1);
        is_kept
    });
    trials
}

/// Logarithm of the likelihood ratio of an answer between a version that turns `lift` of the good
/// answers bad and one that is like the others.
fn log_ratio(trial: Trial, lift: f64) -> f64 {
    let lifted = trial.share + lift * (1.0 - trial.share);
    if trial.is_bad {
        (lifted / trial.share).ln()
    } else {
        ((1.0 - lifted) / (1.0 - trial.share)).ln()
    }
}

fn ratio(trials: &[Trial]) -> f64 {
    let ratios = trials.iter().map(|trial| log_ratio(*trial, EXCLUDED_LIFT));
    ratios.sum()
}

/// Highest cumulative sum of all tests.
fn score(trials: &[Trial]) -> f64 {
    let mut highest = 0.0_f64;
    for lift in LIFTS {
        let mut sum = 0.0_f64;
        for trial in trials {
            sum = (sum + log_ratio(*trial, lift)).max(0.0);
            highest = highest.max(sum);
        }
    }
    highest
}
