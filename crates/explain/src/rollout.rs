//! Steps of rollouts, from the log lines of all instances.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Events that report a step.
const EVENTS: [&str; 5] = [
    "operators are told of a rollout",
    "rollout is not started",
    "rollout ordered",
    "rollout stage recorded",
    "rollout withdrawn",
];

/// A step of a rollout.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Step {
    /// Wall time in milliseconds.
    pub t: u64,
    /// The service.
    pub service: String,
    /// Number of the order.
    pub order: u64,
    /// The event.
    pub event: String,
    /// The stage that was reached, if any.
    pub stage: String,
    /// The instance that logged it.
    pub instance: String,
    /// Why it was not started, if it was not.
    pub reason: String,
}

impl Step {
    /// The step that a log line reports, if any.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        if !line.contains("rollout") {
            return None;
        }
        let step = serde_json::from_str::<Self>(line).ok()?;
        EVENTS.contains(&step.event.as_str()).then_some(step)
    }
}

/// The steps of all rollouts, by time. Of equal steps, which each instance logs, the first.
#[must_use]
pub fn timeline(steps: &[Step]) -> Vec<Step> {
    let mut steps = steps.to_vec();
    steps.sort();
    let mut timeline = Vec::<Step>::new();
    for step in steps {
        let is_known = timeline.iter().any(|known| {
            let same = (&known.service, known.order, &known.event, &known.stage);
            same == (&step.service, step.order, &step.event, &step.stage)
        });
        if !is_known {
            timeline.push(step);
        }
    }
    timeline
}

/// Writes a timeline as a Markdown table with times relative to its first step.
#[derive(Debug)]
pub struct Report<'a>(pub &'a [Step]);

impl Display for Report<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let start = self.0.first().map_or(0, |step| step.t);
        writeln!(f, "| s | service | order | step | stage | instance |")?;
        writeln!(f, "|---:|---|---:|---|---|---|")?;
        for step in self.0 {
            let millis = step.t - start;
            writeln!(
                f,
                "| {}.{} | {} | {} | {} {} | {} | {} |",
                millis / 1000,
                millis % 1000 / 100,
                step.service,
                step.order,
                step.event,
                step.reason,
                step.stage,
                step.instance
            )?;
        }
        Ok(())
    }
}
