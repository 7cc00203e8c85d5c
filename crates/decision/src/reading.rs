//! What is read from the log and from fellow instances.

use crate::{gossip::ConfigRecord, invariant::Rule, prelude::*};

impl State {
    /// The configuration was known to be complete at `at`.
    pub(crate) fn config_read_at(&mut self, at: Time) {
        self.config_read = self.config_read.max(Some(at));
    }

    /// Takes a configuration record in, from the log or from a fellow instance.
    ///
    /// Records are applied without gaps: a fellow may hand over later ones first.
    pub(crate) fn configure(&mut self, now: Time, line: ConfigRecord, out: &mut Vec<Action>) {
        let before = self.config.next();
        if line.offset != before {
            return;
        }
        self.config.apply(line.offset, &line.record);
        self.history.push(line.offset, line.data);
        self.invariants
            .check(Rule::ConfigForward, self.config.next() > before);
        self.dispatch(now, out);
    }

    pub(crate) fn read_claims(&mut self, now: Time, batches: Vec<Batch>, out: &mut Vec<Action>) {
        for batch in batches {
            for entry in &batch.entries {
                match entry {
                    batch::Entry::Claim(entry) => {
                        self.claims.apply(entry, batch.instance);
                        self.settle(now, entry.key(), out);
                    }
                    batch::Entry::SlowStart(entry) => self.apply_slow_start(entry, batch.instance),
                }
            }
        }
        self.dispatch(now, out);
    }

    pub(crate) fn apply_slow_start(&mut self, entry: &slow_start::Entry, instance: u64) {
        self.slow_start.apply(entry, instance);
        let yielded = matches!(entry.kind, slow_start::Kind::TransferQuota { .. });
        if !yielded || instance != self.digest {
            return;
        }
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.digest == entry.endpoint) {
            endpoint.yielding = false;
        }
    }
}
