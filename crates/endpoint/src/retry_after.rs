//! The `Retry-After` header.

use {
    crate::prelude::*,
    http::header::{DATE, RETRY_AFTER},
};

/// Longest time that is kept; a longer one is taken for an error in the unit.
const MAX_TIME: Duration = Duration::from_hours(24);

/// Time for which an endpoint that rejects a request wants no more of them: the longest one if it states several. A
/// value of zero, below zero or that cannot be read states none.
#[must_use]
pub fn read(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        return None;
    }
    let values = headers.get_all(RETRY_AFTER).iter();
    let stated = values.filter_map(|value| {
        let value = value.to_str().ok()?.trim();
        seconds(value).or_else(|| time_until(value, headers))
    });
    let longest = stated.max()?.min(MAX_TIME);
    (!longest.is_zero()).then_some(longest)
}

/// A number of seconds, with or without fractions.
fn seconds(value: &str) -> Option<Duration> {
    let number = value.parse::<f64>().ok();
    let number = number.filter(|number| number.is_finite())?;
    Some(Duration::try_from_secs_f64(number.max(0.0)).unwrap_or(Duration::MAX))
}

/// Time until an HTTP date, by the clock of the endpoint, which its answer states too.
fn time_until(value: &str, headers: &HeaderMap) -> Option<Duration> {
    let until = httpdate::parse_http_date(value).ok()?;
    let sent = headers.get(DATE)?.to_str().ok()?;
    let sent = httpdate::parse_http_date(sent).ok()?;
    until.duration_since(sent).ok()
}
