//! When this instance asks for requests to an endpoint with a limit.

use crate::prelude::*;

/// Asks to one endpoint's coordinator that may be unanswered. Requests beyond them go elsewhere, so that a surge does
/// not turn into as many messages.
const MAX_ASKS: u32 = 4;

/// Pause after an ask that was not answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(250);

/// Asks of this instance for requests to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hold {
    /// Asks that are not answered yet.
    asks: u32,
    /// When this instance may ask again.
    until: Time,
}

impl Hold {
    /// Whether one more request may be asked for.
    #[must_use]
    pub fn may_ask(&self, now: Time) -> bool {
        self.asks < MAX_ASKS && now >= self.until
    }

    /// Time until the next ask.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Records an ask.
    pub const fn begin(&mut self) {
        self.asks = self.asks.saturating_add(1);
    }

    /// Records the answer to an ask, or that there was none.
    pub fn end(&mut self, now: Time, answer: Option<Result<(), Duration>>) {
        self.asks = self.asks.saturating_sub(1);
        match answer {
            Some(Ok(())) => {}
            Some(Err(pause)) => self.refuse(now, pause),
            None => self.refuse(now, UNANSWERED_PAUSE),
        }
    }

    /// Allows asks at once.
    pub const fn release(&mut self, now: Time) {
        self.until = now;
    }

    /// Records that a request was refused; this instance asks again after `pause`.
    pub fn refuse(&mut self, now: Time, pause: Duration) {
        self.until = self.until.max(now.after(pause));
    }
}
