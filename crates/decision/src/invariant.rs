//! Always-on checks of what must hold.

use crate::prelude::*;

/// What must never be broken, whatever fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A claim is sent only by the instance that holds the key.
    ClaimHeld,
    /// A cold endpoint never gets more than its share of this instance.
    ColdLimit,
    /// Configuration offsets only grow.
    ConfigForward,
    /// A failure domain that was taken out, or a leaving endpoint, gets no new work.
    OutGetsNothing,
    /// A non-idempotent request is sent once.
    SentOnce,
    /// Tokens reach a caller in order, each once, from one generation.
    TokenOrder,
}

impl Rule {
    /// Every rule, in the order in which they are counted.
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

/// Counts of checks made and of checks that failed.
#[derive(Debug, Default)]
pub struct Invariants {
    checks: u64,
    violations: [u64; Rule::ALL.len()],
}

impl Invariants {
    /// Number of checks made so far.
    #[must_use]
    pub const fn checks(&self) -> u64 {
        self.checks
    }

    /// Counts one check, and a violation unless `holds`.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions a violation is fatal, so tests stop at it.
    pub fn check(&mut self, rule: Rule, holds: bool) {
        self.checks += 1;
        if holds {
            return;
        }
        self.violations[rule as usize] += 1;
        debug_assert!(holds, "invariant {} is broken", rule.label());
    }

    /// Violations of `rule` so far.
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
