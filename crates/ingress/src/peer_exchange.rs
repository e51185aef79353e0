//! Entries discover each other through the store and exchange their load in datagrams: each with the entries of its zone,
//! and one for all with other zones ([`crate::zone_exchange`]).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use fleet::{DeclaredWeights, EntryHeartbeat, FleetMessage, LoadSample, PeerRecord};
use platform::RowWrite;
use relay::boot_clock;
use routing::DigestSource;
use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::declared_versions::{self, DeclarationSource};
use crate::entry_shared::{EntryShared, EntryState};
use crate::zone_exchange::{self, ReportFilter};
use crate::{config_catch_up, crash_guard, departure_guard, limit_guard, peer_evidence};

/// Store table in which entries register.
pub(crate) const ENTRY_TABLE: &str = "entries";

/// Opens the socket and starts the tasks that register this entry, send heartbeats and receive messages.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened.
pub(crate) async fn start(shared: &Arc<EntryShared>) -> anyhow::Result<()> {
    let address = SocketAddr::from((shared.settings.ip, shared.settings.first_port));
    let socket = UdpSocket::bind(address)
        .await
        .context("cannot bind the datagram address")?;
    let socket = Arc::new(socket);
    tokio::spawn(register(shared.clone()));
    tokio::spawn(receive_messages(shared.clone(), socket.clone()));
    tokio::spawn(zone_exchange::send_reports(shared.clone(), socket.clone()));
    tokio::spawn(send_heartbeats(shared.clone(), socket));
    Ok(())
}

/// Registers this entry in the store and then reads the list of entries periodically.
async fn register(shared: Arc<EntryShared>) {
    let mut failures = 0;
    let mut is_registered = false;
    let mut store_era = shared.store_era.subscribe();
    loop {
        match register_once(&shared, is_registered).await {
            Ok(()) => {
                failures = 0;
                is_registered = true;
                tokio::select! {
                    () = tokio::time::sleep(ENTRY_LIST_INTERVAL) => {}
                    Ok(()) = store_era.changed() => {
                        // The row may be missing in the copy that the store has returned from.
                        is_registered = false;
                        let delay = REGISTRATION_SPREAD.mul_f64(rand::random());
                        tokio::time::sleep(delay).await;
                    }
                }
            }
            Err(err) => {
                warn!(shared.log, "registration failed"; "error" => err.to_string());
                failures += 1;
                tokio::time::sleep(fleet::retry_backoff(failures, rand::random())).await;
            }
        }
        if shared.is_stopping() {
            return;
        }
    }
}

async fn register_once(
    shared: &EntryShared,
    is_registered: bool,
) -> Result<(), platform::CallError> {
    if !is_registered {
        let record = PeerRecord {
            ready: false,
            ..shared.own_record()
        };
        let row = RowWrite {
            table: ENTRY_TABLE.to_owned(),
            key: record.node.clone(),
            value: Some(serde_json::to_vec(&record).expect("encoding a record cannot fail")),
        };
        shared.store.write(&[row]).await?;
    }
    let sent = boot_clock::now();
    let page = shared.store.read_table(ENTRY_TABLE).await?;
    let delay = boot_clock::now().saturating_sub(sent).as_micros();
    let delay = u32::try_from(delay).unwrap_or(u32::MAX);
    shared.record_page_time(&page, sent);
    let mut state = shared.state();
    state.store_delay_us = Some(state.store_delay_us.map_or(delay, |it| it.min(delay)));
    for row in page.rows {
        let Some(bytes) = row.value else {
            continue;
        };
        match serde_json::from_slice::<PeerRecord>(&bytes) {
            Ok(record) if record.node != shared.settings.node => state.peers.insert_listed(record),
            Ok(_) => {}
            Err(err) => {
                warn!(shared.log, "invalid row of an entry skipped"; "key" => row.key, "error" => err.to_string());
            }
        }
    }
    drop(state);
    shared.urgent_change.notify_one();
    Ok(())
}

/// Sends this entry's state and load to the entries of its zone at each change.
///
/// Entries of a zone mostly share the same replicas, so without each other's load they would choose the same ones.
async fn send_heartbeats(shared: Arc<EntryShared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    let mut last_to_listed: Option<Instant> = None;
    loop {
        let is_urgent = tokio::select! {
            () = shared.urgent_change.notified() => true,
            () = shared.load_changed.notified() => false,
            () = tokio::time::sleep(MAX_HEARTBEAT_INTERVAL) => false,
        };
        sequence += 1;
        crash_guard::review(&shared);
        limit_guard::review(&shared);
        shared.state().suspension.record_run(boot_clock::now());
        let heartbeat = own_heartbeat(&shared, sequence);
        let is_due = last_to_listed.is_none_or(|it| it.elapsed() >= MAX_HEARTBEAT_INTERVAL);
        let to_listed = is_urgent || is_due;
        send_heartbeat(&shared, &socket, heartbeat, to_listed);
        if to_listed {
            last_to_listed = Some(Instant::now());
        }
        let due = Instant::now() + MIN_HEARTBEAT_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        // A host in suspension does not advance `Instant`, and its timers are not late.
        let lateness = Instant::now().saturating_duration_since(due);
        let mut state = shared.state();
        state.timer_lateness.record(lateness, boot_clock::now());
    }
}

