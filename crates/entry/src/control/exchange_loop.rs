//! Synchronizes membership views and configuration revisions with the other entries (gossip).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use control::{ConfigSource, PeerSync, TargetUpdate};
use futures::future;
use model::{ConfigRevision, EntryRow, SwitchPermit};
use settings::EntrySettings;
use slog::{Logger, debug};
use wire::{EntryControlClient, EntrySummary, WireCounters, context};

use crate::calls::CrashGuard;
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};

/// The connection to another entry and what was sent to it.
#[derive(Default)]
struct PeerState {
    client: Option<EntryControlClient>,
    sync: PeerSync,
    last_sent: Option<(UrgentState, Instant)>,
}

/// The parts of this entry's own state whose changes are sent immediately. Other changes are sent when the
/// idle interval has elapsed.
#[derive(Clone, PartialEq)]
struct UrgentState {
    ready: bool,
    leaving: bool,
    overloaded: bool,
    permits: Vec<SwitchPermit>,
    /// Number of changes of the evidence about crashes.
    crash_changes: u64,
}

/// Exchanges views with the other entries until the runtime shuts down.
///
/// A state change of a target or of this entry is sent to every connected peer immediately. Otherwise, a
/// peer receives one message per idle interval, which grows with the number of entries so that the message
/// rate of an entry stays constant. A new configuration revision is announced to a few random peers, which
/// pull the configuration and announce it in turn.
pub(crate) async fn exchange_loop(
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    guard: Arc<CrashGuard>,
    events: Sender<ControlEvent>,
    counters: WireCounters,
    log: Logger,
) {
    let mut peers: BTreeMap<SocketAddr, PeerState> = BTreeMap::new();
    let mut announced_revision = None;
    let mut interval = tokio::time::interval(EXCHANGE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let snapshot = snapshots.load();
        if snapshot.own.is_none() {
            continue;
        }
        let addresses = other_entries(&settings, &snapshot);
        peers.retain(|it, _| addresses.contains(it));
        guard.draw_conclusions();
        let crash_changes = guard.changes();
        let summary = summary_without_targets(&snapshot, &guard);
        let urgent = urgent_state(&summary, crash_changes);
        let direct = snapshot.targets.values().filter(|it| it.is_direct());
        let rows = direct.map(|it| &it.row);
        let idle_interval = idle_exchange_interval(addresses.len());
        let has_new_revision = announced_revision != snapshot.held_revision;
        announced_revision = snapshot.held_revision;
        let mut due = Vec::new();
        for address in &addresses {
            let peer = peers.entry(*address).or_default();
            let idle_elapsed = peer.last_sent.as_ref().is_none_or(|(_, at)| {
                at.elapsed() >= idle_interval.mul_f64(rand::random_range(0.75..1.0))
            });
            let has_urgent_changes = peer.client.is_some()
                && (peer.sync.is_urgent(rows.clone())
                    || peer.last_sent.as_ref().is_some_and(|it| it.0 != urgent));
            let probability = REVISION_FANOUT as f64 / addresses.len() as f64;
            if idle_elapsed
                || has_urgent_changes
                || has_new_revision && rand::random_bool(probability.min(1.0))
            {
                let update = peer.sync.next_update(rows.clone());
                due.push((*address, peer.client.take(), update));
            }
        }
        let calls = due.into_iter().map(|(address, client, update)| {
            exchange_with_peer(
                address, client, update, &settings, &summary, &counters, &log,
            )
        });
        for outcome in future::join_all(calls).await {
            let peer = peers.entry(outcome.address).or_default();
            peer.client = outcome.client;
            // A lost connection may have led to a process that was replaced since, so the next tick
            // reconnects. After a failed connection attempt, the next one waits for the idle interval.
            peer.last_sent = (!outcome.disconnected).then(|| (urgent.clone(), Instant::now()));
            match outcome.reply {
                Some(reply) => {
                    peer.sync.acknowledge(&outcome.update);
                    guard.merge(&reply.crashes);
                    let _ = events.send(ControlEvent::Exchange(Box::new(reply)));
                }
                None => peer.sync.reset(),
            }
        }
        pull_config(&mut peers, &snapshots.load(), &events, &counters).await;
    }
}

/// Returns the time between exchanges with a peer while there are no urgent changes.
pub(crate) fn idle_exchange_interval(peers: usize) -> Duration {
    MIN_IDLE_INTERVAL.max(IDLE_INTERVAL_PER_PEER * peers as u32)
}

/// Returns a summary of this entry's view without the targets.
pub(crate) fn summary_without_targets(
    snapshot: &ControlSnapshot,
    guard: &CrashGuard,
) -> EntrySummary {
    EntrySummary {
        crashes: guard.digest(),
        entry: snapshot.own.clone().unwrap_or_else(missing_own_row),
        targets: Vec::new(),
        revisions: Vec::new(),
        removed: Vec::new(),
        complete: false,
        permits: snapshot.own_permits.clone(),
        entry_addresses: sample_entries(snapshot),
        revision: snapshot
            .config
            .as_ref()
            .map_or(ConfigRevision::default(), |it| it.revision),
    }
}

