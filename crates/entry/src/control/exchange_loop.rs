//! Exchanges views with the other entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use model::{ConfigRevision, EntryRow};
use settings::EntrySettings;
use slog::{Logger, debug};
use wire::{EntryControlClient, EntrySummary, WireCounters, context};

use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};

/// Sends this entry's view to the others at an interval and takes theirs, until the runtime ends.
pub(crate) async fn exchange_loop(
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    events: Sender<ControlEvent>,
    counters: WireCounters,
    log: Logger,
) {
    let mut clients: BTreeMap<SocketAddr, EntryControlClient> = BTreeMap::new();
    let mut interval = tokio::time::interval(EXCHANGE_INTERVAL);
    loop {
        interval.tick().await;
        let snapshot = snapshots.load();
        if snapshot.own.is_none() {
            continue;
        }
        let summary = own_summary(&snapshot);
        for address in other_entries(&settings, &snapshot) {
            if let std::collections::btree_map::Entry::Vacant(slot) = clients.entry(address) {
                match wire::connect_entry(address, None, settings.shared_key.reveal(), &counters)
                    .await
                {
                    Ok(it) => drop(slot.insert(it)),
                    Err(err) => {
                        debug!(log, "entry cannot be reached"; "entry" => %address, "reason" => %err);
                        continue;
                    }
                }
            }
            counters.add_message();
            let client = &clients[&address];
            let Ok(reply) = client.exchange(context::current(), summary.clone()).await else {
                clients.remove(&address);
                continue;
            };
            let known = snapshot.config.as_ref().map(|it| it.revision);
            if known.is_none_or(|it| it < reply.revision)
                && let Ok(Some(config)) = client
                    .config(context::current(), known.unwrap_or_default())
                    .await
            {
                let _ = events.send(ControlEvent::Config(Box::new(config)));
            }
            let _ = events.send(ControlEvent::Exchange(Box::new(reply)));
        }
    }
}

/// Returns what this entry tells another.
pub(crate) fn own_summary(snapshot: &ControlSnapshot) -> EntrySummary {
    let entry = snapshot.own.clone().unwrap_or_else(unknown_entry);
    let direct = snapshot.targets.values().filter(|it| it.direct);
    EntrySummary {
        entry,
        targets: direct.map(|it| it.row.clone()).collect(),
        permits: snapshot.own_permits.clone(),
        revision: snapshot
            .config
            .as_ref()
            .map_or(ConfigRevision::default(), |it| it.revision),
    }
}

fn other_entries(settings: &EntrySettings, snapshot: &ControlSnapshot) -> BTreeSet<SocketAddr> {
    let known = snapshot.entries.values().map(|it| it.row.control);
    let mut addresses: BTreeSet<_> = settings.entries.iter().copied().chain(known).collect();
    addresses.remove(&settings.listen.control);
    addresses
}

fn unknown_entry() -> EntryRow {
    unreachable!("the listener starts after the first snapshot")
}

/// Time between exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
