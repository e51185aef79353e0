//! Exchanges views with the other entries.

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

use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};

/// One other entry as the loop knows it.
#[derive(Default)]
struct PeerState {
    client: Option<EntryControlClient>,
    share: PeerSync,
    told: Option<(OwnState, Instant)>,
}

/// What of this entry itself is told at once when it changes; the rest waits for the quiet interval.
#[derive(Clone, PartialEq)]
struct OwnState {
    ready: bool,
    leaving: bool,
    overloaded: bool,
    permits: Vec<SwitchPermit>,
}

/// Sends this entry's view to the others and takes theirs, until the runtime ends.
///
/// A peer is told at once when a target changes its state, and otherwise once in a quiet interval
/// that grows with the number of entries, so that the messages of one entry do not. A new revision
/// goes to a few random peers, which pull it and tell others.
pub(crate) async fn exchange_loop(
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    events: Sender<ControlEvent>,
    counters: WireCounters,
    log: Logger,
) {
    let mut peers: BTreeMap<SocketAddr, PeerState> = BTreeMap::new();
    let mut told_revision = None;
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
        let summary = short_summary(&snapshot);
        let own = own_state(&summary);
        let direct = snapshot.targets.values().filter(|it| it.is_direct());
        let rows = direct.map(|it| &it.row);
        let quiet = quiet_interval(addresses.len());
        let rumour = told_revision != snapshot.held;
        told_revision = snapshot.held;
        let mut due = Vec::new();
        for address in &addresses {
            let peer = peers.entry(*address).or_default();
            let rested = peer
                .told
                .as_ref()
                .is_none_or(|(_, at)| at.elapsed() >= quiet.mul_f64(rand::random_range(0.75..1.0)));
            let news = peer.client.is_some()
                && (peer.share.is_urgent(rows.clone())
                    || peer.told.as_ref().is_some_and(|it| it.0 != own));
            let chance = RUMOUR_PEERS as f64 / addresses.len() as f64;
            if rested || news || rumour && rand::random_bool(chance.min(1.0)) {
                let share = peer.share.next_update(rows.clone());
                due.push((*address, peer.client.take(), share));
            }
        }
        let calls = due.into_iter().map(|(address, client, share)| {
            tell_peer(address, client, share, &settings, &summary, &counters, &log)
        });
        for told in future::join_all(calls).await {
            let peer = peers.entry(told.address).or_default();
            peer.client = told.client;
            // A connection that ended may have led to a process that was replaced, so a new one is
            // opened at the next step. A peer that cannot be reached waits for the quiet interval.
            peer.told = (!told.ended).then(|| (own.clone(), Instant::now()));
            match told.reply {
                Some(reply) => {
                    peer.share.acknowledge(&told.share);
                    let _ = events.send(ControlEvent::Exchange(Box::new(reply)));
                }
                None => peer.share.reset(),
            }
        }
        pull_config(&mut peers, &snapshots.load(), &events, &counters).await;
    }
}

/// Returns the time between exchanges with a peer to which nothing new is to be told.
pub(crate) fn quiet_interval(peers: usize) -> Duration {
    MIN_QUIET.max(QUIET_PER_PEER * peers as u32)
}

/// Returns what this entry tells another about all but the targets.
pub(crate) fn short_summary(snapshot: &ControlSnapshot) -> EntrySummary {
    EntrySummary {
        entry: snapshot.own.clone().unwrap_or_else(unknown_entry),
        targets: Vec::new(),
        revisions: Vec::new(),
        gone: Vec::new(),
        complete: false,
        permits: snapshot.own_permits.clone(),
        others: sample_entries(snapshot),
        revision: snapshot
            .config
            .as_ref()
            .map_or(ConfigRevision::default(), |it| it.revision),
    }
}

/// What came of telling a peer.
struct ToldPeer {
    address: SocketAddr,
    client: Option<EntryControlClient>,
    share: TargetUpdate,
    reply: Option<EntrySummary>,
    ended: bool,
}

