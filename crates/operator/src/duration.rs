//! Parsing and formatting of durations such as `25ms` or `7d`.

use crate::prelude::*;

/// Unit suffixes and their lengths in milliseconds.
const UNITS_MS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("ms", 1),
    ("s", 1_000),
];

/// Parses an integer with a unit suffix: `25ms`, `3s`, `15min`, `1h`, `7d`.
#[must_use]
pub fn parse(text: &str) -> Option<Duration> {
    let unit_start = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let (_, millis) = UNITS_MS.iter().find(|(name, _)| *name == unit)?;
    let number = number.parse::<u64>().ok()?;
    Some(Duration::from_millis(number.checked_mul(*millis)?))
}

/// Formats a duration in the largest unit that divides it.
#[must_use]
pub fn render(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    for unit in ["d", "h", "min", "s"] {
        let size = UNITS_MS
            .iter()
            .find(|(name, _)| *name == unit)
            .map_or(1, |(_, size)| *size);
        if millis >= size && millis.is_multiple_of(size) {
            return format!("{}{unit}", millis / size);
        }
    }
    format!("{millis}ms")
}
