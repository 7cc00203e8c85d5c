//! Requests that wait for an endpoint.

use crate::prelude::*;

/// Requests that wait, in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: Vec<request::Key>,
}

impl Backlog {
    /// Adds a request at the end.
    pub fn push(&mut self, request: request::Key) {
        self.waiting.push(request);
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: request::Key) {
        self.waiting.retain(|waiting| *waiting != request);
    }

    /// Number of requests that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The requests in the order of service.
    ///
    /// Higher priority goes first; within it the customer who was served the
    /// fewest tokens for its weight, then the earlier arrival. Counting tokens as
    /// they are served needs no knowledge of lengths (virtual token counter).
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
