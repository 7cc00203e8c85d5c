//! Lengths of time as people write them.

use crate::prelude::*;

/// Units with their length in milliseconds, the longest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("ms", 1),
    ("s", 1_000),
];

/// Reads a whole number with a unit: `25ms`, `3s`, `15min`, `1h`, `7d`.
#[must_use]
pub fn parse(text: &str) -> Option<Duration> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let number = number.parse::<u64>().ok()?;
    Some(Duration::from_millis(number.checked_mul(*millis)?))
}

/// Writes a length of time in the largest unit that divides it.
#[must_use]
pub fn render(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    for unit in ["d", "h", "min", "s"] {
        let size = UNITS
            .iter()
            .find(|(name, _)| *name == unit)
            .map_or(1, |(_, size)| *size);
        if millis >= size && millis.is_multiple_of(size) {
            return format!("{}{unit}", millis / size);
        }
    }
    format!("{millis}ms")
}
