//! Budget that limits retries.

/// Balance that one retry costs; one first attempt earns the configured percentage of it.
const RETRY_COST: u32 = 100;

/// Token bucket that first attempts fill and retries drain.
///
/// It bounds retries to a fraction of the first attempts, which prevents retry storms from
/// keeping overloaded endpoints from recovering.
#[derive(Debug)]
pub struct RetryBudget {
    max_balance: u32,
    earned_per_request: u32,
    balance: u32,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred first attempts, with a burst of at most `burst`.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        Self {
            max_balance: burst * RETRY_COST,
            earned_per_request: percent,
            balance: burst * RETRY_COST,
        }
    }

    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.balance = self.max_balance.min(self.balance + self.earned_per_request);
    }

    /// Charges a retry; false if the balance is too low.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
