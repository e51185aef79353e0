//! Drives rollouts on the entry that holds the rollout lease.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use model::{FencingNumber, SwitchPermit};
use serde::{Deserialize, Serialize};
use settings::EntrySettings;
use slog::{Logger, info, warn};
use upstream::{TableClient, TableError, TableTransaction};

use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};

/// The row under [`LEASE_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    pub(crate) holder: String,
    pub(crate) fencing: FencingNumber,
}

/// The lease as this process last read or wrote it.
struct LeaseState {
    version: Option<u64>,
    row: Option<LeaseRow>,
    unchanged_since: Instant,
    held_until: Option<Instant>,
}

/// Starts the thread that acquires the lease when it is free and grants permits while it holds it.
pub(crate) fn start_rollout_driver(
    settings: &Arc<EntrySettings>,
    table: TableClient,
    snapshots: Arc<SnapshotCell>,
    events: Sender<ControlEvent>,
    log: Logger,
) -> anyhow::Result<()> {
    let holder = format!("{}-{:08x}", settings.host.name, rand::random::<u32>());
    let settings = settings.clone();
    std::thread::Builder::new()
        .name("rollout-driver".to_string())
        .spawn(move || {
            let mut lease = LeaseState {
                version: None,
                row: None,
                unchanged_since: Instant::now(),
                held_until: None,
            };
            loop {
                let snapshot = snapshots.load();
                let is_candidate = is_lease_candidate(&settings, &snapshot);
                if is_candidate {
                    acquire_or_renew_lease(&mut lease, &holder, &table, &log);
                }
                let fencing = lease.row.as_ref().map(|it| it.fencing).unwrap_or_default();
                // After a pause of the process, the lease may have expired; then no permits are granted.
                let held = lease.held_until.is_some_and(|it| Instant::now() < it);
                let permits = if held && is_candidate {
                    grant_permits(&snapshots.load(), fencing)
                } else {
                    Vec::new()
                };
                if events.send(ControlEvent::Permits(permits)).is_err() {
                    return;
                }
                std::thread::sleep(DRIVER_INTERVAL);
            }
        })?;
    Ok(())
}

fn acquire_or_renew_lease(lease: &mut LeaseState, holder: &str, table: &TableClient, log: &Logger) {
    let started_at = Instant::now();
    let stored = match table.read(LEASE_KEY) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "cannot read the rollout lease"; "reason" => %err);
            return;
        }
    };
    let version = stored.as_ref().map(|it| it.version);
    if version != lease.version {
        lease.version = version;
        lease.unchanged_since = started_at;
        lease.row = stored.and_then(|it| serde_json::from_value(it.value).ok());
    }
    let is_holder = lease.row.as_ref().is_some_and(|it| it.holder == holder);
    // The expiry of another holder's lease is measured with the local clock, from the last change of the
    // row that this process observed.
    if !is_holder
        && lease.row.is_some()
        && lease.unchanged_since.elapsed() < LEASE_DURATION + LEASE_MARGIN
    {
        lease.held_until = None;
        return;
    }
    let last_fencing = lease.row.as_ref().map(|it| it.fencing).unwrap_or_default();
    let fencing = if is_holder {
        last_fencing
    } else {
        FencingNumber(last_fencing.0 + 1)
    };
    let row = LeaseRow {
        holder: holder.to_string(),
        fencing,
    };
    let value = serde_json::to_value(&row).expect("a lease row can be serialized to JSON");
    let transaction = TableTransaction::default()
        .expect(LEASE_KEY, version)
        .put(LEASE_KEY, value);
    match table.transact(&transaction) {
        Ok(version) => {
            if !is_holder {
                info!(log, "rollout lease acquired"; "fencing" => %fencing);
            }
            lease.version = Some(version);
            lease.row = Some(row);
            lease.unchanged_since = started_at;
            lease.held_until = Some(started_at + LEASE_DURATION);
        }
        Err(TableError::Conflict { .. }) => lease.held_until = None,
        Err(err) => warn!(log, "cannot write the rollout lease"; "reason" => %err),
    }
}

fn grant_permits(snapshot: &ControlSnapshot, fencing: FencingNumber) -> Vec<SwitchPermit> {
    let Some(config) = &snapshot.config else {
        return Vec::new();
    };
    let rows = snapshot.targets.values().map(|it| &it.row);
    control::rollout_permits(config, rows, &snapshot.permits, fencing)
}

/// Returns whether this entry is one of the few that read the lease. Limiting their number keeps the load
/// on the table low.
fn is_lease_candidate(settings: &EntrySettings, snapshot: &ControlSnapshot) -> bool {
    let others = snapshot.entries.values().map(|it| &it.row);
    let live = others.filter(|it| !it.leaving).map(|it| &it.host);
    let leaving = snapshot.own.as_ref().is_none_or(|it| it.leaving);
    !leaving && control::rendezvous_rank(LEASE_KEY, &settings.host.name, live) < LEASE_CANDIDATES
}

/// Key of the lease row.
pub(crate) const LEASE_KEY: &str = "lease/rollout";

/// Validity of the lease after it is acquired or renewed.
const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Additional time that other entries wait before they take over, because clocks run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which the lease and the rollouts are checked.
const DRIVER_INTERVAL: Duration = Duration::from_millis(500);

/// Number of entries that read the lease: the holder and two that can take over.
const LEASE_CANDIDATES: usize = 3;
