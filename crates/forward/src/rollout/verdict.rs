//! Judges a new version by its answers, against those of the versions that it replaces.
//!
//! A sequential test for each route, and for all routes together: log-likelihood ratios between
//! "worse by a certain share" and "as bad as the others", summed over the latest answers from any one
//! on, so that a version that turns bad late is found as fast as one that is bad from the start (Page's
//! CUSUM). Failed answers, rejections and slow answers are tested by themselves, since their usual
//! shares differ. Slow are answers that took much longer than the median answer of the other versions
//! on the route.
//!
//! Some endpoints fail whatever their version. Under a good version an endpoint is therefore taken as
//! faulty by itself with a small probability, which bounds what a single one can show: a version is
//! bad if most of its endpoints are.

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

/// Maximum evidence of one endpoint against its version. Three endpoints can reach [`BAD_SCORE`] if
/// the others show nothing.
const MAX_ENDPOINT_EVIDENCE: f64 = 5.1;

/// Share of the endpoints that must be bad where there are few. With less, one faulty endpoint of two
/// would condemn a version.
const BAD_ENDPOINT_SHARE: f64 = 2.0 / 3.0;

/// Share of the good answers that a version turns bad that must be unlikely before it is good.
const EXCLUDED_LIFT: f64 = 0.35;

/// The same for slow answers. A version that is several times slower makes most of its answers slow; with
/// a smaller share, a few that are slow by chance keep a good version from being completed.
const EXCLUDED_SLOW_LIFT: f64 = 0.5;

/// Maximum logarithm of the likelihood ratio between such a version and a good one, for each route
/// and for all together.
const MAX_ROUTE_RATIO: f64 = -6.0;
const MAX_RATIO: f64 = -7.0;

/// The same before a version is promising.
const MAX_PROMISING_ROUTE_RATIO: f64 = -2.0;
const MAX_PROMISING_RATIO: f64 = -3.0;

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
    /// Probably as good as the others, but not clear yet.
    Promising,
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
            trials
        });
        routes.collect::<Test>()
    };
    let tests = [test(failures), test(slow_answers), test(rejections)];
    let faulty_share = faulty_share(targets);
    let scores = tests.iter().map(|test| highest_score(test, faulty_share));
    let score = scores.fold(0.0, f64::max);
    let is_covered = tallies.iter().all(|tally| {
        tally.old.answers() < USED_ROUTE_ANSWERS || tally.new.len() >= MIN_ROUTE_ANSWERS
    });
    let lifts = [EXCLUDED_LIFT, EXCLUDED_SLOW_LIFT, EXCLUDED_LIFT];
    let excludes_lifts = |max_route_ratio, max_ratio| {
        let mut tests = tests.iter().zip(lifts);
        tests.all(|(test, lift)| {
            ratios(test, lift, faulty_share).is_below(max_route_ratio, max_ratio)
        })
    };
    let verdict = if score >= BAD_SCORE {
        Verdict::Bad
    } else if !is_covered {
        Verdict::Open
    } else if excludes_lifts(MAX_ROUTE_RATIO, MAX_RATIO) {
        Verdict::Good
    } else if excludes_lifts(MAX_PROMISING_ROUTE_RATIO, MAX_PROMISING_RATIO) {
        Verdict::Promising
    } else {
        Verdict::Open
    };
    Judgement { score, verdict }
}

/// Probability that an endpoint is faulty by itself.
fn faulty_share(targets: usize) -> f64 {
    if targets < 2 {
        return 0.0;
    }
    let targets = f64::from(u32::try_from(targets).unwrap_or(u32::MAX));
    let bad_endpoints = targets * BAD_ENDPOINT_SHARE;
    (-MAX_ENDPOINT_EVIDENCE.max(BAD_SCORE / bad_endpoints)).exp()
}

/// Highest score of a test, for single routes and all together.
fn highest_score(test: &Test, faulty_share: f64) -> f64 {
    let mut all = test.concat();
    all.sort_by_key(|trial| trial.at_ms);
    let routes = test.iter().map(|trials| score(trials, faulty_share));
    routes.fold(score(&all, faulty_share), f64::max)
}

/// Logarithms of the likelihood ratios between a version that turns a certain share of the good answers
/// bad and a good one, in one test.
struct Ratios {
    answers: usize,
    /// Of routes with enough answers.
    highest: f64,
    total: f64,
}

impl Ratios {
    fn is_below(&self, max_route_ratio: f64, max_ratio: f64) -> bool {
        self.answers >= MIN_ANSWERS && self.highest <= max_route_ratio && self.total <= max_ratio
    }
}

fn ratios(test: &Test, lift: f64, faulty_share: f64) -> Ratios {
    let mut ratios = Ratios {
        answers: 0,
        highest: f64::NEG_INFINITY,
        total: 0.0,
    };
    for trials in test {
        let ratio = ratio(trials, lift, faulty_share);
        ratios.answers += trials.len();
        ratios.total += ratio;
        if trials.len() >= MIN_ROUTE_ANSWERS {
            ratios.highest = ratios.highest.max(ratio);
        }
    }
    ratios
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

/// Evidence of answers against a version, by endpoint.
#[derive(Debug, Default)]
struct Evidence {
    /// Sums of the logarithms of likelihood ratios, sorted by endpoint.
    endpoints: Vec<(u32, f64)>,
    faulty_share: f64,
    total: f64,
}

impl Evidence {
    const fn new(faulty_share: f64) -> Self {
        Self {
            endpoints: Vec::new(),
            faulty_share,
            total: 0.0,
        }
    }

    fn add(&mut self, trial: Trial, lift: f64) {
        let find = self
            .endpoints
            .binary_search_by_key(&trial.endpoint, |(endpoint, _)| *endpoint);
        let index = find.unwrap_or_else(|index| {
            self.endpoints.insert(index, (trial.endpoint, 0.0));
            index
        });
        let sum = &mut self.endpoints[index].1;
        let before = bounded(*sum, self.faulty_share);
        *sum += log_ratio(trial, lift);
        self.total += bounded(*sum, self.faulty_share) - before;
    }
}

/// Logarithm of the likelihood ratio of an endpoint, `sum`, if under a good version it may be faulty by
/// itself and then fails like under a bad one.
fn bounded(sum: f64, faulty_share: f64) -> f64 {
    if faulty_share <= 0.0 {
        return sum;
    }
    // Two forms, of which neither overflows.
    if sum > 0.0 {
        -((1.0 - faulty_share) * (-sum).exp() + faulty_share).ln()
    } else {
        sum - ((1.0 - faulty_share) + faulty_share * sum.exp()).ln()
    }
}

/// Logarithm of the likelihood ratio between a version that turns `lift` of the good answers bad and a
/// good one.
fn ratio(trials: &[Trial], lift: f64, faulty_share: f64) -> f64 {
    let mut evidence = Evidence::new(faulty_share);
    for trial in trials {
        evidence.add(*trial, lift);
    }
    evidence.total
}

/// Highest sum of all tests over the latest answers.
fn score(trials: &[Trial], faulty_share: f64) -> f64 {
    let mut highest = 0.0_f64;
    for lift in LIFTS {
        let mut evidence = Evidence::new(faulty_share);
        for trial in trials.iter().rev() {
            evidence.add(*trial, lift);
            highest = highest.max(evidence.total);
        }
    }
    highest
}
