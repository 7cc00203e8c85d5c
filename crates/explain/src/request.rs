//! Collects the log lines of each request.

use {
    crate::{Cause, rollout::Step},
    serde::Deserialize,
    std::collections::{BTreeMap, btree_map},
};

/// The fields of a log line that concern a request.
#[derive(Debug, Deserialize)]
struct LogLine {
    event: String,
    #[serde(default)]
    customer: String,
    #[serde(default)]
    id: String,
    #[serde(default)]
    first_ms: u64,
    #[serde(default)]
    gap_ms: u64,
    #[serde(default)]
    ms: u64,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    pause_ms: u64,
    /// Wall time in milliseconds.
    #[serde(default)]
    t: u64,
    #[serde(default)]
    target_ms: u64,
    #[serde(default)]
    why: String,
}

/// State of one request, derived from its log lines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Cause of its end, once a line reported it.
    pub cause: Option<Cause>,
    /// Name of its customer, if a line names one.
    pub customer: String,
    /// Wall time of its last line, in milliseconds.
    pub last_ms: u64,
    /// Wall time in milliseconds and outcome of the last attempt to move it to another engine.
    last_move: Option<(u64, MoveState)>,
}

/// State of a move to another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MoveState {
    /// No engine had capacity.
    NoCapacity,
    /// The move was in progress.
    InProgress,
}

/// A loss is attributed to a move attempted at most this long before it, in milliseconds.
/// Engines give at most two seconds of notice before they leave.
const MOVE_ATTRIBUTION_MS: u64 = 3000;

/// All requests found in the log lines, by id.
#[derive(Debug, Default)]
pub struct Requests {
    by_id: BTreeMap<String, Request>,
    /// Steps of rollouts, in the order in which they were read.
    pub rollouts: Vec<Step>,
    /// Number of lines that could not be parsed.
    pub unreadable_lines: usize,
}

impl Requests {
    /// Parses a log line. Text before the JSON object, such as the timestamp and name that a
    /// log collector adds, is skipped.
    pub fn read(&mut self, line: &str) {
        let Some(start) = line.find("{\"") else {
            self.unreadable_lines += usize::from(!line.trim().is_empty());
            return;
        };
        let text = line[start..].trim_end();
        self.rollouts.extend(Step::parse(text));
        let Ok(line) = serde_json::from_str::<LogLine>(text) else {
            self.unreadable_lines += 1;
            return;
        };
        if !line.id.is_empty() {
            let request = self.by_id.entry(line.id.clone()).or_default();
            request.update(&line);
        }
    }

    /// Iterates over all requests and their ids.
    pub fn iter(&self) -> btree_map::Iter<'_, String, Request> {
        self.by_id.iter()
    }
}

impl<'a> IntoIterator for &'a Requests {
    type IntoIter = btree_map::Iter<'a, String, Request>;
    type Item = (&'a String, &'a Request);

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl Request {
    fn update(&mut self, line: &LogLine) {
        self.last_ms = self.last_ms.max(line.t);
        if !line.customer.is_empty() {
            self.customer.clone_from(&line.customer);
        }
        match line.event.as_str() {
            "move begins" | "copied" => self.last_move = Some((line.t, MoveState::InProgress)),
            "move put off" => {
                let no_capacity = line.why == "no engine with room";
                let state = if no_capacity {
                    MoveState::NoCapacity
                } else {
                    MoveState::InProgress
                };
                self.last_move = Some((line.t, state));
            }
            "request ended" => self.cause = Some(request_cause(line)),
            "stream ended" => self.cause = Some(self.stream_cause(line)),
            _ => {}
        }
    }

    fn stream_cause(&self, line: &LogLine) -> Cause {
        let late = |limit: u64, took: u64| limit > 0 && took > limit;
        match line.outcome.as_str() {
            "complete" if late(line.target_ms, line.first_ms) => Cause::LateStart,
            "complete" if late(line.gap_ms, line.pause_ms) => Cause::LatePause,
            "complete" => Cause::Answered,
            "lost" => self.loss_cause(line),
            "let_go" => Cause::Ended(format!("let_go, {}", line.why)),
            other => Cause::Ended(other.to_string()),
        }
    }

    fn loss_cause(&self, line: &LogLine) -> Cause {
        if line.why.ends_with("crashes_endpoints") {
            return Cause::LostCrashes;
        }
        if !line.why.ends_with("no copy") {
            return Cause::LostCopyFailed;
        }
        let last_move = self
            .last_move
            .filter(|(at, _)| line.t.saturating_sub(*at) < MOVE_ATTRIBUTION_MS);
        match last_move {
            None => Cause::LostUnannounced,
            Some((_, MoveState::NoCapacity)) => Cause::LostNoCapacity,
            Some((_, MoveState::InProgress)) => Cause::LostMoving,
        }
    }
}

fn request_cause(line: &LogLine) -> Cause {
    match line.outcome.as_str() {
        "answered" if line.target_ms > 0 && line.ms > line.target_ms => Cause::LateStart,
        "answered" => Cause::Answered,
        other => Cause::Ended(other.to_string()),
    }
}
