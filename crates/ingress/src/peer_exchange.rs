//! Entries find each other through the store and then tell each other of their load in datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use fleet::{AgentStatus, DeclarationAge, EntryHeartbeat, FleetMessage, LoadSample, PeerRecord};
use platform::RowWrite;
use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::entry_shared::EntryShared;

/// Table of the store in which entries list themselves.
pub(crate) const ENTRY_TABLE: &str = "entries";

/// Opens the socket and starts the tasks that register, tell and listen.
///
/// # Errors
///
/// Returns an error when the socket cannot be opened.
pub(crate) async fn start(shared: &Arc<EntryShared>) -> anyhow::Result<()> {
    let address = SocketAddr::from((shared.settings.ip, shared.settings.first_port));
    let socket = UdpSocket::bind(address)
        .await
        .context("cannot bind the datagram address")?;
    let socket = Arc::new(socket);
    tokio::spawn(register(shared.clone()));
    tokio::spawn(listen(shared.clone(), socket.clone()));
    tokio::spawn(tell(shared.clone(), socket));
    Ok(())
}

/// Lists this entry in the store and reads the others, again from time to time.
async fn register(shared: Arc<EntryShared>) {
    let mut failures = 0;
    let mut is_listed = false;
    loop {
        match register_once(&shared, is_listed).await {
            Ok(()) => {
                failures = 0;
                is_listed = true;
                tokio::time::sleep(RELIST_INTERVAL).await;
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

async fn register_once(shared: &EntryShared, is_listed: bool) -> Result<(), platform::CallError> {
    if !is_listed {
        let record = PeerRecord {
            ready: false,
            ..shared.own_record()
        };
        let row = RowWrite {
            table: ENTRY_TABLE.to_owned(),
            key: record.node.clone(),
            value: Some(serde_json::to_vec(&record).expect("a record is always encodable")),
        };
        shared.store.write(&[row]).await?;
    }
    let page = shared.store.read_table(ENTRY_TABLE).await?;
    let mut state = shared.state();
    for row in page.rows {
        let Some(bytes) = row.value else {
            continue;
        };
        match serde_json::from_slice::<PeerRecord>(&bytes) {
            Ok(record) if record.node != shared.settings.node => state.peers.insert_listed(record),
            Ok(_) => {}
            Err(err) => {
                warn!(shared.log, "row of an entry skipped"; "key" => row.key, "error" => err.to_string());
            }
        }
    }
    drop(state);
    shared.news.notify_one();
    Ok(())
}

/// Tells entries of this one's load: those of the own zone at each change, all others less often.
///
/// Entries share mostly the replicas of their zone, where they must not choose alike; between zones bytes have a price.
async fn tell(shared: Arc<EntryShared>, socket: Arc<UdpSocket>) {
    let mut number = 0;
    let mut told_all: Option<(Instant, EntryHeartbeat)> = None;
    loop {
        let is_urgent = tokio::select! {
            () = shared.news.notified() => true,
            () = shared.load_changed.notified() => false,
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => false,
        };
        number += 1;
        let notice = own_notice(&shared, number);
        let is_due = told_all.as_ref().is_none_or(|(at, before)| {
            at.elapsed() >= HEARTBEAT_INTERVAL
                || (at.elapsed() >= TELL_ALL_INTERVAL && before.loads != notice.loads)
        });
        let tells_all = is_urgent || is_due;
        send_notice(&shared, &socket, &notice, tells_all);
        if tells_all {
            told_all = Some((Instant::now(), notice));
        }
        tokio::time::sleep(TELL_NEAR_INTERVAL).await;
    }
}

fn send_notice(shared: &EntryShared, socket: &UdpSocket, notice: &EntryHeartbeat, tells_all: bool) {
    let message = FleetMessage::Entry(notice.clone());
    let bytes = postcard::to_allocvec(&message).expect("a notice is always encodable");
    let zone = &shared.settings.zone;
    let state = shared.state();
    // Silent ones are told with all others, so that a healed partition shows.
    let peers: Vec<SocketAddr> = if tells_all {
        state.peers.all().map(|it| it.inner).collect()
    } else {
        let alive = state.peers.alive(Instant::now());
        alive
            .filter(|it| it.zone == *zone)
            .map(|it| it.inner)
            .collect()
    };
    drop(state);
    for peer in peers {
        // Datagrams may be lost anyway; the next one holds all that this one says.
        let _ = socket.try_send_to(&bytes, peer);
    }
}

fn own_notice(shared: &EntryShared, number: u64) -> EntryHeartbeat {
    let record = shared.own_record();
    let state = shared.state();
    let loads = state.board.own_samples().into_iter().collect();
    let recent = state.versions.recent_declarations(Instant::now());
    let weights = recent
        .into_iter()
        .map(|(model, version, age)| DeclarationAge {
            model: model.to_owned(),
            version,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        });
    EntryHeartbeat {
        record,
        sequence: number,
        loads,
        weights: weights.collect(),
    }
}

async fn listen(shared: Arc<EntryShared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut numbers: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram could not be delivered; nothing is wrong with the socket.
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(FleetMessage::Entry(notice)) => heard_entry(&shared, notice, &mut numbers),
            Ok(FleetMessage::Agent(notice)) => heard_agent(&shared, &notice),
            Ok(FleetMessage::Weights(_)) => {
                warn!(shared.log, "datagram for an agent skipped"; "from" => from.to_string());
            }
            Err(err) => {
                warn!(shared.log, "datagram skipped"; "from" => from.to_string(), "error" => err.to_string());
            }
        }
    }
}

fn heard_entry(
    shared: &EntryShared,
    notice: EntryHeartbeat,
    numbers: &mut BTreeMap<String, (u64, u64)>,
) {
    let node = notice.record.node.clone();
    if node == shared.settings.node {
        return;
    }
    let stamp = (notice.record.incarnation, notice.sequence);
    if numbers.get(&node).is_some_and(|it| *it >= stamp) {
        return;
    }
    numbers.insert(node.clone(), stamp);
    let now = Instant::now();
    let loads: BTreeMap<u64, LoadSample> = notice.loads.into_iter().collect();
    let mut state = shared.state();
    state.board.update_peer(&node, loads, now);
    state.board.expire(now);
    for declared in notice.weights {
        let age = Duration::from_millis(u64::from(declared.age_ms));
        if let Some(known) = now.checked_sub(age) {
            state
                .versions
                .record_known_time(&declared.model, declared.version, known);
        }
    }
    let is_news = state.peers.record_heartbeat(notice.record, now);
    drop(state);
    if is_news {
        info!(shared.log, "entry heard"; "entry" => node);
        shared.news.notify_one();
    }
}

fn heard_agent(shared: &EntryShared, notice: &AgentStatus) {
    let is_news = shared
        .state()
        .catalog
        .update_weights(notice.replica, &notice.models);
    if is_news {
        info!(
            shared.log, "weights of a replica changed";
            "address" => notice.replica.to_string(),
            "version" => notice.models.first().map(|it| it.version),
        );
    }
}

/// Least time between two messages to entries of the own zone; a few requests of the zone arrive in it.
const TELL_NEAR_INTERVAL: Duration = Duration::from_millis(15);

/// Least time between two messages to all entries; about the time in which a replica's load changes (one pass, 50 ms or
/// more), a few times.
const TELL_ALL_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time between two messages to all entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the list of entries is read again, for those that a partition hid at the start.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);

/// Bytes of the largest datagram: one sample of 16 bytes for each of some thousand replicas.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
