//! Second sends to a service.
//!
//! Endpoints that fail under load are asked again by every request at once and never
//! recover. The bound holds over all instances together; each uses its own part (its
//! own first sends times the ratio, and the burst divided by the most instances that
//! can exist), so no message and no shared view is needed, and a partition breaks
//! nothing.
//!
//! An instance counts first sends over the window before its own last second send, which
//! lies anywhere in the joint window. Those of all instances together so spread over two
//! windows, and only the fuller one counts for the joint bound; hence each may use half
//! of the ratio.

use {crate::prelude::*, std::collections::VecDeque};

/// First and second sends of one service within the window.
#[derive(Debug, Default)]
struct SendHistory {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// The part of the joint budget that this instance may use, for each service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Of all instances together.
    burst: f64,
    /// Instances that the burst is divided by.
    instances: u32,
    histories: Vec<(String, SendHistory)>,
    ratio: f64,
    window: Duration,
}

impl RetryBudget {
    /// The instance's part by its settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut budget = Self {
            burst: 0.0,
            instances: settings.max_instances.max(1),
            histories: Vec::new(),
            ratio: 0.0,
            window: Duration::ZERO,
        };
        budget.update_settings(settings);
        budget
    }

    /// Takes changed settings in; what was sent counts on.
    pub const fn update_settings(&mut self, settings: &Settings) {
        self.burst = settings.retry_burst;
        self.ratio = settings.retry_ratio / 2.0;
        self.window = settings.budget_window;
    }

    /// Divides the burst by this many instances from now on.
    pub const fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// A request for the service arrived.
    pub fn record_request(&mut self, service: &str, now: Time) {
        self.history(service, now).requests.push_back(now);
    }

    /// Whether a second send is allowed.
    pub fn allows_retry(&mut self, service: &str, now: Time) -> bool {
        let (burst, ratio) = (self.burst / f64::from(self.instances), self.ratio);
        let history = self.history(service, now);
        let (requests, retries) = (history.requests.len(), history.retries.len());
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of a ten-second window are far below 2^52"
        )]
        let (requests, retries) = (requests as f64, retries as f64);
        retries < (requests * ratio + burst).floor()
    }

    /// A second send was made.
    pub fn record_retry(&mut self, service: &str, now: Time) {
        self.history(service, now).retries.push_back(now);
    }

    /// The last second send did not reach the endpoint after all.
    pub fn refund_retry(&mut self, service: &str, now: Time) {
        self.history(service, now).retries.pop_back();
    }

    fn history(&mut self, service: &str, now: Time) -> &mut SendHistory {
        let since = now.before(self.window);
        let index = match self
            .histories
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
        {
            Ok(index) => index,
            Err(index) => {
                self.histories
                    .insert(index, (service.to_string(), SendHistory::default()));
                index
            }
        };
        let history = &mut self.histories[index].1;
        drop_expired(&mut history.requests, since);
        drop_expired(&mut history.retries, since);
        history
    }
}

/// Forgets what lies before the window.
fn drop_expired(times: &mut VecDeque<Time>, since: Time) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
