//! Collects evidence about requests that crash engines and services, and refuses requests because of it.
//!
//! The conclusions are those of [`routing::CrashTable`]; see `docs/decisions/0045-requests-that-crash-replicas.md`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use model::{ResultCode, TargetKind, TargetRow};
use routing::{
    CrashDigest, CrashTable, DigestSource, HoldState, LifetimeId, MergeEffect, PartAdmission,
    PartChange, PartId, PoolId,
};
use settings::EntrySettings;
use slog::{Logger, info, warn};
use tokio::task::JoinHandle;
use wire::{WireCounters, context};

use crate::calls::call_error::CallError;
use crate::control::SnapshotCell;

/// Evidence of this entry and the others.
#[derive(Debug)]
pub(crate) struct CrashGuard {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    counters: WireCounters,
    log: Logger,
    table: Mutex<CrashTable>,
    /// Number of changes that other entries must be told at once.
    changes: AtomicU64,
}

impl CrashGuard {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        counters: WireCounters,
        log: Logger,
    ) -> Self {
        Self {
            table: Mutex::new(CrashTable::new(settings.host.name.as_str())),
            settings,
            snapshots,
            counters,
            log,
            changes: AtomicU64::new(0),
        }
    }

    /// Decides whether a request with `parts` may be sent to a target.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a part is held back, or is suspected and another request with it is under way.
    pub(crate) fn admit(&self, parts: &[PartId]) -> Result<(), CallError> {
        let now = Instant::now();
        let mut table = self.table();
        let retry_after = match table.admission(now, parts, None) {
            PartAdmission::Clear => return Ok(()),
            PartAdmission::Held(_, remaining) => remaining,
            PartAdmission::Suspected(part) if table.try_begin_trial(now, part, rand::random()) => {
                self.changes.fetch_add(1, Ordering::Relaxed);
                info!(self.log, "trial with a suspected part"; "part" => part.to_string());
                return Ok(());
            }
            PartAdmission::TrialDue(part)
                if self.owns_trial(part) && table.try_begin_trial(now, part, rand::random()) =>
            {
                info!(self.log, "trial with a held part"; "part" => part.to_string());
                return Ok(());
            }
            PartAdmission::Suspected(_) | PartAdmission::TrialDue(_) => TRIAL_RETRY,
        };
        let message = "requests like this one crash the targets that run them; it has not run";
        Err(CallError::new(ResultCode::HeldBack, message).with_retry_after(retry_after))
    }

    /// Returns whether a request with `parts`, whose target just failed at its start, may be sent to another one.
    fn may_retry(&self, parts: &[PartId]) -> bool {
        parts.is_empty() || self.table().may_retry(parts)
    }

    /// Records that the attempt at the target of `row` was lost at the start of a request with `parts`, if the target's
    /// engine or service has ended. The returned task ends when that is known.
    pub(crate) fn record_lost(
        self: &Arc<Self>,
        row: &TargetRow,
        parts: &[PartId],
    ) -> JoinHandle<()> {
        let (guard, row, parts) = (self.clone(), row.clone(), parts.to_vec());
        tokio::spawn(async move {
            let ended_at = tokio::time::timeout(PROBE_TIMEOUT, guard.back_end_ended_at(&row)).await;
            if let Ok(Some(ended_at)) = ended_at {
                guard.record_crash(&row, ended_at, &parts);
            }
        })
    }

    /// Records a lost attempt as [`Self::record_lost`] does, and returns whether the request may be sent to another target.
    /// Without waiting for the evidence, a request would crash one target after the other before the first crash counts.
    pub(crate) async fn may_retry_lost(
        self: &Arc<Self>,
        row: &TargetRow,
        parts: &[PartId],
    ) -> bool {
        let evidence = self.record_lost(row, parts);
        // If the host does not answer, it is gone, and the retry must not wait for it.
        let _ = tokio::time::timeout(EVIDENCE_WAIT, evidence).await;
        self.may_retry(parts)
    }

    async fn back_end_ended_at(&self, row: &TargetRow) -> Option<u64> {
        let secret = self.settings.shared_key.reveal();
        // Without its agent, the whole host is gone, which is no request's fault.
        let client = wire::connect_agent(row.control, None, secret, &self.counters);
        client
            .await
            .ok()?
            .back_end_ended_at(context::current())
            .await
            .ok()?
    }

    fn record_crash(&self, row: &TargetRow, ended_at: u64, parts: &[PartId]) {
        let now = Instant::now();
        let id = LifetimeId::new(row.host.as_str(), Some(ended_at));
        let mut table = self.table();
        let held = parts.iter().filter(|it| {
            matches!(
                table.admission(now, &[**it], None),
                PartAdmission::TrialDue(_)
            )
        });
        let failed_trials: Vec<PartId> = held.copied().collect();
        for part in &failed_trials {
            table.record_failed_trial(now, *part, None);
        }
        let is_new = table.record_crash(now, id, pool(&row.kind), parts);
        drop(table);
        if !is_new && failed_trials.is_empty() {
            return;
        }
        let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
        info!(self.log, "crash recorded"; "target" => %row.host, "parts" => parts.join(","));
        self.handle_news();
    }

    /// Records that a target survived the start of a request with `parts` at `begun_at`.
    pub(crate) fn record_survival(&self, parts: &[PartId], begun_at: Instant) {
        if parts.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut table = self.table();
        table.record_survival(begun_at, parts);
        let released: Vec<PartId> = parts
            .iter()
            .copied()
            .filter(|it| table.release(now, *it))
            .collect();
        let is_unsettled = table.is_unsettled();
        drop(table);
        for part in &released {
            warn!(self.log, "part released after a trial"; "part" => part.to_string());
        }
        if !released.is_empty() || is_unsettled {
            self.handle_news();
        }
    }

    /// Adds what another entry knows.
    pub(crate) fn merge(&self, digest: &CrashDigest) {
        let effect = self
            .table()
            .merge(Instant::now(), digest, DigestSource::Entry);
        match effect {
            MergeEffect::Nothing => {}
            MergeEffect::Survivals => self.draw_conclusions(),
            // Every entry exchanges with every other one, so news need not be passed on.
            MergeEffect::News => self.draw_conclusions(),
        }
    }

    /// Returns what this entry tells the others.
    pub(crate) fn digest(&self) -> CrashDigest {
        self.table().own_digest(Instant::now())
    }

    /// Returns the number of changes that other entries must be told at once.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Returns the held and released parts, and the suspected ones, for operators.
    pub(crate) fn states(&self) -> (Vec<HoldState>, Vec<PartId>) {
        let table = self.table();
        (table.holds(Instant::now()), table.suspects().collect())
    }

    fn handle_news(&self) {
        self.draw_conclusions();
        self.changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Draws conclusions from the evidence; called regularly as well, since evidence takes time to arrive.
    pub(crate) fn draw_conclusions(&self) {
        let snapshot = self.snapshots.load();
        let targets = |it: PoolId| {
            let targets = snapshot.targets.values();
            targets
                .filter(|target| pool(&target.row.kind) == it)
                .count()
        };
        let conclusions = self.table().evaluate(Instant::now(), &targets, &|_| None);
        for conclusion in &conclusions {
            let message = match conclusion.change {
                PartChange::Suspected => "part suspected to crash targets",
                PartChange::Cleared => "part cleared",
                PartChange::Held => "part held back",
            };
            warn!(self.log, "{}", message; "part" => conclusion.part.to_string(),
                "crashes" => conclusion.crashes, "weight" => conclusion.weight, "accident" => conclusion.accident);
        }
        if !conclusions.is_empty() {
            self.changes.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn owns_trial(&self, part: PartId) -> bool {
        let snapshot = self.snapshots.load();
        let others = snapshot.entries.keys().map(|it| it.as_str());
        part.is_owned_by(self.settings.host.name.as_str(), others)
    }

    fn table(&self) -> MutexGuard<'_, CrashTable> {
        self.table
            .lock()
            .expect("no thread panics while it holds the evidence lock")
    }
}

/// Returns the pool of the targets of `kind`.
pub(crate) fn pool(kind: &TargetKind) -> PoolId {
    match kind {
        TargetKind::Model(model) => PoolId::new(&format!("model {model}")),
        TargetKind::Service(service) => PoolId::new(&format!("service {service}")),
    }
}

/// Returns the parts of a request to a target of `kind` that consists of `texts`, such as the messages of a prompt.
pub(crate) fn parts<'a>(kind: &TargetKind, texts: impl Iterator<Item = &'a [u8]>) -> Vec<PartId> {
    let pool = pool(kind);
    let part = |text: &[u8]| {
        let hash = blake3::hash(text);
        let (head, _) = hash.as_bytes().split_first_chunk::<8>()?;
        let digest = u64::from_le_bytes(*head);
        Some(PartId { pool, digest })
    };
    texts.filter_map(part).take(MAX_PARTS).collect()
}

/// Delay after which a trial with a suspected part has ended.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

/// Timeout for asking the agent of a target whether the engine or service has ended.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a retry waits for that answer; many times what a call to a live agent takes.
const EVIDENCE_WAIT: Duration = Duration::from_millis(150);

/// Number of parts of a request that are considered.
const MAX_PARTS: usize = 32;
