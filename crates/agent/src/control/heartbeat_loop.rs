//! Heartbeats to the home entries, the entries that monitor this target. They reply with the configuration, permits and
//! the addresses of entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use model::TargetRow;
use settings::AgentSettings;
use slog::{Logger, warn};
use wire::{EntryControlClient, WireCounters, context};

use crate::control::agent_view::AgentView;
use crate::control::control_event::ControlEvent;
use crate::gate::SharedGate;
use crate::transfer::ChunkStore;

/// Sends heartbeats to the home entries at the configured interval and after changes, until the runtime shuts down.
pub(crate) async fn heartbeat_loop(
    settings: Arc<AgentSettings>,
    view: Arc<AgentView>,
    gate: Arc<SharedGate>,
    store: Arc<ChunkStore>,
    events: Sender<ControlEvent>,
    counters: WireCounters,
    log: Logger,
) {
    let mut clients: BTreeMap<SocketAddr, EntryControlClient> = BTreeMap::new();
    let mut interval = tokio::time::interval(settings.heartbeat);
    let mut sequence = 0;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = view.wait_for_change() => tokio::time::sleep(CHANGE_BATCH_DELAY).await,
        }
        sequence += 1;
        let row = target_row(&settings, &view, &gate, &store, sequence);
        let mut acknowledged = 0;
        for address in view.heartbeat_entries(&settings.entries) {
            if acknowledged == HEARTBEAT_RECIPIENTS {
                break;
            }
            if let std::collections::btree_map::Entry::Vacant(slot) = clients.entry(address) {
                let secret = settings.shared_key.reveal();
                match wire::connect_entry(address, settings.bind_ip, secret, &counters).await {
                    Ok(it) => drop(slot.insert(it)),
                    Err(err) => {
                        warn!(log, "home entry cannot be reached"; "entry" => %address, "reason" => %err);
                        continue;
                    }
                }
            }
            counters.add_message();
            let Ok(reply) = clients[&address]
                .heartbeat(context::current(), row.clone())
                .await
            else {
                clients.remove(&address);
                continue;
            };
            acknowledged += 1;
            if !reply.entries.is_empty() {
                view.set_entries(reply.entries);
            }
            view.set_home_entries(reply.home_entries);
            if let Some(config) = reply.config {
                let _ = events.send(ControlEvent::Config(Box::new(config)));
            }
            if let Some(permit) = reply.permit {
                let _ = events.send(ControlEvent::Permit(permit));
            }
        }
    }
}

fn target_row(
    settings: &AgentSettings,
    view: &AgentView,
    gate: &SharedGate,
    store: &ChunkStore,
    sequence: u64,
) -> TargetRow {
    let (state, serving) = gate.state();
    TargetRow {
        host: settings.host.name.clone(),
        incarnation: view.incarnation(),
        sequence,
        zone: settings.host.zone.clone(),
        region: settings.host.region.clone(),
        kind: crate::target_kind(&settings.target),
        gate: settings.advertise.gate,
        peers: settings.advertise.peers,
        control: settings.advertise.control,
        state,
        serving,
        transfer: store.state(),
        fencing: view.fencing(),
        revision: view.revision(),
        load: gate.load(),
    }
}

/// Number of entries that have to acknowledge a heartbeat, so that the target stays known if one of them fails.
const HEARTBEAT_RECIPIENTS: usize = 2;

/// Time for which changes are collected before they are sent in one heartbeat.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(50);
