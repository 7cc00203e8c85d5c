//! Requests that wait for room at an endpoint.

use {super::State, crate::request::Ticket};

/// Position in the queue of a service, ordered by priority, then by arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    priority: u8,
    service: String,
    turn: u64,
}

impl State {
    /// Adds a request to the queue of its service.
    pub fn enqueue(&mut self, ticket: &Ticket) -> QueuePosition {
        self.next_turn += 1;
        let position = QueuePosition {
            priority: ticket.priority,
            service: ticket.service.clone(),
            turn: self.next_turn,
        };
        self.waiting.push(position.clone());
        position
    }

    /// Removes a request from the queue.
    pub fn dequeue(&mut self, position: &QueuePosition) {
        self.waiting.retain(|other| other != position);
    }

    /// Number of queued requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether another queued request of the service comes first.
    #[must_use]
    pub fn is_preceded(&self, position: &QueuePosition) -> bool {
        self.waiting.iter().any(|other| {
            other.service == position.service
                && (other.priority, other.turn) < (position.priority, position.turn)
        })
    }
}
