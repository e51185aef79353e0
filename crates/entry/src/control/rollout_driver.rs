//! Drives rollouts from the entry that holds the lease.

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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRow {
    pub(crate) holder: String,
    pub(crate) fencing: FencingNumber,
}

/// The lease as this process saw it last.
struct LeaseView {
    version: Option<u64>,
    row: Option<LeaseRow>,
    unchanged_since: Instant,
    held_until: Option<Instant>,
}

/// Starts the thread that takes the lease when it is free and grants permits while it holds it.
pub(crate) fn start_driver(
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
            let mut lease = LeaseView {
                version: None,
                row: None,
                unchanged_since: Instant::now(),
                held_until: None,
            };
            loop {
                let snapshot = snapshots.load();
                let contends = is_contender(&settings, &snapshot);
                if contends {
                    keep_lease(&mut lease, &holder, &table, &log);
                }
                let fencing = lease.row.as_ref().map(|it| it.fencing).unwrap_or_default();
                // A process that was paused finds its deadline in the past and does nothing.
                let held = lease.held_until.is_some_and(|it| Instant::now() < it);
                let permits = if held && contends {
                    grant(&snapshots.load(), fencing)
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

fn keep_lease(lease: &mut LeaseView, holder: &str, table: &TableClient, log: &Logger) {
    let asked = Instant::now();
    let read = match table.read(LEASE_KEY) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "lease was not read"; "reason" => %err);
            return;
        }
    };
    let version = read.as_ref().map(|it| it.version);
    if version != lease.version {
        lease.version = version;
        lease.unchanged_since = asked;
        lease.row = read.and_then(|it| serde_json::from_value(it.value).ok());
    }
    let own = lease.row.as_ref().is_some_and(|it| it.holder == holder);
    // Another holder's time is measured by this process's own clock from the last change that it saw.
    if !own && lease.row.is_some() && lease.unchanged_since.elapsed() < LEASE_TIME + LEASE_MARGIN {
        lease.held_until = None;
        return;
    }
    let last = lease.row.as_ref().map(|it| it.fencing).unwrap_or_default();
    let fencing = if own { last } else { FencingNumber(last.0 + 1) };
    let row = LeaseRow {
        holder: holder.to_string(),
        fencing,
    };
    let value = serde_json::to_value(&row).expect("a lease row is plain data");
    let transaction = TableTransaction::default()
        .expect(LEASE_KEY, version)
        .put(LEASE_KEY, value);
    match table.transact(&transaction) {
        Ok(version) => {
            if !own {
                info!(log, "rollout lease taken"; "fencing" => %fencing);
            }
            lease.version = Some(version);
            lease.row = Some(row);
            lease.unchanged_since = asked;
            lease.held_until = Some(asked + LEASE_TIME);
        }
        Err(TableError::Conflict { .. }) => lease.held_until = None,
        Err(err) => warn!(log, "lease was not renewed"; "reason" => %err),
    }
}

fn grant(snapshot: &ControlSnapshot, fencing: FencingNumber) -> Vec<SwitchPermit> {
    let Some(config) = &snapshot.config else {
        return Vec::new();
    };
    let rows = snapshot.targets.values().map(|it| &it.row);
    control::rollout_permits(config, rows, &snapshot.permits, fencing)
}

/// Tells whether this entry is among the few that look at the lease, so that the table is not asked
/// by every entry.
fn is_contender(settings: &EntrySettings, snapshot: &ControlSnapshot) -> bool {
    let others = snapshot.entries.values().map(|it| &it.row);
    let live = others.filter(|it| !it.leaving).map(|it| &it.host);
    let leaving = snapshot.own.as_ref().is_none_or(|it| it.leaving);
    !leaving && control::rendezvous_rank(LEASE_KEY, &settings.host.name, live) < CONTENDERS
}

/// Key of the lease row.
pub(crate) const LEASE_KEY: &str = "lease/rollout";

/// Time for which a renewal holds.
const LEASE_TIME: Duration = Duration::from_secs(3);

/// Extra time that others wait, for clocks that run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Time between looks at the lease and the rollouts.
const DRIVER_INTERVAL: Duration = Duration::from_millis(500);

/// Entries that look at the lease: the holder, and two that take over.
const CONTENDERS: usize = 3;