async fn tell_peer(
    address: SocketAddr,
    client: Option<EntryControlClient>,
    mut share: TargetUpdate,
    settings: &EntrySettings,
    summary: &EntrySummary,
    counters: &WireCounters,
    log: &Logger,
) -> ToldPeer {
    let known = client.is_some();
    let client = match client {
        Some(it) => Ok(it),
        None => wire::connect_entry(address, None, settings.shared_key.reveal(), counters).await,
    };
    let client = match client {
        Ok(it) => it,
        Err(err) => {
            debug!(log, "entry cannot be reached"; "entry" => %address, "reason" => %err);
            return ToldPeer {
                address,
                client: None,
                share,
                reply: None,
                ended: false,
            };
        }
    };
    counters.add_message();
    let summary = EntrySummary {
        targets: std::mem::take(&mut share.rows),
        revisions: share.revisions.clone(),
        gone: share.removed.clone(),
        complete: share.complete,
        ..summary.clone()
    };
    let call = client.exchange(context::current(), summary.clone());
    let reply = tokio::time::timeout(CALL_TIMEOUT, call).await;
    share.rows = summary.targets;
    match reply {
        Ok(Ok(reply)) => ToldPeer {
            address,
            client: Some(client),
            share,
            reply: Some(reply),
            ended: false,
        },
        _ => ToldPeer {
            address,
            client: None,
            share,
            reply: None,
            ended: known,
        },
    }
}

/// Pulls the configuration from a peer that is known to hold a higher revision.
async fn pull_config(
    peers: &mut BTreeMap<SocketAddr, PeerState>,
    snapshot: &ControlSnapshot,
    events: &Sender<ControlEvent>,
    counters: &WireCounters,
) {
    let ahead = |it: ConfigRevision| snapshot.held.is_none_or(|held| it > held);
    let newest = snapshot
        .entries
        .values()
        .filter(|it| it.row.ready && ahead(it.row.revision))
        .max_by_key(|it| it.row.revision);
    let Some(newest) = newest else { return };
    let Some(peer) = peers.get_mut(&newest.row.control) else {
        return;
    };
    let Some(client) = &peer.client else { return };
    counters.add_message();
    let known = snapshot.held.unwrap_or_default();
    let call = client.config(context::current(), known, snapshot.held.is_none());
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(Some(config))) => {
            let source = ConfigSource::Peer(newest.row.host.clone());
            let _ = events.send(ControlEvent::Config(Box::new(config), source));
        }
        Ok(Ok(None)) => {}
        _ => peer.client = None,
    }
}

fn own_state(summary: &EntrySummary) -> OwnState {
    OwnState {
        ready: summary.entry.ready,
        leaving: summary.entry.leaving,
        overloaded: summary.entry.overloaded_ms.is_some(),
        permits: summary.permits.clone(),
    }
}

fn other_entries(settings: &EntrySettings, snapshot: &ControlSnapshot) -> BTreeSet<SocketAddr> {
    let known = snapshot.entries.values().map(|it| it.row.control);
    let seeds = settings.entries.iter().copied();
    let named = snapshot.candidates.iter().copied();
    let mut addresses: BTreeSet<_> = seeds.chain(known).chain(named).collect();
    addresses.remove(&settings.listen.control);
    addresses
}

/// Returns a few live entries by chance; over some exchanges every entry hears of every other.
fn sample_entries(snapshot: &ControlSnapshot) -> Vec<SocketAddr> {
    let live = snapshot.entries.values().filter(|it| !it.row.leaving);
    let addresses: Vec<_> = live.map(|it| it.row.control).collect();
    let chosen = rand::seq::index::sample(
        &mut rand::rng(),
        addresses.len(),
        SAMPLE_ENTRIES.min(addresses.len()),
    );
    chosen.iter().map(|it| addresses[it]).collect()
}

fn unknown_entry() -> EntryRow {
    unreachable!("the listener starts after the first snapshot")
}

/// Time between looks for something to tell.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between exchanges when nothing changes.
const MIN_QUIET: Duration = Duration::from_secs(1);

/// Part of the quiet interval for each peer: an entry starts about eight exchanges a second.
const QUIET_PER_PEER: Duration = Duration::from_millis(125);

/// Peers that are told of a new revision at once; with three, every entry knows after a few rounds.
const RUMOUR_PEERS: usize = 3;

/// Entries named in one summary.
const SAMPLE_ENTRIES: usize = 8;

/// Time for one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
