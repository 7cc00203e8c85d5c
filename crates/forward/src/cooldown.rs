//! Time for which an endpoint wants no requests from this instance.

use crate::prelude::*;

/// Requests that may be sent during a cooldown, for streams in progress that no other endpoint can continue. An endpoint
/// may get two; the second one is left for a request that is already on its way.
const MAX_URGENT: u32 = 1;

/// Leave to send one request, to be given back when that is answered or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// For one of any number of requests.
    Free,
    /// For the only request until the endpoint accepts one again, with its number.
    Trial(u32),
}

/// The cooldown that one start of an endpoint asks for.
///
/// It ends with the longest of the times that were asked for. Then one request at a time is sent until the endpoint accepts
/// one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cooldown {
    /// Whether the endpoint has accepted no request since.
    is_unproven: bool,
    /// When this instance sends the first request afterwards.
    resumes_at: Time,
    /// Number of the request that is sent alone, if it is not answered yet.
    trial: Option<u32>,
    trials: u32,
    until: Time,
    urgent: u32,
}

impl Cooldown {
    /// Records that the endpoint asks for a cooldown, `delay` after which this instance sends again.
    pub fn begin(&mut self, now: Time, cooldown: Duration, delay: Duration) {
        if self.is_over(now) {
            self.urgent = 0;
        }
        let until = now.after(cooldown);
        if until > self.until {
            self.until = until;
            self.resumes_at = until.after(delay);
        }
        self.is_unproven = true;
    }

    /// Whether the time that the endpoint asked for is over.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Time that is left of what the endpoint asked for.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Whether a new request may be sent.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        !self.is_unproven || (now >= self.resumes_at && self.trial.is_none())
    }

    /// Time until a new request may be sent, if it may not.
    #[must_use]
    pub fn left(&self, now: Time) -> Option<Duration> {
        let is_waiting = self.is_unproven && now < self.resumes_at;
        is_waiting.then(|| self.resumes_at.since(now))
    }

    /// Permits a request, if it may be sent. `urgent` ones are for streams in progress that no other endpoint can
    /// continue.
    pub fn permit(&mut self, now: Time, urgent: bool) -> Option<Permit> {
        if urgent && self.is_over(now) {
            return Some(Permit::Free);
        }
        if urgent && self.urgent < MAX_URGENT {
            self.urgent += 1;
            return Some(Permit::Free);
        }
        if !self.admits(now) {
            return None;
        }
        if !self.is_unproven {
            return Some(Permit::Free);
        }
        self.trials = self.trials.wrapping_add(1);
        self.trial = Some(self.trials);
        Some(Permit::Trial(self.trials))
    }

    /// Time until an urgent request may be sent, if it may not.
    #[must_use]
    pub fn urgent_left(&self, now: Time) -> Option<Duration> {
        let is_waiting = !self.is_over(now) && self.urgent >= MAX_URGENT;
        is_waiting.then(|| self.time_left(now))
    }

    /// Takes a permit back.
    pub fn give_back(&mut self, permit: Permit) {
        if let Permit::Trial(number) = permit
            && self.trial == Some(number)
        {
            self.trial = None;
        }
    }

    /// Records that the endpoint has accepted a request. One that was sent before the end of the cooldown says nothing of
    /// the time after it.
    pub fn record_acceptance(&mut self, sent_at: Time) {
        if self.is_over(sent_at) {
            self.is_unproven = false;
        }
    }
}
