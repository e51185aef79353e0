//! Tells the home entries about this target and takes back what they know.

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
use crate::gate::GateShared;
use crate::transfer::ChunkStore;

/// Sends a heartbeat to each home entry at the interval of the settings, until the runtime ends.
pub(crate) async fn heartbeat_loop(
    settings: Arc<AgentSettings>,
    view: Arc<AgentView>,
    gate: Arc<GateShared>,
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
            () = view.wait_for_change() => tokio::time::sleep(CHANGE_DELAY).await,
        }
        sequence += 1;
        let row = own_row(&settings, &view, &gate, &store, sequence);
        let mut reached = 0;
        for address in view.homes_or(&settings.entries) {
            if reached == HOME_ENTRIES {
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
            reached += 1;
            if !reply.entries.is_empty() {
                view.set_entries(reply.entries);
            }
            view.set_homes(reply.homes);
            if let Some(config) = reply.config {
                let _ = events.send(ControlEvent::Config(Box::new(config)));
            }
            if let Some(permit) = reply.permit {
                let _ = events.send(ControlEvent::Permit(permit));
            }
        }
    }
}

fn own_row(
    settings: &AgentSettings,
    view: &AgentView,
    gate: &GateShared,
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

/// Entries that an agent keeps informed, so that one of them can go without its target being forgotten.
const HOME_ENTRIES: usize = 2;

/// Time in which changes that come together are gathered into one heartbeat.
const CHANGE_DELAY: Duration = Duration::from_millis(50);
