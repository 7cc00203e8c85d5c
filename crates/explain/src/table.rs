//! Requests grouped by cause, with counts, times and examples.

use {
    crate::{
        Cause, Requests,
        rollout::{self, Report, Step},
    },
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// Number of request ids shown per cause.
const MAX_EXAMPLES: usize = 3;

/// Number of customers shown per cause.
const MAX_CUSTOMERS: usize = 3;

/// The requests of one cause.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Text of the cause.
    pub cause: String,
    /// Number of requests.
    pub count: usize,
    /// The customers with the most requests, and their numbers.
    pub customers: Vec<(String, usize)>,
    /// The first request ids by time.
    pub examples: Vec<String>,
    /// Wall time of the first end, in milliseconds.
    pub first: u64,
    /// Wall time of the last end, in milliseconds.
    pub last: u64,
    /// The second with the most ends (wall time in seconds) and their number.
    pub worst_second: (u64, usize),
}

/// All causes, most frequent first.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Table {
    /// Steps of rollouts, by time.
    pub rollouts: Vec<Step>,
    /// One row per cause.
    pub rows: Vec<Row>,
    /// Number of log lines that could not be parsed.
    pub unreadable_lines: usize,
}

impl Table {
    /// Groups requests by cause.
    #[must_use]
    pub fn new(requests: &Requests) -> Self {
        let mut ends = Vec::new();
        for (id, request) in requests {
            let cause = request.cause.clone().unwrap_or(Cause::Open);
            ends.push((
                cause,
                request.last_ms,
                id.as_str(),
                request.customer.as_str(),
            ));
        }
        ends.sort();
        let groups = ends.chunk_by(|one, other| one.0 == other.0);
        let mut rows = groups.map(row).collect::<Vec<_>>();
        rows.sort_by(|one, other| (other.count, &one.cause).cmp(&(one.count, &other.cause)));
        Self {
            rollouts: rollout::timeline(&requests.rollouts),
            rows,
            unreadable_lines: requests.unreadable_lines,
        }
    }
}

/// Builds the row of one cause from its ends, which are sorted by time.
fn row(ends: &[(Cause, u64, &str, &str)]) -> Row {
    let times = ends.iter().map(|(_, at, _, _)| *at);
    let examples = ends.iter().take(MAX_EXAMPLES);
    let seconds = ends.chunk_by(|one, other| one.1 / 1000 == other.1 / 1000);
    let worst = seconds.max_by_key(|ends| ends.len());
    Row {
        cause: ends[0].0.to_string(),
        count: ends.len(),
        customers: customers(ends),
        examples: examples.map(|(_, _, id, _)| (*id).to_string()).collect(),
        first: times.clone().min().unwrap_or_default(),
        last: times.max().unwrap_or_default(),
        worst_second: worst.map_or((0, 0), |ends| (ends[0].1 / 1000, ends.len())),
    }
}

/// The customers with the most of these ends, most first.
fn customers(ends: &[(Cause, u64, &str, &str)]) -> Vec<(String, usize)> {
    let mut names = ends
        .iter()
        .map(|(_, _, _, customer)| *customer)
        .filter(|customer| !customer.is_empty())
        .collect::<Vec<_>>();
    names.sort_unstable();
    let mut counts = names
        .chunk_by(|one, other| one == other)
        .map(|same| (same[0].to_string(), same.len()))
        .collect::<Vec<_>>();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(MAX_CUSTOMERS);
    counts
}

impl Display for Table {
    /// Writes a Markdown table with times relative to the earliest end.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let start = self.rows.iter().map(|row| row.first).min();
        let start = start.unwrap_or_default();
        writeln!(
            f,
            "| cause | requests | from s | to s | most in a second | most by customer | examples |"
        )?;
        writeln!(f, "|---|---:|---:|---:|---|---|---|")?;
        for row in &self.rows {
            let (second, most) = row.worst_second;
            let second = second.saturating_sub(start / 1000);
            let customers = row.customers.iter();
            let customers = customers.map(|(customer, count)| format!("{customer} {count}"));
            let customers = customers.collect::<Vec<_>>().join(", ");
            writeln!(
                f,
                "| {} | {} | {} | {} | {most} at {second} s | {customers} | {} |",
                row.cause,
                row.count,
                seconds(row.first - start),
                seconds(row.last - start),
                row.examples.join(" "),
            )?;
        }
        if !self.rollouts.is_empty() {
            write!(f, "\n{}", Report(&self.rollouts))?;
        }
        if self.unreadable_lines > 0 {
            writeln!(f, "\n{} lines could not be read.", self.unreadable_lines)?;
        }
        Ok(())
    }
}

/// Formats milliseconds as seconds with one decimal.
fn seconds(millis: u64) -> String {
    format!("{}.{}", millis / 1000, millis % 1000 / 100)
}
