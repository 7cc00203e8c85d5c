//! Application of records read from the log and received from peers.

use crate::{gossip::ConfigRecord, invariant::Rule, prelude::*};

impl State {
    /// Records that the configuration was complete at `at`.
    pub(crate) fn mark_config_current(&mut self, at: Time) {
        self.config_read_at = self.config_read_at.max(Some(at));
    }

    /// Applies the next configuration record, from the log or from a peer.
    ///
    /// Any other offset is ignored: peers may send records that were read before or that
    /// would leave a gap.
    pub(crate) fn apply_config_record(
        &mut self,
        now: Time,
        record: ConfigRecord,
        out: &mut Vec<Action>,
    ) {
        let expected = self.config.next();
        if record.offset != expected {
            return;
        }
        self.config.apply(record.offset, &record.record);
        self.history.push(record.offset, record.data);
        self.invariants
            .check(Rule::ConfigForward, self.config.next() > expected);
        self.dispatch(now, out);
    }

    pub(crate) fn apply_claims(&mut self, now: Time, batches: Vec<Batch>, out: &mut Vec<Action>) {
        for batch in batches {
            for entry in &batch.entries {
                match entry {
                    batch::Entry::Claim(entry) => {
                        self.claims.apply(entry, batch.instance);
                        self.resolve_order(now, entry.key(), out);
                    }
                    batch::Entry::SlowStart(entry) => self.apply_slow_start(entry, batch.instance),
                }
            }
        }
        self.dispatch(now, out);
    }

    pub(crate) fn apply_slow_start(&mut self, entry: &slow_start::Entry, instance: u64) {
        self.slow_start.apply(entry, instance);
        let transferred = matches!(entry.kind, slow_start::Kind::TransferQuota { .. });
        if !transferred || instance != self.digest {
            return;
        }
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.digest == entry.endpoint) {
            endpoint.quota_transferred = false;
        }
    }
}
