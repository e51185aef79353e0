//! An entry of an emulation.

use std::time::Instant;

use routing::{
    CrashConclusion, CrashDigest, CrashTable, DigestSchedule, DigestSource, MergeEffect, PoolId,
};

/// An entry with its evidence.
pub(crate) struct SimulatedEntry {
    pub(crate) table: CrashTable,
    pub(crate) to_zone: DigestSchedule,
    pub(crate) to_others: DigestSchedule,
}

impl SimulatedEntry {
    pub(crate) fn new(index: u64) -> Self {
        let name = format!("edge-{index}");
        Self {
            table: CrashTable::new(&name),
            to_zone: DigestSchedule::default(),
            to_others: DigestSchedule::default(),
        }
    }

    /// Draws conclusions and schedules messages, as the entry does for news of its own.
    pub(crate) fn handle_news(&mut self, now: Instant, replicas: usize) -> Vec<CrashConclusion> {
        self.to_zone.record_change();
        self.to_others.record_change();
        self.conclude(now, replicas)
    }

    /// Adds what another entry or zone knows.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        digest: &CrashDigest,
        source: DigestSource,
        replicas: usize,
    ) -> Vec<CrashConclusion> {
        match self.table.merge(now, digest, source) {
            MergeEffect::Nothing => Vec::new(),
            MergeEffect::Survivals => self.conclude(now, replicas),
            MergeEffect::News => self.handle_news(now, replicas),
        }
    }

    /// Draws conclusions from the evidence.
    pub(crate) fn conclude(&mut self, now: Instant, replicas: usize) -> Vec<CrashConclusion> {
        let conclusions = self
            .table
            .evaluate(now, &|_: PoolId| replicas, &|_| Some(1));
        if !conclusions.is_empty() {
            self.to_zone.record_change();
            self.to_others.record_change();
        }
        conclusions
    }
}