/// The result of an exchange with a peer.
struct PeerExchange {
    address: SocketAddr,
    client: Option<EntryControlClient>,
    update: TargetUpdate,
    reply: Option<EntrySummary>,
    disconnected: bool,
}

async fn exchange_with_peer(
    address: SocketAddr,
    client: Option<EntryControlClient>,
    mut update: TargetUpdate,
    settings: &EntrySettings,
    summary: &EntrySummary,
    counters: &WireCounters,
    log: &Logger,
) -> PeerExchange {
    let was_connected = client.is_some();
    let client = match client {
        Some(it) => Ok(it),
        None => wire::connect_entry(address, None, settings.shared_key.reveal(), counters).await,
    };
    let client = match client {
        Ok(it) => it,
        Err(err) => {
            debug!(log, "entry cannot be reached"; "entry" => %address, "reason" => %err);
            return PeerExchange {
                address,
                client: None,
                update,
                reply: None,
                disconnected: false,
            };
        }
    };
    counters.add_message();
    let summary = EntrySummary {
        targets: std::mem::take(&mut update.rows),
        revisions: update.revisions.clone(),
        removed: update.removed.clone(),
        complete: update.complete,
        ..summary.clone()
    };
    let call = client.exchange(context::current(), summary.clone());
    let reply = tokio::time::timeout(CALL_TIMEOUT, call).await;
    update.rows = summary.targets;
    match reply {
        Ok(Ok(reply)) => PeerExchange {
            address,
            client: Some(client),
            update,
            reply: Some(reply),
            disconnected: false,
        },
        _ => PeerExchange {
            address,
            client: None,
            update,
            reply: None,
            disconnected: was_connected,
        },
    }
}

/// Pulls the configuration from the peer with the highest revision, if that is higher than the held one.
async fn pull_config(
    peers: &mut BTreeMap<SocketAddr, PeerState>,
    snapshot: &ControlSnapshot,
    events: &Sender<ControlEvent>,
    counters: &WireCounters,
) {
    let is_newer = |it: ConfigRevision| snapshot.held_revision.is_none_or(|held| it > held);
    let newest = snapshot
        .entries
        .values()
        .filter(|it| it.row.ready && is_newer(it.row.revision))
        .max_by_key(|it| it.row.revision);
    let Some(newest) = newest else { return };
    let Some(peer) = peers.get_mut(&newest.row.control) else {
        return;
    };
    let Some(client) = &peer.client else { return };
    counters.add_message();
    let known_revision = snapshot.held_revision.unwrap_or_default();
    let call = client.config(
        context::current(),
        known_revision,
        snapshot.held_revision.is_none(),
    );
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(Some(config))) => {
            let source = ConfigSource::Peer(newest.row.host.clone());
            let _ = events.send(ControlEvent::Config(Box::new(config), source));
        }
        Ok(Ok(None)) => {}
        _ => peer.client = None,
    }
}

fn urgent_state(summary: &EntrySummary, crash_changes: u64) -> UrgentState {
    UrgentState {
        crash_changes,
        ready: summary.entry.ready,
        leaving: summary.entry.leaving,
        overloaded: summary.entry.overloaded_ms.is_some(),
        permits: summary.permits.clone(),
    }
}

fn other_entries(settings: &EntrySettings, snapshot: &ControlSnapshot) -> BTreeSet<SocketAddr> {
    let known = snapshot.entries.values().map(|it| it.row.control);
    let seeds = settings.entries.iter().copied();
    let candidates = snapshot.candidate_addresses.iter().copied();
    let mut addresses: BTreeSet<_> = seeds.chain(known).chain(candidates).collect();
    addresses.remove(&settings.listen.control);
    addresses
}

/// Returns the control addresses of a few random live entries. After several exchanges, every entry has
/// discovered every other.
fn sample_entries(snapshot: &ControlSnapshot) -> Vec<SocketAddr> {
    let live = snapshot.entries.values().filter(|it| !it.row.leaving);
    let addresses: Vec<_> = live.map(|it| it.row.control).collect();
    let chosen = rand::seq::index::sample(
        &mut rand::rng(),
        addresses.len(),
        SAMPLE_SIZE.min(addresses.len()),
    );
    chosen.iter().map(|it| addresses[it]).collect()
}

fn missing_own_row() -> EntryRow {
    unreachable!("exchanges start after the first snapshot")
}

/// Interval at which the loop checks for changes to send.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between exchanges with a peer while there are no urgent changes.
const MIN_IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The idle interval per peer; with this value, an entry starts about eight exchanges per second.
const IDLE_INTERVAL_PER_PEER: Duration = Duration::from_millis(125);

/// Mean number of random peers to which a new revision is announced immediately. With three, the revision
/// reaches every entry after a few rounds.
const REVISION_FANOUT: usize = 3;

/// Maximum number of entry addresses in one summary.
const SAMPLE_SIZE: usize = 8;

/// Timeout of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
