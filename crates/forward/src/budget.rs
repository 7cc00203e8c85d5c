//! Retry budget of each service.
//!
//! Without a limit, retries keep endpoints overloaded that fail under load. The limit holds over
//! all instances: each uses its own share (its own requests times the ratio, and the burst divided
//! by the number of instances), so no coordination is needed and a partition changes nothing.
//!
//! An instance counts the requests in the window before its own last retry, and these windows may
//! lie anywhere in the window of the shared limit. Over all instances they cover up to two windows,
//! so each instance uses half of the ratio.

use {crate::prelude::*, std::collections::VecDeque};

/// First attempts and retries to one service within the window.
#[derive(Debug, Default)]
struct SendHistory {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// This instance's share of the retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudget {
    /// Over all instances.
    burst: f64,
    /// Number of instances that the burst is divided by.
    instances: u32,
    histories: Vec<(String, SendHistory)>,
    ratio: f64,
    window: Duration,
}

impl RetryBudget {
    /// A budget by the settings of the instance.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut budget = Self {
            burst: 0.0,
            instances: settings.min_instances.max(1),
            histories: Vec::new(),
            ratio: 0.0,
            window: Duration::ZERO,
        };
        budget.update_settings(settings);
        budget
    }

    /// Applies changed settings; earlier requests and retries still count.
    pub const fn update_settings(&mut self, settings: &Settings) {
        self.burst = settings.retry_burst;
        self.ratio = settings.retry_ratio / 2.0;
        self.window = settings.budget_window;
    }

    /// Sets the number of instances that the burst is divided by.
    pub const fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Records a request for the service.
    pub fn record_request(&mut self, service: &str, now: Time) {
        self.history(service, now).requests.push_back(now);
    }

    /// Whether a retry is allowed.
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

    /// Records a retry.
    pub fn record_retry(&mut self, service: &str, now: Time) {
        self.history(service, now).retries.push_back(now);
    }

    /// Removes the last retry, which did not reach the endpoint.
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

/// Removes times before the window.
fn drop_expired(times: &mut VecDeque<Time>, since: Time) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
