//! What has come of a request that is not answered yet.

use {
    crate::{clock, prelude::*},
    forward::request::Ticket,
};

/// Sends of one request, those that endpoints turned down included.
const MAX_SENDS: u32 = 4;

/// What has come of a request that is not answered yet.
#[derive(Debug, Default)]
pub struct Progress {
    /// An endpoint's own failure, passed on if no other endpoint does better.
    pub failure: Option<Reply>,
    /// Sends after which the request may have run.
    pub runs: u32,
    /// Sends that reached an endpoint.
    pub sends: u32,
    /// Endpoints that were asked.
    pub tried: Vec<EndpointKey>,
    /// Why the last send brought no answer.
    pub why: String,
}

impl Progress {
    /// An endpoint may have run the request, and there is no answer to pass on.
    pub fn note_run(&mut self, key: EndpointKey, why: String) {
        self.runs += 1;
        self.tried.push(key);
        self.why = why;
    }

    /// An endpoint said that it did not run the request.
    pub fn note_rejected(&mut self, key: EndpointKey, why: String) {
        self.tried.push(key);
        self.why = why;
    }

    /// Whether one more send is within the limits: the joint budget for all sends but the
    /// first, and the runs that the route allows.
    #[must_use]
    pub fn may_send(&self, shared: &Shared, ticket: &Ticket) -> bool {
        if self.runs > 0 && !ticket.may_run_again(self.runs) {
            return false;
        }
        let now = clock::now();
        let allowed = |state: &mut forward::State| state.budget.allows(&ticket.service, now);
        self.sends == 0 || (self.sends < MAX_SENDS && allowed(&mut shared.state.borrow_mut()))
    }

    /// How the request ends without a success: with an endpoint's own failure, or the truthful
    /// refusal.
    ///
    /// # Errors
    ///
    /// No endpoint has answered.
    pub fn finish(&mut self, id: &str, refusal: Refusal) -> Result<Reply, Refusal> {
        let failure = self.failure.take();
        failure.ok_or_else(|| self.give_up(id, refusal))
    }

    /// Gives the request up with the truthful refusal, whatever the last reason was.
    #[must_use]
    pub fn give_up(&self, id: &str, refusal: Refusal) -> Refusal {
        let reported = match refusal {
            refusal if self.runs == 0 => refusal,
            Refusal::Expired | Refusal::TimedOut => Refusal::TimedOut,
            _ => Refusal::Broken,
        };
        log::info!(
            id, sends = self.sends, runs = self.runs, why = self.why,
            outcome = reported.label(); "given up"
        );
        reported
    }
}
