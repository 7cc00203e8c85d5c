//! Invariants that are checked at run time.

use crate::prelude::*;

/// An invariant that must hold under all faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// An order is sent only under the claim that holds its key.
    ClaimHeld,
    /// A cold endpoint never gets more requests of this instance than its quota.
    ColdLimit,
    /// Configuration offsets only increase.
    ConfigForward,
    /// A disabled failure domain, or an endpoint shutting down, gets no new requests.
    OutGetsNothing,
    /// A non-idempotent request is not dispatched again without evidence that the earlier attempt
    /// did not run. Retries at an endpoint that deduplicates orders are not checked.
    SentOnce,
    /// Tokens are delivered in order and once, from one generation.
    TokenOrder,
}

impl Rule {
    /// All rules, in the order of their counters.
    pub const ALL: [Self; 6] = [
        Self::ClaimHeld,
        Self::ColdLimit,
        Self::ConfigForward,
        Self::OutGetsNothing,
        Self::SentOnce,
        Self::TokenOrder,
    ];

    /// The label used in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ClaimHeld => "claim_held",
            Self::ColdLimit => "cold_limit",
            Self::ConfigForward => "config_forward",
            Self::OutGetsNothing => "out_gets_nothing",
            Self::SentOnce => "sent_once",
            Self::TokenOrder => "token_order",
        }
    }
}

/// Counters of checks and violations.
#[derive(Debug, Default)]
pub struct Invariants {
    checks: u64,
    violations: [u64; Rule::ALL.len()],
}

impl Invariants {
    /// Number of checks so far.
    #[must_use]
    pub const fn checks(&self) -> u64 {
        self.checks
    }

    /// Counts one check, and a violation unless `holds`.
    ///
    /// # Panics
    ///
    /// Panics on a violation in builds with debug assertions, so that tests fail.
    pub fn check(&mut self, rule: Rule, holds: bool) {
        self.checks += 1;
        if holds {
            return;
        }
        self.violations[rule as usize] += 1;
        debug_assert!(holds, "invariant {} is violated", rule.label());
    }

    /// Number of violations of `rule` so far.
    #[must_use]
    pub const fn violations(&self, rule: Rule) -> u64 {
        self.violations[rule as usize]
    }
}

impl Display for Invariants {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let broken = self.violations.iter().sum::<u64>();
        write!(f, "{} checks, {broken} violations", self.checks)
    }
}