fn send_heartbeat(
    shared: &EntryShared,
    socket: &UdpSocket,
    heartbeat: EntryHeartbeat,
    to_listed: bool,
) {
    let message = FleetMessage::Entry(heartbeat);
    let bytes = postcard::to_allocvec(&message).expect("encoding a heartbeat cannot fail");
    let zone = &shared.settings.zone;
    let state = shared.state();
    let now = Instant::now();
    // Entries that are considered dead are included at times, so that both sides detect the end of a partition.
    let peers: Vec<SocketAddr> = if to_listed {
        let listed = state.peers.all();
        listed
            .filter(|it| it.zone == *zone)
            .map(|it| it.inner)
            .collect()
    } else {
        let alive = state.peers.alive(now);
        alive
            .filter(|it| it.zone == *zone)
            .map(|it| it.inner)
            .collect()
    };
    drop(state);
    shared
        .metrics
        .count_sent("heartbeats", bytes.len() * peers.len());
    for peer in peers {
        // A lost datagram needs no resend: the next one contains the complete state.
        let _ = socket.try_send_to(&bytes, peer);
    }
}

fn own_heartbeat(shared: &EntryShared, sequence: u64) -> EntryHeartbeat {
    let mut record = shared.own_record();
    let now = Instant::now();
    let mut state = shared.state();
    let is_due = state.heartbeat_digest.is_due(now);
    let crashes = is_due.then(|| {
        state.heartbeat_digest.record_sent(now);
        state.crashes.own_digest(now)
    });
    let limits = is_due.then(|| limit_guard::digest(shared, &mut state));
    let departures = is_due.then(|| departure_guard::digest(&state, now));
    record.reading = record.reading.filter(|_| is_due);
    EntryHeartbeat {
        crashes,
        limits: limits.flatten(),
        departures: departures.unwrap_or_default(),
        record,
        sequence,
        loads: state.loads.own_samples().into_iter().collect(),
        weights: recent_declarations(&state),
    }
}

/// Returns the recent declarations in the form that is sent to other entries.
pub(crate) fn recent_declarations(state: &EntryState) -> Vec<DeclaredWeights> {
    let earliest_ms = state.store_times.clock().earliest_ms(boot_clock::now());
    let recent = state.versions.recent_declarations(earliest_ms).into_iter();
    let recent = recent.map(|(model, version, declared)| DeclaredWeights {
        model: model.to_owned(),
        version,
        declared,
    });
    recent.collect()
}

/// Records declarations that another entry has sent.
pub(crate) fn record_declarations(
    shared: &EntryShared,
    declarations: &[DeclaredWeights],
    source: DeclarationSource,
) {
    for it in declarations {
        declared_versions::record(shared, &it.model, it.version, it.declared, source);
    }
}

async fn receive_messages(shared: Arc<EntryShared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_seen: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let mut report_filter = ReportFilter::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error concerns an earlier datagram that could not be delivered; the socket is still usable.
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(FleetMessage::Entry(heartbeat)) => {
                handle_heartbeat(&shared, heartbeat, &mut last_seen)
            }
            Ok(FleetMessage::Zone(report)) => {
                let bytes = &buffer[..length];
                zone_exchange::handle_report(&shared, &socket, report, bytes, &mut report_filter);
            }
            Ok(FleetMessage::Agent(status)) => {
                zone_exchange::handle_agent_status(&shared, &socket, status);
            }
            Ok(FleetMessage::Weights(_)) => {
                warn!(shared.log, "datagram for an agent skipped"; "from" => from.to_string());
            }
            Err(err) => {
                warn!(shared.log, "invalid datagram skipped"; "from" => from.to_string(), "error" => err.to_string());
            }
        }
    }
}

fn handle_heartbeat(
    shared: &Arc<EntryShared>,
    heartbeat: EntryHeartbeat,
    last_seen: &mut BTreeMap<String, (u64, u64)>,
) {
    let node = heartbeat.record.node.clone();
    if node == shared.settings.node {
        return;
    }
    let sequence = (heartbeat.record.incarnation, heartbeat.sequence);
    let now = Instant::now();
    let is_repeated = |it: &(u64, u64)| it.0 == sequence.0 && it.1 >= sequence.1;
    let is_current = shared.state().peers.accepts(&heartbeat.record, now);
    if !is_current || last_seen.get(&node).is_some_and(is_repeated) {
        return;
    }
    last_seen.insert(node.clone(), sequence);
    let loads: BTreeMap<u64, LoadSample> = heartbeat.loads.into_iter().collect();
    let source = DeclarationSource::Entry;
    record_declarations(shared, &heartbeat.weights, source);
    let (crashes, limits) = (heartbeat.crashes.as_ref(), heartbeat.limits.as_ref());
    config_catch_up::consider(shared, &heartbeat.record);
    let departures = &heartbeat.departures;
    peer_evidence::merge(shared, crashes, limits, departures, DigestSource::Entry);
    let mut state = shared.state();
    state.loads.update_peer(&node, loads, now);
    state.loads.expire(now);
    let is_changed = state.peers.record_heartbeat(heartbeat.record, now);
    if is_changed {
        state.heartbeat_digest.record_change();
        state.report_digest.record_change();
        state.limits.record_discovery();
        departure_guard::record_discovery(&mut state, now);
    }
    drop(state);
    if is_changed {
        info!(shared.log, "entry discovered or changed"; "entry" => node);
        shared.urgent_change.notify_one();
    }
}

/// Minimum time between two heartbeats. A few requests arrive in the zone in this time.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum time between two heartbeats to all listed entries of the zone.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time over which the entries spread their registrations after the store has returned from a copy.
const REGISTRATION_SPREAD: Duration = Duration::from_millis(1000);

/// Time after which the list of entries is read again, to find entries that were hidden by a network partition at
/// startup.
const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum size of a datagram in bytes; a heartbeat contains a sample of 16 bytes for each of a few thousand replicas.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
