//! One budget for retries, hedges and failovers.

/// Hundredths of a retry, so that a tenth can be earned per request.
const RETRY_COST: u32 = 100;

/// Tokens that every second try spends and every first try earns.
///
/// Without a common budget, endpoints that fail under load are asked again by
/// every request at once and never recover; one notices it as sent requests
/// growing while answers shrink. Second tries cannot outgrow the stated part of
/// the first ones here, whatever fails.
#[derive(Debug)]
pub struct RetryBudget {
    max_balance: u32,
    earned_per_request: u32,
    balance: u32,
}

impl RetryBudget {
    /// `percent` second tries per hundred first ones, at most `burst` in a row.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        Self {
            max_balance: burst * RETRY_COST,
            earned_per_request: percent,
            balance: burst * RETRY_COST,
        }
    }

    /// A first try was made.
    pub fn deposit(&mut self) {
        self.balance = self.max_balance.min(self.balance + self.earned_per_request);
    }

    /// Takes one second try, or says that none is left.
    pub const fn try_withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
