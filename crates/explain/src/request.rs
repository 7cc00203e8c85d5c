//! What the log lines say of each request.

use {
    crate::Cause,
    serde::Deserialize,
    std::collections::{BTreeMap, btree_map},
};

/// A log line, as far as it tells of a request.
#[derive(Debug, Deserialize)]
struct Line {
    event: String,
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

/// What is known of one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// How it ended, once a line said so.
    pub cause: Option<Cause>,
    /// Wall time of its last line, in milliseconds.
    pub last: u64,
    /// When and how a move of its run last went on.
    step: Option<(u64, Step)>,
}

/// How far a move of a run came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// No engine had room.
    NoRoom,
    /// It was under way.
    Under,
}

/// Time before a loss in which a move belongs to it, in milliseconds; engines leave with
/// two seconds of notice or less.
const NOTICE: u64 = 3000;

/// All requests that the lines name, by id.
#[derive(Debug, Default)]
pub struct Requests {
    by_id: BTreeMap<String, Request>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

impl Requests {
    /// Takes a line in. Whatever stands before its object, such as a collector's time and
    /// name, is passed over.
    pub fn read(&mut self, line: &str) {
        let Some(start) = line.find("{\"") else {
            self.unreadable += usize::from(!line.trim().is_empty());
            return;
        };
        let Ok(line) = serde_json::from_str::<Line>(line[start..].trim_end()) else {
            self.unreadable += 1;
            return;
        };
        if !line.id.is_empty() {
            let request = self.by_id.entry(line.id.clone()).or_default();
            request.take(&line);
        }
    }

    /// All requests with their ids.
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
    fn take(&mut self, line: &Line) {
        self.last = self.last.max(line.t);
        match line.event.as_str() {
            "move begins" | "copied" => self.step = Some((line.t, Step::Under)),
            "move put off" => {
                let full = line.why == "no engine with room";
                let step = if full { Step::NoRoom } else { Step::Under };
                self.step = Some((line.t, step));
            }
            "request ended" => self.cause = Some(plain(line)),
            "stream ended" => self.cause = Some(self.stream(line)),
            _ => {}
        }
    }

    fn stream(&self, line: &Line) -> Cause {
        let late = |limit: u64, took: u64| limit > 0 && took > limit;
        match line.outcome.as_str() {
            "complete" if late(line.target_ms, line.first_ms) => Cause::LateStart,
            "complete" if late(line.gap_ms, line.pause_ms) => Cause::LatePause,
            "complete" => Cause::Answered,
            "lost" => self.loss(line),
            other => Cause::Ended(other.to_string()),
        }
    }

    fn loss(&self, line: &Line) -> Cause {
        if !line.why.ends_with("no copy") {
            return Cause::LostCopyFailed;
        }
        let step = self
            .step
            .filter(|(at, _)| line.t.saturating_sub(*at) < NOTICE);
        match step {
            None => Cause::LostUnannounced,
            Some((_, Step::NoRoom)) => Cause::LostNoRoom,
            Some((_, Step::Under)) => Cause::LostMoving,
        }
    }
}

fn plain(line: &Line) -> Cause {
    match line.outcome.as_str() {
        "answered" if line.target_ms > 0 && line.ms > line.target_ms => Cause::LateStart,
        "answered" => Cause::Answered,
        other => Cause::Ended(other.to_string()),
    }
}
