//! Queue of requests that wait for an endpoint.

use crate::prelude::*;

/// Waiting requests, in the order in which they were queued.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: Vec<request::Key>,
}

impl Backlog {
    /// Appends a request.
    pub fn push(&mut self, request: request::Key) {
        self.waiting.push(request);
    }

    /// Removes a request.
    pub fn remove(&mut self, request: request::Key) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The requests in scheduling order.
    ///
    /// Higher priority comes first, then the customer with the fewest served tokens per
    /// weight, then the earlier arrival. Tokens are counted as they are served, so that
    /// output lengths need not be known in advance (virtual token counter).
    #[must_use]
    pub fn ordered(
        &self,
        requests: &SlotMap<request::Key, Request>,
        config: &Config,
    ) -> Vec<request::Key> {
        let mut order = self
            .waiting
            .iter()
            .map(|key| (rank(&requests[*key], config), *key))
            .collect::<Vec<_>>();
        order.sort_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        order.into_iter().map(|(_, key)| key).collect()
    }
}

fn rank(request: &Request, config: &Config) -> (u8, f64, Time) {
    let Some(customer) = config.customers.get(request.customer) else {
        return (u8::MAX, f64::MAX, request.arrived_at);
    };
    let behind = u8::MAX - customer.priority;
    (behind, customer.served_per_weight(), request.arrived_at)
}
