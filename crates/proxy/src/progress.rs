//! Attempts made for a request that has no response yet.

use {
    crate::{clock, exchange::Original, prelude::*},
    forward::request::Ticket,
};

/// Maximum number of sends for one request, rejected ones included.
const MAX_SENDS: u32 = 4;

/// Attempts made for a request that has no response yet.
#[derive(Debug, Default)]
pub struct Progress {
    /// Name of the customer; empty if the route requires no key.
    customer: String,
    /// Endpoint whose error response led to a retry.
    pub failed_at: Option<EndpointKey>,
    /// An endpoint's error response, returned if no other endpoint succeeds.
    pub failure: Option<Reply>,
    /// Sends that the endpoint may have run.
    pub runs: u32,
    /// Sends that may have reached an endpoint.
    pub sends: u32,
    /// Endpoints that were tried.
    pub tried: Vec<EndpointKey>,
    /// Why the last send got no usable response.
    pub why: String,
}

impl Progress {
    /// No attempts yet. A trial is not sent to an endpoint that was lost, which would end it without a result.
    #[must_use]
    pub fn for_request(shared: &Shared, original: &Original, ticket: &Ticket) -> Self {
        let mut progress = Self {
            customer: ticket.customer.clone().unwrap_or_default(),
            ..Self::default()
        };
        if original.is_trial.get() {
            progress.tried = shared.state.borrow().lost_endpoints(&ticket.service);
        }
        progress
    }

    /// Records that an endpoint may have run the request without a usable response.
    pub fn note_run(&mut self, key: EndpointKey, why: String) {
        self.runs += 1;
        self.tried.push(key);
        self.why = why;
    }

    /// Records that an endpoint rejected the request without running it.
    pub fn note_rejected(&mut self, key: EndpointKey, why: String) {
        self.tried.push(key);
        self.why = why;
    }

    /// Whether one more send is within the limits: the route's limit of runs, the limit of
    /// sends and, for a retry, the retry budget.
    #[must_use]
    pub fn may_send(&self, shared: &Shared, ticket: &Ticket) -> bool {
        if self.runs > 0 && !ticket.may_run_again(self.runs) {
            return false;
        }
        let now = clock::now();
        let allowed = |state: &mut forward::State| state.budget.allows_retry(&ticket.service, now);
        self.sends == 0 || (self.sends < MAX_SENDS && allowed(&mut shared.state.borrow_mut()))
    }

    /// Adds why no endpoint was found for another send.
    pub fn note_no_endpoint(&mut self, why: String) {
        self.why = match self.why.as_str() {
            "" => why,
            before => format!("{before}; {why}"),
        };
    }

    /// Adds to the reason of the last failure that no further send is allowed.
    pub fn note_no_retry(&mut self) {
        let limit = if self.sends >= MAX_SENDS {
            "too many sends"
        } else {
            "retry budget used up"
        };
        self.why = format!("{}; {limit}", self.why);
    }

    /// Ends the request without success: with an endpoint's error response if there is one.
    ///
    /// # Errors
    ///
    /// No endpoint has returned an error response; see [`Self::give_up`].
    pub fn finish(&mut self, original: &Original, refusal: Refusal) -> Result<Reply, Refusal> {
        let failure = self.failure.take();
        failure.ok_or_else(|| self.give_up(original, refusal))
    }

    /// Gives the request up; returns what is reported of it.
    #[must_use]
    pub fn give_up(&self, original: &Original, refusal: Refusal) -> Refusal {
        let reported = original.truthful(refusal);
        log::info!(
            id = original.inbound.id, customer = self.customer, sends = self.sends, runs = self.runs,
            exposed = original.exposure.count(), why = self.why, outcome = reported.label(); "given up"
        );
        reported
    }
}
