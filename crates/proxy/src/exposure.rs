//! Whether endpoints may have run a request.

use std::cell::Cell;

/// Counts the sends of a request that endpoints may have run, or may run yet.
#[derive(Debug, Default)]
pub struct Exposure(Cell<u32>);

impl Exposure {
    /// Counts a send that is about to be written. It stays counted, also if the send is given up.
    #[must_use]
    pub fn begin(&self) -> Attempt<'_> {
        self.0.set(self.0.get() + 1);
        Attempt(self)
    }

    /// Number of sends that endpoints may have run.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.0.get()
    }
}

/// An attempt to send a request.
#[derive(Debug)]
pub struct Attempt<'a>(&'a Exposure);

impl Attempt<'_> {
    /// Takes the send out of the count, since its endpoint has not run the request and never will.
    pub fn retract(self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}
