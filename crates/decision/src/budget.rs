//! One budget for retries, hedges and failovers.

/// Hundredths of a retry, so that a tenth can be earned per request.
const UNIT: u32 = 100;

/// Tokens that every second try spends and every first try earns.
///
/// Without a common budget, endpoints that fail under load are asked again by
/// every request at once and never recover; one notices it as sent requests
/// growing while answers shrink. Second tries cannot outgrow the stated part of
/// the first ones here, whatever fails.
#[derive(Debug)]
pub struct Budget {
    cap: u32,
    earn: u32,
    level: u32,
}

impl Budget {
    /// `percent` second tries per hundred first ones, at most `burst` in a row.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        Self {
            cap: burst * UNIT,
            earn: percent,
            level: burst * UNIT,
        }
    }

    /// A first try was made.
    pub fn earn(&mut self) {
        self.level = self.cap.min(self.level + self.earn);
    }

    /// Takes one second try, or says that none is left.
    pub const fn spend(&mut self) -> bool {
        if self.level < UNIT {
            return false;
        }
        self.level -= UNIT;
        true
    }
}
